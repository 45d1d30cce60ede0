use super::streams::StreamBuffer;
use cassiagw_rpc::{End, Ran};
use cassiagw_surfaces::engine::{
    CompletionSpec, CompletionStream, EngineClient, EngineError, EngineEvent, Usage,
};
use std::time::Duration;
use tokio::time::sleep;

/// Times that a cut stream is resumed without a token in between.
const MAX_RESUMES: u32 = 4;
/// Wait before the first resume; it doubles with each further one.
const RESUME_DELAY: Duration = Duration::from_millis(20);

/// Waits before the engine is connected to again.
const CONNECT_RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(80)];

/// Runs one completion on the engine and fills the stream, resuming it where it is cut.
///
/// A canceled stream stops the engine.
pub async fn run_completion(
    client: &EngineClient,
    spec: CompletionSpec,
    limit: Duration,
    stream: &StreamBuffer,
) {
    let request_id = spec.request_id.clone();
    let end = tokio::select! {
        end = run_to_end(client, spec, limit, stream) => end,
        () = stream.canceled() => {
            stop(client, &request_id).await;
            End::Failed { ran: Ran::Run, message: "canceled".to_owned() }
        }
    };
    stream.finish(end);
}

async fn stop(client: &EngineClient, request_id: &str) {
    if let Err(error) = client.cancel(request_id).await {
        log::warn!(event = "cancel_failed", request = request_id, error:% = error; "");
    }
}

async fn run_to_end(
    client: &EngineClient,
    spec: CompletionSpec,
    limit: Duration,
    stream: &StreamBuffer,
) -> End {
    let mut running = match start(client, &spec, limit).await {
        Ok(running) => running,
        Err(error) => return failure_of(&error),
    };
    let mut resumes = 0;
    loop {
        let before = stream.len();
        let error = match copy_tokens(&mut running, stream).await {
            Ok(end) => return end,
            Err(error) => error,
        };
        resumes = if stream.len() > before { 0 } else { resumes };
        let resumed = resume(client, &spec.request_id, stream.len(), limit, &mut resumes, error);
        running = match resumed.await {
            Ok(running) => running,
            Err(error) => return lost(&error),
        };
    }
}

/// Resumes the completion after `error`, trying again when the answer is lost.
async fn resume(
    client: &EngineClient,
    request_id: &str,
    offset: usize,
    limit: Duration,
    resumes: &mut u32,
    mut error: EngineError,
) -> Result<CompletionStream, EngineError> {
    while *resumes < MAX_RESUMES {
        sleep(RESUME_DELAY * (1 << *resumes)).await;
        *resumes += 1;
        error = match client.resume(request_id, offset, limit).await {
            Err(EngineError::Http(cause)) if !cause.is_not_sent() => cause.into(),
            outcome => return outcome,
        };
    }
    Err(error)
}

/// Starts the completion, trying again while nothing of it was sent.
async fn start(
    client: &EngineClient,
    spec: &CompletionSpec,
    limit: Duration,
) -> Result<CompletionStream, EngineError> {
    for delay in CONNECT_RETRY_DELAYS {
        match client.start(spec, limit).await {
            Err(EngineError::Http(error)) if error.is_not_sent() => sleep(delay).await,
            outcome => return outcome,
        }
    }
    client.start(spec, limit).await
}

async fn copy_tokens(
    running: &mut CompletionStream,
    stream: &StreamBuffer,
) -> Result<End, EngineError> {
    loop {
        match running.next().await? {
            Some(EngineEvent::Token(token)) => stream.push(token),
            Some(EngineEvent::End { reason, usage }) => return Ok(finished(reason, usage)),
            None => return Err(EngineError::Cut("no end event".to_owned())),
        }
    }
}

fn finished(reason: String, usage: Usage) -> End {
    End::Finished {
        reason,
        computed_tokens: usage.prompt_tokens.saturating_sub(usage.cached_tokens),
        prompt_tokens: usage.prompt_tokens,
    }
}

/// The engine took the completion and then lost it.
fn lost(error: &EngineError) -> End {
    End::Failed { ran: Ran::Run, message: error.to_string() }
}

/// The engine did not take the completion, or gave no answer.
fn failure_of(error: &EngineError) -> End {
    let ran = match error {
        EngineError::Http(error) if error.is_not_sent() => Ran::NotRun,
        // The engine knows a completion of this name.
        EngineError::Refused { status: 409, .. } => Ran::Unknown,
        EngineError::Refused { .. } => Ran::NotRun,
        _ => Ran::Unknown,
    };
    End::Failed { ran, message: error.to_string() }
}

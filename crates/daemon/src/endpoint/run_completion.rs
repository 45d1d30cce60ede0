use super::streams::StreamBuffer;
use cassiagw_rpc::{RunStatus, StreamEnd};
use cassiagw_surfaces::engine::{
    CompletionSpec, CompletionStream, EngineClient, EngineError, EngineEvent, Usage,
};
use std::time::Duration;
use tokio::time::sleep;

/// Maximum number of consecutive resumes of a cut stream without a token received in between.
const MAX_RESUMES: u32 = 4;
/// Delay before the first resume; doubled for each further one.
const RESUME_DELAY: Duration = Duration::from_millis(20);

/// Delays before each further attempt to connect to the engine.
const CONNECT_RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(80)];

/// Runs one completion on the engine and copies its tokens to the stream.
///
/// If the connection is cut, the completion is resumed at the next token. Canceling the stream
/// cancels the completion at the engine.
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
            cancel_completion(client, &request_id).await;
            StreamEnd::Failed { ran: RunStatus::Run, message: "canceled".to_owned() }
        }
    };
    stream.finish(end);
}

async fn cancel_completion(client: &EngineClient, request_id: &str) {
    if let Err(error) = client.cancel(request_id).await {
        log::warn!(event = "cancel_failed", request = request_id, error:% = error; "");
    }
}

async fn run_to_end(
    client: &EngineClient,
    spec: CompletionSpec,
    limit: Duration,
    stream: &StreamBuffer,
) -> StreamEnd {
    let mut running = match start(client, &spec, limit).await {
        Ok(running) => running,
        Err(error) => return failure_of(&error),
    };
    let mut resumes = 0;
    loop {
        let len_before = stream.len();
        let error = match copy_tokens(&mut running, stream).await {
            Ok(end) => return end,
            Err(error) => error,
        };
        resumes = if stream.len() > len_before { 0 } else { resumes };
        let resumed = resume(client, &spec.request_id, stream.len(), limit, &mut resumes, error);
        running = match resumed.await {
            Ok(running) => running,
            Err(error) => return lost_completion(&error),
        };
    }
}

/// Resumes the completion after `error`; retries if the response is lost.
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

/// Starts the completion; retries only while the request is known not to have been sent.
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
) -> Result<StreamEnd, EngineError> {
    loop {
        match running.next().await? {
            Some(EngineEvent::Token(token)) => stream.push(token),
            Some(EngineEvent::End { reason, usage }) => return Ok(finished(reason, usage)),
            None => return Err(EngineError::Cut("stream ended without an end event".to_owned())),
        }
    }
}

fn finished(reason: String, usage: Usage) -> StreamEnd {
    StreamEnd::Finished {
        reason,
        computed_tokens: usage.prompt_tokens.saturating_sub(usage.cached_tokens),
        prompt_tokens: usage.prompt_tokens,
    }
}

/// Outcome of a completion that the engine accepted and then lost.
fn lost_completion(error: &EngineError) -> StreamEnd {
    StreamEnd::Failed { ran: RunStatus::Run, message: error.to_string() }
}

/// Outcome of a completion that the engine did not accept or did not answer.
fn failure_of(error: &EngineError) -> StreamEnd {
    let ran = match error {
        EngineError::Http(error) if error.is_not_sent() => RunStatus::NotRun,
        // Conflict: the engine already has a completion with this request ID.
        EngineError::Refused { status: 409, .. } => RunStatus::Unknown,
        EngineError::Refused { .. } => RunStatus::NotRun,
        _ => RunStatus::Unknown,
    };
    StreamEnd::Failed { ran, message: error.to_string() }
}

use super::{
    block::Scope,
    config::Faults,
    core::{Core, initial_chain},
    hash_chain::Prompt,
    records::{RunOutcome, RunRecord},
    run::{CompletionRequest, Progress, Run, RunEnd},
    scheduler::start_waiting,
    server::Engine,
};
use crate::server::{Body, Cut, error_json, stream, unix_ms};
use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Capacity of a response stream's channel, in messages.
const STREAM_BUFFER: usize = 16;

/// Handles `POST /v1/completions`: enqueues a run and streams its tokens.
pub fn create(engine: &Arc<Engine>, body: &[u8]) -> Response<Body> {
    let req: CompletionRequest = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(error) => return reject(StatusCode::BAD_REQUEST, "invalid", &error.to_string()),
    };
    let scope = match validate(&engine.core(), &req) {
        Ok(scope) => scope,
        Err(rejection) => return *rejection,
    };
    // Hashing a long prompt takes time, so it is done without holding the lock. The request is
    // validated again afterwards, since versions, adapters and runs may have changed meanwhile.
    let prompt =
        Prompt::new(initial_chain(&req.model, &scope), &req.prompt, engine.cfg.piece_tokens);
    let mut core = engine.core();
    if let Err(rejection) = validate(&core, &req) {
        return *rejection;
    }
    let priority = req.priority;
    let run = Arc::new(create_run(&mut core, req, scope, prompt));
    core.enqueue(priority, run.clone());
    start_waiting(engine, &mut core);
    stream_run(engine, &run, 0)
}

/// Handles `GET /v1/completions/{request_id}?offset=N`: streams a run's tokens from position N.
pub fn resume(engine: &Arc<Engine>, id: &str, offset: usize) -> Response<Body> {
    match engine.core().runs.get(id) {
        Some(run) => stream_run(engine, run, offset),
        None => reject(StatusCode::NOT_FOUND, "unknown_request", "no such request"),
    }
}

/// Handles `DELETE /v1/completions/{request_id}`: cancels a run.
pub fn cancel(engine: &Arc<Engine>, id: &str) -> Response<Body> {
    let mut core = engine.core();
    let Some(run) = core.runs.get(id).cloned() else {
        return reject(StatusCode::NOT_FOUND, "unknown_request", "no such request");
    };
    core.end(&run, RunEnd::Canceled, engine.cfg.retained_runs);
    start_waiting(engine, &mut core);
    crate::server::json(StatusCode::OK, &json!({"id": id, "canceled": true}))
}

fn validate(core: &Core, req: &CompletionRequest) -> Result<Scope, Box<Response<Body>>> {
    let state = &core.state;
    let version = req.version.as_ref().or(state.versions.last());
    let version = version.filter(|version| state.versions.contains(version));
    let adapter = req.adapter.clone().unwrap_or_default();
    let reject = |status, code, message: &str| Err(Box::new(reject(status, code, message)));
    match version {
        _ if !req.stream => reject(StatusCode::BAD_REQUEST, "invalid", "stream must be true"),
        _ if core.runs.contains_key(&req.request_id) => {
            reject(StatusCode::CONFLICT, "request_exists", "request_id is in use")
        }
        _ if req.model != state.model => {
            reject(StatusCode::NOT_FOUND, "model_not_found", "model is not served here")
        }
        _ if !adapter.is_empty() && !state.adapters.contains(&adapter) => {
            reject(StatusCode::NOT_FOUND, "adapter_not_loaded", "adapter is not loaded")
        }
        None => reject(StatusCode::NOT_FOUND, "version_not_loaded", "version is not loaded"),
        Some(version) => {
            Ok(Scope { salt: req.cache_salt.clone(), version: version.clone(), adapter })
        }
    }
}

fn create_run(core: &mut Core, req: CompletionRequest, scope: Scope, prompt: Prompt) -> Run {
    core.records.runs.push(RunRecord {
        request_id: req.request_id.clone(),
        salt: scope.salt.clone(),
        version: scope.version.clone(),
        adapter: scope.adapter.clone(),
        start_ms: unix_ms(),
        started: 0,
        priority: req.priority,
        prompt_tokens: prompt.tokens,
        cached_tokens: 0,
        tokens: 0,
        outcome: RunOutcome::Running,
    });
    Run {
        record: core.records.runs.len() - 1,
        id: req.request_id,
        scope,
        keys: req.cache_keys,
        prompt,
        max_tokens: req.max_tokens,
        progress: watch::Sender::new(Progress::default()),
    }
}

fn stream_run(engine: &Engine, run: &Arc<Run>, offset: usize) -> Response<Body> {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    let cut_after = engine.faults.draw(|faults, _| take_stream_cut(faults));
    tokio::spawn(send_tokens(run.clone(), offset, cut_after, tx));
    stream("text/event-stream", rx)
}

fn take_stream_cut(faults: &mut Faults) -> Option<usize> {
    let is_cut = faults.cut_streams > 0;
    faults.cut_streams = faults.cut_streams.saturating_sub(1);
    is_cut.then_some(faults.cut_stream_after as usize)
}

async fn send_tokens(
    run: Arc<Run>,
    offset: usize,
    cut_after: Option<usize>,
    tx: mpsc::Sender<Result<Bytes, Cut>>,
) {
    let mut rx = run.progress.subscribe();
    let cut_at = cut_after.map_or(usize::MAX, |tokens| offset + tokens);
    let mut sent = offset;
    loop {
        let (events, end, new) = {
            let progress = rx.borrow_and_update();
            let new = progress.tokens.len().min(cut_at);
            let tokens = progress.tokens.get(sent..new).unwrap_or_default();
            let mut events: String =
                tokens.iter().map(|token| token_event(&run.id, token)).collect();
            if progress.end.is_some_and(|end| end != RunEnd::Failed) && new < cut_at {
                events.push_str(&final_events(&run.id, &progress));
            }
            (events, progress.end, new)
        };
        sent = sent.max(new);
        if !events.is_empty() && tx.send(Ok(events.into())).await.is_err() {
            return;
        }
        if sent >= cut_at || end == Some(RunEnd::Failed) {
            let _ = tx.send(Err(Cut)).await;
            return;
        }
        if end.is_some() {
            return;
        }
        tokio::select! {
            changed = rx.changed() => if changed.is_err() { return },
            () = tx.closed() => return,
        }
    }
}

fn token_event(id: &str, token: &str) -> String {
    event(&json!({
        "id": id,
        "object": "text_completion",
        "choices": [{"index": 0, "text": format!(" {token}"), "finish_reason": null}],
    }))
}

fn final_events(id: &str, progress: &Progress) -> String {
    let reason = if progress.end == Some(RunEnd::Finished) { "length" } else { "abort" };
    let usage = json!({
        "prompt_tokens": progress.usage.prompt_tokens,
        "completion_tokens": progress.tokens.len(),
        "prompt_tokens_details": {"cached_tokens": progress.usage.cached_tokens},
    });
    let last = event(&json!({
        "id": id,
        "object": "text_completion",
        "choices": [{"index": 0, "text": "", "finish_reason": reason}],
        "usage": usage,
    }));
    format!("{last}data: [DONE]\n\n")
}

fn event(document: &Value) -> String {
    format!("data: {document}\n\n")
}

fn reject(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    error_json(status, code, message)
}

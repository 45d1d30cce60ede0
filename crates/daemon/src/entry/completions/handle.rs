use super::{
    CompletionRequest,
    answer::{event_stream_response, json_response},
    run::{ResponsePart, run},
};
use crate::{
    caller_memory::HeldBody,
    entry::{
        EntryContext,
        http::{ApiError, Body, ErrorCode},
    },
};
use cassiagw_core::settings::Caller;
use cassiagw_rpc::RunStatus;
use hyper::{Response, StatusCode};
use std::{sync::Arc, time::Instant};
use tokio::sync::mpsc;

/// Number of parts buffered for a slow caller; once it is reached, the endpoint's stream is not
/// read until the caller catches up.
const PART_BUFFER_SIZE: usize = 64;

/// Serves one completion, streamed or as one JSON document; `id` is the request ID.
///
/// # Errors
/// The request is invalid or failed before its first token, or, if not streamed, at any time.
pub async fn handle(
    entry: Arc<EntryContext>,
    caller: Caller,
    id: &str,
    body: HeldBody,
) -> Result<Response<Body>, ApiError> {
    let arrived = Instant::now();
    let view = entry.cx.view();
    let limit = entry.cx.cfg.limits.request_timeout;
    let req = Arc::new(CompletionRequest::parse(&body.content, &caller, &view.tree, limit)?);
    let (tx, mut rx) = mpsc::channel(PART_BUFFER_SIZE);
    let (task_entry, task_req) = (entry.clone(), req.clone());
    let HeldBody { content, lease } = body;
    drop(content);
    tokio::spawn(async move {
        run(&task_entry, &task_req, tx).await;
        drop(lease);
    });
    let first = rx.recv().await.ok_or_else(missing_result)?;
    if let ResponsePart::Failed(error) = first {
        return Err(error);
    }
    let first_token = arrived.elapsed();
    entry.cx.metrics.record_first_token(first_token);
    entry.cx.metrics.count_request("ok");
    log::info!(
        event = "request_started", request = id, workspace:% = caller.workspace,
        model:% = req.model, first_token_us = first_token.as_micros() as u64; ""
    );
    match req.stream {
        true => Ok(event_stream_response(id, &req.model, first, rx)),
        false => json_response(id, &req.model, first, rx).await,
    }
}

fn missing_result() -> ApiError {
    ApiError::new(
        StatusCode::BAD_GATEWAY,
        ErrorCode::EndpointFailed,
        "the run ended without a result",
    )
    .with_ran(RunStatus::Unknown)
}

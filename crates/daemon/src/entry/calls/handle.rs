use super::{answer::response, call_request::CallRequest, call_runner::CallRunner};
use crate::{
    caller_memory::HeldAnswer,
    entry::{
        EntryContext,
        http::{ApiError, Body, ErrorCode, full_body, no_memory},
    },
    http_server::CallerConnection,
};
use cassiagw_core::{
    claims::KeyLimits,
    forwarding::PressureEvent,
    settings::{Caller, EndpointKind},
};
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

/// Serves one call with access to its service: checks the idempotency key, then claims, dispatches, follows and
/// settles.
///
/// The call runs in its own task, so that its outcome is recorded even if the caller disconnects.
///
/// # Errors
/// The call was rejected or produced no answer; the error says whether it ran, if that is known.
pub async fn handle(
    entry: Arc<EntryContext>,
    connection: Arc<CallerConnection>,
    caller: Caller,
    call: CallRequest,
) -> Result<Response<Body>, ApiError> {
    if let Err(shortage) = entry.memory.admit_answer(&caller.workspace) {
        entry.memory.record(PressureEvent::AnswerRefused);
        return Err(no_memory(format!(
            "answers that are not read take up the memory of the {}",
            shortage.name()
        )));
    }
    let key = call.key(unix_ms(), &KeyLimits::default())?;
    let call_task = tokio::spawn(async move {
        let reply = CallRunner::new(&entry, &caller, &call, key).run().await;
        let hold = |content| {
            let workspace = caller.workspace.clone();
            match HeldAnswer::new(&entry.memory, &connection, workspace, content) {
                Ok(held) => held.boxed(),
                Err(small) => full_body(small),
            }
        };
        let result = response(reply, &call.service, hold);
        if result.is_ok() {
            entry.cx.metrics.count_request("ok");
        }
        result
    });
    call_task.await.unwrap_or_else(|_| Err(outcome_unknown()))
}

/// Checks that a service exists and that the caller may use it.
///
/// # Errors
/// There is no such service, or the caller's team has no access.
pub fn check_access(entry: &EntryContext, caller: &Caller, service: &str) -> Result<(), ApiError> {
    let view = entry.cx.view();
    let is_service =
        view.tree.models.get(service).is_some_and(|model| model.kind == EndpointKind::Service);
    if !is_service {
        let message = format!("there is no plain service {service:?}");
        return Err(ApiError::new(StatusCode::NOT_FOUND, ErrorCode::UnknownModel, message));
    }
    let access = view.tree.access.get(&caller.team);
    if !access.is_some_and(|access| access.models.contains(service)) {
        let message = format!("team {} may not use {service:?}", caller.team);
        return Err(ApiError::new(StatusCode::FORBIDDEN, ErrorCode::Forbidden, message));
    }
    Ok(())
}

fn outcome_unknown() -> ApiError {
    let (status, code) = (StatusCode::GATEWAY_TIMEOUT, ErrorCode::OutcomeUnknown);
    ApiError::new(status, code, "the task of the call ended without a result")
        .with_ran(cassiagw_rpc::RunStatus::Unknown)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}

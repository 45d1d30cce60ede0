use super::{
    OperatorsContext,
    answer::{Answer, ErrorResponse, json_response},
    request::parse,
};
use crate::control::{EditOutcome, EditRequest};
use cassiagw_core::{
    ids::Revision,
    settings::{Change, Fault, Principal},
};
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;

/// Body of `POST /v1/settings`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(default)]
    base: Option<Revision>,
    changes: Vec<Change>,
}

/// Applies several changes in one edit.
pub async fn put_many(
    cx: &OperatorsContext,
    by: Principal,
    body: &[u8],
) -> Result<Answer, ErrorResponse> {
    let Document { base, changes } = parse(body)?;
    edit(cx, EditRequest { by, base, changes }).await
}

/// Sets one setting.
pub async fn put(
    cx: &OperatorsContext,
    by: Principal,
    path: &str,
    base: Option<Revision>,
    body: &[u8],
) -> Result<Answer, ErrorResponse> {
    let changes = vec![Change { path: path.into(), value: Some(parse(body)?) }];
    edit(cx, EditRequest { by, base, changes }).await
}

/// Removes one setting.
pub async fn delete(
    cx: &OperatorsContext,
    by: Principal,
    path: &str,
    base: Option<Revision>,
) -> Result<Answer, ErrorResponse> {
    edit(cx, EditRequest { by, base, changes: vec![Change::removal(path)] }).await
}

async fn edit(cx: &OperatorsContext, req: EditRequest) -> Result<Answer, ErrorResponse> {
    let by = req.by.to_string();
    let changes = req.changes.len();
    let outcome = cx.control.edit(req).await;
    log::info!(event = "settings_edit", by:% = by, changes = changes, outcome:? = outcome; "");
    let error = match outcome {
        EditOutcome::Accepted(revision) => {
            return Ok(json_response(StatusCode::OK, &json!({ "revision": revision })));
        }
        EditOutcome::Conflict(paths) => {
            let message = format!("changed after the base revision: {}", paths.join(", "));
            ErrorResponse::new(StatusCode::CONFLICT, "conflict", message)
                .with_fields(json!({ "paths": paths }))
        }
        EditOutcome::Invalid(faults) => invalid(&faults),
        EditOutcome::Forbidden(path) => {
            let message = format!("this token may not change settings path {path:?}");
            ErrorResponse::forbidden(message)
        }
        EditOutcome::NotAccepted(cause) => {
            ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "not_accepted", cause)
        }
        EditOutcome::Unknown => {
            let message = "the change may have been applied, or may be applied later; read the \
                           settings to check";
            ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, "outcome_unknown", message)
                .with_unknown_outcome()
        }
    };
    Err(error)
}

fn invalid(faults: &[Fault]) -> ErrorResponse {
    let message = faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("; ");
    let path = faults.first().map(|fault| fault.path.clone());
    ErrorResponse::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", message)
        .with_fields(json!({ "path": path, "faults": faults }))
}

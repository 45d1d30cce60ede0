use super::{
    OperatorsContext,
    answer::{Answer, Refusal, document},
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
pub async fn many(cx: &OperatorsContext, by: Principal, body: &[u8]) -> Result<Answer, Refusal> {
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
) -> Result<Answer, Refusal> {
    let changes = vec![Change { path: path.into(), value: Some(parse(body)?) }];
    edit(cx, EditRequest { by, base, changes }).await
}

/// Removes one setting.
pub async fn delete(
    cx: &OperatorsContext,
    by: Principal,
    path: &str,
    base: Option<Revision>,
) -> Result<Answer, Refusal> {
    edit(cx, EditRequest { by, base, changes: vec![Change::removal(path)] }).await
}

async fn edit(cx: &OperatorsContext, req: EditRequest) -> Result<Answer, Refusal> {
    let by = req.by.to_string();
    let changes = req.changes.len();
    let outcome = cx.control.edit(req).await;
    log::info!(event = "settings_edit", by:% = by, changes = changes, outcome:? = outcome; "");
    let refusal = match outcome {
        EditOutcome::Accepted(revision) => {
            return Ok(document(StatusCode::OK, &json!({ "revision": revision })));
        }
        EditOutcome::Conflict(paths) => {
            let message = format!("changed since the base revision: {}", paths.join(", "));
            Refusal::new(StatusCode::CONFLICT, "conflict", message)
                .with_fields(json!({ "paths": paths }))
        }
        EditOutcome::Invalid(faults) => invalid(&faults),
        EditOutcome::Forbidden(path) => {
            let message = format!("{path}: not in the part of the settings of this token");
            Refusal::forbidden(message)
        }
        EditOutcome::NotAccepted(cause) => {
            Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "not_accepted", cause)
        }
        EditOutcome::Unknown => {
            let message =
                "the change may have been applied or may still be; read the settings to check";
            Refusal::new(StatusCode::GATEWAY_TIMEOUT, "outcome_unknown", message)
                .with_open_outcome()
        }
    };
    Err(refusal)
}

fn invalid(faults: &[Fault]) -> Refusal {
    let message = faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("; ");
    let path = faults.first().map(|fault| fault.path.clone());
    Refusal::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", message)
        .with_fields(json!({ "path": path, "faults": faults }))
}

use super::{
    OperatorsContext,
    answer::{Answer, ErrorResponse, json_response},
    request::query_number,
};
use cassiagw_core::settings::{Edit, Path, Principal, Subtree};
use hyper::StatusCode;
use serde_json::{Map, Value, json};

/// Default maximum number of edits in a history response.
const DEFAULT_HISTORY_LIMIT: u64 = 100;

/// Returns the settings of a subtree.
pub fn settings(
    cx: &OperatorsContext,
    by: &Principal,
    path: &str,
) -> Result<Answer, ErrorResponse> {
    let subtree = Subtree::parse(path)
        .map_err(|error| ErrorResponse::bad_request("bad_path", format!("{path}: {error}")))?;
    if !by.may_read(&subtree) {
        return Err(ErrorResponse::forbidden(format!(
            "this token may not read settings path {path:?}"
        )));
    }
    let tree = cx.control.view().tree.clone();
    let entries = tree
        .entries_in(&subtree)
        .map(|(path, entry)| (path.to_string(), entry.to_value()))
        .collect::<Map<String, Value>>();
    Ok(json_response(StatusCode::OK, &json!({ "revision": tree.revision, "entries": entries })))
}

/// Returns accepted edits, oldest first; a team sees only changes in its own subtree.
pub async fn history(
    cx: &OperatorsContext,
    by: &Principal,
    query: Option<&str>,
) -> Result<Answer, ErrorResponse> {
    let from = query_number(query, "from")?.unwrap_or(1).max(1);
    let limit = query_number(query, "limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT);
    let unavailable =
        |error| ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "history_unavailable", error);
    let edits = cx.control.history(from).await.map_err(unavailable)?;
    let edits = edits
        .into_iter()
        .filter_map(|(revision, edit)| Some((revision, visible_changes(by, edit)?)))
        .take(limit as usize)
        .map(|(revision, edit)| {
            json!({
                "revision": revision, "by": edit.by, "at": edit.at, "changes": edit.changes,
            })
        })
        .collect::<Vec<_>>();
    let revision = cx.control.view().tree.revision;
    Ok(json_response(StatusCode::OK, &json!({ "revision": revision, "edits": edits })))
}

/// Removes the changes that the principal may not read; `None` if no change is left.
fn visible_changes(by: &Principal, mut edit: Edit) -> Option<Edit> {
    let may_read = |path: &str| match Path::parse(path) {
        Ok(path) => by.may_write(&path),
        Err(_) => *by == Principal::Operator,
    };
    edit.changes.retain(|change| may_read(&change.path));
    (!edit.changes.is_empty()).then_some(edit)
}

/// Returns this entry's view of zones, leaving hosts and daemons.
pub fn status(cx: &OperatorsContext, by: &Principal) -> Result<Answer, ErrorResponse> {
    if *by != Principal::Operator {
        return Err(ErrorResponse::forbidden("only operators may read the status"));
    }
    let view = cx.control.view();
    let tree = &view.tree;
    let zones = tree
        .zones
        .iter()
        .map(|(zone, entry)| {
            let endpoints = tree.endpoints.values().filter(|e| e.zone == *zone).count();
            let daemons = cx.control.peers().iter().filter(|peer| peer.zone == *zone).count();
            json!({
                "zone": zone, "region": entry.region, "state": entry.state,
                "endpoints": endpoints, "daemons": daemons,
            })
        })
        .collect::<Vec<_>>();
    let mut leaving = view.leaving.iter().collect::<Vec<_>>();
    leaving.sort();
    let status = json!({
        "revision": tree.revision,
        "current": view.is_current,
        "zones": zones,
        "leaving": leaving,
        "daemons": *cx.control.peers(),
    });
    Ok(json_response(StatusCode::OK, &status))
}

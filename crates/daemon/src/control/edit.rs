use super::ControlHandle;
use cassiagw_core::{
    ids::Revision,
    ledger::{AppendId, AppendOutcome, RawRecord, Record},
    settings::{Change, CheckError, Edit, Fault, Path, Principal, check, footprint},
};
use std::{
    collections::BTreeSet,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::time::{sleep, timeout};

/// Time allowed for an append, including retries while its outcome is unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum wait until records written by a concurrent append are applied.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of appends per request when concurrent writers cause conflicts.
const MAX_APPENDS: u32 = 32;
/// Upper bound of the random backoff after a conflicting append, in milliseconds.
const MAX_BACKOFF_MS: u64 = 40;

/// Request to change settings.
#[derive(Clone, Debug)]
pub struct EditRequest {
    /// Principal that makes the request; determines what it may write.
    pub by: Principal,
    /// Revision that the changes are based on: later overlapping changes are conflicts. `None`
    /// skips the conflict check.
    pub base: Option<Revision>,
    /// Changes to apply, all or none.
    pub changes: Vec<Change>,
}

/// Result of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit is committed at this revision.
    Accepted(Revision),
    /// Not applied: overlapping settings were changed after the base revision. Holds the paths, or
    /// the reason if the history since the base is not available.
    Conflict(Vec<String>),
    /// Not applied: validation failed.
    Invalid(Vec<Fault>),
    /// Not applied: the principal may not write this path.
    Forbidden(String),
    /// Confirmed not applied, for the reason given; the request may be repeated.
    NotAccepted(String),
    /// It is not known whether the edit was or will be committed.
    Unknown,
}

pub(super) async fn run(control: &ControlHandle, req: EditRequest) -> EditOutcome {
    for _ in 0..MAX_APPENDS {
        let tree = control.view().tree.clone();
        if let Err(outcome) = check_base(control, &req, tree.revision).await {
            return outcome;
        }
        if let Err(error) = check(&tree, &req.by, &req.changes) {
            return check_failure(error);
        }
        let record = Record { id: AppendId(rand::random()), entries: vec![new_edit(&req)] };
        match control.ledger.append(tree.revision, &record, APPEND_TIMEOUT).await {
            AppendOutcome::Accepted(revision) => {
                let value = record.encode().into();
                control.submit_records(vec![RawRecord { revision, value }]);
                control.wait_for_revision(revision).await;
                control.replicate_to_peer(revision).await;
                return EditOutcome::Accepted(revision);
            }
            AppendOutcome::Conflict { from } => {
                if !catch_up(control, from).await {
                    return EditOutcome::NotAccepted("newer settings could not be read".into());
                }
                let backoff = rand::random::<u64>() % MAX_BACKOFF_MS;
                sleep(Duration::from_millis(backoff)).await;
            }
            AppendOutcome::NotAccepted => {
                return EditOutcome::NotAccepted(
                    "the key-value service did not accept the append".into(),
                );
            }
            AppendOutcome::Unknown => return EditOutcome::Unknown,
        }
    }
    EditOutcome::NotAccepted("too many conflicts with concurrent edits; try again".into())
}

/// Rejects the request if changes since its base revision overlap with it.
async fn check_base(
    control: &ControlHandle,
    req: &EditRequest,
    revision: Revision,
) -> Result<(), EditOutcome> {
    let Some(base) = req.base.filter(|base| *base < revision) else { return Ok(()) };
    let Ok(edits) = control.history(base + 1).await else {
        let cause = "the changes since the base revision cannot be read; read the settings again";
        return Err(EditOutcome::Conflict(vec![cause.into()]));
    };
    let requested = footprint(&req.changes);
    let paths = edits
        .iter()
        .filter(|(at, _)| *at <= revision)
        .flat_map(|(_, edit)| requested.overlap(&footprint(&edit.changes)))
        .collect::<BTreeSet<Path>>();
    match paths.is_empty() {
        true => Ok(()),
        false => Err(EditOutcome::Conflict(paths.iter().map(Path::to_string).collect())),
    }
}

async fn catch_up(control: &ControlHandle, from: Revision) -> bool {
    let Ok(page) = control.ledger.read_page(from).await else { return false };
    let Some(last) = page.records.last().map(|record| record.revision) else { return false };
    control.submit_records(page.records);
    timeout(CATCH_UP_TIMEOUT, control.wait_for_revision(last)).await.is_ok()
}

fn new_edit(req: &EditRequest) -> Edit {
    let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
    Edit { by: req.by.to_string(), at, changes: req.changes.clone() }
}

fn check_failure(error: CheckError) -> EditOutcome {
    match error {
        CheckError::Forbidden(path) => EditOutcome::Forbidden(path),
        CheckError::Invalid(faults) => EditOutcome::Invalid(faults),
    }
}

/// Decodes the edits of a record; an undecodable record is logged and yields no edits.
pub(super) fn decode_edits(record: &RawRecord) -> Vec<(Revision, Edit)> {
    match Record::<Edit>::decode(record.revision, &record.value) {
        Ok(decoded) => decoded.entries.into_iter().map(|edit| (record.revision, edit)).collect(),
        Err(error) => {
            log::error!(event = "settings_record_unreadable", error:% = error; "");
            Vec::new()
        }
    }
}

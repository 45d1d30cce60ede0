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

/// Longest time in which an append's outcome is sought.
const APPEND_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for records that another append wrote.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(3);
/// Appends that may lose against other writers before the request is given back.
const MAX_TRIES: u32 = 32;
/// Longest pause after an append that lost, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

/// Changes that someone wants in force.
#[derive(Clone, Debug)]
pub struct EditRequest {
    /// Who asks.
    pub by: Principal,
    /// Revision that the changes were made from; later changes that bear on them are conflicts.
    pub base: Option<Revision>,
    /// Changes.
    pub changes: Vec<Change>,
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// It is in force from this revision on.
    Accepted(Revision),
    /// Not in force: settings that it bears on were changed after its base.
    Conflict(Vec<String>),
    /// Not in force: it is wrong.
    Invalid(Vec<Fault>),
    /// Not in force: a path lies outside what the token may write.
    Forbidden(String),
    /// Not in force, and proven so: the service did not take it.
    NotAccepted(String),
    /// It may be in force, now or later.
    Unknown,
}

pub(super) async fn run(control: &ControlHandle, req: EditRequest) -> EditOutcome {
    for _ in 0..MAX_TRIES {
        let tree = control.view().tree.clone();
        if let Err(outcome) = check_base(control, &req, tree.revision).await {
            return outcome;
        }
        if let Err(error) = check(&tree, &req.by, &req.changes) {
            return refused(error);
        }
        let record = Record { id: AppendId(rand::random()), entries: vec![edit_of(&req)] };
        match control.ledger.append(tree.revision, &record, APPEND_LIMIT).await {
            AppendOutcome::Accepted(revision) => {
                let value = record.encode().into();
                control.feed(vec![RawRecord { revision, value }]);
                control.reached(revision).await;
                control.tell_a_peer(revision).await;
                return EditOutcome::Accepted(revision);
            }
            AppendOutcome::Conflict { from } => {
                if !catch_up(control, from).await {
                    return EditOutcome::NotAccepted("newer settings could not be read".into());
                }
                let pause = rand::random::<u64>() % MAX_PAUSE_MS;
                sleep(Duration::from_millis(pause)).await;
            }
            AppendOutcome::NotAccepted => {
                return EditOutcome::NotAccepted("the key-value service did not take it".into());
            }
            AppendOutcome::Unknown => return EditOutcome::Unknown,
        }
    }
    EditOutcome::NotAccepted("other writers were faster each time; try again".into())
}

/// Finds changes since the request's base that bear on it.
async fn check_base(
    control: &ControlHandle,
    req: &EditRequest,
    revision: Revision,
) -> Result<(), EditOutcome> {
    let Some(base) = req.base.filter(|base| *base < revision) else { return Ok(()) };
    let Ok(edits) = control.history(base + 1).await else {
        let cause = "the changes since its base can no longer be read; read the settings again";
        return Err(EditOutcome::Conflict(vec![cause.into()]));
    };
    let wanted = footprint(&req.changes);
    let paths = edits
        .iter()
        .filter(|(at, _)| *at <= revision)
        .flat_map(|(_, edit)| wanted.overlap(&footprint(&edit.changes)))
        .collect::<BTreeSet<Path>>();
    match paths.is_empty() {
        true => Ok(()),
        false => Err(EditOutcome::Conflict(paths.iter().map(Path::to_string).collect())),
    }
}

async fn catch_up(control: &ControlHandle, from: Revision) -> bool {
    let Ok(page) = control.ledger.read_page(from).await else { return false };
    let Some(last) = page.records.last().map(|record| record.revision) else { return false };
    control.feed(page.records);
    timeout(CATCH_UP_LIMIT, control.reached(last)).await.is_ok()
}

fn edit_of(req: &EditRequest) -> Edit {
    let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
    Edit { by: req.by.to_string(), at, changes: req.changes.clone() }
}

fn refused(error: CheckError) -> EditOutcome {
    match error {
        CheckError::Forbidden(path) => EditOutcome::Forbidden(path),
        CheckError::Invalid(faults) => EditOutcome::Invalid(faults),
    }
}

/// Gives the edits of a record; one that cannot be read has none.
pub(super) fn edits_of(record: &RawRecord) -> Vec<(Revision, Edit)> {
    match Record::<Edit>::decode(record.revision, &record.value) {
        Ok(decoded) => decoded.entries.into_iter().map(|edit| (record.revision, edit)).collect(),
        Err(error) => {
            log::error!(event = "settings_record_unreadable", error:% = error; "");
            Vec::new()
        }
    }
}

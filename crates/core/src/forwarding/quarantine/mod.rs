//! Finds prompt parts that crash endpoints (queries of death) and keeps requests with them away.
//!
//! [`CrashHistory`] holds what all daemons saw, [`PartCrashes`] counts it for one part, and
//! [`PartQuarantine`] decides by it: the verdict, the exchange with other daemons and what the store keeps
//! are modules of their own.

mod crash_history;
mod crash_moments;
mod part_crashes;
mod part_hash;
mod part_quarantine;
mod quarantine_report;
mod quarantined_part;
mod report_exchange;
mod request_hash;
mod run_survival;
mod short_answers;
mod stored_quarantines;
mod suspect_kind;
mod verdict;

pub use self::{
    crash_history::{CrashHistory, CrashedRun},
    part_crashes::PartCrashes,
    part_hash::{PartHash, part_hash, suspect_parts},
    part_quarantine::{PartQuarantine, QuarantineChanges},
    quarantine_report::{AgedRun, QuarantineReport, Survival, TimedQuarantine},
    quarantined_part::{QUARANTINE_TIME, QuarantinedPart},
    request_hash::{RequestHash, RequestIdentity},
    run_survival::{Completion, RunSurvival},
    short_answers::{AnswerNumber, ShortAnswers},
    suspect_kind::SuspectKind,
};

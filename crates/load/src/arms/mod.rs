//! Arms of an experiment: the systems compared on the same trace (cassiagw and two baselines).

mod direct;
mod drive;
mod outcome;
mod through_entries;

pub use self::{
    direct::{DirectRouter, Placement},
    drive::drive,
    outcome::{ArmOutcome, Seen},
    through_entries::EntryRouter,
};

//! Arms of an experiment: the systems compared on the same trace (cassiagw and two baselines).

mod direct_router;
mod entry_router;
mod outcome;
mod replay;

pub use self::{
    direct_router::{DirectRouter, Placement},
    entry_router::EntryRouter,
    outcome::{ArmOutcome, RequestResult},
    replay::replay_trace,
};

//! Paced transfers over the links to stores, shared between workspaces.

mod estimate;
mod fair_queue;
mod link;
mod pace_window;

pub use self::{
    estimate::TransferEstimate,
    link::{Link, Transfer, TransferClass, TransferEnd, TransferId},
    pace_window::{PaceConfig, PaceWindow},
};

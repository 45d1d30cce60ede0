//! Scheduling of transfers to and from stores: congestion control and fair sharing between
//! workspaces.

mod estimate;
mod fair_queue;
mod link;
mod congestion_window;

pub use self::{
    estimate::TransferEstimate,
    link::{Link, Transfer, TransferClass, TransferOutcome, TransferId},
    congestion_window::{WindowConfig, CongestionWindow},
};

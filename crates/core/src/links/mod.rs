//! Scheduling of transfers to and from stores: congestion control and fair sharing between
//! workspaces.

mod congestion_window;
mod estimate;
mod fair_queue;
mod link;

pub use self::{
    congestion_window::{CongestionWindow, WindowConfig},
    estimate::TransferEstimate,
    link::{Link, Transfer, TransferClass, TransferId, TransferOutcome},
};

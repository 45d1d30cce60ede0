//! The local copy of the store's keys: its content, its position in the store's history, and how
//! current it is.

mod daemon_positions;
mod freeze_detector;
mod key_view;
mod store_position;
mod view_freshness;

pub use self::{
    daemon_positions::DaemonPositions,
    freeze_detector::FreezeDetector,
    key_view::{AppliedChanges, ChangedKeys, KeyView, ViewItem},
    store_position::StorePosition,
    view_freshness::{ViewFreshness, Witness},
};

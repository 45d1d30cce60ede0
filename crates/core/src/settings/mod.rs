//! The operators' settings: one shared tree of paths, checked as a whole.

mod entries;
mod tree;

pub use self::{
    entries::{
        CallerToken, EndpointEntry, EndpointKind, ModelEntry, Priority, Serving, StoreEntry,
        TeamEntry, TokenHash, WorkspaceEntry, ZoneEntry, ZoneState,
    },
    tree::{Caller, Tree},
};

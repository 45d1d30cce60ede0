//! The settings of operators and teams: one shared tree of paths, validated as a whole.

mod apply;
mod change;
mod check;
mod conflict;
mod entries;
mod entry;
mod export;
mod fault;
mod path;
mod principal;
mod references;
mod snapshot;
mod subtree;
mod tree;

pub use self::{
    change::{Change, Edit},
    check::{CheckError, MAX_CHANGES, MAX_EDIT_BYTES, check},
    conflict::{Footprint, footprint},
    entries::{
        CallerToken, EndpointEntry, EndpointKind, ModelEntry, Priority, Serving, StoreEntry,
        TeamEntry, TokenHash, WorkspaceEntry, ZoneEntry, ZoneState,
    },
    entry::Entry,
    fault::Fault,
    path::{MAX_SEGMENT_BYTES, MAX_SEGMENTS, Path, PathError, check_segment},
    principal::Principal,
    snapshot::{SnapshotError, decode_snapshot, encode_snapshot},
    subtree::Subtree,
    tree::{Caller, Tree},
};

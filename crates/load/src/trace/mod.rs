//! Workload traces, generated from a seed before an experiment starts.

mod arrivals;
mod ideal;
mod words;

pub use self::{
    arrivals::{Arrival, ArrivalKind, PIECE_TOKENS, Trace, workspace_name},
    ideal::ideal_recomputed_share,
};

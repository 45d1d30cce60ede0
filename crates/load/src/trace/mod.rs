//! Arrivals of an experiment, drawn from a seed before it starts.

mod arrivals;
mod ideal;
mod words;

pub use self::{
    arrivals::{Arrival, ArrivalKind, PIECE_TOKENS, Trace, workspace_name},
    ideal::ideal_recomputed_share,
};

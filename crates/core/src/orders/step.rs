use super::{EngineOrder, EngineState};
use std::time::Instant;

/// What to do next about an engine; each but waiting is reported before the next step is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this time, unless the lease or the settings change.
    Wait(Instant),
    /// Read the engine's state back, for `on_state`.
    ReadState,
    /// Take the lease of the only writer, for `on_tenure` or `on_tenure_refused`.
    TakeTenure,
    /// Give the lease back as one without orders under way, for `on_tenure_lost`.
    ReturnTenure,
    /// Ask for a place among the replicas that load weights, for `on_slot`.
    TakeSlot,
    /// Give the place back, for `on_slot_returned`.
    ReturnSlot,
    /// Give an order, for `on_order`.
    Give(EngineOrder),
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was carried out and left this state.
    CarriedOut(EngineState),
    /// It was not and will not be carried out: the engine has seen a newer writer.
    OldFence,
    /// It was not and will not be carried out: there is no room for another version.
    NoRoom,
    /// It was not and will not be carried out for another reason.
    Refused,
    /// It may still be carried out until the order timeout is over.
    Unknown,
}

/// How the writer before this one ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// There was none, or it gave the lease back without orders under way.
    Finished,
    /// Its lease ran out; an order of it may be under way.
    Lapsed,
}

use super::{EngineOrder, EngineState};
use std::time::Instant;

/// Next step for an engine. The result of every step but `Wait` must be reported to the policy,
/// through the method named below, before the next step is requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing until this time, unless the lease or the settings change.
    Wait(Instant),
    /// Read the engine's state; report to `on_state`.
    ReadState,
    /// Acquire the writer lease; report to `on_tenure` or `on_tenure_refused`.
    TakeTenure,
    /// Release the writer lease, marked as having no orders in flight; report to `on_tenure_lost`.
    ReturnTenure,
    /// Request a load slot; report to `on_slot`.
    TakeSlot,
    /// Release the load slot; report to `on_slot_returned`.
    ReturnSlot,
    /// Send an order; report to `on_order`.
    Give(EngineOrder),
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine executed the order and reported this state.
    CarriedOut(EngineState),
    /// Not executed: the engine has accepted an order of a newer writer.
    OldFence,
    /// Not executed: the engine has no space for another version.
    NoRoom,
    /// Not executed for another reason.
    Refused,
    /// Unknown; the order may still take effect until the order timeout has passed.
    Unknown,
}

/// How the previous writer's lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// There was no previous writer, or it released its lease with no orders in flight.
    Finished,
    /// The lease expired; an order of the previous writer may still be in flight.
    Lapsed,
}

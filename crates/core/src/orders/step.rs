use super::{EngineOrder, EngineState};
use std::time::Instant;

/// Next step for an engine. The result of every step but `Wait` must be reported to the policy,
/// through the method named below, before the next step is requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing until this time, unless the lease or the settings change.
    Wait(Instant),
    /// Read the engine's state; report to `on_state_read`.
    ReadState,
    /// Acquire the writer lease; report to `on_lease_acquired` or `on_lease_denied`.
    AcquireLease,
    /// Release the writer lease, marked as having no orders in flight; report to `on_lease_lost`.
    ReleaseLease,
    /// Request a load slot; report to `on_slot_result`.
    AcquireSlot,
    /// Release the load slot; report to `on_slot_released`.
    ReleaseSlot,
    /// Send an order; report to `on_order_outcome`.
    SendOrder(EngineOrder),
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine executed the order and reported this state.
    CarriedOut(EngineState),
    /// Not executed now or later: the engine has accepted an order of a newer writer.
    OldFence,
    /// Not executed now or later: the engine has no space for another version.
    NoRoom,
    /// Not executed now or later, for another reason.
    Refused,
    /// Unknown; the order may still take effect until the order timeout has passed.
    Unknown,
}

/// How the previous writer's lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousWriter {
    /// There was no previous writer, or it released its lease with no orders in flight.
    Released,
    /// The lease expired; an order of the previous writer may still be in flight.
    Expired,
}

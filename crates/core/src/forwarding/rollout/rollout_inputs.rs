use super::{RolloutEvidence, RolloutRecord};
use std::time::Duration;

/// Bounds for rollouts, as the deployment's settings give them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Largest share of a service's requests that a bad version may get.
    pub expose_share: f64,
    /// Number of requests that a bad version may get beyond the share.
    pub expose_slack: u64,
    /// Time agreed with operators in which all daemons stop sending to a bad version. Daemons stop as
    /// soon as they know; no decision depends on it.
    pub rollback: Duration,
}

/// Endpoints of one or several versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints that take requests.
    pub ready: usize,
    /// Those of them that have warmed up.
    pub warm: usize,
}

/// What the leader's daemon knows beyond the counts of answers.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutInputs {
    /// Fencing number of the leader's lease.
    pub fence: u64,
    /// Endpoints of the target version.
    pub target: EndpointCounts,
    /// Endpoints of all other versions that are not closed by an earlier rollout.
    pub old: EndpointCounts,
    /// Number of warm endpoints of the target needed to carry the load, if known; otherwise as many
    /// as there are ready old ones.
    pub needed: Option<usize>,
    /// Whether every daemon has reported a position at or after the latest record.
    pub have_all_seen_record: bool,
    /// Requests of all daemons in flight to old endpoints; `None` if some daemon's number is
    /// missing.
    pub old_in_flight: Option<u64>,
    /// Whether requests on all routes of the service may be repeated elsewhere.
    pub is_in_flight_idempotent: bool,
    /// Whether the leader's view of the store is current.
    pub is_view_current: bool,
    /// Time since the order was written, as far as known; see `ServiceRollout::order_age`.
    pub since_order: Duration,
    /// Longest timeout of the service's routes.
    pub longest_timeout: Duration,
}

/// Why a phase is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutReason {
    /// The order has no record.
    NewOrder,
    /// The target answers as well as the old versions.
    GoodAnswers,
    /// The time for the trial has passed without a bad sign; the target may not have answered yet.
    TimeForTrial,
    /// The target has the endpoints to carry the load.
    EnoughEndpoints,
    /// The time for the shift has passed.
    TimeForShift,
    /// Nothing runs at old endpoints.
    NothingInFlight,
    /// The longest timeout has passed since the old versions were closed.
    LongestTimeout,
    /// No old version has an endpoint.
    NoOldEndpoints,
    /// The duration is nearly over and all that runs at old endpoints may be repeated.
    DurationEnds,
    /// The target answers worse than the old versions.
    BadAnswers,
    /// The duration is nearly over and the target has shown signs of bad answers.
    BadSigns,
    /// The operator withdrew the order.
    Withdrawn,
    /// The store does not show the phase that was reached: it came back from an older copy, or the
    /// decision has not been written yet.
    NotStored,
}

/// Record that the leader writes next.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStep {
    /// The record, to be written by compare-and-swap. `RolledBack` may hold at once, before it is
    /// written: pass it to `ServiceRollout::on_decision`.
    pub record: RolloutRecord,
    /// Why it is written.
    pub reason: RolloutReason,
    /// Evidence behind it.
    pub evidence: RolloutEvidence,
}

impl RolloutReason {
    /// Short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NewOrder => "new_order",
            Self::GoodAnswers => "good_answers",
            Self::TimeForTrial => "time_for_trial",
            Self::EnoughEndpoints => "enough_endpoints",
            Self::TimeForShift => "time_for_shift",
            Self::NothingInFlight => "nothing_in_flight",
            Self::LongestTimeout => "longest_timeout",
            Self::NoOldEndpoints => "no_old_endpoints",
            Self::DurationEnds => "duration_ends",
            Self::BadAnswers => "bad_answers",
            Self::BadSigns => "bad_signs",
            Self::Withdrawn => "withdrawn",
            Self::NotStored => "not_stored",
        }
    }
}

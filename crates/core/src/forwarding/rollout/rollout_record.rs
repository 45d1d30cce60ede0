use crate::{forwarding::StorePosition, ids::ServiceVersion};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use std::time::Duration;

/// Order to move a service's traffic to the replicas of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Version that is to get the traffic.
    pub target: ServiceVersion,
    /// Time in which the rollout is to end.
    pub duration: Duration,
    /// Position in the store at which the order was written.
    pub written_at: StorePosition,
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The target gets a small share of the requests.
    Trial,
    /// All versions get requests, by load.
    Shift,
    /// Only the target gets requests; the others finish theirs.
    DrainOld,
    /// Only the target runs requests.
    Completed,
    /// Only the other versions get requests.
    RolledBack,
}

/// State of a rollout as the platform is told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// Not decided.
    Running,
    /// The old replicas may stop.
    Completed,
    /// The new replicas may stop.
    RolledBack,
}

/// Persistent state of a rollout, written by the leader by compare-and-swap.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Position of the order that the record belongs to.
    #[serde_as(as = "DisplayFromStr")]
    pub order: StorePosition,
    /// Target of the order.
    pub target: ServiceVersion,
    /// Phase.
    pub phase: RolloutPhase,
    /// Fencing number of the leader that wrote the record, for logs; 0 without the order lease.
    pub fence: u64,
    /// Target of the last rollout of the service that completed, which is then the only old
    /// version that may get requests.
    #[serde(default)]
    pub base: Option<ServiceVersion>,
    /// Targets of earlier rollouts that were rolled back or abandoned.
    #[serde(default)]
    pub closed: Vec<ServiceVersion>,
    /// Latest process start, in Unix milliseconds, of an endpoint when the last rollout of the
    /// service completed. Endpoints of other versions that started later are not its old ones: they
    /// were released since, without an order.
    #[serde(default)]
    pub old_started_by: Option<u64>,
}

/// What a version may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionGate {
    /// Requests, by load.
    Open,
    /// Requests within the share of a trial.
    Trial,
    /// No requests.
    Closed,
}

impl RolloutPhase {
    /// Whether the phase replaces another one of the same order.
    pub fn replaces(self, other: Self) -> bool {
        self.rank() > other.rank()
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Shift => "shift",
            Self::DrainOld => "drain_old",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }

    /// State that the platform is told.
    pub fn state(self) -> RolloutState {
        match self {
            Self::Trial | Self::Shift | Self::DrainOld => RolloutState::Running,
            Self::Completed => RolloutState::Completed,
            Self::RolledBack => RolloutState::RolledBack,
        }
    }

    /// Whether the rollout is over.
    pub fn is_final(self) -> bool {
        self.state() != RolloutState::Running
    }

    /// A completed rollout can't be rolled back: its old replicas have stopped.
    fn rank(self) -> u8 {
        match self {
            Self::Trial => 0,
            Self::Shift => 1,
            Self::DrainOld => 2,
            Self::RolledBack => 3,
            Self::Completed => 4,
        }
    }
}

impl RolloutRecord {
    /// Creates a record of a service without earlier rollouts.
    pub fn new(
        order: StorePosition,
        target: ServiceVersion,
        phase: RolloutPhase,
        fence: u64,
    ) -> Self {
        Self { order, target, phase, fence, base: None, closed: Vec::new(), old_started_by: None }
    }

    /// Whether the record belongs to an order. A store that came back from an older copy shows
    /// the same order in a later era.
    pub fn belongs_to(&self, order: &RolloutOrder) -> bool {
        self.order.revision == order.written_at.revision && self.target == order.target
    }

    /// Whether both records belong to one order.
    pub fn has_order_of(&self, other: &Self) -> bool {
        self.order.revision == other.order.revision && self.target == other.target
    }
}

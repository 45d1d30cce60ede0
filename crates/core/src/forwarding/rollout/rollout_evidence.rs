use super::{RolloutPhase, VersionCounts};
use crate::{forwarding::StorePosition, ids::ServiceVersion};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Judgement on the target of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutVerdict {
    /// Too few answers to tell.
    #[default]
    Undecided,
    /// Enough answers on every route, without a bad sign.
    Good,
    /// Likely worse than the old versions.
    Bad,
}

/// Counts of one side of a comparison, for display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSummary {
    /// Answers that count.
    pub answers: u64,
    /// Bad and cut ones of them, without slow ones.
    pub failed: u64,
    /// Slow ones: later than three times the old versions' 95th percentile.
    pub slow: u64,
    /// Upper bound of the 95th percentile of the time to first byte.
    pub p95: Option<Duration>,
}

/// Evidence of one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Route; empty for all routes beyond the number that is counted separately.
    pub route: Arc<str>,
    /// Answers of the old versions.
    pub old: VersionSummary,
    /// Answers of the target.
    pub new: VersionSummary,
}

/// State of a rollout at a daemon and the evidence for it, for logs, dump and tools.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    /// Target, if there is an order or record.
    pub target: Option<ServiceVersion>,
    /// Position of the order.
    pub order: Option<StorePosition>,
    /// Phase that holds at this daemon.
    pub phase: Option<RolloutPhase>,
    /// Judgement on all that this daemon has heard.
    pub verdict: RolloutVerdict,
    /// Weight of the evidence against the target, in nats; the verdict is bad from a threshold on.
    pub badness: f64,
    /// Evidence by route, of all daemons.
    pub routes: Vec<RouteEvidence>,
    /// Requests that all known boots of daemons sent to the service and to the target.
    pub sent: u64,
    /// Those of them sent to the target.
    pub exposed: u64,
    /// Requests in flight to old versions at all known daemons.
    pub old_in_flight: u64,
    /// Number of daemons whose statements are counted.
    pub daemons: usize,
    /// Age of the least recent of the daemons' latest statements.
    pub oldest_statement: Option<Duration>,
}

impl VersionSummary {
    /// Summarises counts; `slow` as judged against the other side.
    pub fn new(counts: &VersionCounts, slow: u64) -> Self {
        Self {
            answers: counts.answers(),
            failed: counts.failed(),
            slow,
            p95: counts.quantile(0.95),
        }
    }
}

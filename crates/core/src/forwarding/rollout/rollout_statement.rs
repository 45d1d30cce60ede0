use super::{RolloutRecord, VersionCounts};
use crate::{
    forwarding::StorePosition,
    ids::{BootId, ServiceVersion},
};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Largest number of routes of a service that are counted separately.
pub(super) const MAX_ROUTES: usize = 16;
/// Largest number of hosts of the target that are counted separately.
pub(super) const MAX_HOSTS: usize = 8;

/// What one boot of a daemon has seen of a rollout since it learnt of the order.
///
/// All counts only grow within a boot and order, so that a lost or repeated statement does no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatement {
    /// Boot of the daemon.
    pub boot: BootId,
    /// Position of the order.
    pub order: StorePosition,
    /// Target of the order.
    pub target: ServiceVersion,
    /// Time since the order was written, as far as the daemon knows.
    pub order_age: Duration,
    /// Requests sent to the service, repeats included.
    pub sent: u64,
    /// Those of them sent to the target.
    pub exposed: u64,
    /// Requests in flight to old versions; not cumulative.
    pub old_in_flight: u64,
    /// Requests in flight to the target; not cumulative.
    pub new_in_flight: u64,
    /// Answers by route; routes beyond the largest number are counted under an empty name.
    pub routes: Vec<RouteStatement>,
    /// Answers of the target by host.
    pub hosts: Vec<HostStatement>,
    /// Latest record of the order that the daemon knows. `RolledBack` holds for its receiver even
    /// if the store does not show it.
    pub record: Option<RolloutRecord>,
}

/// Answers on one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteStatement {
    /// Route.
    pub route: Arc<str>,
    /// Answers of old versions.
    pub old: VersionCounts,
    /// Answers of the target.
    pub new: VersionCounts,
}

/// Answers of the target on one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatement {
    /// Host.
    pub host: Arc<str>,
    /// Answers of the target.
    pub new: VersionCounts,
}

impl Default for RolloutStatement {
    fn default() -> Self {
        Self {
            boot: 0,
            order: StorePosition::default(),
            target: "".into(),
            order_age: Duration::ZERO,
            sent: 0,
            exposed: 0,
            old_in_flight: 0,
            new_in_flight: 0,
            routes: Vec::new(),
            hosts: Vec::new(),
            record: None,
        }
    }
}

use super::{RolloutRecord, VersionCounts};
use crate::{
    forwarding::StorePosition,
    ids::{BootId, ServiceVersion, ZoneId},
};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Largest number of routes of a service that are counted separately.
pub(super) const MAX_ROUTES: usize = 16;
/// Largest number of hosts of the target that are counted separately.
pub(super) const MAX_HOSTS: usize = 8;

/// What one boot of a daemon has seen of a rollout since it learnt of the order.
///
/// Counts only grow within a boot and order unless said otherwise, so that a lost or repeated
/// statement does no harm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatement {
    /// Boot of the daemon.
    pub boot: BootId,
    /// Position of the order.
    pub order: StorePosition,
    /// Target of the order; empty if the daemon knows of no order.
    pub target: ServiceVersion,
    /// Time since the order was written, as far as the daemon knows.
    pub order_age: Duration,
    /// Number of events counted, by which a later statement of the boot is told from an earlier one.
    pub events: u64,
    /// Requests sent to the service, repeats included.
    pub sent: u64,
    /// Those of them sent to the target.
    pub exposed: u64,
    /// Requests in flight to old versions now.
    pub old_in_flight: u64,
    /// Requests in flight to the target now.
    pub new_in_flight: u64,
    /// Answers by route; routes beyond the largest number are counted under an empty name.
    pub routes: Vec<RouteStatement>,
    /// Answers of the target by host.
    pub hosts: Vec<HostStatement>,
    /// Zones in which endpoints not of the target were cut lately, and the time since.
    pub zone_cuts: Vec<(ZoneId, Duration)>,
    /// Whether the daemon holds the target to be bad.
    pub holds_bad: bool,
    /// Latest record of the order that the daemon knows. `RolledBack` holds for its receiver even
    /// if the store does not show it.
    pub record: Option<RolloutRecord>,
}

/// Answers on one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteStatement {
    /// Route.
    pub route: Arc<str>,
    /// Answers of old versions.
    pub old: VersionCounts,
    /// Answers of the target.
    pub new: VersionCounts,
}

/// Answers of the target on one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatement {
    /// Host.
    pub host: Arc<str>,
    /// Good answers.
    pub good: u64,
    /// Slow ones of them, as far as the daemon could tell.
    pub slow: u64,
    /// Cut answers.
    pub cut: u64,
}

impl HostStatement {
    /// Adds answers to those of the same host in a list. Returns whether they are counted there.
    pub(super) fn add_to(&self, hosts: &mut Vec<Self>) -> bool {
        let found = hosts.iter().position(|known| known.host == self.host);
        match found {
            Some(index) => hosts[index].add(self),
            None if hosts.len() < MAX_HOSTS => hosts.push(self.clone()),
            None => return false,
        }
        true
    }

    fn add(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.slow = self.slow.saturating_add(other.slow);
        self.cut = self.cut.saturating_add(other.cut);
    }

    /// Counts added since `before`.
    pub(super) fn growth_since(&self, before: &Self) -> Self {
        Self {
            host: self.host.clone(),
            good: self.good.saturating_sub(before.good),
            slow: self.slow.saturating_sub(before.slow),
            cut: self.cut.saturating_sub(before.cut),
        }
    }
}

use crate::ids::{DaemonId, FastMap, FastSet};
use std::time::{Duration, Instant};

/// Time for which a daemon that is no longer a member still counts.
const COUNTED_AFTER_LEAVING: Duration = Duration::from_secs(10);

/// The other daemons among which limits are divided: the members, and those that were members until
/// lately.
///
/// Leases may lapse while the store is away, and then all members vanish at once though all are
/// alive. If each daemon took itself for the only one, each would use the whole of every limit.
#[derive(Clone, Debug, Default)]
pub struct RecentMembers {
    members: FastSet<DaemonId>,
    /// Times until which former members count.
    former: FastMap<DaemonId, Instant>,
}

impl RecentMembers {
    /// Records a member.
    pub fn insert(&mut self, daemon: DaemonId) {
        self.former.remove(&daemon);
        self.members.insert(daemon);
    }

    /// Records that a daemon is no longer a member.
    pub fn remove(&mut self, now: Instant, daemon: &DaemonId) {
        if self.members.remove(daemon) {
            self.former.insert(daemon.clone(), now + COUNTED_AFTER_LEAVING);
        }
    }

    /// Lets all former members count from now on as if they had just left.
    pub fn hold(&mut self, now: Instant) {
        self.former.values_mut().for_each(|until| *until = now + COUNTED_AFTER_LEAVING);
    }

    /// Forgets former members whose time is over. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.former.len();
        self.former.retain(|_, until| now < *until);
        self.former.len() < before
    }

    /// The daemons that count, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &DaemonId> {
        self.members.iter().chain(self.former.keys())
    }

    /// Number of daemons that count.
    pub fn len(&self) -> usize {
        self.members.len() + self.former.len()
    }

    /// Whether no other daemon counts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

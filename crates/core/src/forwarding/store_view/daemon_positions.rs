use super::StorePosition;
use crate::ids::{DaemonId, FastMap};
use std::time::Instant;

/// Position that a daemon reported, and when.
#[derive(Clone, Copy, Debug)]
struct Reported {
    position: StorePosition,
    at: Instant,
}

/// Positions in the store that the other daemons are known to have reached.
///
/// Load: a daemon is killed and starts again under its name while others wait for all daemons to know a
/// change. What the former process knew says nothing of the new one.
#[derive(Clone, Debug, Default)]
pub struct DaemonPositions {
    reported: FastMap<DaemonId, Reported>,
}

impl DaemonPositions {
    /// Records a report that was made at `at`; an older one than the last is ignored.
    pub fn on_report(&mut self, at: Instant, daemon: DaemonId, position: StorePosition) {
        let is_newest = self.reported.get(&daemon).is_none_or(|last| at >= last.at);
        if is_newest {
            self.reported.insert(daemon, Reported { position, at });
        }
    }

    /// Forgets a daemon that has left or did not answer: its process may have ended, and another one
    /// may have its name.
    pub fn forget(&mut self, daemon: &DaemonId) {
        self.reported.remove(daemon);
    }

    /// Forgets all daemons.
    pub fn clear(&mut self) {
        self.reported.clear();
    }

    /// Whether all these daemons have reported `position` or a later one.
    pub fn have_reached<'a>(
        &self,
        position: StorePosition,
        daemons: impl IntoIterator<Item = &'a DaemonId>,
    ) -> bool {
        let has_reached =
            |daemon| self.reported.get(daemon).is_some_and(|last| last.position >= position);
        daemons.into_iter().all(has_reached)
    }
}

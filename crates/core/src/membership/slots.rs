use super::SlotHolder;
use crate::ids::DaemonId;
use std::time::{Duration, Instant};

/// Number of watcher slots in each availability zone.
pub const SLOTS: usize = 2;

/// Known holders of the watcher slots in this daemon's zone.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    holders: [Option<(DaemonId, Instant)>; SLOTS],
    own: Option<(usize, i64)>,
}

impl Slots {
    /// Slot index and lease held by this daemon, if any.
    pub fn own(&self) -> Option<(usize, i64)> {
        self.own
    }

    /// Records that this daemon acquired a slot.
    pub fn on_acquired(&mut self, slot: usize, lease: i64) {
        self.own = Some((slot, lease));
    }

    /// Records that the lease of this daemon's slot expired.
    pub fn on_lost(&mut self) {
        self.own = None;
    }

    /// Records that a daemon held a slot at time `at`; older reports are ignored.
    pub fn on_holder(&mut self, slot: usize, daemon: &DaemonId, at: Instant) {
        let Some(holder) = self.holders.get_mut(slot) else { return };
        if holder.as_ref().is_none_or(|(_, known)| *known < at) {
            *holder = Some((daemon.clone(), at));
        }
    }

    /// Slots whose holder was last reported within `timeout`, with the holder and the time of the
    /// report.
    pub fn recent_holders(
        &self,
        now: Instant,
        timeout: Duration,
    ) -> impl Iterator<Item = (usize, &DaemonId, Instant)> {
        let holders = self.holders.iter().enumerate();
        let known = holders
            .filter_map(|(slot, holder)| holder.as_ref().map(|(daemon, at)| (slot, daemon, *at)));
        known.filter(move |(_, _, at)| now.saturating_duration_since(*at) <= timeout)
    }

    /// Returns the first slot whose holder was not reported within `timeout`.
    pub fn vacant(&self, now: Instant, timeout: Duration) -> Option<usize> {
        (0..SLOTS).find(|slot| self.recent_holders(now, timeout).all(|(held, ..)| held != *slot))
    }

    /// Returns the current holders to report to a peer in the same zone.
    pub fn holder_reports(&self, now: Instant, timeout: Duration) -> Vec<SlotHolder> {
        self.recent_holders(now, timeout)
            .map(|(slot, daemon, at)| SlotHolder {
                slot: slot as u8,
                daemon: daemon.clone(),
                age_ms: now.saturating_duration_since(at).as_millis() as u32,
            })
            .collect()
    }
}

use super::WatcherNews;
use crate::ids::DaemonId;
use std::time::{Duration, Instant};

/// Watchers in one availability zone.
pub const SLOTS: usize = 2;

/// Holders of the watchers' slots of this daemon's zone, as far as they are known.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    holders: [Option<(DaemonId, Instant)>; SLOTS],
    own: Option<(usize, i64)>,
}

impl Slots {
    /// Slot and lease that this daemon holds.
    pub fn own(&self) -> Option<(usize, i64)> {
        self.own
    }

    /// Notes that this daemon took a slot.
    pub fn on_won(&mut self, slot: usize, lease: i64) {
        self.own = Some((slot, lease));
    }

    /// Notes that this daemon's lease of its slot ended.
    pub fn on_lost(&mut self) {
        self.own = None;
    }

    /// Notes that a daemon held a slot at a time.
    pub fn on_holder(&mut self, slot: usize, daemon: &DaemonId, at: Instant) {
        let Some(holder) = self.holders.get_mut(slot) else { return };
        if holder.as_ref().is_none_or(|(_, known)| *known < at) {
            *holder = Some((daemon.clone(), at));
        }
    }

    /// Slots whose holders were heard of within `silence`, by slot.
    pub fn fresh(
        &self,
        now: Instant,
        silence: Duration,
    ) -> impl Iterator<Item = (usize, &DaemonId, Instant)> {
        let holders = self.holders.iter().enumerate();
        let known = holders
            .filter_map(|(slot, holder)| holder.as_ref().map(|(daemon, at)| (slot, daemon, *at)));
        known.filter(move |(_, _, at)| now.saturating_duration_since(*at) <= silence)
    }

    /// First slot without a holder that was heard of within `silence`.
    pub fn vacant(&self, now: Instant, silence: Duration) -> Option<usize> {
        (0..SLOTS).find(|slot| self.fresh(now, silence).all(|(held, ..)| held != *slot))
    }

    /// What to tell a peer of the same zone.
    pub fn news(&self, now: Instant, silence: Duration) -> Vec<WatcherNews> {
        self.fresh(now, silence)
            .map(|(slot, daemon, at)| WatcherNews {
                slot: slot as u8,
                daemon: daemon.clone(),
                age_ms: now.saturating_duration_since(at).as_millis() as u32,
            })
            .collect()
    }
}

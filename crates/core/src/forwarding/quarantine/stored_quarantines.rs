//! The quarantines that the store keeps, so that they outlast the daemons.

use super::{PartHash, PartQuarantine, QUARANTINE_TIME, QuarantinedPart, TimedQuarantine};
use std::time::{Duration, Instant};

/// Delay for each daemon that is to write or remove the key of a part before this one.
const RANK_DELAY: Duration = Duration::from_secs(1);
/// Upper bound on that delay.
const MAX_RANK_DELAY: Duration = Duration::from_secs(10);

impl PartQuarantine {
    /// Applies a quarantine that is kept in the store; it holds until [`Self::on_key_removed`], but not
    /// longer than [`QUARANTINE_TIME`].
    pub fn on_stored(&mut self, now: Instant, quarantined: QuarantinedPart) {
        self.lifted.remove(&quarantined.part);
        self.hold(now, quarantined, now + QUARANTINE_TIME, true);
    }

    /// Applies that the key of a quarantine is gone from the store. If it still holds here, it was
    /// lifted.
    pub fn on_key_removed(&mut self, now: Instant, part: PartHash) {
        if self.active.contains_key(&part) {
            self.lift(now, part);
        }
        self.end(now, part);
    }

    /// Records that the store came back from a copy, which may lack the keys of quarantines.
    pub fn on_store_restored(&mut self) {
        self.active.values_mut().for_each(|active| active.is_stored = false);
    }

    /// Quarantines that the store does not have yet and that this daemon is to write now. `rank` is
    /// its rank among the daemons for a part, so that normally only the first one writes.
    pub fn due_writes(
        &self,
        now: Instant,
        rank: impl Fn(PartHash) -> usize,
    ) -> Vec<TimedQuarantine> {
        let is_due = |timed: &TimedQuarantine| {
            let active = self.active.get(&timed.quarantined.part);
            active.is_some_and(|active| {
                let delay = rank_delay(rank(timed.quarantined.part));
                !active.is_stored && now >= active.since + delay
            })
        };
        self.quarantined(now).filter(is_due).collect()
    }

    /// Parts that are no longer in quarantine here and whose keys this daemon is to remove now, with
    /// its `rank` as for [`Self::due_writes`]. `has_key` tells whether the store has the key of a part.
    pub fn due_removals(
        &mut self,
        now: Instant,
        rank: impl Fn(PartHash) -> usize,
        has_key: impl Fn(PartHash) -> bool,
    ) -> Vec<PartHash> {
        self.released.retain(|part, _| !self.active.contains_key(part) && has_key(*part));
        let due = self.released.iter().filter(|(part, at)| now >= **at + rank_delay(rank(**part)));
        due.map(|(part, _)| *part).collect()
    }
}

fn rank_delay(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    RANK_DELAY.saturating_mul(rank).min(MAX_RANK_DELAY)
}

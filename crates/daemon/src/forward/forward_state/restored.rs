use super::{ForwardState, HolderValue, KeyChange, KeySource, StoreLink};
use cassiagw_core::forwarding::{EntryLapses, StorePosition};
use cassiagw_platform::{StoreKey, order_lease_key, parse_key};
use std::time::Instant;

/// Keys that were missing when the store came back from a copy. Their writers write them again
/// unless they are gone, so what they said holds for a while.
#[derive(Clone, Debug)]
pub struct MissingKeys {
    keys: Vec<String>,
    until: Instant,
}

impl MissingKeys {
    /// Whether a key was missing.
    pub fn contains(&self, key: &str) -> bool {
        self.iter().any(|missing| missing == key)
    }

    /// Iterates over the keys.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.keys.iter().map(String::as_str)
    }
}

impl ForwardState {
    /// Applies the keys that differ in the copy from which the store came back.
    ///
    /// Settings and weights have versions of their own and do not go back. Endpoints that are
    /// missing are removed later, as after an outage. `was_current` tells whether the view was current
    /// before.
    pub(super) fn apply_copy(&mut self, now: Instant, keys: &[String], was_current: bool) {
        let change = KeyChange { source: KeySource::Copy, is_recent: was_current };
        let (missing, listed): (Vec<_>, Vec<_>) =
            keys.iter().partition(|key| self.view.get(key).is_none());
        log::warn!(
            event = "store_copy_read", as_of:% = self.view.as_of(), differing = keys.len(),
            missing = missing.len(); ""
        );
        self.lapses.on_restored(now);
        self.quarantine.on_store_restored();
        // Which of the daemons know the newest weights and settings is not known until these are
        // written again.
        self.weights_announced_at.clear();
        self.settings_written_at = None;
        self.peer_positions.clear();
        self.freshness.forget_witnesses();
        self.rollout_positions.clear();
        let mut held = self.missing_keys.take().map_or_else(Vec::new, |held| held.keys);
        for key in missing {
            match parse_key(key) {
                StoreKey::Evacuated(_) | StoreKey::Member(_) | StoreKey::RolloutOrder(_) => {
                    held.push(key.clone());
                }
                // A quarantine ends by itself, and the daemons write it again.
                StoreKey::QuarantinedPart(_) => {}
                _ => self.apply_key(now, key, change),
            }
        }
        self.missing_keys = Some(MissingKeys { keys: held, until: EntryLapses::give_up_at(now) });
        listed.into_iter().for_each(|key| self.apply_key(now, key, change));
    }

    /// Revision of the key of the order lease that this process, `boot`, may replace: 0 if there is
    /// none, that of its own key from before the store came back from a copy, `None` if another
    /// process has the lease.
    pub fn free_order_key(&self, boot: u64) -> Option<u64> {
        let Some(item) = self.view.get(order_lease_key()) else { return Some(0) };
        let holder: Option<HolderValue> = serde_json::from_slice(&item.value).ok();
        let is_own = holder.is_some_and(|holder| holder.boot == boot);
        is_own.then_some(item.written_at.revision)
    }

    /// Whether the key of the order lease, written at `written` under `lease`, no longer exists or was
    /// replaced. A view older than the write proves nothing.
    pub fn has_lost_order_key(&self, written: StorePosition, lease: u64) -> bool {
        if self.view.as_of() < written {
            return false;
        }
        let Some(item) = self.view.get(order_lease_key()) else { return true };
        let holder: Option<HolderValue> = serde_json::from_slice(&item.value).ok();
        item.written_at > written && holder.is_none_or(|holder| holder.lease != lease)
    }

    /// Applies the keys that have been missing for too long to be written again. While the store is
    /// away nothing is written.
    pub fn expire_missing_keys(&mut self, now: Instant) {
        let is_away = matches!(self.store_link, StoreLink::Lost(_));
        if let Some(missing) = self.missing_keys.as_mut().filter(|_| is_away) {
            missing.until = EntryLapses::give_up_at(now);
        }
        let Some(missing) = self.missing_keys.take_if(|missing| now >= missing.until) else {
            return;
        };
        let gone = missing.keys.iter().filter(|key| self.view.get(key).is_none());
        let gone: Vec<&String> = gone.collect();
        log::info!(event = "missing_keys_gone", keys = gone.len(); "");
        let change = KeyChange { source: KeySource::Write, is_recent: false };
        gone.into_iter().for_each(|key| self.apply_key(now, key, change));
    }
}

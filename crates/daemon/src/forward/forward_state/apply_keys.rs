use super::{ForwardState, HolderValue, MemberValue, restored::MissingKeys};
use crate::forward::{quarantine::QuarantineValue, request_record::display_or_none};
use cassiagw_core::{
    forwarding::{DaemonRanks, EndpointEntry, EndpointPhase, PartHash},
    ids::{DaemonId, EndpointId, FastSet, ModelId, stable_hash},
};
use cassiagw_platform::{StoreKey, decode_endpoint, decode_settings, parse_key};
use serde::Deserialize;
use std::{sync::Arc, time::Instant};

/// Number of daemons that tell a daemon that started of earlier crashes, the first ones for its name
/// by rendezvous hashing. Some of them may have been restarted themselves.
const CRASH_TELLERS: usize = 3;

/// Where the state of a key comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// It was written or removed in the era that is known, as the store tells.
    Write,
    /// The same, as another daemon tells.
    Relayed,
    /// It is that of the copy from which the store came back, and may be older than what is known.
    Copy,
}

/// How a key changed.
#[derive(Clone, Copy, Debug)]
pub struct KeyChange {
    /// Where the state of the key comes from.
    pub source: KeySource,
    /// Whether the change was just made: the view was current before it.
    pub is_recent: bool,
}

impl ForwardState {
    /// Applies a key of the store that was written or removed.
    pub(super) fn apply_key(&mut self, now: Instant, key: &str, change: KeyChange) {
        let source = change.source;
        match parse_key(key) {
            StoreKey::Settings => self.apply_settings(now, key, source),
            StoreKey::Endpoint(id) => self.apply_endpoint(now, key, &id, source),
            StoreKey::Evacuated(_) => self.apply_evacuated(),
            StoreKey::Weights(model) => self.apply_weights(now, key, model, change),
            StoreKey::Member(name) => self.apply_member(now, key, name),
            StoreKey::QuarantinedPart(part) => self.apply_quarantined_part(now, key, part),
            StoreKey::OrderLease => {
                let value = self.value::<HolderValue>(key);
                self.order_holder = value.map(|value| value.daemon);
                log::info!(event = "order_holder", daemon:? = self.order_holder.as_deref(); "");
            }
            StoreKey::RolloutOrder(service) => self.apply_rollout_order(now, service, source),
            StoreKey::RolloutRecord(service) => self.apply_rollout_record(now, &service),
            // Written by the daemons for operators.
            StoreKey::RolloutStatus(_) | StoreKey::Other => {}
            // Read together with the endpoints, once all keys have been applied.
            StoreKey::StreamVersions(_) => {}
        }
    }

    fn apply_settings(&mut self, now: Instant, key: &str, source: KeySource) {
        let Some(item) = self.view.get(key) else { return };
        match decode_settings(&item.value) {
            Ok(settings) if settings.version > self.settings.version => {
                let routes = settings.routes.iter().count();
                let revision = item.written_at;
                let version = settings.version;
                let store_age_ms = self.store_age().map(|age| age.as_millis());
                log::info!(
                    event = "settings_in_force", version, revision:% = revision, routes, source:? = source,
                    store_age_ms:% = display_or_none(store_age_ms); ""
                );
                self.cache_index.set_stores(now, &settings.stores);
                self.settings_written_at = Some(revision);
                self.streams.lifetimes = settings.stream_lifetimes();
                self.settings = Arc::new(settings);
            }
            Ok(settings) => {
                let held = self.settings.version;
                log::warn!(event = "old_settings_ignored", version = settings.version, held; "");
            }
            Err(error) => log::warn!(event = "settings_unreadable", error:% = error; ""),
        }
    }

    fn apply_endpoint(&mut self, now: Instant, key: &str, id: &EndpointId, source: KeySource) {
        let Some(item) = self.view.get(key) else {
            return self.remove_endpoint(now, id, source);
        };
        let revision = item.written_at;
        match decode_endpoint(id, &item.value) {
            Ok(entry) => {
                log::info!(
                    event = "endpoint_entry", endpoint:% = id, service:% = entry.service,
                    phase:? = entry.phase, cold_ms = entry.cold_left.as_millis() as u64,
                    weights:? = entry.weights, revision:% = revision; ""
                );
                self.insert_endpoint(now, entry, source);
            }
            Err(error) => {
                log::warn!(event = "endpoint_entry_ignored", endpoint:% = id, revision:% = revision, error:% = error; "");
                self.endpoints.remove(id);
            }
        }
    }

    /// Handles a removed endpoint entry. After an outage of the store its lease may only have
    /// expired, and the endpoint may register again.
    fn remove_endpoint(&mut self, now: Instant, id: &EndpointId, source: KeySource) {
        let drain = self.params.drain;
        let held_until = match source {
            KeySource::Relayed => self.lapses.hold_relayed_until(now, drain),
            KeySource::Write | KeySource::Copy => self.lapses.hold_until(now, drain),
        };
        let may_come_back = held_until.is_some();
        log::info!(event = "endpoint_gone", endpoint:% = id, may_come_back; "");
        match held_until {
            Some(until) => self.endpoints.remove_at(id, until),
            None => {
                if let Some(entry) = self.endpoints.entry(id) {
                    self.departures.on_left(now, entry);
                }
                self.endpoints.remove(id);
            }
        }
    }

    fn insert_endpoint(&mut self, now: Instant, mut entry: EndpointEntry, source: KeySource) {
        match source {
            KeySource::Write | KeySource::Relayed if entry.phase == EndpointPhase::Ready => {
                self.departures.on_ready(&entry.id);
            }
            KeySource::Write | KeySource::Relayed => self.departures.on_left(now, &entry),
            KeySource::Copy if self.has_later_boot(&entry) => return,
            KeySource::Copy if self.departures.has_left(now, &entry) => {
                log::info!(event = "endpoint_left_before", endpoint:% = entry.id; "");
                entry.phase = EndpointPhase::Draining;
            }
            KeySource::Copy => {}
        }
        self.endpoints.insert(now, entry);
    }

    fn has_later_boot(&self, entry: &EndpointEntry) -> bool {
        let known = self.endpoints.entry(&entry.id);
        known.is_some_and(|known| known.started_unix_ms > entry.started_unix_ms)
    }

    fn apply_evacuated(&mut self) {
        let held = self.missing_keys.iter().flat_map(MissingKeys::iter);
        let keys = self.view.with_prefix("").map(|(key, _)| key).chain(held);
        let zones = keys.filter_map(|key| match parse_key(key) {
            StoreKey::Evacuated(zone) => Some(zone),
            _ => None,
        });
        let zones: FastSet<_> = zones.collect();
        log::info!(event = "zones_evacuated", zones:? = zones; "");
        self.endpoints.set_evacuated(zones);
    }

    fn apply_weights(&mut self, now: Instant, key: &str, model: ModelId, change: KeyChange) {
        #[derive(Deserialize)]
        struct WeightsValue {
            version: u64,
        }
        let Some(weights) = self.value::<WeightsValue>(key) else { return };
        let written_at = self.view.get(key).map(|item| item.written_at).unwrap_or_default();
        let known = self.endpoints.target_version(&model);
        if known.is_none_or(|known| weights.version >= known) {
            self.weights_announced_at.insert(model.clone(), written_at);
        }
        let store_age_ms = self.store_age().map(|age| age.as_millis());
        log::info!(
            event = "weights_named", model:% = model, version = weights.version, source:? = change.source,
            revision:% = written_at, is_recent = change.is_recent, store_age_ms:% = display_or_none(store_age_ms),
            daemons = self.daemon_count(); ""
        );
        self.endpoints.set_target_version(now, model, weights.version, change.is_recent);
    }

    fn apply_quarantined_part(&mut self, now: Instant, key: &str, part: PartHash) {
        if self.view.get(key).is_none() {
            log::info!(event = "quarantine_key_gone", part = format!("{part:016x}"); "");
            return self.quarantine.on_key_removed(now, part);
        }
        if let Some(value) = self.value::<QuarantineValue>(key) {
            self.quarantine.on_stored(now, value.into_quarantined(part));
        }
    }

    pub(super) fn apply_member(&mut self, now: Instant, key: &str, name: DaemonId) {
        if name == self.name {
            return;
        }
        let mut started = None;
        match self.value::<MemberValue>(key) {
            // A late write of this process under a name that it has left.
            Some(member) if member.writer.is_same_boot(&self.own) => return,
            Some(member) => {
                if *name == *member.writer.alias(&self.name) {
                    log::warn!(event = "name_taken", daemon:% = self.name, other:% = name; "an older process has the same name");
                }
                self.sharing.insert(name.clone());
                let hash = stable_hash(name.as_bytes());
                let peer = member.peer;
                let former = self.members.insert(name, member);
                started = former.is_none_or(|former| former.peer != peer).then_some(hash);
            }
            None => {
                self.sharing.remove(now, &name);
                self.members.remove(&name);
                self.peer_positions.forget(&name);
                self.freshness.remove(&name);
            }
        }
        self.update_daemons();
        if started.is_some_and(|started| self.endpoints.own_rank(started) < CRASH_TELLERS) {
            self.quarantine.on_new_daemon(now);
        }
    }

    /// Updates what depends on which daemons there are.
    pub(super) fn update_daemons(&mut self) {
        let unseen: Vec<String> = self.unseen_seeds().map(ToString::to_string).collect();
        let others = self.sharing.iter().map(|name| &**name);
        let others = others.chain(unseen.iter().map(String::as_str));
        self.endpoints.set_daemons(DaemonRanks::new(&self.name, others));
        let in_zone = self.zone_members().map(|(name, _)| &**name);
        self.zone_ranks = DaemonRanks::new(&self.name, in_zone);
    }

    pub(super) fn value<T: for<'de> Deserialize<'de>>(&self, key: &str) -> Option<T> {
        let item = self.view.get(key)?;
        serde_json::from_slice(&item.value)
            .inspect_err(|error| {
                log::warn!(event = "value_unreadable", key, revision:% = item.written_at, error:% = error; "");
            })
            .ok()
    }
}

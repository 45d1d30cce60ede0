//! The gate in front of each sending: which endpoints of a service may get a request now.

use super::{EndpointEntry, EndpointTable, KnownEndpoint, Service, VersionGate};
use std::time::{Duration, Instant};

/// Reciprocal of the largest fraction of a service's endpoints that may be in backoff at once.
const BACKOFF_DIVISOR: usize = 3;
/// Wait for an endpoint whose limit leaves this daemon no share.
const NO_SHARE_WAIT: Duration = Duration::from_secs(2);
/// Minimum delay before endpoint selection is retried for a service without capacity.
const MIN_BUSY_WAIT: Duration = Duration::from_millis(20);

/// Why an endpoint that is open gets no request now, in the order in which it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// It asked for a pause, or a trial after one is under way.
    Pause,
    /// The limit that it advertises leaves this daemon no request now.
    Limit,
    /// It is cold, and this daemon has used its share of the requests that it may get.
    Cold,
    /// It is in backoff, and enough others are not.
    Backoff,
    /// It has failed, and a request that is to show whether it serves again is under way.
    Trial,
}

/// The state of a service's endpoints as a whole, on which it depends what keeps requests from one.
pub struct ServiceGate<'a> {
    service: &'a Service,
    may_skip_backed_off: bool,
    is_only_one_open: bool,
}

impl<'a> ServiceGate<'a> {
    /// Creates the gate of a service with these open endpoints.
    pub fn new(now: Instant, service: &'a Service, open: &[&KnownEndpoint]) -> Self {
        let may_skip_backed_off = may_skip_backed_off(now, open);
        Self { service, may_skip_backed_off, is_only_one_open: open.len() <= 1 }
    }
}

impl EndpointTable {
    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &KnownEndpoint> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|id| self.endpoints.get(id))
    }

    /// Endpoints of a service that accept requests, of versions that get requests by load: those that
    /// do not leave or, if all do, those that have just said so and still serve.
    pub(super) fn open_endpoints(&self, now: Instant, service: &str) -> Vec<&KnownEndpoint> {
        let is_usable = |known: &&KnownEndpoint| {
            known.is_listed_ready()
                && !self.evacuated.contains(&known.entry.zone)
                && self.version_gate(&known.entry) == VersionGate::Open
        };
        let usable = self.of_service(service).filter(is_usable);
        let (staying, mut leaving): (Vec<_>, Vec<_>) = usable.partition(|known| known.is_ready());
        if !staying.is_empty() {
            return staying;
        }
        let still_serves = |since| now < since + self.drain;
        leaving.retain(|known| known.notices.leaving_since().is_some_and(still_serves));
        leaving
    }

    /// Whether an endpoint still accepts a request that was placed on it a little earlier.
    pub fn still_accepts(&self, now: Instant, entry: &EndpointEntry) -> bool {
        let known = self.endpoints.get(&entry.id);
        let Some(known) = known.filter(|known| known.is_same_boot(entry)) else { return false };
        if known.entry.version != entry.version {
            return false;
        }
        if known.is_removal_due(now) || known.is_pausing(now) {
            return false;
        }
        if self.version_gate(&known.entry) == VersionGate::Closed {
            return false;
        }
        let is_staying = known.is_ready() && !self.evacuated.contains(&known.entry.zone);
        let is_open = || {
            let open = self.open_endpoints(now, &entry.service);
            open.iter().any(|open| open.entry.id == entry.id)
        };
        is_staying || is_open()
    }

    /// What keeps requests from an open endpoint now.
    pub(super) fn hold(
        &self,
        now: Instant,
        known: &KnownEndpoint,
        gate: &ServiceGate<'_>,
    ) -> Option<Hold> {
        let limit = known.advertised_limit.as_ref().zip(self.limit_share(known));
        let cold = known.cold.as_ref().zip(self.cold_share(gate.service, known));
        let is_on_trial = known.health.is_half_open() && known.work.requests > 0;
        let holds = [
            (Hold::Pause, !known.notices.pause_wait(now).is_zero()),
            (Hold::Limit, limit.is_some_and(|(limit, share)| !limit.may_send(now, share))),
            (Hold::Cold, cold.is_some_and(|(cold, per_s)| !cold.may_send(now, per_s))),
            (Hold::Backoff, gate.may_skip_backed_off && now < known.health.backoff_until()),
            (Hold::Trial, is_on_trial && !gate.is_only_one_open),
        ];
        holds.into_iter().find(|(_, applies)| *applies).map(|(hold, _)| hold)
    }

    /// Estimated time until some endpoint has capacity.
    pub(super) fn wait(
        &self,
        now: Instant,
        endpoints: &[&&KnownEndpoint],
        service: &Service,
    ) -> Duration {
        let waits = endpoints.iter().map(|known| {
            let backoff = known.health.backoff_until().saturating_duration_since(now);
            let cold = known.cold.as_ref().filter(|cold| cold.is_cold(now));
            let cold = cold.zip(self.cold_share(service, known));
            let cold = cold.map_or(Duration::ZERO, |(cold, per_s)| cold.wait(now, per_s));
            let limit = known.advertised_limit.as_ref().zip(self.limit_share(known));
            let limit = limit.map_or(Duration::ZERO, |(limit, share)| {
                limit.wait(now, share).unwrap_or(NO_SHARE_WAIT)
            });
            known.notices.pause_wait(now).max(backoff).max(cold).max(limit)
        });
        waits.min().unwrap_or_default().max(MIN_BUSY_WAIT)
    }
}

/// Whether endpoints in backoff may be skipped: some must remain, and either only a few are in
/// backoff or at most half of the service is failing.
fn may_skip_backed_off(now: Instant, open: &[&KnownEndpoint]) -> bool {
    let backed_off = open.iter().filter(|known| now < known.health.backoff_until()).count();
    let failing = open.iter().filter(|known| known.health.is_failing(now)).count();
    let few = backed_off <= open.len().div_ceil(BACKOFF_DIVISOR);
    backed_off < open.len() && (few || failing <= open.len() / 2)
}

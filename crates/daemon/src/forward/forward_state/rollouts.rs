//! Rollouts of services: their orders and records in the store, and what other daemons state.

use super::{ForwardState, KeySource, PeerPosition, boot_time};
use cassiagw_core::{
    forwarding::{
        EndpointEntry, RolloutInputs, RolloutLimits, RolloutOrder, RolloutPhase, RolloutRecord,
        RolloutStatement, Route, RouteKind, ServiceRollout, StorePosition, VersionGate,
    },
    ids::{DaemonId, FastMap, ServiceId},
};
use cassiagw_platform::{
    StoreKey, decode_rollout_order, encode_rollout_status, parse_key, rollout_order_key,
    rollout_record_key, rollout_status_key,
};
use cassiagw_rpc::WorkReport;
use std::time::{Duration, Instant};

/// Largest number of services whose rollouts are reported.
const MAX_REPORTED: usize = 8;
/// Time after its last statement for which a daemon that is no member any more is remembered.
const FORMER_MEMBER_TIME: Duration = Duration::from_millis(3_500);
/// Longest wait for requests at old endpoints.
const MAX_DRAIN: Duration = Duration::from_secs(15);

/// A rollout whose record or status in the store differs from this daemon's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedRollout {
    /// Service of the rollout.
    pub service: ServiceId,
    /// Record that holds at this daemon.
    pub record: RolloutRecord,
}

impl ForwardState {
    /// Applies an order of an operator, or that it was withdrawn.
    pub(super) fn apply_rollout_order(
        &mut self,
        now: Instant,
        service: ServiceId,
        source: KeySource,
    ) {
        let key = rollout_order_key(&service);
        let Some(item) = self.view.get(&key) else {
            if let Some(rollout) = self.endpoints.rollouts.get_mut(&service) {
                log::info!(event = "rollout_order_withdrawn", service:% = service; "");
                rollout.on_order(now, None);
            }
            return;
        };
        let Some(limits) = self.params.rollout else {
            log::warn!(
                event = "rollout_order_ignored", service:% = service,
                revision:% = item.written_at; "the settings file has no bounds for rollouts"
            );
            return;
        };
        match decode_rollout_order(&service, &item.value, item.written_at) {
            Ok(order) => {
                log::info!(
                    event = "rollout_order", service:% = service, target:% = order.target,
                    duration_ms = order.duration.as_millis() as u64,
                    revision:% = order.written_at; ""
                );
                self.note_if_written_again(&key, &service, &order, source);
                self.rollout(&service, limits).on_order(now, Some(order));
            }
            Err(error) => {
                log::warn!(
                    event = "rollout_order_unreadable", service:% = service,
                    revision:% = item.written_at, error:% = error; ""
                );
            }
        }
    }

    /// Notes that an order is not new: the store came back from a copy without it, and the operator
    /// wrote it again.
    fn note_if_written_again(
        &mut self,
        key: &str,
        service: &ServiceId,
        order: &RolloutOrder,
        source: KeySource,
    ) {
        let was_missing = self.missing_keys.as_ref().is_some_and(|missing| missing.contains(key));
        let known = self.endpoints.rollouts.get(service).map(ServiceRollout::statement);
        let is_same = known.is_some_and(|known| known.target == order.target);
        if is_same && (source == KeySource::Copy || was_missing) {
            self.orders_written_again.insert(service.clone(), order.written_at);
        }
    }

    /// Whether an order is not new but was written again after the store came back from a copy.
    pub fn is_written_again(&self, service: &ServiceId, order: StorePosition) -> bool {
        self.orders_written_again.get(service) == Some(&order)
    }

    /// Applies the record of a rollout. One that is missing or older than what holds here is written
    /// again by the leader.
    pub(super) fn apply_rollout_record(&mut self, now: Instant, service: &ServiceId) {
        let Some(limits) = self.params.rollout else { return };
        let key = rollout_record_key(service);
        if self.view.get(&key).is_none() {
            if let Some(rollout) = self.endpoints.rollouts.get_mut(service) {
                log::info!(event = "rollout_record_missing", service:% = service; "");
                rollout.on_record_missing();
            }
            return;
        }
        let Some(record) = self.value::<RolloutRecord>(&key) else { return };
        let has_order = self.view.get(&rollout_order_key(service)).is_some();
        let is_new = !self.endpoints.rollouts.contains_key(service);
        let rollout = self.rollout(service, limits);
        let (phase, target, fence) = (record.phase, record.target.clone(), record.fence);
        let is_news = rollout.on_record(now, record);
        if is_new && !has_order {
            rollout.on_order(now, None);
        }
        if is_news {
            log::info!(
                event = "rollout_phase", service:% = service, phase:? = phase, target:% = target,
                fence; ""
            );
        }
    }

    fn rollout(&mut self, service: &ServiceId, limits: RolloutLimits) -> &mut ServiceRollout {
        let (name, boot) = (&self.name, self.own.boot);
        let new = || ServiceRollout::new(service.clone(), name.clone(), boot, limits);
        self.endpoints.rollouts.entry(service.clone()).or_insert_with(new)
    }

    /// Applies the orders and records that were ignored before the settings had bounds for rollouts.
    pub(super) fn apply_ignored_rollouts(&mut self, now: Instant) {
        let keys: Vec<StoreKey> =
            self.view.with_prefix("").map(|(key, _)| parse_key(key)).collect();
        for key in keys {
            match key {
                StoreKey::RolloutOrder(service) => {
                    self.apply_rollout_order(now, service, KeySource::Write);
                }
                StoreKey::RolloutRecord(service) => self.apply_rollout_record(now, &service),
                _ => {}
            }
        }
    }

    /// Whether a request of a service may go to its version on trial.
    pub fn may_expose(&mut self, now: Instant, service: &ServiceId) -> bool {
        if !self.endpoints.rollouts.contains_key(service) {
            return false;
        }
        let is_in_contact = self.is_in_contact();
        let rollout = self.endpoints.rollouts.get(service);
        rollout.is_some_and(|rollout| rollout.may_expose(now, is_in_contact))
    }

    /// Whether an endpoint still accepts a request that was placed on it a little earlier.
    pub fn still_accepts(&mut self, now: Instant, entry: &EndpointEntry) -> bool {
        let is_on_trial = self.endpoints.version_gate(entry) == VersionGate::Trial;
        self.endpoints.still_accepts(now, entry) && (!is_on_trial || self.is_in_contact())
    }

    /// Whether the store, or every other daemon, was heard lately.
    fn is_in_contact(&self) -> bool {
        self.freshness.is_in_contact(boot_time(), self.witnesses())
    }

    /// What this daemon has seen of the rollouts, for the report to the others. A rollout that is
    /// over is left out once the store shows it to all.
    pub fn rollout_statements(&self) -> Vec<(ServiceId, RolloutStatement)> {
        let rollouts = self.endpoints.rollouts.iter();
        let statements = rollouts.map(|(service, rollout)| {
            let mut statement = rollout.statement();
            statement.old_in_flight += self.uncounted_in_flight(service, &statement);
            (service, statement)
        });
        let mut open: Vec<_> = statements
            .filter(|(_, statement)| !statement.target.is_empty())
            .filter(|(service, statement)| !self.is_over_for_all(service, statement))
            .map(|(service, statement)| (service.clone(), statement))
            .collect();
        open.sort_by_cached_key(|(service, statement)| {
            let phase = statement.record.as_ref().map(|record| record.phase);
            (phase.is_some_and(RolloutPhase::is_final), service.clone())
        });
        open.truncate(MAX_REPORTED);
        open
    }

    /// Requests in flight to old endpoints that were sent before the order was known, and so are not
    /// in the statement.
    fn uncounted_in_flight(&self, service: &ServiceId, statement: &RolloutStatement) -> u64 {
        let target = statement.record.as_ref().map_or(&statement.target, |record| &record.target);
        let all = self.endpoints.version_requests(service, |entry| entry.version != *target);
        all.saturating_sub(statement.old_in_flight)
    }

    fn is_over_for_all(&self, service: &ServiceId, statement: &RolloutStatement) -> bool {
        let Some(record) = &statement.record else { return false };
        let is_for_order = statement.target.is_empty() || statement.target == record.target;
        let shown_at = self.shown_at(service, record);
        let is_known = |shown_at| self.peer_positions.have_reached(shown_at, self.members.keys());
        record.phase.is_final() && is_for_order && shown_at.is_some_and(is_known)
    }

    /// Position at which the store shows this record; `None` if it shows another one.
    fn shown_at(&self, service: &ServiceId, record: &RolloutRecord) -> Option<StorePosition> {
        let key = rollout_record_key(service);
        let item = self.view.get(&key)?;
        let shown = self.value::<RolloutRecord>(&key)?;
        let is_same = shown.has_order_of(record) && shown.phase == record.phase;
        is_same.then_some(item.written_at)
    }

    /// Applies what another daemon states of rollouts. Returns whether a gate has changed.
    pub(super) fn on_rollout_statements(&mut self, now: Instant, report: &WorkReport) -> bool {
        let Some(limits) = self.params.rollout else { return false };
        let at = now.checked_sub(report.age).unwrap_or(now);
        let mut has_news = false;
        for (service, statement) in report.rollouts.iter().take(MAX_REPORTED) {
            self.on_rollout_position(at, service, report);
            let rollout = self.rollout(service, limits);
            if rollout.on_statement(at, report.from.clone(), statement.clone()) {
                has_news = true;
                log::info!(
                    event = "rollout_phase", service:% = service, phase:? = rollout.phase(),
                    from:% = report.from; "as another daemon states"
                );
            }
        }
        has_news
    }

    fn on_rollout_position(&mut self, at: Instant, service: &ServiceId, report: &WorkReport) {
        let positions = self.rollout_positions.entry(service.clone()).or_default();
        let stated = PeerPosition { position: report.position, at };
        let known = positions.entry(report.from.clone()).or_insert(stated);
        if at >= known.at {
            *known = stated;
        }
    }

    /// Forgets daemons that are no members any more and are not heard either. A daemon may only seem
    /// to be gone, since its lease lapsed while the store was away.
    pub(super) fn forget_rollout_peers(&mut self, now: Instant) {
        for (service, positions) in &mut self.rollout_positions {
            let is_gone = |name: &DaemonId, stated: &PeerPosition| {
                !self.members.contains_key(name) && now >= stated.at + FORMER_MEMBER_TIME
            };
            for (name, _) in positions.extract_if(|name, stated| is_gone(name, stated)) {
                if let Some(rollout) = self.endpoints.rollouts.get_mut(service) {
                    rollout.on_departure(&name);
                }
            }
        }
    }

    /// Number of services of which a rollout is under way.
    pub fn running_rollouts(&self) -> usize {
        let phases = self.endpoints.rollouts.values().filter_map(ServiceRollout::phase);
        phases.filter(|phase| !phase.is_final()).count()
    }

    /// Whether some daemon with the order lease is needed for a rollout.
    pub fn rollouts_need_leader(&self, now: Instant) -> bool {
        let mut rollouts = self.endpoints.rollouts.iter();
        let needs_leader = |(service, rollout): (&ServiceId, &ServiceRollout)| {
            let is_running = rollout.phase().is_some_and(|phase| !phase.is_final());
            let has_step = || {
                let inputs = self.rollout_inputs(now, service, 0);
                rollout.next_step(now, &inputs).is_some()
            };
            is_running || has_step()
        };
        rollouts.any(needs_leader) || !self.outdated_rollouts().is_empty()
    }

    /// Rollouts whose record or status in the store is not what holds at this daemon.
    pub fn outdated_rollouts(&self) -> Vec<OutdatedRollout> {
        let rollouts = self.endpoints.rollouts.iter();
        let records = rollouts.filter_map(|(service, rollout)| {
            Some(OutdatedRollout { service: service.clone(), record: rollout.record()?.clone() })
        });
        records.filter(|outdated| !self.is_shown(outdated)).collect()
    }

    fn is_shown(&self, OutdatedRollout { service, record }: &OutdatedRollout) -> bool {
        let status = self.view.get(&rollout_status_key(service));
        let expected = encode_rollout_status(record.phase, &record.target);
        self.shown_at(service, record).is_some()
            && status.is_some_and(|status| status.value == expected)
    }

    /// Latest process start of an endpoint of a service, in Unix milliseconds.
    pub fn latest_start(&self, service: &ServiceId) -> Option<u64> {
        let of_service = self.endpoints.entries().filter(|entry| entry.service == *service);
        of_service.filter_map(|entry| entry.started_unix_ms).max()
    }

    /// Revision of the record of a rollout; 0 if there is none.
    pub fn rollout_revision(&self, service: &ServiceId) -> u64 {
        let item = self.view.get(&rollout_record_key(service));
        item.map_or(0, |item| item.written_at.revision)
    }

    /// What the leader of a rollout knows beyond the counts of answers.
    pub fn rollout_inputs(&self, now: Instant, service: &ServiceId, fence: u64) -> RolloutInputs {
        let rollout = self.endpoints.rollouts.get(service);
        let statement = rollout.map(ServiceRollout::statement).unwrap_or_default();
        let record = rollout.and_then(ServiceRollout::record);
        let target = record.map_or(&statement.target, |record| &record.target);
        let is_draining = record.is_some_and(|record| record.phase == RolloutPhase::DrainOld);
        let is_old = |entry: &EndpointEntry| {
            let is_open = is_draining || self.endpoints.version_gate(entry) != VersionGate::Closed;
            entry.version != *target && is_open
        };
        let shown_at = record.and_then(|record| self.shown_at(service, record));
        let have_all_seen = shown_at.is_some_and(|at| self.have_all_stated(service, at));
        let uncounted = self.uncounted_in_flight(service, &statement);
        let in_flight = rollout.filter(|_| have_all_seen);
        let in_flight = in_flight.map(|rollout| rollout.old_in_flight() + uncounted);
        let routes = || self.routes_of(service);
        let is_idempotent =
            |route: &Route| matches!(route.kind, RouteKind::Safe | RouteKind::ResumableStream);
        let timeout = routes().map(|route| route.timeout).max().unwrap_or(MAX_DRAIN);
        RolloutInputs {
            fence,
            target: self.endpoints.version_counts(now, service, |entry| entry.version == *target),
            old: self.endpoints.version_counts(now, service, is_old),
            needed: None,
            have_all_seen_record: have_all_seen,
            old_in_flight: in_flight,
            is_in_flight_idempotent: routes().all(is_idempotent),
            is_view_current: self.is_view_current(),
            since_order: rollout.map(ServiceRollout::order_age).unwrap_or_default(),
            longest_timeout: timeout.min(MAX_DRAIN),
        }
    }

    fn routes_of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Route> {
        let routes = self.settings.routes.iter().map(AsRef::as_ref);
        routes.filter(|route| route.targets.iter().any(|target| target.service == *service))
    }

    /// Whether every other daemon has stated what it has seen of a rollout at or after a position,
    /// and so how many of its requests run at old endpoints since. Daemons that are no members but
    /// still heard count, too.
    fn have_all_stated(&self, service: &ServiceId, at: StorePosition) -> bool {
        let none = FastMap::default();
        let positions = self.rollout_positions.get(service).unwrap_or(&none);
        let has_stated = |stated: &PeerPosition| stated.position >= at;
        self.members.keys().all(|name| positions.get(name).is_some_and(has_stated))
            && positions.values().all(has_stated)
    }
}

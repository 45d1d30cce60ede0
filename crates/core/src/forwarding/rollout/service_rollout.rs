use super::{
    AnswerOrigin, AnswerOutcome, RolloutEvidence, RolloutLimits, RolloutOrder, RolloutPhase,
    RolloutRecord, RolloutStatement, VersionGate, answer_pool::AnswerPool,
    daemon_statements::DaemonStatements, exposure::Exposure, order_state::OrderState,
    own_answers::OwnAnswers, zone_cuts::ZoneCuts,
};
use crate::{
    forwarding::StorePosition,
    ids::{BootId, DaemonId, FastMap, ServiceId, ServiceVersion, ZoneId, stable_hash},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Part of the requests permitted beyond the share that are used where a service has few requests.
const SLACK_USED: f64 = 0.4;
/// Largest age of the other daemons' statements at which extra requests are sent.
const EXTRA_STATEMENT_AGE: Duration = Duration::from_secs(1);
/// Time after learning of the order before extra requests are sent, in which the service's rate
/// becomes known.
const EXTRA_AFTER: Duration = Duration::from_secs(1);
/// Lower bound of that time, as a part of the order's duration.
const EXTRA_AFTER_PART: f64 = 0.1;

/// Rollout of one service, at one daemon: the order, the latest record, the requests sent and the
/// answers of all daemons.
///
/// Needed when a new version of a service's software must take over from the old ones,
/// and must be turned back before it fails many requests.
#[derive(Debug)]
pub struct ServiceRollout {
    service: ServiceId,
    daemon: DaemonId,
    boot: BootId,
    limits: RolloutLimits,
    pub(super) state: OrderState,
    exposure: Exposure,
    in_flight: FastMap<ServiceVersion, u64>,
    own: OwnAnswers,
    zone_cuts: ZoneCuts,
    pub(super) others: DaemonStatements,
    pub(super) pool: AnswerPool,
    /// Number of events counted for the order.
    events: u64,
    /// When the order was written, as far as any daemon knows.
    ordered_at: Option<Instant>,
    /// When this daemon learnt of the order.
    learnt_at: Option<Instant>,
    /// Time of the latest event.
    latest: Option<Instant>,
}

impl ServiceRollout {
    /// Creates the state of a service about which nothing is known yet, at one boot of a daemon.
    pub fn new(service: ServiceId, daemon: DaemonId, boot: BootId, limits: RolloutLimits) -> Self {
        Self {
            service,
            daemon,
            boot,
            limits,
            state: OrderState::default(),
            exposure: Exposure::default(),
            in_flight: FastMap::default(),
            own: OwnAnswers::default(),
            zone_cuts: ZoneCuts::default(),
            others: DaemonStatements::default(),
            pool: AnswerPool::default(),
            events: 0,
            ordered_at: None,
            learnt_at: None,
            latest: None,
        }
    }

    /// Applies the order that a complete view of the store shows, or that it shows none.
    pub fn on_order(&mut self, now: Instant, order: Option<RolloutOrder>) {
        self.latest = Some(now);
        if !self.state.on_order(now, order) {
            return;
        }
        self.exposure = Exposure::new(self.offset());
        self.own = OwnAnswers::default();
        self.others = DaemonStatements::default();
        self.pool = AnswerPool::default();
        self.events = 0;
        self.ordered_at = Some(now);
        self.learnt_at = Some(now);
    }

    /// Applies the record that the store shows. Returns whether the phase changed.
    pub fn on_record(&mut self, now: Instant, record: RolloutRecord) -> bool {
        self.latest = Some(now);
        self.state.on_record(now, record)
    }

    /// Notes that a complete view of the store shows no record, as one from an older copy may.
    pub fn on_record_missing(&mut self) {
        self.state.on_record_missing();
    }

    /// Applies a decision of this daemon as the leader that holds before the store shows it: only
    /// `RolledBack` does, and only while the old versions are open. Returns whether the phase changed.
    /// All records must be written by compare-and-swap against the one last passed to `on_record`.
    pub fn on_decision(&mut self, now: Instant, record: &RolloutRecord) -> bool {
        record.phase == RolloutPhase::RolledBack && self.state.on_decision(now, record)
    }

    /// What a version may get.
    pub fn gate(&self, version: &ServiceVersion) -> VersionGate {
        self.state.gate(version, self.pool.is_bad())
    }

    /// What an endpoint of a version may get, by the start of its process in Unix milliseconds.
    ///
    /// A version that was released without an order after a rollout completed gets what the
    /// completed version does.
    pub fn endpoint_gate(
        &self,
        version: &ServiceVersion,
        started_unix_ms: Option<u64>,
    ) -> VersionGate {
        let gate = self.gate(version);
        let Some(record) = self.state.record().filter(|_| gate == VersionGate::Closed) else {
            return gate;
        };
        let started = record.old_started_by.zip(started_unix_ms);
        let is_later = started.is_some_and(|(by, started)| started > by);
        let is_target = self.state.order().is_some_and(|order| order.target == *version)
            || record.target == *version;
        if !is_later || is_target || record.closed.contains(version) {
            return gate;
        }
        match (record.phase, &record.base) {
            (RolloutPhase::Completed, _) => self.gate(&record.target),
            (_, Some(base)) => self.gate(base),
            (_, None) => gate,
        }
    }

    /// Whether a version is the one to be rolled out.
    pub fn is_target(&self, version: &ServiceVersion) -> bool {
        self.state.order().is_some_and(|order| order.target == *version)
    }

    /// Whether there is an order whose rollout is not over.
    pub fn is_running(&self) -> bool {
        self.state.order().is_some() && !self.phase().is_some_and(RolloutPhase::is_final)
    }

    /// Record that holds at this daemon, also one of an earlier order.
    pub fn record(&self) -> Option<&RolloutRecord> {
        self.state.record()
    }

    /// Whether a request may go to the version on trial now: within this daemon's share, with a
    /// current view and without a verdict against it. Ask anew for each sending, repeats included.
    pub fn may_expose(&self, now: Instant, is_view_current: bool) -> bool {
        let phase = self.state.current_record().map(|record| record.phase);
        is_view_current
            && phase == Some(RolloutPhase::Trial)
            && !self.pool.is_bad()
            && (self.exposure.has_room(self.limits.expose_share) || self.has_extra_room(now))
    }

    /// Whether the service has so few requests that their share can't tell a bad version, and some
    /// of those permitted beyond the share are left for this daemon.
    fn has_extra_room(&self, now: Instant) -> bool {
        let Some((order, learnt_at)) = self.state.order().zip(self.learnt_at) else { return false };
        let is_heard = self.others.oldest(now).is_some_and(|age| age <= EXTRA_STATEMENT_AGE);
        let since_learnt = now.saturating_duration_since(learnt_at);
        if !is_heard || since_learnt < EXTRA_AFTER.max(order.duration.mul_f64(EXTRA_AFTER_PART)) {
            return false;
        }
        let (sent, exposed) = self.others.sent();
        let (sent, exposed) = (sent + self.exposure.sent(), exposed + self.exposure.exposed());
        let trial = order.duration.as_secs_f64() / 2.0;
        let age = self.order_age_at(now).as_secs_f64();
        let expected = Exposure::permitted_of(sent as f64 * trial / age, self.limits.expose_share);
        let extra = self.limits.expose_slack as f64 * SLACK_USED;
        let own_extra = extra / (self.others.len() + 1) as f64;
        let is_left = expected < extra && (exposed as f64) < extra;
        is_left && self.exposure.has_extra_room(self.limits.expose_share, own_extra)
    }

    /// Counts a request sent to the service, repeats and resumed streams included.
    pub fn on_sent(&mut self, now: Instant, version: &ServiceVersion) {
        self.on_event(now);
        if let Some(order) = self.state.order() {
            self.exposure.on_sent(order.target == *version);
        }
        *self.in_flight.entry(version.clone()).or_default() += 1;
    }

    /// Counts an answer of an endpoint whose zone and host are not known.
    pub fn on_answer(
        &mut self,
        now: Instant,
        route: &Arc<str>,
        version: &ServiceVersion,
        outcome: AnswerOutcome,
    ) {
        self.on_answer_from(now, route, version, AnswerOrigin::default(), outcome);
    }

    /// Counts an answer of an endpoint. Pass `Ignored` for a good answer if, when the request was
    /// sent, the endpoint was cold or had more requests waiting than the others.
    pub fn on_answer_from(
        &mut self,
        now: Instant,
        route: &Arc<str>,
        version: &ServiceVersion,
        origin: AnswerOrigin<'_>,
        outcome: AnswerOutcome,
    ) {
        self.on_event(now);
        let Some(order) = self.state.order() else { return };
        let is_target = order.target == *version;
        if let (AnswerOutcome::Cut, Some(zone)) = (outcome, origin.zone) {
            if !is_target {
                self.zone_cuts.on_cut_elsewhere(now, zone);
            } else if self.zone_cuts.hold(now, zone, route, origin.host) {
                return;
            }
        }
        self.count(now, route, is_target, origin.host, outcome);
    }

    /// Notes that an endpoint of another service in a zone was cut or crashed, so that cuts there
    /// at the same moment are not laid to a version.
    pub fn on_zone_cut(&mut self, now: Instant, zone: &ZoneId) {
        self.zone_cuts.on_cut_elsewhere(now, zone);
    }

    /// Counts the end of a request that was sent, answered or not.
    pub fn on_done(&mut self, version: &ServiceVersion) {
        self.events += 1;
        if let Some(count) = self.in_flight.get_mut(version) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(version);
            }
        }
    }

    /// What this daemon tells the others; its target is empty while there is no order.
    pub fn statement(&self) -> RolloutStatement {
        let Some(order) = self.state.order() else {
            return RolloutStatement { boot: self.boot, ..RolloutStatement::default() };
        };
        let new_in_flight = self.in_flight.get(&order.target).copied().unwrap_or(0);
        RolloutStatement {
            boot: self.boot,
            order: order.written_at,
            target: order.target.clone(),
            order_age: self.order_age(),
            events: self.events,
            sent: self.exposure.sent(),
            exposed: self.exposure.exposed(),
            old_in_flight: self.in_flight.values().sum::<u64>() - new_in_flight,
            new_in_flight,
            routes: self.own.routes().to_vec(),
            hosts: self.own.hosts().to_vec(),
            zone_cuts: self.latest.map(|now| self.zone_cuts.recent(now)).unwrap_or_default(),
            holds_bad: self.pool.is_bad(),
            record: self.state.current_record().cloned(),
        }
    }

    /// Applies what another daemon tells. Returns whether what versions may get has changed.
    pub fn on_statement(
        &mut self,
        now: Instant,
        from: DaemonId,
        statement: RolloutStatement,
    ) -> bool {
        self.latest = Some(now);
        let Some(order) = self.state.order() else { return false };
        let is_of_order = statement.order.revision == order.written_at.revision
            && statement.target == order.target;
        if from == self.daemon || !is_of_order {
            return false;
        }
        self.note_order_age(now, statement.order_age);
        for (zone, age) in &statement.zone_cuts {
            if let Some(at) = now.checked_sub(*age) {
                self.zone_cuts.on_cut_elsewhere(at, zone);
            }
        }
        let is_rolled_back = self.adopt(now, statement.record.as_ref());
        let was_bad = self.pool.is_bad();
        if let Some(growth) = self.others.replace(now, from, statement) {
            self.pool.add(now, growth.routes, &growth.hosts);
        }
        self.release_cuts(now);
        is_rolled_back || was_bad != self.pool.is_bad()
    }

    /// Forgets the requests in flight of a daemon that is gone; its answers still count. Without
    /// this, the leader waits for the daemon's statement until the longest timeout.
    pub fn on_departure(&mut self, daemon: &DaemonId) {
        self.others.on_departure(daemon);
    }

    /// Phase that holds at this daemon for the current order.
    pub fn phase(&self) -> Option<RolloutPhase> {
        self.state.current_record().map(|record| record.phase)
    }

    /// Whether the others should soon hear of something that the store does not show: that the
    /// target is bad.
    pub fn is_urgent(&self) -> bool {
        match self.phase() {
            Some(RolloutPhase::Trial | RolloutPhase::Shift) => self.pool.is_bad(),
            Some(RolloutPhase::RolledBack) => self.state.is_behind(),
            _ => false,
        }
    }

    /// Time since the order was written, as far as any daemon knows, at the latest event.
    pub fn order_age(&self) -> Duration {
        self.latest.map(|now| self.order_age_at(now)).unwrap_or_default()
    }

    /// Requests in flight to old versions at all daemons whose statements are known, this one
    /// included.
    pub fn old_in_flight(&self) -> u64 {
        let target = self.state.order().map(|order| &order.target);
        let own = self.in_flight.iter().filter(|(version, _)| Some(*version) != target);
        own.map(|(_, count)| count).sum::<u64>() + self.others.old_in_flight()
    }

    /// State and evidence for logs, dump and tools.
    pub fn evidence(&self) -> RolloutEvidence {
        let (sent, exposed) = self.others.sent();
        let record = self.state.current_record().or(self.state.record());
        let mut evidence = RolloutEvidence {
            target: self
                .state
                .order()
                .map(|order| order.target.clone())
                .or(record.map(|record| record.target.clone())),
            order: self.state.order().map(|order| order.written_at),
            phase: record.map(|record| record.phase),
            sent: sent + self.exposure.sent(),
            exposed: exposed + self.exposure.exposed(),
            old_in_flight: self.old_in_flight(),
            daemons: self.others.len() + 1,
            oldest_statement: self.latest.and_then(|now| self.others.oldest(now)),
            ..RolloutEvidence::default()
        };
        self.pool.describe(&mut evidence);
        evidence
    }

    pub(super) fn order_age_at(&self, now: Instant) -> Duration {
        self.ordered_at.map(|at| now.saturating_duration_since(at)).unwrap_or_default()
    }

    fn on_event(&mut self, now: Instant) {
        self.latest = Some(now);
        self.events += 1;
        self.release_cuts(now);
    }

    /// Counts cut answers that waited for news of their zone.
    fn release_cuts(&mut self, now: Instant) {
        for cut in self.zone_cuts.take_counted(now) {
            self.count(now, &cut.route, true, cut.host.as_ref(), AnswerOutcome::Cut);
        }
    }

    fn count(
        &mut self,
        now: Instant,
        route: &Arc<str>,
        is_target: bool,
        host: Option<&Arc<str>>,
        outcome: AnswerOutcome,
    ) {
        let Some(growth) = self.own.count(route, is_target, outcome) else { return };
        let is_slow = |class| self.pool.is_slow(route, class);
        let host = host.filter(|_| is_target);
        let on_host = host.and_then(|host| self.own.count_host(host, outcome, is_slow));
        self.events += 1;
        self.pool.add(now, vec![growth], on_host.as_slice());
    }

    /// Takes over that the rollout was rolled back, which holds before the store shows it.
    fn adopt(&mut self, now: Instant, record: Option<&RolloutRecord>) -> bool {
        record.is_some_and(|record| self.on_decision(now, record))
    }

    fn note_order_age(&mut self, now: Instant, age: Duration) {
        let at = now.checked_sub(age).unwrap_or(now);
        self.ordered_at = Some(self.ordered_at.map_or(at, |known| known.min(at)));
    }

    /// Offset of this boot's exposure to an order, from 0 to below 1.
    fn offset(&self) -> f64 {
        let position =
            self.state.order().map_or(StorePosition::default(), |order| order.written_at);
        let text = format!("{} {} {} {position}", self.service, self.daemon, self.boot);
        (stable_hash(text.as_bytes()) >> 11) as f64 / (1u64 << 53) as f64
    }
}

use super::{
    AnswerOrigin, AnswerOutcome, RolloutEvidence, RolloutInputs, RolloutLimits, RolloutOrder,
    RolloutPhase, RolloutRecord, RolloutStatement, RolloutStep, RouteStatement, VersionGate,
    exposure::Exposure,
};
use crate::{
    forwarding::StorePosition,
    ids::{BootId, DaemonId, FastMap, ServiceId, ServiceVersion, ZoneId, stable_hash},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Rollout of one service, at one daemon: the order, the latest record, the requests sent and the
/// answers of all daemons.
///
/// Answers loads in which a new version of a service's software must take over from the old ones,
/// and must be turned back before it fails many requests.
#[derive(Debug)]
pub struct ServiceRollout {
    service: ServiceId,
    daemon: DaemonId,
    boot: BootId,
    limits: RolloutLimits,
    order: Option<RolloutOrder>,
    /// Whether the view of the store has told what the order is, or that there is none.
    is_order_known: bool,
    record: Option<RolloutRecord>,
    exposure: Exposure,
    in_flight: FastMap<ServiceVersion, u64>,
    own_routes: Vec<RouteStatement>,
    others: FastMap<DaemonId, (Instant, RolloutStatement)>,
    learnt_at: Option<Instant>,
}

impl ServiceRollout {
    /// Creates the state of a service about which nothing is known yet, at one boot of a daemon.
    pub fn new(service: ServiceId, daemon: DaemonId, boot: BootId, limits: RolloutLimits) -> Self {
        Self {
            service,
            daemon,
            boot,
            limits,
            order: None,
            is_order_known: false,
            record: None,
            exposure: Exposure::default(),
            in_flight: FastMap::default(),
            own_routes: Vec::new(),
            others: FastMap::default(),
            learnt_at: None,
        }
    }

    /// Applies the order that a complete view of the store shows, or that it shows none.
    pub fn on_order(&mut self, now: Instant, order: Option<RolloutOrder>) {
        self.is_order_known = true;
        if order.is_some() && order != self.order {
            self.learnt_at = Some(now);
            self.exposure = Exposure::new(self.offset());
        }
        self.order = order;
    }

    /// Applies a record that the store shows, or a step that holds before it is written. Returns
    /// whether the phase changed.
    pub fn on_record(&mut self, _now: Instant, record: RolloutRecord) -> bool {
        let is_news = self.record.as_ref() != Some(&record);
        self.record = Some(record);
        is_news
    }

    /// What a version may get.
    pub fn gate(&self, version: &ServiceVersion) -> VersionGate {
        let Some(record) = &self.record else {
            let is_target = self.order.as_ref().is_some_and(|order| order.target == *version);
            return if is_target { VersionGate::Trial } else { VersionGate::Open };
        };
        match (record.phase, record.target == *version) {
            (RolloutPhase::Trial, true) => VersionGate::Trial,
            (RolloutPhase::Shift, _) | (RolloutPhase::Trial, false) => VersionGate::Open,
            (RolloutPhase::DrainOld | RolloutPhase::Completed, true) => VersionGate::Open,
            (RolloutPhase::DrainOld | RolloutPhase::Completed, false) => VersionGate::Closed,
            (RolloutPhase::RolledBack, is_target) => {
                if is_target {
                    VersionGate::Closed
                } else {
                    VersionGate::Open
                }
            }
        }
    }

    /// Whether a request may go to the version on trial now: within this daemon's share, with a
    /// current view and without suspicion. Ask anew for each sending, repeats included.
    pub fn may_expose(&self, _now: Instant, is_view_current: bool) -> bool {
        is_view_current
            && self.record.as_ref().is_some_and(|record| record.phase == RolloutPhase::Trial)
            && self.exposure.has_room(self.limits.expose_share)
    }

    /// Counts a request sent to the service, repeats and resumed streams included.
    pub fn on_sent(&mut self, _now: Instant, version: &ServiceVersion) {
        let is_target = self.order.as_ref().is_some_and(|order| order.target == *version);
        self.exposure.on_sent(is_target);
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

    /// Counts an answer of an endpoint. Pass `Ignored` for good answers of an endpoint that is
    /// cold, or that had more requests waiting than others when the request was sent.
    pub fn on_answer_from(
        &mut self,
        _now: Instant,
        _route: &Arc<str>,
        _version: &ServiceVersion,
        _origin: AnswerOrigin<'_>,
        _outcome: AnswerOutcome,
    ) {
    }

    /// Notes that an endpoint of another service in a zone was cut or crashed, so that cuts there
    /// at the same moment are not laid to a version.
    pub fn on_zone_cut(&mut self, _now: Instant, _zone: &ZoneId) {}

    /// Counts the end of a request that was sent, answered or not.
    pub fn on_done(&mut self, version: &ServiceVersion) {
        if let Some(count) = self.in_flight.get_mut(version) {
            *count = count.saturating_sub(1);
        }
    }

    /// What this daemon tells the others; its target is empty while there is no order.
    pub fn statement(&self) -> RolloutStatement {
        let Some(order) = &self.order else {
            return RolloutStatement { boot: self.boot, ..Default::default() };
        };
        let old_in_flight =
            self.in_flight.iter().filter(|(version, _)| **version != order.target).map(|(_, n)| n);
        RolloutStatement {
            boot: self.boot,
            order: order.written_at,
            target: order.target.clone(),
            order_age: self.order_age(),
            sent: self.exposure.sent(),
            exposed: self.exposure.exposed(),
            old_in_flight: old_in_flight.sum(),
            new_in_flight: self.in_flight.get(&order.target).copied().unwrap_or(0),
            routes: self.own_routes.clone(),
            hosts: Vec::new(),
            record: self.record.clone(),
        }
    }

    /// Applies what another daemon tells. Returns whether what versions may get has changed.
    pub fn on_statement(
        &mut self,
        now: Instant,
        from: DaemonId,
        statement: RolloutStatement,
    ) -> bool {
        self.others.insert(from, (now, statement));
        false
    }

    /// Forgets the requests in flight of a daemon that is gone; its answers still count.
    pub fn on_departure(&mut self, _daemon: &DaemonId) {}

    /// Phase that holds at this daemon.
    pub fn phase(&self) -> Option<RolloutPhase> {
        self.record.as_ref().map(|record| record.phase)
    }

    /// Whether the daemon has something to say soon: a verdict or a phase that others may lack.
    pub fn is_urgent(&self) -> bool {
        false
    }

    /// Time since the order was written, as far as any daemon knows, at the latest event.
    pub fn order_age(&self) -> Duration {
        Duration::ZERO
    }

    /// Requests in flight to old versions at all daemons whose statements are known.
    pub fn old_in_flight(&self) -> u64 {
        0
    }

    /// Record that the leader writes next, if any. Only for the holder of the order lease.
    pub fn next_step(&self, _now: Instant, _inputs: &RolloutInputs) -> Option<RolloutStep> {
        None
    }

    /// State and evidence for logs, dump and tools.
    pub fn evidence(&self) -> RolloutEvidence {
        RolloutEvidence::default()
    }

    /// Offset of this boot's exposure to an order, from 0 to below 1.
    fn offset(&self) -> f64 {
        let order = self.order.as_ref().map_or(StorePosition::default(), |order| order.written_at);
        let text = format!("{} {} {} {order}", self.service, self.daemon, self.boot);
        (stable_hash(text.as_bytes()) >> 11) as f64 / (1u64 << 53) as f64
    }
}

use super::{RolloutOrder, RolloutPhase, RolloutRecord, VersionGate};
use crate::ids::ServiceVersion;
use std::time::Instant;

/// Largest number of versions that stay closed after their rollouts.
const MAX_CLOSED: usize = 8;

/// Order and record of a service, and what they permit the versions.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderState {
    order: Option<RolloutOrder>,
    /// Whether a view of the store has told what the order is, or that there is none.
    is_order_known: bool,
    /// Record that holds here: the latest phase reached.
    record: Option<RolloutRecord>,
    /// Record that the store shows.
    stored: Option<RolloutRecord>,
    /// When the record's phase became known.
    phase_since: Option<Instant>,
}

impl OrderState {
    /// Applies the order that the store shows. Returns whether another order begins.
    pub(super) fn on_order(&mut self, now: Instant, order: Option<RolloutOrder>) -> bool {
        self.is_order_known = true;
        let is_same = match (&self.order, &order) {
            (Some(known), Some(shown)) => is_same_order(known, shown),
            (None, None) => true,
            _ => false,
        };
        self.order = order;
        if let Some(stored) = self.stored.take_if(|_| !is_same) {
            self.on_record(now, stored);
        }
        !is_same && self.order.is_some()
    }

    /// Applies the record that the store shows. Returns whether the phase changed.
    pub(super) fn on_record(&mut self, now: Instant, record: RolloutRecord) -> bool {
        self.stored = Some(record.clone());
        if !self.accepts(&record) {
            return false;
        }
        self.set(now, record)
    }

    /// Applies a decision that holds before the store shows it. Returns whether the phase changed.
    ///
    /// Once the old versions are closed, only the store tells whether they open again: a leader may
    /// have written `Completed` by then, after which nothing may be sent to them.
    pub(super) fn on_decision(&mut self, now: Instant, record: &RolloutRecord) -> bool {
        let is_of_order = self.order.as_ref().is_none_or(|order| record.belongs_to(order));
        let is_draining = self.record.as_ref().is_some_and(|known| {
            known.phase == RolloutPhase::DrainOld && known.has_order_of(record)
        });
        if !is_of_order || is_draining || !self.accepts(record) {
            return false;
        }
        self.set(now, record.clone())
    }

    /// Notes that the store has no record.
    pub(super) fn on_record_missing(&mut self) {
        self.stored = None;
    }

    pub(super) fn order(&self) -> Option<&RolloutOrder> {
        self.order.as_ref()
    }

    pub(super) fn record(&self) -> Option<&RolloutRecord> {
        self.record.as_ref()
    }

    pub(super) fn phase_since(&self) -> Option<Instant> {
        self.phase_since
    }

    /// Record of the current order, or of an earlier one that the same target completed.
    pub(super) fn current_record(&self) -> Option<&RolloutRecord> {
        let order = self.order.as_ref()?;
        self.record.as_ref().filter(|record| {
            record.belongs_to(order)
                || record.phase == RolloutPhase::Completed && record.target == order.target
        })
    }

    /// Whether the store shows an earlier phase than the one reached, or none.
    pub(super) fn is_behind(&self) -> bool {
        let Some(record) = &self.record else { return false };
        self.stored.as_ref().is_none_or(|stored| {
            !stored.has_order_of(record) || record.phase.replaces(stored.phase)
        })
    }

    /// Whether the operator withdrew the order before its rollout ended.
    pub(super) fn is_withdrawn(&self) -> bool {
        let is_running = self.record.as_ref().is_some_and(|record| !record.phase.is_final());
        self.is_order_known && self.order.is_none() && is_running
    }

    /// First record of an order, which takes over what earlier rollouts have closed.
    pub(super) fn first_record(&self, order: &RolloutOrder, fence: u64) -> RolloutRecord {
        let (base, closed) = self.closed_for(&order.target);
        // The target has all traffic already; only others that run beside it are to be drained.
        let is_base = base.as_ref() == Some(&order.target);
        let phase = if is_base { RolloutPhase::DrainOld } else { RolloutPhase::Trial };
        let record = RolloutRecord::new(order.written_at, order.target.clone(), phase, fence);
        RolloutRecord { base, closed, ..record }
    }

    /// What a version may get. A target that is `held` gets nothing until the rollout is decided.
    pub(super) fn gate(&self, version: &ServiceVersion, is_held: bool) -> VersionGate {
        if let Some(record) = self.current_record() {
            return record.gate(version, is_held);
        }
        match (&self.order, &self.record) {
            (Some(order), _) => self.new_order_gate(order, version),
            (None, None) => VersionGate::Open,
            (None, Some(record)) => record.gate(version, is_held || self.is_withdrawn()),
        }
    }

    /// An order without a record: its target gets nothing until the record is seen.
    fn new_order_gate(&self, order: &RolloutOrder, version: &ServiceVersion) -> VersionGate {
        let (base, closed) = self.closed_for(&order.target);
        if *version == order.target && base.as_ref() != Some(version) {
            return VersionGate::Trial;
        }
        let is_open = *version == order.target || is_open_old(version, &base, &closed);
        if is_open { VersionGate::Open } else { VersionGate::Closed }
    }

    /// Last completed target, and other versions that earlier rollouts closed.
    fn closed_for(&self, target: &ServiceVersion) -> (Option<ServiceVersion>, Vec<ServiceVersion>) {
        let Some(record) = &self.record else { return (None, Vec::new()) };
        if record.phase == RolloutPhase::Completed {
            return (Some(record.target.clone()), Vec::new());
        }
        let mut closed = record.closed.clone();
        closed.retain(|version| version != target && *version != record.target);
        if record.target != *target {
            closed.push(record.target.clone());
        }
        let excess = closed.len().saturating_sub(MAX_CLOSED);
        closed.drain(..excess);
        (record.base.clone(), closed)
    }

    /// Whether a record replaces the one that holds.
    fn accepts(&self, record: &RolloutRecord) -> bool {
        let Some(known) = &self.record else { return true };
        if known.has_order_of(record) {
            return record.phase == known.phase || record.phase.replaces(known.phase);
        }
        let is_of_order = |record: &RolloutRecord| {
            self.order.as_ref().is_some_and(|order| record.belongs_to(order))
        };
        match (is_of_order(known), is_of_order(record)) {
            (true, false) => false,
            (false, true) => true,
            _ => record.order > known.order,
        }
    }

    fn set(&mut self, now: Instant, record: RolloutRecord) -> bool {
        let is_same = self
            .record
            .as_ref()
            .is_some_and(|known| known.has_order_of(&record) && known.phase == record.phase);
        self.record = Some(record);
        if !is_same {
            self.phase_since = Some(now);
        }
        !is_same
    }
}

impl RolloutRecord {
    fn gate(&self, version: &ServiceVersion, is_held: bool) -> VersionGate {
        use RolloutPhase::{Completed, DrainOld, RolledBack, Shift, Trial};
        if *version == self.target {
            return match self.phase {
                Trial | Shift if is_held => VersionGate::Closed,
                Trial => VersionGate::Trial,
                Shift | DrainOld | Completed => VersionGate::Open,
                RolledBack => VersionGate::Closed,
            };
        }
        let is_old_open = matches!(self.phase, Trial | Shift | RolledBack);
        if is_old_open && is_open_old(version, &self.base, &self.closed) {
            VersionGate::Open
        } else {
            VersionGate::Closed
        }
    }
}

fn is_open_old(
    version: &ServiceVersion,
    base: &Option<ServiceVersion>,
    closed: &[ServiceVersion],
) -> bool {
    base.as_ref().is_none_or(|base| base == version) && !closed.contains(version)
}

/// A store that came back from an older copy shows the same order in a later era.
fn is_same_order(known: &RolloutOrder, shown: &RolloutOrder) -> bool {
    known.written_at.revision == shown.written_at.revision && known.target == shown.target
}

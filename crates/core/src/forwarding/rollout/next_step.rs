use super::{
    RolloutInputs, RolloutOrder, RolloutPhase, RolloutReason, RolloutRecord, RolloutStep,
    RolloutVerdict, ServiceRollout,
};
use std::time::{Duration, Instant};

/// Parts of the order's duration. The trial goes on after a good verdict, since a version may turn
/// bad later and the share that it may get is of the whole duration.
const MIN_TRIAL: f64 = 0.35;
const MAX_TRIAL: f64 = 0.5;
/// End of the trial of a target that has not answered yet.
const MAX_TRIAL_UNANSWERED: f64 = 0.6;
/// Time for which a target that answered late is tried, and the end of such a trial.
const LATE_TRIAL: f64 = 0.15;
const MAX_LATE_TRIAL: f64 = 0.7;
/// Least time in which both versions share the load, and in which the target has all of it while
/// the old endpoints can still take it back.
const MIN_SHIFT: f64 = 0.12;
const MIN_DRAIN: f64 = 0.12;
/// End of the shift for a target with half of the endpoints it needs, and with any.
const MAX_SHIFT: f64 = 0.5;
const MAX_SHIFT_FEW: f64 = 0.7;
/// Time at which signs against the target decide.
const DECIDE_BY: f64 = 0.8;
/// Time at which requests that may be repeated are no longer waited for.
const DRAIN_BY: f64 = 0.9;
/// Bounds of the least times, for long durations.
const LONGEST_MIN_TRIAL: Duration = Duration::from_secs(60);
const LONGEST_MIN_SHIFT: Duration = Duration::from_secs(20);
const LONGEST_MIN_DRAIN: Duration = Duration::from_secs(10);
/// Longest wait for requests in flight to old endpoints.
const LONGEST_DRAIN: Duration = Duration::from_secs(15);

use RolloutPhase::{Completed, DrainOld, RolledBack, Shift, Trial};

impl ServiceRollout {
    /// Record that the leader writes next, if any. Only for the holder of the order lease.
    pub fn next_step(&self, now: Instant, inputs: &RolloutInputs) -> Option<RolloutStep> {
        let step = |record, reason| RolloutStep { record, reason, evidence: self.evidence() };
        let Some(order) = self.state.order() else {
            let record = self.withdrawn_record(inputs.fence)?;
            return inputs.is_view_current.then(|| step(record, RolloutReason::Withdrawn));
        };
        let Some(record) = self.state.current_record() else {
            let record = self.state.first_record(order, inputs.fence);
            return inputs.is_view_current.then(|| step(record, RolloutReason::NewOrder));
        };
        let next = self.next_phase(now, order, record, inputs);
        // A version that is bad is turned back at once; all else waits for a current view.
        let next = next.filter(|(phase, _)| *phase == RolledBack || inputs.is_view_current);
        let (phase, reason) = next?;
        let order = order.written_at;
        let fence = inputs.fence;
        Some(step(RolloutRecord { order, phase, fence, ..record.clone() }, reason))
    }

    fn withdrawn_record(&self, fence: u64) -> Option<RolloutRecord> {
        let record = self.state.record().filter(|_| self.state.is_withdrawn())?;
        Some(RolloutRecord { phase: RolledBack, fence, ..record.clone() })
    }

    fn next_phase(
        &self,
        now: Instant,
        order: &RolloutOrder,
        record: &RolloutRecord,
        inputs: &RolloutInputs,
    ) -> Option<(RolloutPhase, RolloutReason)> {
        if !record.phase.is_final() && self.is_bad(now) {
            return Some((RolledBack, RolloutReason::BadAnswers));
        }
        let age = inputs.since_order.max(self.order_age_at(now));
        let elapsed = age.as_secs_f64() / order.duration.as_secs_f64().max(f64::EPSILON);
        let next = match record.phase {
            Trial => self.after_trial(now, order, inputs, elapsed),
            Shift => self.after_shift(now, order, inputs, elapsed),
            DrainOld => self.after_drain(now, order, inputs, elapsed),
            Completed | RolledBack => None,
        };
        let is_of_earlier_order = !record.belongs_to(order);
        let is_behind = self.state.is_behind() || is_of_earlier_order;
        next.or_else(|| is_behind.then_some((record.phase, RolloutReason::NotStored)))
    }

    fn is_bad(&self, now: Instant) -> bool {
        self.pool.is_bad() || self.pool.is_suspicious() && self.others.hold_bad(now)
    }

    fn after_trial(
        &self,
        now: Instant,
        order: &RolloutOrder,
        inputs: &RolloutInputs,
        elapsed: f64,
    ) -> Option<(RolloutPhase, RolloutReason)> {
        if self.pool.is_suspicious() {
            return (elapsed >= DECIDE_BY).then_some((RolledBack, RolloutReason::BadSigns));
        }
        if inputs.target.ready == 0 {
            return None;
        }
        if inputs.old.ready == 0 && self.pool.old_answers() == 0 {
            return Some((Shift, RolloutReason::NoOldEndpoints));
        }
        let min_trial = part(order, MIN_TRIAL).min(LONGEST_MIN_TRIAL);
        let is_long_enough = elapsed >= fraction(order, min_trial);
        if is_long_enough && self.pool.verdict() == RolloutVerdict::Good {
            return Some((Shift, RolloutReason::GoodAnswers));
        }
        let is_over = elapsed >= self.trial_end(now, order, elapsed);
        is_over.then_some((Shift, RolloutReason::TimeForTrial))
    }

    /// Part of the duration at which a trial without a verdict ends.
    fn trial_end(&self, now: Instant, order: &RolloutOrder, elapsed: f64) -> f64 {
        let Some(first_answer) = self.pool.first_answer() else { return MAX_TRIAL_UNANSWERED };
        let answered = elapsed - fraction(order, now.saturating_duration_since(first_answer));
        (answered + LATE_TRIAL).clamp(MAX_TRIAL, MAX_LATE_TRIAL)
    }

    fn after_shift(
        &self,
        now: Instant,
        order: &RolloutOrder,
        inputs: &RolloutInputs,
        elapsed: f64,
    ) -> Option<(RolloutPhase, RolloutReason)> {
        if self.pool.is_suspicious() {
            return (elapsed >= DECIDE_BY).then_some((RolledBack, RolloutReason::BadSigns));
        }
        let needed = inputs.needed.unwrap_or(inputs.old.ready).max(1);
        let is_short = self.in_phase(now) < part(order, MIN_SHIFT).min(LONGEST_MIN_SHIFT);
        if is_short && elapsed < DECIDE_BY || inputs.target.ready == 0 {
            return None;
        }
        if self.pool.is_doubtful() && elapsed < MAX_SHIFT_FEW {
            return None;
        }
        if inputs.target.warm >= needed {
            return Some((DrainOld, RolloutReason::EnoughEndpoints));
        }
        let has_half = 2 * inputs.target.ready >= needed;
        let end = if has_half { MAX_SHIFT } else { MAX_SHIFT_FEW };
        (elapsed >= end).then_some((DrainOld, RolloutReason::TimeForShift))
    }

    fn after_drain(
        &self,
        now: Instant,
        order: &RolloutOrder,
        inputs: &RolloutInputs,
        elapsed: f64,
    ) -> Option<(RolloutPhase, RolloutReason)> {
        let is_short = self.in_phase(now) < part(order, MIN_DRAIN).min(LONGEST_MIN_DRAIN);
        if is_short && elapsed < DRAIN_BY {
            return None;
        }
        // A daemon's number of requests in flight counts only if it was stated after the daemon closed
        // the old versions.
        let have_all_closed = inputs.have_all_seen_record && self.others.have_closed_old();
        let is_idle = inputs.old_in_flight == Some(0) && self.old_in_flight() == 0;
        let reason = if have_all_closed && is_idle {
            RolloutReason::NothingInFlight
        } else if self.in_phase(now) >= inputs.longest_timeout.min(LONGEST_DRAIN) {
            RolloutReason::LongestTimeout
        } else if have_all_closed && inputs.is_in_flight_idempotent && elapsed >= DRAIN_BY {
            RolloutReason::DurationEnds
        } else {
            return None;
        };
        Some((Completed, reason))
    }

    fn in_phase(&self, now: Instant) -> Duration {
        self.state.phase_since().map(|at| now.saturating_duration_since(at)).unwrap_or_default()
    }
}

fn part(order: &RolloutOrder, part: f64) -> Duration {
    order.duration.mul_f64(part)
}

fn fraction(order: &RolloutOrder, time: Duration) -> f64 {
    time.as_secs_f64() / order.duration.as_secs_f64().max(f64::EPSILON)
}

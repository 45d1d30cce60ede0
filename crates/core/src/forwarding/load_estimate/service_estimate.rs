//! What other daemons have at the endpoints of a plain service, from answers of some age.

use super::super::{EndpointScore, EndpointTable, KnownEndpoint, PickRequest, RequestWork};
use std::time::{Duration, Instant};

/// Number of daemons from which on answers are so rare that what they say of the load is old.
pub const MANY_DAEMONS: usize = 8;
/// Decay time of a difference from the mean load, in multiples of the mean answer time: by then the
/// requests that made the difference have ended, and the other daemons have responded to it.
const FADING_ANSWER_TIMES: f64 = 1.6;
/// Bounds of that time.
const MIN_FADING: Duration = Duration::from_millis(20);
const MAX_FADING: Duration = Duration::from_secs(1);
/// Weight of own requests relative to those of others: they are known at once, and stay longer at a
/// slow endpoint.
const OWN_WEIGHT: f64 = 2.0;
/// Weight of a request lately sent to an endpoint, so that requests go round where nothing else
/// tells the endpoints apart. Where speeds are reported, it would draw requests to slow hosts.
const SPREAD_WEIGHT: f64 = 0.5;

/// Estimate of the load of other daemons on the endpoints of a plain service.
///
/// What an endpoint last reported moves towards the mean of all as it ages. The mean itself is kept,
/// so that the speed of a host has its weight in relation to the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceEstimate {
    mean_per_slot: f64,
    fading: Duration,
    spread_weight: f64,
}

impl ServiceEstimate {
    /// Creates the estimate for a service with these open endpoints.
    pub fn new(open: &[&KnownEndpoint]) -> Self {
        let reported = open.iter().filter_map(|known| Some(known.last_others()?.0 / slots(known)));
        let mean_per_slot = mean(reported).unwrap_or_default();
        let times = open.iter().filter_map(|known| known.answer_time());
        let answer_time = mean(times.map(|time| time.as_secs_f64())).unwrap_or_default();
        let fading = Duration::from_secs_f64(answer_time * FADING_ANSWER_TIMES);
        let has_speeds = open.iter().any(|known| known.work_time.is_reported());
        Self {
            mean_per_slot,
            fading: fading.clamp(MIN_FADING, MAX_FADING),
            spread_weight: if has_speeds { 0.0 } else { SPREAD_WEIGHT },
        }
    }

    /// Estimated requests of other daemons for each slot of an endpoint.
    pub fn others_per_slot(&self, now: Instant, known: &KnownEndpoint) -> f64 {
        let Some((others, at)) = known.last_others() else { return self.mean_per_slot };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let freshness = (-age / self.fading.as_secs_f64()).exp();
        self.mean_per_slot + (others / slots(known) - self.mean_per_slot) * freshness
    }

    /// Scores an endpoint by the time until it has served the request and those ahead of it; `other`
    /// are further costs, in requests.
    pub fn score(&self, now: Instant, known: &KnownEndpoint, other: f64) -> EndpointScore {
        let own = f64::from(known.work.requests) * OWN_WEIGHT + 1.0 + other;
        let load = own / slots(known) + self.others_per_slot(now, known);
        let spread = known.recent_sends.count(now) * self.spread_weight / slots(known);
        EndpointScore {
            cost: known.work_time.factor(now) * load + spread,
            version: None,
            work: RequestWork::default(),
            has_room: true,
        }
    }
}

impl EndpointTable {
    /// Estimate of the others' load for a request without a prompt; `None` if what answers say of it
    /// is to be taken as it is, since there are few daemons and no endpoint reports its speed.
    pub(in super::super) fn service_estimate(
        &self,
        req: &PickRequest<'_>,
        open: &[&KnownEndpoint],
    ) -> Option<ServiceEstimate> {
        let is_needed = || {
            self.ranks.daemons() >= MANY_DAEMONS
                || open.iter().any(|known| known.work_time.is_reported())
        };
        (req.prompt.is_none() && is_needed()).then(|| ServiceEstimate::new(open))
    }
}

fn slots(known: &KnownEndpoint) -> f64 {
    f64::from(known.entry.slots.max(1))
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (count, sum) = values.fold((0, 0.0), |(count, sum), value| (count + 1, sum + value));
    (count > 0).then(|| sum / f64::from(count))
}

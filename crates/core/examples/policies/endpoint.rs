use crate::scenario::{DECODE, Policy};
use cassiagw_core::admission::{
    AdmissionConfig, AdmissionControl, AdmissionRequest, RampConfig, RequestOutcome,
};
use cassiagw_core::settings::Priority;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Concurrency limit of a warm endpoint.
const SLOTS: u32 = 16;
/// Prefill time per prompt token.
pub const PER_TOKEN: Duration = Duration::from_micros(20);

/// Simulated endpoint: its admission control and the state of its engine.
pub struct Endpoint {
    pub admission: AdmissionControl,
    pub boot: u64,
    /// Keys of the cached prompts, the least recently used first.
    pub cache: VecDeque<u64>,
    /// Time of the restart; `None` while the engine is warm.
    pub cold_since: Option<Duration>,
    /// When the engine has finished the prefills started so far.
    pub prefill_until: Duration,
    /// Requests completed since the last restart.
    pub served: u32,
    pub running: u32,
}
impl Endpoint {
    /// Concurrent requests that a cold engine can handle: 2, and 1 more for every two requests
    /// served and for each second. At the warm limit the engine becomes warm: `None` from then on.
    pub fn cold_capacity(&mut self, now: Duration) -> Option<u32> {
        let since = self.cold_since?;
        let limit = 2.0 + 0.5 * f64::from(self.served) + (now - since).as_secs_f64();
        if limit >= f64::from(SLOTS) {
            self.cold_since = None;
            return None;
        }
        Some(limit as u32)
    }
}
/// Admission control that has already reached the warm limit.
pub fn warm_admission(policy: Policy, now: Instant) -> AdmissionControl {
    let ramp = RampConfig {
        cold_limit: if policy.is_fair() { 2 } else { SLOTS },
        warm_limit: SLOTS,
        growth_permille: 500,
        min_warm_up: Duration::from_secs(2),
    };
    let mut fair = AdmissionConfig { ramp, ..AdmissionConfig::default() };
    if policy == Policy::NoReserve {
        fair.reserve_permille = 0;
    }
    if policy == Policy::StrictPriority {
        fair.max_interactive_streak = u32::MAX;
        fair.aging_threshold = Duration::from_secs(1_000_000);
        fair.urgent_service_times = 0;
    }
    let plain = AdmissionConfig {
        max_waiting: 100_000,
        waiting_per_slot: 100_000,
        reserve_permille: 0,
        max_outstanding_prefill: Duration::MAX,
        ..fair.clone()
    };
    let is_fair = policy.is_fair();
    let mut admission = AdmissionControl::new(if is_fair { fair } else { plain }, now);
    for id in 0..40 {
        let request = AdmissionRequest {
            id,
            workspace: "warm-up".into(),
            weight: 1,
            priority: Priority::Interactive,
            cost_tokens: 1,
            prefill_tokens: 0,
            deadline: now + Duration::from_secs(1_000),
        };
        let _ = admission.enqueue(now, request);
        admission.poll(now);
        let served = RequestOutcome::Served { computed_tokens: 1_000 };
        admission.on_finished(now + DECODE, id, served);
    }
    admission
}

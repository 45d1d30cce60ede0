use super::RampConfig;
use std::time::Duration;

/// Settings of an [`AdmissionControl`](super::AdmissionControl).
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// Concurrent requests, cold and warm.
    pub ramp: RampConfig,
    /// Longest queue of a warm endpoint, in requests.
    pub max_waiting: u32,
    /// Requests that may wait for each one that may run.
    pub waiting_per_slot: u32,
    /// Interactive requests started in a row while a batch request waits.
    pub max_passes: u32,
    /// Wait after which a batch request is treated as urgent.
    pub ageing: Duration,
    /// Service times left before its deadline from which on a batch request is urgent.
    pub urgent_service_times: u32,
    /// Share of the concurrent requests that batch work leaves free, in 1/1000.
    pub reserve_permille: u32,
    /// Time since the last interactive request for which the reserve is kept.
    pub reserve_memory: Duration,
    /// Prompt computing that may be under way when another request starts.
    ///
    /// An endpoint computes prompts in its own order; what waits in the daemon instead is still
    /// subject to shares and priorities.
    pub prefill_ahead: Duration,
    /// Whether an idle endpoint must be confirmed not to have restarted before it gets more than
    /// a cold one bears. While requests run, their failure tells of a restart.
    pub confirm_after_idle: bool,
    /// Service time of a request before one was measured.
    pub service_time: Duration,
    /// Time to compute one prompt token before it was measured.
    pub prefill_per_token: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            ramp: RampConfig::default(),
            max_waiting: 256,
            waiting_per_slot: 8,
            max_passes: 32,
            ageing: Duration::from_secs(30),
            urgent_service_times: 2,
            reserve_permille: 250,
            reserve_memory: Duration::from_secs(10),
            prefill_ahead: Duration::from_millis(20),
            confirm_after_idle: false,
            service_time: Duration::from_millis(500),
            prefill_per_token: Duration::from_micros(100),
        }
    }
}

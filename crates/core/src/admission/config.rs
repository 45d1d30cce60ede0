use super::RampConfig;
use std::time::Duration;

/// Settings of an [`AdmissionControl`](super::AdmissionControl).
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// Concurrency limits of a cold and a warm endpoint, and how fast the limit grows.
    pub ramp: RampConfig,
    /// Upper bound on the queue length, in requests, whatever the concurrency limit.
    pub max_waiting: u32,
    /// Queue length per concurrent request allowed; shortens the queue of a cold endpoint.
    pub waiting_per_slot: u32,
    /// Interactive requests that may start in a row while a batch request could start instead.
    pub max_interactive_streak: u32,
    /// Time in the queue after which a batch request is urgent.
    pub aging_threshold: Duration,
    /// A batch request is urgent once its deadline is at most this many mean service times of batch
    /// requests away.
    pub urgent_service_times: u32,
    /// Share of the concurrency limit that batch requests may not use, in 1/1000.
    pub reserve_permille: u32,
    /// Time for which the reserve is kept after the last interactive request arrived.
    pub reserve_duration: Duration,
    /// Estimated prefill time outstanding on the endpoint above which no further request starts.
    ///
    /// An endpoint prefills in an order of its own. Requests held back in the daemon are still
    /// scheduled by share and priority.
    pub max_outstanding_prefill: Duration,
    /// Whether an idle endpoint is held to the cold limit until it is confirmed not to have
    /// restarted. While requests are running, a restart shows up as their failure.
    pub confirm_after_idle: bool,
    /// Initial estimate of a request's service time, until one is measured.
    pub service_time: Duration,
    /// Initial estimate of the prefill time per prompt token, until one is measured.
    pub prefill_per_token: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            ramp: RampConfig::default(),
            max_waiting: 256,
            waiting_per_slot: 8,
            max_interactive_streak: 32,
            aging_threshold: Duration::from_secs(30),
            urgent_service_times: 2,
            reserve_permille: 250,
            reserve_duration: Duration::from_secs(10),
            max_outstanding_prefill: Duration::from_millis(20),
            confirm_after_idle: false,
            service_time: Duration::from_millis(500),
            prefill_per_token: Duration::from_micros(100),
        }
    }
}

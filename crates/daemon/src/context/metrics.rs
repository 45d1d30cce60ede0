use super::MeterRegistry;
use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Counter, Histogram, UpDownCounter},
};
use std::time::Duration;

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.63, 1.0, 2.5, 10.0, 60.0];

/// Metrics of one daemon, exported on its admin address.
pub struct Metrics {
    registry: MeterRegistry,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    tokens: Counter<u64>,
    running: UpDownCounter<i64>,
    first_token: Histogram<f64>,
}

impl Metrics {
    /// Makes the instruments with all counts at zero.
    pub fn new() -> Self {
        let registry = MeterRegistry::new();
        let meter = registry.meter();
        Self {
            registry,
            requests: meter.u64_counter("cassiagw_requests").build(),
            attempts: meter.u64_counter("cassiagw_attempts").build(),
            tokens: meter.u64_counter("cassiagw_tokens").build(),
            running: meter.i64_up_down_counter("cassiagw_running").build(),
            first_token: meter
                .f64_histogram("cassiagw_first_token_seconds")
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build(),
        }
    }

    /// Counts a caller's request, labeled with its outcome code.
    pub fn count_request(&self, outcome: &str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome.to_owned())]);
    }

    /// Counts an attempt on an endpoint, labeled with its result.
    pub fn count_attempt(&self, result: &str) {
        self.attempts.add(1, &[KeyValue::new("result", result.to_owned())]);
    }

    /// Counts tokens that were relayed to callers.
    pub fn count_tokens(&self, tokens: usize) {
        self.tokens.add(tokens as u64, &[]);
    }

    /// Adjusts the number of running requests: +1 at the start of one, -1 at its end.
    pub fn add_running(&self, change: i64) {
        self.running.add(change, &[]);
    }

    /// Records the time from a request's arrival to its first token.
    pub fn record_first_token(&self, time: Duration) {
        self.first_token.record(time.as_secs_f64(), &[]);
    }

    /// Registers an observable counter; `read` is called at each export and returns the value for
    /// each `kind` label.
    pub fn observe(
        &self,
        name: &'static str,
        read: impl Fn() -> Vec<(&'static str, u64)> + Send + Sync + 'static,
    ) {
        let observe = move |observer: &dyn AsyncInstrument<u64>| {
            let counts = read().into_iter();
            counts
                .for_each(|(kind, count)| observer.observe(count, &[KeyValue::new("kind", kind)]));
        };
        let meter = self.registry.meter();
        meter.u64_observable_counter(name).with_callback(observe).build();
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.registry.render()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

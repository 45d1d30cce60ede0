use crate::context::MeterRegistry;
use cassiagw_core::forwarding::{
    AnswerOutcome, EndpointNotice, Fault, Framing, RolloutStep, RouteKind,
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use std::{fmt, time::Duration};

/// Histogram bucket boundaries for durations, in seconds.
const TIME_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 3.0, 6.0, 12.0];

/// Gauge values, sampled when metrics are rendered.
#[derive(Clone, Copy, Debug)]
pub struct GaugeValues {
    /// Bytes held for callers, by use.
    pub held_bytes: [(&'static str, u64); 2],
    /// Callers that met the memory limits since the start, by event.
    pub memory_events: [(&'static str, u64); 4],
    /// Version of the settings in force.
    pub settings_version: u64,
    /// Time since the store last responded. `None` if it never did.
    pub store_age: Option<Duration>,
    /// Requests that wait for capacity at an engine.
    pub queued: usize,
    /// Number of member daemons, including this one.
    pub members: usize,
    /// Number of endpoints that advertise a limit.
    pub limited_endpoints: usize,
    /// Number of endpoints that leave as their answers say, though the list does not.
    pub leaving_endpoints: usize,
    /// Number of endpoints that want no requests of this daemon.
    pub paused_endpoints: usize,
    /// Number of endpoints that lately said how long work takes there.
    pub known_work_times: usize,
    /// Number of prompt parts in quarantine.
    pub quarantined_parts: usize,
    /// Number of services of which a rollout is under way.
    pub running_rollouts: usize,
}

/// Metrics of a daemon in the forwarding role. Label cardinality does not depend on the number of
/// routes.
pub struct ForwardMetrics {
    registry: MeterRegistry,
    requests: Counter<u64>,
    faults: Counter<u64>,
    answers: Counter<u64>,
    end_checks: Counter<u64>,
    connections: Counter<u64>,
    store_calls: Counter<u64>,
    orders: Counter<u64>,
    first_byte: Histogram<f64>,
    duration: Histogram<f64>,
    queue_time: Histogram<f64>,
    dropped_lines: Counter<u64>,
    retry_decisions: Counter<u64>,
    resumes: Counter<u64>,
    parts: Counter<u64>,
    settings_version: Gauge<u64>,
    held_bytes: Gauge<u64>,
    memory_events: Gauge<u64>,
    store_age: Gauge<f64>,
    queued: Gauge<u64>,
    members: Gauge<u64>,
    crashed_runs: Counter<u64>,
    quarantine_changes: Counter<u64>,
    quarantined_parts: Gauge<u64>,
    limited_endpoints: Gauge<u64>,
    endpoint_notices: Counter<u64>,
    task_panics: Counter<u64>,
    leaving_endpoints: Gauge<u64>,
    paused_endpoints: Gauge<u64>,
    work_times: Counter<u64>,
    known_work_times: Gauge<u64>,
    rollout_steps: Counter<u64>,
    version_outcomes: Counter<u64>,
    running_rollouts: Gauge<u64>,
}

impl ForwardMetrics {
    /// Creates the instruments in a new registry.
    pub fn new() -> Self {
        let registry = MeterRegistry::new();
        let meter = registry.meter();
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let seconds = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(TIME_BOUNDS_S.to_vec()).build()
        };
        Self {
            requests: counter("cassiagw_forward_requests"),
            faults: counter("cassiagw_forward_faults"),
            end_checks: counter("cassiagw_forward_end_checks"),
            answers: counter("cassiagw_forward_answers"),
            connections: counter("cassiagw_forward_connections"),
            store_calls: counter("cassiagw_store_calls"),
            orders: counter("cassiagw_engine_orders"),
            first_byte: seconds("cassiagw_forward_first_byte_seconds"),
            duration: seconds("cassiagw_forward_whole_seconds"),
            retry_decisions: counter("cassiagw_forward_after_faults"),
            resumes: counter("cassiagw_forward_resumes"),
            parts: counter("cassiagw_forward_prompt_parts"),
            settings_version: meter.u64_gauge("cassiagw_forward_settings_version").build(),
            held_bytes: meter.u64_gauge("cassiagw_forward_held_bytes").build(),
            memory_events: meter.u64_gauge("cassiagw_forward_memory_events").build(),
            store_age: meter.f64_gauge("cassiagw_forward_store_age_seconds").build(),
            queued: meter.u64_gauge("cassiagw_forward_queued_requests").build(),
            members: meter.u64_gauge("cassiagw_forward_members").build(),
            crashed_runs: counter("cassiagw_forward_crashed_runs"),
            quarantine_changes: counter("cassiagw_forward_quarantine_changes"),
            quarantined_parts: meter.u64_gauge("cassiagw_forward_quarantined_parts").build(),
            limited_endpoints: meter.u64_gauge("cassiagw_forward_limited_endpoints").build(),
            leaving_endpoints: meter.u64_gauge("cassiagw_forward_leaving_endpoints").build(),
            paused_endpoints: meter.u64_gauge("cassiagw_forward_paused_endpoints").build(),
            work_times: counter("cassiagw_forward_work_times"),
            known_work_times: meter.u64_gauge("cassiagw_forward_known_work_times").build(),
            rollout_steps: counter("cassiagw_rollout_steps"),
            version_outcomes: counter("cassiagw_rollout_outcomes"),
            running_rollouts: meter.u64_gauge("cassiagw_rollouts_running").build(),
            task_panics: counter("cassiagw_forward_task_panics"),
            endpoint_notices: counter("cassiagw_forward_endpoint_notices"),
            dropped_lines: counter("cassiagw_log_lines_dropped"),
            queue_time: seconds("cassiagw_forward_queue_seconds"),
            registry,
        }
    }

    /// Counts a finished request by route kind and outcome.
    pub fn count_request(&self, kind: RouteKind, outcome: &'static str) {
        let labels = [KeyValue::new("kind", kind.name()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
    }

    /// Counts a failed attempt by fault.
    pub fn count_fault(&self, fault: Fault) {
        self.faults.add(1, &[KeyValue::new("fault", fault.name())]);
    }

    /// Counts an answer of an endpoint by how its end is marked.
    pub fn count_answer(&self, framing: Framing) {
        self.answers.add(1, &[KeyValue::new("framing", framing.name())]);
    }

    /// Counts an answer in which an endpoint says that it leaves or wants no requests for a time.
    pub fn count_notice(&self, notice: EndpointNotice) {
        let said = [("leaving", notice.is_leaving), ("pause", notice.pause.is_some())];
        for (name, _) in said.into_iter().filter(|(_, is_said)| *is_said) {
            self.endpoint_notices.add(1, &[KeyValue::new("notice", name)]);
        }
    }

    /// Counts a figure of how long work takes at an endpoint, by whether it is used.
    pub fn count_work_time(&self, is_used: bool) {
        self.work_times.add(1, &[KeyValue::new("used", is_used)]);
    }

    /// Counts a background task that panicked and is started anew.
    pub fn count_task_panic(&self, task: &'static str) {
        self.task_panics.add(1, &[KeyValue::new("task", task)]);
    }

    /// Counts a check of an answer that ended with its connection, by whether the endpoint lives.
    pub fn count_end_check(&self, is_alive: bool) {
        self.end_checks.add(1, &[KeyValue::new("alive", is_alive)]);
    }

    /// Counts a connection taken for an attempt as reused or newly opened.
    pub fn count_connection(&self, is_reused: bool) {
        let connection_use = if is_reused { "reused" } else { "made" };
        self.connections.add(1, &[KeyValue::new("use", connection_use)]);
    }

    /// Counts a call to the store by name and success.
    pub fn count_store_call(&self, call: &'static str, is_ok: bool) {
        let labels = [KeyValue::new("call", call), KeyValue::new("ok", is_ok)];
        self.store_calls.add(1, &labels);
    }

    /// Counts an order to an engine by outcome.
    pub fn count_order(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the time from the arrival of a request to the first bytes of its response.
    pub fn record_first_byte(&self, kind: RouteKind, time: Duration) {
        self.first_byte.record(time.as_secs_f64(), &[KeyValue::new("kind", kind.name())]);
    }

    /// Records the time from the arrival of a request to the end of its response.
    pub fn record_duration(&self, kind: RouteKind, time: Duration) {
        self.duration.record(time.as_secs_f64(), &[KeyValue::new("kind", kind.name())]);
    }

    /// Records the time that a request spent in the queue of this daemon.
    pub fn record_queue_time(&self, kind: RouteKind, time: Duration) {
        self.queue_time.record(time.as_secs_f64(), &[KeyValue::new("kind", kind.name())]);
    }

    /// Counts the decision after a failed attempt: a retry or an error response.
    pub fn count_retry_decision(&self, decision: &'static str) {
        self.retry_decisions.add(1, &[KeyValue::new("next", decision)]);
    }

    /// Counts a stream that a caller resumes, and whether it goes on.
    pub fn count_resume(&self, is_resumed: bool) {
        self.resumes.add(1, &[KeyValue::new("resumed", is_resumed)]);
    }

    /// Counts prompt parts that an engine is told to fetch and to save.
    pub fn count_parts(&self, fetched: usize, saved: usize) {
        for (moved, parts) in [("fetched", fetched), ("saved", saved)] {
            self.parts.add(parts as u64, &[KeyValue::new("move", moved)]);
        }
    }

    /// Counts a run that ended with a crash of its endpoint, by whether its answer had begun.
    pub fn count_crashed_run(&self, has_begun: bool) {
        self.crashed_runs.add(1, &[KeyValue::new("begun", has_begun)]);
    }

    /// Counts a quarantine on a prompt part that is new or has ended.
    pub fn count_quarantine_change(&self, change: &'static str) {
        self.quarantine_changes.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a step of a rollout that this daemon decided, by phase and reason.
    pub fn count_rollout_step(&self, step: &RolloutStep) {
        let phase = KeyValue::new("phase", step.record.phase.name());
        self.rollout_steps.add(1, &[phase, KeyValue::new("reason", step.reason.name())]);
    }

    /// Counts the outcome of a request to a service of which there is a rollout.
    pub fn count_version_outcome(&self, outcome: AnswerOutcome) {
        let outcome = match outcome {
            AnswerOutcome::Good { .. } => "good",
            AnswerOutcome::Bad { .. } => "bad",
            AnswerOutcome::Cut => "cut",
            AnswerOutcome::Ignored => "ignored",
        };
        self.version_outcomes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Sets the gauges, before they are rendered.
    pub fn record_gauges(&self, gauge_values: &GaugeValues) {
        self.settings_version.record(gauge_values.settings_version, &[]);
        for (usage, bytes) in gauge_values.held_bytes {
            self.held_bytes.record(bytes, &[KeyValue::new("use", usage)]);
        }
        for (event, count) in gauge_values.memory_events {
            self.memory_events.record(count, &[KeyValue::new("event", event)]);
        }
        self.queued.record(gauge_values.queued as u64, &[]);
        self.members.record(gauge_values.members as u64, &[]);
        self.limited_endpoints.record(gauge_values.limited_endpoints as u64, &[]);
        self.leaving_endpoints.record(gauge_values.leaving_endpoints as u64, &[]);
        self.paused_endpoints.record(gauge_values.paused_endpoints as u64, &[]);
        self.known_work_times.record(gauge_values.known_work_times as u64, &[]);
        self.quarantined_parts.record(gauge_values.quarantined_parts as u64, &[]);
        self.running_rollouts.record(gauge_values.running_rollouts as u64, &[]);
        if let Some(age) = gauge_values.store_age {
            self.store_age.record(age.as_secs_f64(), &[]);
        }
    }

    /// Counts log lines that were dropped by the rate limit.
    pub fn count_dropped_lines(&self, lines: u64) {
        self.dropped_lines.add(lines, &[]);
    }

    /// Renders every metric in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.registry.render()
    }
}

impl fmt::Debug for ForwardMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ForwardMetrics").finish_non_exhaustive()
    }
}

impl Default for ForwardMetrics {
    fn default() -> Self {
        Self::new()
    }
}

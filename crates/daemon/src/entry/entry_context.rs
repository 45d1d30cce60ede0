use super::dispatch::EndpointPool;
use crate::{
    caller_memory::CallerMemory, claims::Claims, context::Context, operators::OperatorsContext,
};
use cassiagw_core::{claims::AttemptSeries, ids::AttemptId};
use cassiagw_rpc::Deployment;
use std::sync::{Arc, Mutex, PoisonError};

/// Age at which an entry starts a new series of attempt IDs, because endpoint daemons evict the
/// oldest series first.
const MAX_SERIES_AGE_MS: u64 = 6 * 3_600 * 1_000;

/// State shared by all requests of an entry.
pub struct EntryContext {
    /// State shared with the daemon's other roles: configuration, settings and metrics.
    pub cx: Arc<Context>,
    /// Connections to endpoint daemons and the routing state with their last reported load.
    pub pool: EndpointPool,
    /// State of the operator API, which the entry serves on its HTTP port.
    pub operators: OperatorsContext,
    /// Claims on idempotency keys, which make a request run at most once.
    pub claims: Claims,
    /// Memory for bodies of requests and for complete answers.
    pub memory: Arc<CallerMemory>,
    series: Mutex<AttemptSeries>,
}

impl EntryContext {
    /// Creates an entry's context with no open connections and a new series of attempt IDs.
    pub fn new(cx: Arc<Context>, claims: Claims, memory: Arc<CallerMemory>) -> Self {
        let counted = memory.clone();
        cx.metrics.observe("cassiagw_memory_events", move || counted.events().to_vec());
        let pool = EndpointPool::new(
            Deployment::new(&cx.cfg.prefix()),
            cx.cfg.limits.connect_timeout,
            cx.cfg.zone.clone(),
        );
        let operators = OperatorsContext {
            control: cx.control.clone(),
            token_hashes: vec![cx.cfg.operator_token],
        };
        let series = Mutex::new(new_series(&cx));
        Self { cx, pool, operators, claims, memory, series }
    }

    /// Allocates an attempt ID.
    pub fn new_attempt(&self) -> AttemptId {
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        if series.age_ms(self.cx.unix_now() * 1_000) > MAX_SERIES_AGE_MS {
            *series = new_series(&self.cx);
        }
        series.next_id()
    }
}

fn new_series(cx: &Context) -> AttemptSeries {
    AttemptSeries::new(cx.unix_now() * 1_000, rand::random())
}

use cassiagw_core::{
    ids::{EndpointId, VersionId, ZoneId},
    membership::View,
    retry::{AttemptOutcome, Attempts, NextStep, RetryBudget, RetryBudgetConfig},
    routing::{CompletedRequest, EndpointLoad, RouteDecision, RouteRequest, Router, RouterConfig},
};
use cassiagw_rpc::LoadReport;
use rand::{SeedableRng, rngs::StdRng};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// Endpoint selection and retry budget, shared by all requests of an entry.
#[derive(Debug)]
pub struct EntryRouting {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    router: Router,
    rng: StdRng,
    view: Option<Arc<View>>,
    budget: RetryBudget,
}

impl EntryRouting {
    /// Creates the routing state of an entry in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        let state = State {
            router: Router::new(zone, RouterConfig::default()),
            rng: StdRng::seed_from_u64(rand::random()),
            view: None,
            budget: RetryBudget::new(RetryBudgetConfig::default(), Instant::now()),
        };
        Self { state: Mutex::new(state) }
    }

    /// Selects an endpoint and counts the request as sent to it.
    pub fn choose(&self, view: &Arc<View>, req: &RouteRequest) -> RouteDecision {
        let now = Instant::now();
        let mut state = self.lock();
        let State { router, rng, view: routed_view, .. } = &mut *state;
        if routed_view.as_ref().is_none_or(|routed_view| !Arc::ptr_eq(routed_view, view)) {
            router.set_view(view);
            *routed_view = Some(view.clone());
        }
        let decision = router.choose(now, req, rng);
        if let RouteDecision::Send(choice) = &decision {
            router.on_sent(now, &choice.endpoint, choice.missing_tokens);
        }
        decision
    }

    /// Records a load report that includes every request sent to the endpoint up to `as_of`.
    pub fn on_load(&self, endpoint: &str, report: &LoadReport, as_of: Instant) {
        self.lock().router.on_load(endpoint, endpoint_load(report), as_of);
    }

    /// Records that an endpoint's daemon failed or was unreachable.
    pub fn on_failed(&self, endpoint: &str) {
        self.lock().router.on_failed(Instant::now(), endpoint);
    }

    /// Records that an endpoint has not loaded a weight version.
    pub fn on_not_loaded(&self, endpoint: &str, version: VersionId) {
        self.lock().router.on_not_loaded(Instant::now(), endpoint, version);
    }

    /// Records a complete response, from which the router learns which pieces the endpoint caches.
    pub fn on_completed(&self, completed: CompletedRequest) {
        self.lock().router.on_completed(completed);
    }

    /// Adds a new request's share to the retry budget.
    pub fn on_first_attempt(&self) {
        self.lock().budget.on_first_attempt();
    }

    /// Decides what follows an attempt that did not yield a complete response.
    pub fn next_step(
        &self,
        attempts: &mut Attempts,
        endpoint: EndpointId,
        outcome: AttemptOutcome,
    ) -> NextStep {
        attempts.on_end(Instant::now(), endpoint, outcome, &mut self.lock().budget)
    }

    /// Decides again after a wait whether another attempt may be made.
    pub fn try_again(&self, attempts: &mut Attempts) -> NextStep {
        attempts.try_again(Instant::now(), &mut self.lock().budget)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts a report for the router. Prefers the endpoint's own boot, if known, to its daemon's, as
/// the cache is lost when the endpoint restarts.
fn endpoint_load(report: &LoadReport) -> EndpointLoad {
    EndpointLoad {
        boot: if report.endpoint_boot == 0 { report.boot } else { report.endpoint_boot },
        running: report.running,
        waiting: report.waiting,
        waiting_tokens: report.waiting_tokens,
        credits: report.credits,
        prefill_per_token: report.prefill_per_token,
        expected_wait: report.expected_wait,
        warmth_permille: report.warmth_permille,
        leaving: report.leaving,
    }
}

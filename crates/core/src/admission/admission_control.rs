use super::{
    AdmissionConfig, AdmissionRefusal, AdmissionRequest, Decision, Ramp, RequestOutcome,
    fair_queue::{FairQueue, StartConstraints},
    service_times::ServiceTimes,
};
use crate::{
    ids::{AttemptId, BootId, FastMap, WorkspaceId},
    routing::EndpointLoad,
    settings::Priority,
};
use std::time::{Duration, Instant};

const PERMILLE: u32 = 1_000;

/// Decides which requests to one endpoint start, wait or are refused.
///
/// The endpoint's concurrent requests are counted only here, so the limit holds regardless of the
/// number of entries that send to it.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    cfg: AdmissionConfig,
    ramp: Ramp,
    queue: FairQueue,
    /// Workspace of each waiting request.
    waiting: FastMap<AttemptId, WorkspaceId>,
    running: FastMap<AttemptId, Running>,
    batch_running: u32,
    service_times: ServiceTimes,
    /// Prompt tokens that the endpoint has been given to prefill and not yet finished.
    prefilling_tokens: u64,
    /// Prompt tokens of running requests whose stored cache is still being fetched.
    fetching_tokens: u64,
    last_first_token: Option<Instant>,
    /// Whether the endpoint may have restarted unnoticed, having been idle since its last
    /// confirmation. Only set with [`AdmissionConfig::confirm_after_idle`].
    is_unconfirmed: bool,
    last_interactive: Option<Instant>,
    is_leaving: bool,
}

#[derive(Clone, Debug)]
struct Running {
    workspace: WorkspaceId,
    priority: Priority,
    started: Instant,
    prefill_tokens: u32,
    /// When the endpoint was given the prompt; `None` while stored cache is being fetched.
    prefill_started: Option<Instant>,
    /// Measured prefill time; `None` until the first token.
    prefill: Option<Duration>,
}

impl AdmissionControl {
    /// Creates the admission control of an endpoint that is assumed to be cold.
    pub fn new(cfg: AdmissionConfig, now: Instant) -> Self {
        Self {
            ramp: Ramp::new(cfg.ramp.clone(), now),
            service_times: ServiceTimes::new(&cfg),
            cfg,
            queue: FairQueue::default(),
            waiting: FastMap::default(),
            running: FastMap::default(),
            batch_running: 0,
            prefilling_tokens: 0,
            fetching_tokens: 0,
            last_first_token: None,
            is_unconfirmed: false,
            last_interactive: None,
            is_leaving: false,
        }
    }

    /// Adds a request to the queue; [`Self::poll`] reports when it starts.
    ///
    /// # Errors
    /// Returns why the request was refused; it is not queued and will never start.
    pub fn enqueue(
        &mut self,
        now: Instant,
        request: AdmissionRequest,
    ) -> Result<(), AdmissionRefusal> {
        if self.is_leaving {
            return Err(AdmissionRefusal::Leaving);
        }
        if !self.has_queue_space(now, &request.workspace) {
            return Err(AdmissionRefusal::Full);
        }
        let service = match request.priority {
            Priority::Interactive => self.service_times.service(),
            Priority::Batch => self.service_times.batch_service(),
        };
        let expected = self.queue_time(now, self.queue.requests_ahead(&request)) + service;
        if now + expected > request.deadline {
            return Err(AdmissionRefusal::TooLate { expected });
        }
        if request.priority == Priority::Interactive {
            self.last_interactive = Some(now);
        }
        self.waiting.insert(request.id, request.workspace.clone());
        self.queue.push(now, request);
        Ok(())
    }

    /// Returns the requests that expire or start now.
    ///
    /// Call it after every other event, and periodically, because deadlines and the concurrency
    /// limit also change with time alone.
    pub fn poll(&mut self, now: Instant) -> Vec<Decision> {
        let expired = self.queue.expire(now);
        let mut decisions: Vec<Decision> = expired
            .into_iter()
            .map(|request| {
                self.waiting.remove(&request.id);
                Decision::Expire(request.id)
            })
            .collect();
        while let Some(id) = self.start_next(now) {
            decisions.push(Decision::Start(id));
        }
        decisions
    }

    /// Records that a started request is fetching stored cache before its prefill.
    pub fn on_fetching(&mut self, id: AttemptId) {
        let Some(running) = self.running.get_mut(&id) else { return };
        if running.prefill.is_none() && running.prefill_started.take().is_some() {
            self.prefilling_tokens -= u64::from(running.prefill_tokens);
            self.fetching_tokens += u64::from(running.prefill_tokens);
        }
    }

    /// Records the end of the fetch; the endpoint has `tokens` of the prompt left to prefill.
    pub fn on_fetched(&mut self, now: Instant, id: AttemptId, tokens: u32) {
        let Some(running) = self.running.get_mut(&id) else { return };
        if running.prefill.is_none() && running.prefill_started.is_none() {
            self.fetching_tokens -= u64::from(running.prefill_tokens);
            self.prefilling_tokens += u64::from(tokens);
            running.prefill_tokens = tokens;
            running.prefill_started = Some(now);
        }
    }

    /// Records the first token of a started request.
    ///
    /// The endpoint prefills one prompt at a time, so this prompt's prefill began no earlier than
    /// the previous first token.
    pub fn on_first_token(&mut self, now: Instant, id: AttemptId) {
        let Some(running) = self.running.get_mut(&id) else { return };
        if running.prefill.is_some() {
            return;
        }
        let prefill_start =
            running.prefill_started.max(self.last_first_token).unwrap_or(running.started);
        running.prefill = Some(now.saturating_duration_since(prefill_start));
        *prompt_token_counter(&mut self.prefilling_tokens, &mut self.fetching_tokens, running) -=
            u64::from(running.prefill_tokens);
        self.last_first_token = Some(now);
    }

    /// Records the end of a started request, which frees its slot.
    pub fn on_finished(&mut self, now: Instant, id: AttemptId, outcome: RequestOutcome) {
        let Some(running) = self.running.remove(&id) else { return };
        self.queue.on_finished(&running.workspace);
        self.is_unconfirmed |= self.running.is_empty() && self.cfg.confirm_after_idle;
        if running.priority == Priority::Batch {
            self.batch_running -= 1;
        }
        if running.prefill.is_none() {
            *prompt_token_counter(
                &mut self.prefilling_tokens,
                &mut self.fetching_tokens,
                &running,
            ) -= u64::from(running.prefill_tokens);
        }
        let service = now.saturating_duration_since(running.started);
        let became_slow =
            self.service_times.on_finished(running.priority, service, running.prefill, outcome);
        match outcome {
            _ if became_slow => self.ramp.reset(now),
            RequestOutcome::Served { .. } => self.ramp.on_served(),
            RequestOutcome::Failed => self.ramp.reset(now),
            RequestOutcome::Cancelled => {}
        }
    }

    /// Removes a request from the queue. Returns false if it is not queued.
    pub fn cancel_waiting(&mut self, id: AttemptId) -> bool {
        let workspace = self.waiting.remove(&id);
        workspace.is_some_and(|workspace| self.queue.remove(&workspace, id).is_some())
    }

    /// Records a confirmation that the endpoint has not restarted.
    pub fn on_confirmed(&mut self) {
        self.is_unconfirmed = false;
    }

    /// Whether requests are held back only because the endpoint has not been confirmed.
    pub fn needs_confirmation(&self, now: Instant) -> bool {
        let running = self.running.len() as u32;
        !self.waiting.is_empty() && running >= self.limit(now) && running < self.ramp.limit(now)
    }

    /// Resets the concurrency limit to the cold limit after a restart or the loss of the cache.
    pub fn on_cold(&mut self, now: Instant) {
        self.ramp.reset(now);
    }

    /// Sets whether new requests are refused; queued and running ones are not affected.
    pub fn set_leaving(&mut self, is_leaving: bool) {
        self.is_leaving = is_leaving;
    }

    /// Whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Concurrent requests allowed now, with the cap on an unconfirmed endpoint.
    pub fn limit(&self, now: Instant) -> u32 {
        let cap = if self.is_unconfirmed { self.cfg.ramp.cold_limit } else { u32::MAX };
        self.ramp.limit(now).min(cap)
    }

    /// Number of workspaces with scheduling state in memory.
    pub fn workspaces(&self) -> usize {
        self.queue.workspaces()
    }

    /// Load report for entries; `boot` is copied into it.
    pub fn load(&self, now: Instant, boot: BootId) -> EndpointLoad {
        let running = self.running.len() as u32;
        let waiting = self.queue.waiting() as u32;
        let limit = self.ramp.limit(now);
        EndpointLoad {
            boot,
            running,
            waiting,
            waiting_tokens: self.queue.waiting_tokens(),
            credits: if self.is_leaving { 0 } else { limit.saturating_sub(running + waiting) },
            prefill_per_token: self.service_times.prefill_per_token(),
            expected_wait: self.queue_time(now, self.queue.waiting_of(Priority::Interactive))
                + self.prefill_time(self.prefilling_tokens + self.queue.interactive_prefill()),
            warmth_permille: self.ramp.warmth_permille(now),
            leaving: self.is_leaving,
        }
    }

    fn start_next(&mut self, now: Instant) -> Option<AttemptId> {
        let limit = self.limit(now);
        if self.running.len() as u32 >= limit
            || self.prefill_time(self.prefilling_tokens) > self.cfg.max_outstanding_prefill
        {
            return None;
        }
        let constraints = StartConstraints {
            batch_may_start: self.batch_running < limit - self.reserve(now, limit),
            urgent_before: now + self.service_times.batch_service() * self.cfg.urgent_service_times,
        };
        let request = self.queue.pop(now, &self.cfg, constraints)?;
        self.waiting.remove(&request.id);
        if request.priority == Priority::Batch {
            self.batch_running += 1;
        }
        let AdmissionRequest { id, workspace, priority, prefill_tokens, .. } = request;
        self.prefilling_tokens += u64::from(prefill_tokens);
        let running = Running {
            workspace,
            priority,
            started: now,
            prefill_tokens,
            prefill_started: Some(now),
            prefill: None,
        };
        self.running.insert(id, running);
        Some(id)
    }

    /// Slots that batch requests leave free while interactive requests are recent.
    fn reserve(&self, now: Instant, limit: u32) -> u32 {
        let is_recent = |last| now.saturating_duration_since(last) < self.cfg.reserve_duration;
        let is_kept = self.last_interactive.is_some_and(is_recent);
        if is_kept { limit * self.cfg.reserve_permille / PERMILLE } else { 0 }
    }

    /// Whether the queue has space for another request of the workspace.
    ///
    /// A workspace may queue fewer requests than there are free places, which limits it to half of
    /// an otherwise empty queue.
    fn has_queue_space(&self, now: Instant, workspace: &str) -> bool {
        let per_slot = self.ramp.limit(now).saturating_mul(self.cfg.waiting_per_slot);
        let capacity = self.cfg.max_waiting.min(per_slot) as usize;
        let free = capacity.saturating_sub(self.queue.waiting());
        free > 0 && self.queue.waiting_in(workspace) < free.max(1)
    }

    fn prefill_time(&self, tokens: u64) -> Duration {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.service_times.prefill_per_token().saturating_mul(tokens)
    }

    /// Expected time in the queue of a request with `ahead` others before it: none if a slot is left
    /// for it, else one mean service time for each `limit` requests that have to finish first.
    fn queue_time(&self, now: Instant, ahead: usize) -> Duration {
        let limit = self.ramp.limit(now).max(1);
        let free = limit.saturating_sub(self.running.len() as u32);
        let must_finish = (ahead as u32 + 1).saturating_sub(free);
        self.service_times.service() * must_finish / limit
    }
}

/// The counter that includes the prompt tokens of `running`.
fn prompt_token_counter<'a>(
    prefilling: &'a mut u64,
    fetching: &'a mut u64,
    running: &Running,
) -> &'a mut u64 {
    if running.prefill_started.is_some() { prefilling } else { fetching }
}

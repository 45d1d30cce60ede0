use super::{
    call::Call,
    cold_check::start_cold_check,
    connection_pool::Connection,
    crash_check::OpenRun,
    end_check::framing,
    forwarder::Forwarder,
    notices::apply_notice,
    placement::Placement,
    quarantine::kept_away,
    request_record::{Decision, display_or_none},
    upstream_response::UpstreamResponse,
};
use bytes::Bytes;
use cassiagw_core::{
    forwarding::{
        CacheScope, Completion, Fault, Framing, MovePlan, PartMoves, Picked, RunSurvival,
    },
    ids::EndpointId,
};
use cassiagw_platform::{AnswerHead, answer_head, endpoint_head};
use cassiagw_surfaces::http::is_final_status;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use std::{
    future::pending,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::time::{timeout, timeout_at};

/// Time limit for fetching cached prompt parts, as a percentage of the target latency. Prefilling a
/// part again costs other requests about as much as a late response.
const FETCH_LIMIT_PERCENT: u32 = 50;

/// Size of the largest body that is hashed to remember an answered request while no crash is known.
const MAX_REMEMBERED_BODY_BYTES: usize = 64 * 1024;

/// Time limits for the arrival of a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// Time at which the wait ends in any case.
    pub deadline: Instant,
    /// Soft timeout, after which the request may be retried on another endpoint. `None` if it must
    /// not be retried.
    pub soft_timeout: Option<Duration>,
}

/// The wait for a response head timed out.
struct Elapsed;

/// One attempt to execute a request on an endpoint.
///
/// Dropping it before the end of the response closes the connection, which makes the endpoint
/// cancel the request.
pub struct Attempt {
    pub(super) fw: Arc<Forwarder>,
    pub(super) call: Arc<Call>,
    /// Endpoint that the request is sent to.
    pub endpoint: EndpointId,
    pub(super) placement: Box<Placement>,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    closes_connection: bool,
    /// How the end of the answer is marked.
    framing: Framing,
    survival: RunSurvival,
    /// When the request was written to the connection last.
    sent_at: Option<Instant>,
    /// Status of the answer and the time until its head arrived.
    pub(super) answered: Option<(StatusCode, Duration)>,
    /// Whether the outcome has been counted for the version of the endpoint.
    pub(super) is_judged: bool,
}

/// Sends a call to the endpoint of its placement and waits for the response head.
/// `last_event_id` names the last event that the caller has, when a stream is resumed.
///
/// # Errors
/// The fault, already recorded in the endpoint's health state.
pub async fn start(
    fw: &Arc<Forwarder>,
    call: &Arc<Call>,
    placement: Box<Placement>,
    last_event_id: Option<&str>,
    timeouts: ResponseTimeouts,
) -> Result<UpstreamResponse, Fault> {
    let picked = placement.picked.clone();
    start_cold_check(fw, call, &picked.entry);
    let mut attempt = Attempt {
        fw: fw.clone(),
        call: call.clone(),
        endpoint: picked.entry.id.clone(),
        placement,
        connection: None,
        keep_alive: None,
        closes_connection: false,
        framing: Framing::Length,
        survival: RunSurvival::default(),
        sent_at: None,
        answered: None,
        is_judged: false,
    };
    let sent = attempt.send(&picked, last_event_id, timeouts).await;
    match sent.and_then(|response| attempt.check_response(response)) {
        Ok((status, headers, body)) => Ok(UpstreamResponse { attempt, status, headers, body }),
        Err(fault) => {
            attempt.end_with_fault(fault).await;
            Err(fault)
        }
    }
}

impl Attempt {
    /// Records a fault, and checks whether the endpoint crashed if the connection was lost before
    /// the run survived.
    pub async fn end_with_fault(&mut self, fault: Fault) {
        self.record_fault(fault);
        let is_lost = matches!(fault, Fault::Closed | Fault::Cut);
        if is_lost && !self.survival.has_survived() {
            self.open_run().check_for_crash(&self.fw).await;
        }
    }

    /// How the end of the answer is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the request's route is answered with streams of events.
    pub fn is_for_stream(&self) -> bool {
        self.call.route.kind.is_stream()
    }

    /// Records that data of a successful answer has arrived.
    pub fn record_data(&mut self) {
        if self.survival.on_data(Instant::now()) {
            self.record_survival();
        }
    }

    fn open_run(&self) -> OpenRun {
        OpenRun::new(&self.call, &self.placement.picked.entry, self.survival.has_begun())
    }

    /// Whether the request as a whole is remembered when it is answered. Hashing a large body while no
    /// crash is known would take longer than the rest of the work on it.
    fn is_remembered(&self) -> bool {
        let is_idle = self.fw.state().quarantine.is_idle();
        !is_idle || self.call.body.len() <= MAX_REMEMBERED_BODY_BYTES
    }

    fn record_survival(&self) {
        match self.is_remembered() {
            true => self.open_run().record_survival(&self.fw),
            // Nothing is suspected, so that no daemon waits to hear of it.
            false => {
                let quarantine = &mut self.fw.state().quarantine;
                quarantine.on_survived(Instant::now(), &self.call.suspect_parts);
            }
        }
    }

    /// Records that the run survived, now or when its endpoint has outlived a short answer. Requests
    /// without shared parts survive at once: nothing else could be the cause of a crash but they alone.
    fn record_completion(&mut self) {
        match self.survival.on_complete(Instant::now()) {
            Completion::Known => {}
            Completion::Open(span) if self.has_suspect_parts() && self.is_remembered() => {
                let connection = self.connection.as_ref().filter(|_| self.stays_open());
                let close = connection.map(|connection| connection.peer_close.clone());
                let run = self.open_run();
                tokio::spawn(run.await_survival(self.fw.clone(), span, close));
            }
            Completion::Survived | Completion::Open(_) => self.record_survival(),
        }
    }

    /// Whether the endpoint keeps the connection after the answer.
    fn stays_open(&self) -> bool {
        !self.closes_connection && self.framing != Framing::Close
    }

    fn has_suspect_parts(&self) -> bool {
        !self.call.suspect_parts.is_empty()
    }

    /// Records a fault in the metrics and in the endpoint's health state.
    pub fn record_fault(&mut self, fault: Fault) {
        self.fw.metrics.count_fault(fault);
        self.judge(Some(fault));
        self.fw.state().endpoints.on_fault(Instant::now(), &self.endpoint, fault);
    }

    /// Records that a response head or part of a body has arrived.
    pub fn record_progress(&self) {
        if let Some(connection) = &self.connection {
            connection.progress.record();
        }
    }

    /// Ends the attempt after a complete response and returns the connection to the pool, unless
    /// the endpoint closes it.
    pub fn finish(mut self) {
        self.record_completion();
        self.judge(None);
        let connection = self.connection.take();
        if let Some(connection) = connection.filter(|_| !self.closes_connection) {
            self.fw.pool.put_idle(&self.endpoint, connection, self.keep_alive);
        }
    }

    async fn send(
        &mut self,
        picked: &Picked,
        last_event_id: Option<&str>,
        timeouts: ResponseTimeouts,
    ) -> Result<Response<Incoming>, Fault> {
        let mut req = self.request(picked, last_event_id)?;
        loop {
            let mut connection = match self.fw.pool.take(&self.endpoint) {
                Some(connection) => connection,
                None => self.connect(picked).await?,
            };
            if !self.may_write(picked) {
                self.connection = Some(connection);
                return Err(Fault::NotSent);
            }
            self.sent_at = Some(Instant::now());
            self.fw.metrics.count_connection(connection.is_reused);
            let is_reused = connection.is_reused;
            self.call.is_sent.store(true, Ordering::Relaxed);
            let sending = connection.sender.try_send_request(req);
            let sent = tokio::select! {
                sent = self.wait(sending, timeouts) => sent,
                () = self.weights_expired(picked) => return Err(Fault::Outdated),
                () = self.part_quarantined() => return Err(Fault::Quarantined),
            };
            self.connection = Some(connection);
            match sent {
                Ok(Ok(response)) => return Ok(response),
                Err(Elapsed) => return Err(Fault::Silent),
                Ok(Err(mut error)) => match error.take_message() {
                    // The endpoint had closed the idle connection and nothing was sent, so the
                    // request can go out on another connection.
                    Some(unsent) if is_reused => req = unsent,
                    Some(_) => return Err(Fault::NotSent),
                    None if error.error().is_parse() => return Err(Fault::Garbled),
                    None => return Err(Fault::Closed),
                },
            }
        }
    }

    /// Whether the request may still be written to the connection. If so, it counts as sent.
    fn may_write(&mut self, picked: &Picked) -> bool {
        let fw = self.fw.clone();
        let mut state = fw.state();
        let accepts = state.still_accepts(Instant::now(), &picked.entry);
        if accepts {
            self.placement.count_sent(&mut state);
        }
        accepts
    }

    /// Waits for a response head. After the soft timeout it keeps waiting while the retry budget is
    /// exhausted or, for a prompt, while the engine still responds to other requests: the prompt
    /// then waits in the queue of the engine.
    async fn wait<T>(
        &self,
        sending: impl Future<Output = T>,
        timeouts: ResponseTimeouts,
    ) -> Result<T, Elapsed> {
        let started = Instant::now();
        let mut sending = pin!(sending);
        while let Some(soft_timeout) = timeouts.soft_timeout {
            let step =
                soft_timeout.min(timeouts.deadline.saturating_duration_since(Instant::now()));
            if let Ok(sent) = timeout(step, &mut sending).await {
                return Ok(sent);
            }
            let is_over = Instant::now() >= timeouts.deadline;
            if is_over || self.should_retry_elsewhere(started) {
                return Err(Elapsed);
            }
        }
        let left = timeouts.deadline.saturating_duration_since(Instant::now());
        timeout(left, sending).await.map_err(|_| Elapsed)
    }

    /// Completes when the weights of the endpoint are so outdated that the request must not start
    /// on them any more.
    async fn weights_expired(&self, picked: &Picked) {
        let Some(prompt) = &self.call.head.prompt else { return pending().await };
        let mut changed = self.fw.changed.subscribe();
        loop {
            let start_by = {
                let state = self.fw.state();
                state.endpoints.start_deadline(
                    &prompt.model,
                    picked.version,
                    state.old_weights_limit(),
                )
            };
            let state_change = changed.changed();
            let result = match start_by {
                Some(at) => timeout_at(at.into(), state_change).await,
                None => Ok(state_change.await),
            };
            match result {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return pending().await,
                Err(_) => return,
            }
        }
    }

    /// Completes when the request or a part of its prompt is quarantined while it waits at the
    /// endpoint.
    async fn part_quarantined(&self) {
        let mut quarantined = self.fw.quarantine_changes.subscribe();
        while quarantined.changed().await.is_ok() {
            if kept_away(&self.fw.state(), Instant::now(), &self.call).is_some() {
                return;
            }
        }
        pending().await
    }

    fn should_retry_elsewhere(&self, since: Instant) -> bool {
        let mut state = self.fw.state();
        let is_alive = state.endpoints.has_answered_since(&self.endpoint, since);
        let is_queued_at_engine = self.call.head.prompt.is_some() && is_alive;
        !is_queued_at_engine && state.budget(&self.call.service.name).is_allowed(Instant::now())
    }

    async fn connect(&self, picked: &Picked) -> Result<Connection, Fault> {
        self.fw.pool.connect(picked.entry.address).await.map_err(|error| {
            log::debug!(event = "connect_failed", endpoint:% = self.endpoint, error:% = error; "");
            Fault::ConnectFailed
        })
    }

    fn request(
        &self,
        picked: &Picked,
        last_event_id: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, Fault> {
        let call = &self.call;
        let settings = self.fw.state().settings.clone();
        let scope = call.cache_scope(&settings, picked.version);
        let moves =
            scope.as_deref().map(|scope| self.part_moves(picked, scope)).unwrap_or_default();
        let sent = call.sent_head(picked, scope, moves, last_event_id);
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.uri.clone();
        *req.headers_mut() = endpoint_head(&call.headers, &sent);
        Ok(req)
    }

    /// Decides which cached prompt parts the engine fetches and which it saves, and from or to
    /// which stores.
    fn part_moves(&self, picked: &Picked, scope: &CacheScope) -> PartMoves {
        let call = &self.call;
        let Some(prompt) = &call.head.prompt else { return PartMoves::default() };
        let fetch_limit = call.route.target_latency * FETCH_LIMIT_PERCENT / 100;
        let now = Instant::now();
        let zone = &picked.entry.zone;
        let plan = MovePlan { scope, prompt, zone, fetch_limit };
        let (moves, is_outdated) = {
            let mut state = self.fw.state();
            (state.part_moves(now, &plan), !state.has_current_weights(scope))
        };
        let fetched = moves.sources.iter().flatten().count();
        let saved = moves.targets.iter().flatten().count();
        if fetched + saved > 0 {
            self.fw.metrics.count_parts(fetched, saved);
            call.record.add_decision(Decision::PartsMoved { fetched, saved, is_outdated });
        }
        moves
    }

    /// Validates a response head: that it belongs to this request and can be forwarded.
    fn check_response(
        &mut self,
        response: Response<Incoming>,
    ) -> Result<(StatusCode, HeaderMap, Incoming), Fault> {
        self.record_progress();
        if !is_final_status(response.status()) {
            return Err(Fault::Garbled);
        }
        let first_byte = self.sent_at.map(|at| at.elapsed()).unwrap_or_default();
        self.answered = Some((response.status(), first_byte));
        let (parts, body) = response.into_parts();
        let head = answer_head(parts.status, &parts.headers);
        self.keep_alive = head.keep_alive;
        self.closes_connection = head.closes;
        self.framing = framing(&parts.headers, &body);
        self.fw.metrics.count_answer(self.framing);
        self.apply_notice(parts.status, &head);
        if head.request_id.as_deref() != Some(&*self.call.head.id) {
            return Err(Fault::WrongAnswer);
        }
        self.update_endpoint_state(parts.status, &head);
        if !head.is_not_executed {
            self.placement.mark_started();
            self.survival.on_head();
        }
        match parts.status {
            StatusCode::MISDIRECTED_REQUEST if self.assume_target_weights() => {
                Err(Fault::WrongWeights)
            }
            StatusCode::MISDIRECTED_REQUEST => Err(Fault::WrongEndpoint),
            status if head.is_not_executed && !status.is_success() => Err(Fault::NotExecuted),
            status if status.is_success() && !head.is_sealed => Err(Fault::Garbled),
            status => Ok((status, parts.headers, body)),
        }
    }

    /// Applies what the endpoint says of the requests that it wants, from any answer on its
    /// connection that is not of another process at its address.
    fn apply_notice(&self, status: StatusCode, head: &AnswerHead) {
        let may_be_of_other = status == StatusCode::MISDIRECTED_REQUEST;
        let is_named = head.endpoint.as_deref() == Some(&*self.endpoint);
        if !may_be_of_other || is_named {
            let entry = &self.placement.picked.entry;
            apply_notice(&self.fw, entry, head.notice, &self.call.head.id);
        }
    }

    fn update_endpoint_state(&self, status: StatusCode, head: &AnswerHead) {
        let now = Instant::now();
        let mut state = self.fw.state();
        let endpoints = &mut state.endpoints;
        let is_of_other = status == StatusCode::MISDIRECTED_REQUEST;
        if !is_of_other && endpoints.on_limit(now, &self.endpoint, head.limit_per_s) {
            log::info!(
                event = "endpoint_limit", endpoint:% = self.endpoint,
                per_s:% = display_or_none(head.limit_per_s); ""
            );
            self.fw.report_due.notify_one();
        }
        if !head.is_not_executed {
            endpoints.on_answer(now, &self.endpoint, head.load);
            let percent = head.work_time_percent.filter(|_| head.is_sealed);
            if let Some(percent) = percent {
                let entry = &self.placement.picked.entry;
                let is_used = endpoints.on_work_time(now, entry, percent);
                self.fw.metrics.count_work_time(is_used);
            }
        }
        if let (Some(prompt), Some(weights)) = (&self.call.head.prompt, head.weights) {
            endpoints.on_weights(now, &self.endpoint, &prompt.model, weights);
        }
        if let Some(cold_for) = head.cold_for.filter(|cold_for| !cold_for.is_zero()) {
            endpoints.on_cold(now, &self.endpoint, cold_for);
        }
    }

    /// Assumes that an engine that rejected the expected weight version runs the newest one. Returns
    /// false if that was expected already, so that the weights are not the reason.
    fn assume_target_weights(&self) -> bool {
        let Some(prompt) = &self.call.head.prompt else { return false };
        let mut state = self.fw.state();
        let target = state.endpoints.target_version(&prompt.model);
        let now = Instant::now();
        let endpoints = &mut state.endpoints;
        target
            .is_some_and(|target| endpoints.on_weights(now, &self.endpoint, &prompt.model, target))
    }
}

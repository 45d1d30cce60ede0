use super::{
    admission::{AdmissionGate, Permit, QueuedAttempt, admission_request, watch_engine},
    attempts::AttemptRecord,
    cache_moves::{CacheConfig, CacheDump, CacheMoves},
    run_call::run_call,
    run_prompt::{EngineAccess, run_prompt},
    streams::{StreamBuffer, StreamTable},
};
use crate::{config::EndpointConfig, context::Context};
use cassiagw_core::{
    admission::{AdmissionRefusal, RequestOutcome},
    claims::OpenDecision,
    ids::AttemptId,
    settings::{EndpointKind, Priority},
};
use cassiagw_rpc::{
    EndpointRpc, LoadReport, OpenReply, OpenRequest, PullReply, PullRequest, Refusal, Resolution,
    RunStatus, StreamEnd, Work,
};
use cassiagw_surfaces::{
    engine::{CompletionSpec, EngineClient},
    http::HttpClient,
    service::{ServiceCall, ServiceClient},
};
use std::{sync::Arc, time::Duration};
use tarpc::context::Context as RpcContext;
use tokio::time::{Instant, interval, timeout};

/// Time without a read after which a waiting attempt or a running completion is canceled.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Time since the last read for which an ended stream is retained.
const ENDED_RETENTION: Duration = Duration::from_secs(120);
/// Interval between checks for streams to cancel or remove.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the load request to the engine after a failure.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(500);
/// Upper limit on the wait time that a pull may request.
const MAX_PULL_WAIT: Duration = Duration::from_secs(5);

/// Server of the endpoint protocol for one endpoint; clones share their state.
#[derive(Clone)]
pub struct EndpointServer {
    cx: Arc<Context>,
    cfg: Arc<EndpointConfig>,
    streams: Arc<StreamTable>,
    attempts: Arc<AttemptRecord>,
    admission: AdmissionGate,
    engine: EngineClient,
    cache: Option<Arc<CacheMoves>>,
    service: ServiceClient,
}

impl EndpointServer {
    /// Creates the server and, for an engine, starts its cache transfers.
    pub fn new(cx: Arc<Context>, cfg: EndpointConfig) -> Self {
        let http = HttpClient::default();
        let engine = EngineClient::new(http.clone(), cfg.upstream);
        let is_engine = cfg.kind == EndpointKind::Engine;
        let cache = is_engine.then(|| spawn_cache(&cx, engine.clone(), http.clone()));
        Self {
            streams: Arc::default(),
            attempts: Arc::new(AttemptRecord::new(cx.boot)),
            admission: AdmissionGate::new(&cfg),
            engine,
            cache,
            service: ServiceClient::new(http, cfg.upstream),
            cfg: Arc::new(cfg),
            cx,
        }
    }

    /// Periodically cancels and removes unread streams and polls admission, for as long as the
    /// future is polled.
    pub async fn sweep(&self) {
        let mut ticks = interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            self.streams.sweep(UNREAD_TIMEOUT, ENDED_RETENTION);
            self.admission.poll();
        }
    }

    /// Returns the current load of the endpoint.
    pub fn report(&self) -> LoadReport {
        let leaving = self.cx.is_draining() || self.closed_reason().is_some();
        self.admission.report(self.cx.boot, leaving)
    }

    /// Returns whether every stream has ended, with its end read or its attempt canceled.
    pub fn is_idle(&self) -> bool {
        self.streams.is_idle()
    }

    /// Returns the state of the cache transfers for a dump; `None` for a plain service.
    pub fn cache(&self) -> Option<CacheDump> {
        self.cache.as_ref().map(|cache| cache.dump())
    }

    /// Returns the streams of running and recently ended attempts.
    pub fn streams(&self) -> &StreamTable {
        &self.streams
    }

    /// Returns the record that ensures that an attempt runs at most once.
    pub fn attempts(&self) -> &AttemptRecord {
        &self.attempts
    }

    /// Replies to a pull after the stream was removed. The record still has the answer to a call,
    /// but not the tokens of a completion.
    fn pull_after_removal(&self, req: &PullRequest) -> PullReply {
        match self.attempts.end_of(req.attempt) {
            Some(end @ StreamEnd::Answer(_)) => PullReply::Chunk {
                offset: req.offset,
                tokens: Vec::new(),
                end: Some(end),
                load: self.report(),
            },
            _ => PullReply::UnknownAttempt { boot: self.cx.boot },
        }
    }

    /// Returns the reason for which the endpoint refuses all new work; `None` if it accepts work.
    fn closed_reason(&self) -> Option<Refusal> {
        let view = self.cx.view();
        let Some(entry) = view.tree.endpoints.get(&self.cfg.id) else {
            return Some(Refusal::Behind);
        };
        if self.cx.is_draining() || view.leaving.contains(&entry.host) {
            return Some(Refusal::Leaving);
        }
        if !view.tree.is_zone_in_service(&entry.zone) {
            return Some(Refusal::ZoneOut);
        }
        (!view.is_current).then_some(Refusal::Behind)
    }

    fn refusal(&self, req: &OpenRequest) -> Option<Refusal> {
        if req.endpoint != self.cfg.id {
            return Some(Refusal::WrongEndpoint);
        }
        self.closed_reason()
    }

    fn accept(&self, req: OpenRequest) -> Result<(), Refusal> {
        let decision = self.attempts.check(req.attempt, req.boot);
        if decision != OpenDecision::Run {
            return reply_to_repeat(decision);
        }
        if let Some(reason) = self.refusal(&req) {
            return Err(reason);
        }
        let queued = self.enqueue(&req)?;
        let decision = self.attempts.open(req.attempt, req.boot);
        if decision != OpenDecision::Run {
            return reply_to_repeat(decision);
        }
        let stream = self.streams.open(req.attempt);
        let server = self.clone();
        tokio::spawn(async move {
            let id = req.attempt;
            server.run(req, queued, &stream).await;
            let unknown = || StreamEnd::Failed {
                ran: RunStatus::Unknown,
                message: "attempt stopped without an outcome".into(),
            };
            server.attempts.end(id, stream.end().unwrap_or_else(unknown));
        });
        Ok(())
    }

    async fn run(&self, req: OpenRequest, queued: QueuedAttempt, stream: &StreamBuffer) {
        let wait = async {
            tokio::select! {
                permit = queued.wait() => permit,
                () = stream.canceled() => None,
            }
        };
        let Ok(Some(permit)) = timeout(req.time_left, wait).await else {
            let message = "no slot became free at the endpoint before the deadline".to_owned();
            stream.finish(StreamEnd::Failed { ran: RunStatus::NotRun, message });
            return;
        };
        let (started, time_left) = (Instant::now(), req.time_left);
        match req.work {
            Work::Completion { .. } => {
                let spec = completion_spec(req);
                let tree = self.cx.view().tree.clone();
                let engine = EngineAccess { client: &self.engine, cache: self.cache.as_ref() };
                let run = run_prompt(engine, &permit, &tree, spec, time_left, stream);
                let watch = async {
                    if stream.first_token_received().await {
                        permit.on_first_token();
                    }
                };
                tokio::join!(run, watch);
            }
            Work::Call { .. } => {
                let call = service_call(req);
                run_call(&self.service, call, time_left, stream).await;
            }
        }
        let is_overdue = started.elapsed() >= time_left;
        let is_abandoned = is_overdue || stream.is_canceled();
        self.finish_attempt(permit, stream.end(), is_abandoned).await;
    }

    fn enqueue(&self, req: &OpenRequest) -> Result<QueuedAttempt, Refusal> {
        let holds = |key| self.cache.as_ref().is_some_and(|cache| cache.holds(key));
        let missing = req.pieces.iter().filter(|key| !holds(key)).count();
        let admission_req = admission_request(req, &self.cx.view().tree, missing);
        self.admission.enqueue(admission_req).map_err(|refusal| match refusal {
            AdmissionRefusal::Leaving => Refusal::Leaving,
            AdmissionRefusal::Full => Refusal::Full,
            AdmissionRefusal::TooLate { .. } => Refusal::TooLate,
        })
    }

    /// Releases the slot and reports to admission what the run showed about the endpoint.
    async fn finish_attempt(&self, permit: Permit, end: Option<StreamEnd>, is_abandoned: bool) {
        match end {
            Some(StreamEnd::Finished { computed_tokens, .. }) => {
                permit.finish(RequestOutcome::Served { computed_tokens });
            }
            Some(StreamEnd::Answer(_)) => {
                permit.finish(RequestOutcome::Served { computed_tokens: 0 });
            }
            _ if is_abandoned => permit.finish(RequestOutcome::Cancelled),
            // The engine may have refused only this request, for example because of its version.
            Some(StreamEnd::Failed { ran: RunStatus::NotRun, .. })
                if self.engine_answers().await =>
            {
                permit.finish(RequestOutcome::Cancelled);
            }
            _ => permit.finish(RequestOutcome::Failed),
        }
    }

    async fn engine_answers(&self) -> bool {
        if self.cfg.kind != EndpointKind::Engine {
            return false;
        }
        let load = self.engine.load(ENGINE_TIMEOUT).await;
        load.is_ok_and(|load| !self.admission.on_endpoint_boot(load.boot))
    }

    /// Tracks restarts of the engine for as long as the future is polled.
    ///
    /// Returns at once for a plain service.
    pub async fn watch(&self) {
        if self.cfg.kind == EndpointKind::Engine {
            watch_engine(self.engine.clone(), self.admission.clone()).await;
        }
    }
}

fn spawn_cache(cx: &Context, engine: EngineClient, http: HttpClient) -> Arc<CacheMoves> {
    let cache = CacheMoves::spawn(CacheConfig::default(), cx.cfg.zone.clone(), engine, http);
    let weak_cache = Arc::downgrade(&cache);
    let counts = move || weak_cache.upgrade().map_or_else(Vec::new, |moves| moves.counts().named());
    cx.metrics.observe("cassiagw_cache", counts);
    cache
}

fn completion_spec(req: OpenRequest) -> CompletionSpec {
    let (prompt, max_tokens) = match req.work {
        Work::Completion { prompt, max_tokens } => (prompt, max_tokens),
        Work::Call { .. } => (String::new(), 0),
    };
    CompletionSpec {
        request_id: format!("{:032x}", req.attempt),
        model: req.model,
        version: req.version,
        adapter: req.adapter,
        cache_salt: req.workspace,
        prompt,
        max_tokens,
        priority: i32::from(req.priority == Priority::Interactive),
        cache_keys: req.pieces,
        stream: true,
    }
}

fn service_call(req: OpenRequest) -> ServiceCall {
    let attempt = format!("{:032x}", req.attempt);
    let (method, path, content_type, body, key) = match req.work {
        Work::Call { method, path, content_type, body, idempotency_key } => {
            (method, path, content_type, body, idempotency_key)
        }
        Work::Completion { .. } => Default::default(),
    };
    let idempotency_key = key.map(|key| key.to_string());
    ServiceCall { method, path, content_type, body, idempotency_key, attempt }
}

/// Reply to an attempt seen before.
///
/// One that was accepted is acknowledged without running it again: a refusal would claim that it
/// did not run.
fn reply_to_repeat(decision: OpenDecision) -> Result<(), Refusal> {
    match decision {
        OpenDecision::Run | OpenDecision::AlreadyAccepted | OpenDecision::Forgotten => Ok(()),
        OpenDecision::Sealed => Err(Refusal::Sealed),
        OpenDecision::WrongBoot => Err(Refusal::WrongBoot),
    }
}

impl EndpointRpc for EndpointServer {
    async fn open(self, _: RpcContext, req: OpenRequest) -> OpenReply {
        if req.revision > self.cx.view().tree.revision {
            self.cx.control.observe_revision(req.revision, req.sender);
        }
        let result = self.accept(req);
        let load = self.report();
        match result {
            Ok(()) => OpenReply::Accepted { load },
            Err(reason) => OpenReply::Refused { reason, load },
        }
    }

    async fn pull(self, _: RpcContext, req: PullRequest) -> PullReply {
        let Some(stream) = self.streams.get(req.attempt) else {
            return self.pull_after_removal(&req);
        };
        let chunk = stream.read(req.offset as usize, req.wait.min(MAX_PULL_WAIT)).await;
        PullReply::Chunk {
            offset: req.offset,
            tokens: chunk.tokens,
            end: chunk.end,
            load: self.report(),
        }
    }

    async fn cancel(self, _: RpcContext, attempt: AttemptId) {
        if let Some(stream) = self.streams.get(attempt) {
            stream.cancel();
        }
    }

    async fn resolve(self, _: RpcContext, attempt: AttemptId) -> Resolution {
        self.attempts.resolve(attempt)
    }

    async fn load(self, _: RpcContext) -> LoadReport {
        self.report()
    }
}

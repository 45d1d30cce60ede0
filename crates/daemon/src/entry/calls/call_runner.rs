use super::{
    call_request::{CallKey, CallRequest},
    target::{ENDPOINT_RETRY_DELAY, choose_attempt, endpoint_address},
};
use crate::entry::{
    EntryContext,
    dispatch::{self, OpenError},
};
use cassiagw_core::{
    claims::{
        Action, Answer, Attempt, Body, CallFlow, CallReply, ClaimKey, ClaimRecord, Ended,
        FailureReason, Fingerprint, KeyStatus, OpenResult, ResolveResult, Resolved, SubmitResult,
    },
    ids::{EndpointId, FastSet, IdempotencyKey},
    settings::{Caller, Priority},
};
use cassiagw_rpc::{OpenRequest, Refusal, Resolution, RpcError, RunStatus, StreamEnd};
use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tarpc::context;
use tokio::time::sleep;

/// Time to wait for another entry to dispatch the attempt that it has claimed.
const DISPATCH_GRACE_PERIOD: Duration = Duration::from_millis(300);
/// Time limit over all tries to learn the outcome of an attempt from an endpoint daemon that
/// refuses connections; it may be restarting.
const RESOLVE_LIMIT: Duration = Duration::from_secs(3);
/// The same limit for a daemon that accepts connections but does not answer. It is longer because a
/// suspended process or a slow host still has the outcome.
const SILENT_RESOLVE_LIMIT: Duration = Duration::from_secs(15);
/// Timeout of one try to learn the outcome of an attempt.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between two of these tries.
const RESOLVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a try to learn the outcome of an attempt failed.
enum ResolveError {
    /// The endpoint daemon refused the connection.
    Refused,
    /// The endpoint daemon did not answer in time, or connecting failed in another way.
    Silent,
}

/// Number of refusals by full endpoints for which a call keeps the endpoint as a candidate and
/// backs off; after that it excludes each full endpoint.
const MAX_FULL_REFUSALS: u32 = 12;

/// Executes the actions of one call's [`CallFlow`] and feeds their results back to it.
pub struct CallRunner<'a> {
    entry: &'a EntryContext,
    caller: &'a Caller,
    call: &'a CallRequest,
    /// Caller's idempotency key; without one nothing is written to the ledger.
    key: Option<IdempotencyKey>,
    fingerprint: Fingerprint,
    flow: CallFlow,
    excluded: FastSet<EndpointId>,
    /// Refusals by endpoints that became full after they were chosen.
    full_refusals: u32,
    deadline: Instant,
}

impl<'a> CallRunner<'a> {
    /// Creates the runner of a call; its deadline is `limits.request_timeout` from now.
    pub fn new(
        entry: &'a EntryContext,
        caller: &'a Caller,
        call: &'a CallRequest,
        key: Option<CallKey>,
    ) -> Self {
        let fingerprint = call.fingerprint();
        let kept_until_ms = key.as_ref().map_or(0, |key| key.kept_until_ms);
        let key = key.map(|key| key.key);
        let claim_key =
            ClaimKey::new(caller.workspace.clone(), key.clone().unwrap_or_else(|| "".into()));
        Self {
            entry,
            caller,
            call,
            key,
            fingerprint,
            flow: CallFlow::new(claim_key, fingerprint, kept_until_ms),
            excluded: FastSet::default(),
            full_refusals: 0,
            deadline: Instant::now() + entry.cx.cfg.limits.request_timeout,
        }
    }

    /// Runs the call until its result is known or its deadline passes.
    pub async fn run(mut self) -> CallReply {
        let mut action = Action::Choose;
        loop {
            action = match action {
                Action::Reply(reply, record) => {
                    self.settle(record);
                    return reply;
                }
                // Once the attempt may have been dispatched, a timeout does not prove that it
                // did not run.
                Action::Follow(_) | Action::Resolve(_) if Instant::now() >= self.deadline => {
                    return CallReply::Failed {
                        reason: FailureReason::OutcomeUnknown,
                        not_run: None,
                    };
                }
                action => self.step(action).await,
            };
        }
    }

    async fn step(&mut self, action: Action) -> Action {
        match action {
            Action::Choose => {
                let attempt =
                    choose_attempt(self.entry, &self.call.service, &mut self.excluded).await;
                self.flow.on_target(attempt)
            }
            Action::Submit(record) => {
                let result = self.submit(Some(record)).await;
                self.flow.on_key_status(result)
            }
            Action::ReadKey => {
                let result = self.submit(None).await;
                self.flow.on_key_status(result)
            }
            Action::Wait => {
                sleep(DISPATCH_GRACE_PERIOD).await;
                self.flow.on_waited()
            }
            Action::Dispatch(attempt) => self.dispatch(attempt).await,
            Action::Follow(attempt) => self.follow(attempt).await,
            Action::Resolve(attempt) => {
                let result = self.resolve(&attempt).await;
                self.flow.on_resolved(attempt, result)
            }
            reply @ Action::Reply(..) => reply,
        }
    }

    async fn submit(&self, record: Option<ClaimRecord>) -> SubmitResult {
        if self.key.is_none() {
            return Ok(status_without_key(record));
        }
        self.entry.claims.submit(&self.claim_key(), self.fingerprint, record).await
    }

    fn settle(&self, record: Option<ClaimRecord>) {
        if let (Some(_), Some(record)) = (&self.key, record) {
            self.entry.claims.settle(self.claim_key(), self.fingerprint, record);
        }
    }

    fn claim_key(&self) -> ClaimKey {
        ClaimKey::new(self.caller.workspace.clone(), self.key.clone().unwrap_or_default())
    }

    async fn dispatch(&mut self, attempt: Attempt) -> Action {
        let result = match endpoint_address(self.entry, &attempt.endpoint) {
            Some(address) => self.open(&attempt, address).await,
            None => OpenResult::Refused,
        };
        self.entry.cx.metrics.count_attempt(match result {
            OpenResult::Accepted => "accepted",
            OpenResult::Refused => "refused",
            OpenResult::Lost => "lost",
        });
        self.flow.on_opened(attempt, result)
    }

    async fn open(&mut self, attempt: &Attempt, address: SocketAddr) -> OpenResult {
        let req = self.open_request(attempt);
        match dispatch::Attempt::open(&self.entry.pool, address, req).await {
            Ok(_) => OpenResult::Accepted,
            Err(OpenError::Unknown(_)) => OpenResult::Lost,
            // The refusal is about this attempt, not the endpoint, which stays a candidate.
            Err(OpenError::Refused(Refusal::WrongBoot | Refusal::Sealed)) => OpenResult::Refused,
            // Each of these refusals costs a ledger write, so their number is limited.
            Err(OpenError::Refused(Refusal::Full)) if self.full_refusals < MAX_FULL_REFUSALS => {
                self.full_refusals += 1;
                sleep(ENDPOINT_RETRY_DELAY * self.full_refusals).await;
                OpenResult::Refused
            }
            Err(OpenError::NotSent(_) | OpenError::Refused(_)) => {
                self.excluded.insert(attempt.endpoint.clone());
                OpenResult::Refused
            }
        }
    }

    fn open_request(&self, attempt: &Attempt) -> OpenRequest {
        OpenRequest {
            attempt: attempt.id,
            endpoint: attempt.endpoint.clone(),
            boot: Some(attempt.boot),
            revision: self.entry.cx.view().tree.revision,
            sender: self.entry.cx.cfg.listen.peer,
            workspace: self.caller.workspace.clone(),
            model: self.call.service.as_str().into(),
            adapter: None,
            version: None,
            priority: Priority::Interactive,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            pieces: Vec::new(),
            work: self.call.work(self.key.clone()),
        }
    }

    async fn follow(&mut self, attempt: Attempt) -> Action {
        let Some(address) = endpoint_address(self.entry, &attempt.endpoint) else {
            return self.flow.on_lost(attempt);
        };
        let endpoint = attempt.endpoint.clone();
        let mut stream = dispatch::Attempt::resume(&self.entry.pool, endpoint, address, attempt.id);
        while Instant::now() < self.deadline {
            match stream.pull().await {
                Ok((_, Some(end))) => return self.on_end(&attempt, end),
                Ok((_, None)) => {}
                Err(_) => break,
            }
        }
        self.flow.on_lost(attempt)
    }

    fn on_end(&mut self, attempt: &Attempt, end: StreamEnd) -> Action {
        let ended = attempt_end(end);
        if ended == Ended::NotRun {
            self.excluded.insert(attempt.endpoint.clone());
        }
        self.flow.on_ended(attempt, ended)
    }

    async fn resolve(&self, attempt: &Attempt) -> ResolveResult {
        let start = Instant::now();
        let mut limit = RESOLVE_LIMIT;
        while start.elapsed() < limit {
            let Some(address) = endpoint_address(self.entry, &attempt.endpoint) else { break };
            match self.resolve_once(attempt, address).await {
                Ok(resolution) => return resolve_result(resolution),
                Err(ResolveError::Silent) => limit = SILENT_RESOLVE_LIMIT,
                Err(ResolveError::Refused) => limit = RESOLVE_LIMIT,
            }
            sleep(RESOLVE_RETRY_DELAY).await;
        }
        ResolveResult::Unreachable
    }

    async fn resolve_once(
        &self,
        attempt: &Attempt,
        address: SocketAddr,
    ) -> Result<Resolution, ResolveError> {
        let client = self.entry.pool.client(address).await.map_err(|error| match error {
            RpcError::Connect { source, .. }
                if source.kind() == io::ErrorKind::ConnectionRefused =>
            {
                ResolveError::Refused
            }
            RpcError::Connect { .. } => ResolveError::Silent,
        })?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + RESOLVE_TIMEOUT;
        let resolution = client.resolve(cx, attempt.id).await;
        resolution.map_err(|_| {
            self.entry.pool.discard(address);
            ResolveError::Silent
        })
    }
}

/// Key status of a call without an idempotency key: no other request can claim it.
fn status_without_key(record: Option<ClaimRecord>) -> KeyStatus {
    match record {
        Some(ClaimRecord::Claim { attempt, .. } | ClaimRecord::Retarget { attempt, .. }) => {
            KeyStatus::Pending(attempt)
        }
        _ => KeyStatus::Free,
    }
}

fn resolve_result(resolution: Resolution) -> ResolveResult {
    match resolution {
        Resolution::Sealed { boot } => ResolveResult::Reported(boot, Resolved::Sealed),
        Resolution::Running { boot } => ResolveResult::Reported(boot, Resolved::Running),
        Resolution::Ended { boot, end } => {
            ResolveResult::Reported(boot, Resolved::Ended(attempt_end(end)))
        }
        Resolution::Forgotten { boot, .. } => ResolveResult::Reported(boot, Resolved::Forgotten),
    }
}

fn attempt_end(end: StreamEnd) -> Ended {
    match end {
        StreamEnd::Answer(answer) => Ended::Answered(Answer {
            status: answer.status,
            content_type: answer.content_type,
            body: Body::Whole(answer.body),
        }),
        StreamEnd::Failed { ran: RunStatus::NotRun, .. } => Ended::NotRun,
        StreamEnd::Failed { .. } | StreamEnd::Finished { .. } => Ended::Unknown,
    }
}

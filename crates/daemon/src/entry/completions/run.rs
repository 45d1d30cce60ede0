use super::CompletionRequest;
use crate::entry::{
    EntryContext,
    dispatch::{Attempt, OpenError, PullError},
    http::{ApiError, ErrorCode},
};
use cassiagw_core::{
    cache::{CacheScope, piece_keys},
    ids::{EndpointId, PieceKey},
    retry::{AttemptOutcome, Attempts, NextStep, RetryConfig},
    routing::{CompletedRequest, RouteChoice, RouteDecision, RouteRefusal, RouteRequest},
};
use cassiagw_rpc::{End, OpenRequest, Ran, Refusal, Work};
use hyper::StatusCode;
use std::time::{Duration, Instant};
use tokio::{sync::mpsc, time::sleep};

/// Wait before endpoints that were full are asked again.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time that a request waits at the entry for room at an endpoint.
const MAX_FULL_WAIT: Duration = Duration::from_secs(5);

/// Part of an answer on its way to the caller.
#[derive(Clone, Debug)]
pub enum Part {
    /// Tokens in order.
    Tokens(Vec<String>),
    /// The answer is whole.
    Finished {
        /// `stop` or `length`.
        reason: String,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens of the prompt that were computed.
        computed_tokens: u32,
    },
    /// No whole answer will come.
    Failed(ApiError),
}

/// State of a completion across its attempts.
struct Run<'a> {
    entry: &'a EntryContext,
    req: &'a CompletionRequest,
    scope: CacheScope,
    deadline: Instant,
    delivered: Vec<String>,
    attempts: Attempts,
    /// When the request began to wait for room.
    full_since: Option<Instant>,
    ran: Ran,
    last_error: String,
}

/// How an attempt ended.
enum Next {
    /// Without a whole answer.
    Failed(AttemptOutcome),
    /// With the last part for the caller.
    Stop(Part),
}

/// Runs a completion to its end and sends its parts.
///
/// An attempt that fails after some tokens is continued elsewhere with these tokens behind the
/// prompt, so that none is repeated or missing. Every attempt keeps the weight version that the
/// first one had.
pub async fn run(entry: &EntryContext, req: &CompletionRequest, parts: mpsc::Sender<Part>) {
    let deadline = Instant::now() + req.time_limit;
    let scope = CacheScope::new(req.workspace.clone(), req.model.clone(), req.version.clone())
        .with_adapter(req.adapter.clone());
    let mut run = Run {
        entry,
        req,
        scope,
        deadline,
        delivered: Vec::new(),
        attempts: Attempts::new(RetryConfig::default(), true, deadline),
        full_since: None,
        ran: Ran::NotRun,
        last_error: String::new(),
    };
    entry.pool.routing().on_first_attempt();
    let last = run.until_end(&parts).await;
    // A caller that went away has no use for the end.
    let _ = parts.send(last).await;
}

impl Run<'_> {
    async fn until_end(&mut self, parts: &mpsc::Sender<Part>) -> Part {
        loop {
            if self.time_left().is_zero() {
                return self.failed(StatusCode::GATEWAY_TIMEOUT, ErrorCode::Timeout);
            }
            let prompt = [self.req.prompt.as_str(), &self.delivered.concat()].concat();
            let pieces = piece_keys(&self.scope, &prompt, self.req.piece_tokens);
            let choice = match self.choose(&pieces) {
                RouteDecision::Send(choice) => choice,
                RouteDecision::Refuse(refusal) => {
                    self.last_error = refusal.to_string();
                    if refusal == RouteRefusal::Full && self.wait_for_room().await {
                        continue;
                    }
                    return self.refused();
                }
            };
            let endpoint = choice.endpoint.clone();
            let end = match self.attempt(choice, prompt, pieces, parts).await {
                Next::Failed(end) => end,
                Next::Stop(part) => return part,
            };
            match self.entry.pool.routing().next_step(&mut self.attempts, endpoint, end) {
                NextStep::TryElsewhere => {}
                NextStep::TryLater if self.wait_for_room().await => {}
                NextStep::TryLater | NextStep::GiveUp => return self.refused(),
            }
        }
    }

    fn choose(&self, pieces: &[PieceKey]) -> RouteDecision {
        let piece_tokens = self.req.piece_tokens;
        let req = RouteRequest {
            model: &self.req.model,
            version: Some(&self.req.version),
            pieces,
            piece_tokens,
            // What is behind the last whole piece is half a piece on average.
            prompt_tokens: pieces.len() as u32 * piece_tokens + piece_tokens / 2,
            time_left: self.time_left(),
            fetch: None,
            tried: self.attempts.tried(),
        };
        let view = self.entry.cx.view();
        match self.entry.pool.routing().choose(&view, &req) {
            // After a wait, an endpoint that failed is better than none.
            RouteDecision::Refuse(RouteRefusal::Full) if self.full_since.is_some() => {
                let req = RouteRequest { tried: self.attempts.refused(), ..req };
                self.entry.pool.routing().choose(&view, &req)
            }
            decision => decision,
        }
    }

    /// Waits until another attempt may be made; false once that has taken too long.
    async fn wait_for_room(&mut self) -> bool {
        let since = *self.full_since.get_or_insert_with(Instant::now);
        while since.elapsed() < MAX_FULL_WAIT {
            sleep(FULL_RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
            match self.entry.pool.routing().try_again(&mut self.attempts) {
                NextStep::TryElsewhere => return true,
                NextStep::TryLater => {}
                NextStep::GiveUp => return false,
            }
        }
        false
    }

    fn refused(&self) -> Part {
        let code =
            if self.ran == Ran::NotRun { ErrorCode::Overloaded } else { ErrorCode::EndpointFailed };
        self.failed(StatusCode::SERVICE_UNAVAILABLE, code)
    }

    async fn attempt(
        &mut self,
        choice: RouteChoice,
        prompt: String,
        pieces: Vec<PieceKey>,
        parts: &mpsc::Sender<Part>,
    ) -> Next {
        let id = &choice.endpoint;
        let Some(endpoint) = self.entry.cx.view().tree.endpoints.get(id).cloned() else {
            return self.lost(id, AttemptOutcome::Refused, "the endpoint was removed".to_owned());
        };
        let open = self.open_request(id, prompt, pieces.clone());
        let metrics = &self.entry.cx.metrics;
        let mut attempt = match Attempt::open(&self.entry.pool, endpoint.rpc, open).await {
            Ok(attempt) => attempt,
            Err(error) => {
                metrics.count_attempt("not_opened");
                return self.not_opened(id, error);
            }
        };
        metrics.count_attempt("opened");
        self.full_since = None;
        loop {
            if self.time_left().is_zero() {
                attempt.cancel().await;
                self.ran = Ran::Run;
                let part = self.failed(StatusCode::GATEWAY_TIMEOUT, ErrorCode::Timeout);
                return Next::Stop(part);
            }
            let (tokens, end) = match attempt.pull().await {
                Ok(chunk) => chunk,
                Err(error) => return self.cut(id, error),
            };
            if !tokens.is_empty() {
                metrics.count_tokens(tokens.len());
                self.ran = Ran::Run;
                self.delivered.extend(tokens.iter().cloned());
                if parts.send(Part::Tokens(tokens)).await.is_err() {
                    attempt.cancel().await;
                    let part = self.failed(StatusCode::REQUEST_TIMEOUT, ErrorCode::BadRequest);
                    return Next::Stop(part);
                }
            }
            if let Some(end) = end {
                return self.on_end(&choice, &pieces, end);
            }
        }
    }

    fn not_opened(&mut self, id: &EndpointId, error: OpenError) -> Next {
        let routing = self.entry.pool.routing();
        let end = match &error {
            OpenError::Refused(Refusal::NotLoaded) => {
                routing.on_not_loaded(id, self.req.version.clone());
                AttemptOutcome::Refused
            }
            OpenError::Refused(_) => AttemptOutcome::Refused,
            OpenError::NotSent(_) => {
                routing.on_failed(id);
                AttemptOutcome::NotRun
            }
            OpenError::Unknown(_) => {
                routing.on_failed(id);
                self.ran = Ran::Unknown;
                AttemptOutcome::Unknown
            }
        };
        self.lost(id, end, error.to_string())
    }

    fn cut(&mut self, id: &EndpointId, error: PullError) -> Next {
        self.ran = Ran::Unknown;
        if matches!(error, PullError::Lost(_)) {
            log::warn!(event = "attempt_lost", endpoint:% = id, error:% = error; "");
        }
        self.entry.pool.routing().on_failed(id);
        self.lost(id, AttemptOutcome::Unknown, error.to_string())
    }

    fn on_end(&mut self, choice: &RouteChoice, pieces: &[PieceKey], end: End) -> Next {
        let id = &choice.endpoint;
        match end {
            End::Finished { reason, computed_tokens, prompt_tokens } => {
                self.entry.pool.routing().on_completed(CompletedRequest {
                    endpoint: id,
                    pieces,
                    prompt_tokens,
                    reused_tokens: prompt_tokens.saturating_sub(computed_tokens),
                    rank: choice.rank,
                    was_holder: choice.was_holder,
                });
                Next::Stop(Part::Finished { reason, prompt_tokens, computed_tokens })
            }
            End::Failed { ran, message } => {
                if ran != Ran::NotRun && self.ran == Ran::NotRun {
                    self.ran = ran;
                }
                let end = match ran {
                    Ran::NotRun => AttemptOutcome::NotRun,
                    Ran::Run => AttemptOutcome::Run,
                    Ran::Unknown => AttemptOutcome::Unknown,
                };
                self.lost(id, end, message)
            }
            End::Answer(_) => {
                let message = "an answer of a plain service".to_owned();
                self.lost(id, AttemptOutcome::Run, message)
            }
        }
    }

    fn lost(&mut self, id: &EndpointId, end: AttemptOutcome, error: String) -> Next {
        log::info!(event = "attempt_failed", endpoint:% = id, error = error; "");
        self.last_error = error;
        Next::Failed(end)
    }

    fn open_request(
        &self,
        endpoint: &EndpointId,
        prompt: String,
        pieces: Vec<PieceKey>,
    ) -> OpenRequest {
        let req = self.req;
        OpenRequest {
            attempt: self.entry.new_attempt(),
            endpoint: endpoint.clone(),
            boot: None,
            revision: self.entry.cx.view().tree.revision,
            sender: self.entry.cx.cfg.listen.peer,
            workspace: req.workspace.clone(),
            model: req.model.clone(),
            adapter: req.adapter.clone(),
            version: Some(req.version.clone()),
            priority: req.priority,
            time_left: self.time_left(),
            pieces,
            work: Work::Completion {
                prompt,
                max_tokens: req.max_tokens.saturating_sub(self.delivered.len() as u32),
            },
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn failed(&self, status: StatusCode, code: ErrorCode) -> Part {
        Part::Failed(ApiError::new(status, code, self.last_error.clone()).with_ran(self.ran))
    }
}

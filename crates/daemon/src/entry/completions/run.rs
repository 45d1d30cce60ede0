use super::CompletionRequest;
use crate::entry::{
    EntryContext,
    dispatch::{Attempt, OpenError, PullError, pick_endpoint},
    http::{ApiError, ErrorCode},
};
use cassiagw_core::{
    cache::{CacheScope, piece_keys},
    ids::{EndpointId, FastSet},
    settings::EndpointEntry,
};
use cassiagw_rpc::{End, OpenRequest, Ran, Work};
use hyper::StatusCode;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Attempts for one completion, the first included.
const MAX_ATTEMPTS: usize = 6;

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
    deadline: Instant,
    delivered: Vec<String>,
    excluded: FastSet<EndpointId>,
    ran: Ran,
    last_error: String,
}

/// How an attempt ended when it did not finish the answer.
enum Next {
    Retry,
    Stop(Part),
}

/// Runs a completion to its end and sends its parts.
///
/// An attempt that fails after some tokens is continued elsewhere with these tokens behind the
/// prompt, so that none is repeated or missing. Every attempt keeps the weight version that the
/// first one had.
pub async fn run(entry: &EntryContext, req: &CompletionRequest, parts: mpsc::Sender<Part>) {
    let mut run = Run {
        entry,
        req,
        deadline: Instant::now() + req.time_limit,
        delivered: Vec::new(),
        excluded: FastSet::default(),
        ran: Ran::NotRun,
        last_error: "no endpoint of the model takes work".to_owned(),
    };
    let last = run.until_end(&parts).await;
    // A caller that went away has no use for the end.
    let _ = parts.send(last).await;
}

impl Run<'_> {
    async fn until_end(&mut self, parts: &mpsc::Sender<Part>) -> Part {
        for _ in 0..MAX_ATTEMPTS {
            if self.time_left().is_zero() {
                return self.failed(StatusCode::GATEWAY_TIMEOUT, ErrorCode::Timeout);
            }
            let Some((id, endpoint)) = self.pick() else {
                break;
            };
            match self.attempt(id, &endpoint, parts).await {
                Next::Retry => {}
                Next::Stop(part) => return part,
            }
        }
        let code =
            if self.ran == Ran::NotRun { ErrorCode::Overloaded } else { ErrorCode::EndpointFailed };
        self.failed(StatusCode::SERVICE_UNAVAILABLE, code)
    }

    fn pick(&self) -> Option<(EndpointId, EndpointEntry)> {
        let view = self.entry.cx.view();
        let near = &self.entry.cx.cfg.zone;
        pick_endpoint(&view, &self.entry.pool, &self.req.model, near, &self.excluded)
    }

    async fn attempt(
        &mut self,
        id: EndpointId,
        endpoint: &EndpointEntry,
        parts: &mpsc::Sender<Part>,
    ) -> Next {
        let open = self.open_request(&id);
        let metrics = &self.entry.cx.metrics;
        let mut attempt = match Attempt::open(&self.entry.pool, endpoint.rpc, open).await {
            Ok(attempt) => attempt,
            Err(error) => {
                metrics.count_attempt("not_opened");
                if matches!(error, OpenError::Unknown(_)) {
                    self.ran = Ran::Unknown;
                }
                return self.retry_elsewhere(id, error.to_string());
            }
        };
        metrics.count_attempt("opened");
        loop {
            if self.time_left().is_zero() {
                attempt.cancel().await;
                self.ran = Ran::Run;
                let part = self.failed(StatusCode::GATEWAY_TIMEOUT, ErrorCode::Timeout);
                return Next::Stop(part);
            }
            let (tokens, end) = match attempt.pull().await {
                Ok(chunk) => chunk,
                Err(error) => {
                    self.ran = Ran::Unknown;
                    if matches!(error, PullError::Lost(_)) {
                        log::warn!(event = "attempt_lost", endpoint:% = id, error:% = error; "");
                    }
                    return self.retry_elsewhere(id, error.to_string());
                }
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
                return self.on_end(id, end);
            }
        }
    }

    fn on_end(&mut self, id: EndpointId, end: End) -> Next {
        match end {
            End::Finished { reason, computed_tokens, prompt_tokens } => {
                Next::Stop(Part::Finished { reason, prompt_tokens, computed_tokens })
            }
            End::Failed { ran, message } => {
                if ran != Ran::NotRun && self.ran == Ran::NotRun {
                    self.ran = ran;
                }
                self.retry_elsewhere(id, message)
            }
            End::Answer(_) => self.retry_elsewhere(id, "an answer of a plain service".to_owned()),
        }
    }

    fn retry_elsewhere(&mut self, id: EndpointId, error: String) -> Next {
        log::info!(event = "attempt_failed", endpoint:% = id, error = error; "");
        self.excluded.insert(id);
        self.last_error = error;
        Next::Retry
    }

    fn open_request(&self, endpoint: &EndpointId) -> OpenRequest {
        let req = self.req;
        let prompt = [req.prompt.as_str(), &self.delivered.concat()].concat();
        let scope = CacheScope::new(req.workspace.clone(), req.model.clone(), req.version.clone())
            .with_adapter(req.adapter.clone());
        OpenRequest {
            attempt: self.entry.new_attempt(),
            endpoint: endpoint.clone(),
            boot: None,
            revision: self.entry.cx.view().tree.revision,
            workspace: req.workspace.clone(),
            model: req.model.clone(),
            adapter: req.adapter.clone(),
            version: Some(req.version.clone()),
            priority: req.priority,
            time_left: self.time_left(),
            pieces: piece_keys(&scope, &prompt, req.piece_tokens),
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

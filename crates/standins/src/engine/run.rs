use super::{block::Scope, hash_chain::Prompt};
use serde::Deserialize;
use tokio::sync::watch;

/// Request body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// Model name; must be the served one.
    pub model: String,
    /// Prompt as text; tokens are separated by white space.
    pub prompt: String,
    /// Number of tokens to generate.
    pub max_tokens: usize,
    /// Must be true; only streaming responses are supported.
    #[serde(default)]
    pub stream: bool,
    /// Request ID, unique among the active and retained runs. cassiagwd sends hex,
    /// which the engine does not check.
    pub request_id: String,
    /// Cache salt of the workspace; prompts with different salts share no cache.
    #[serde(default)]
    pub cache_salt: String,
    /// Weight version; none selects the most recently loaded one.
    #[serde(default)]
    pub version: Option<String>,
    /// Adapter; none selects the base model.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Scheduling priority; higher runs first.
    #[serde(default)]
    pub priority: i64,
    /// Cache keys of the prompt's complete pieces, in order.
    #[serde(default)]
    pub cache_keys: Vec<String>,
}

/// Prompt token counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: usize,
    /// Prompt tokens reused from the cache.
    pub cached_tokens: usize,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// All requested tokens were generated.
    Finished,
    /// Canceled by the client.
    Canceled,
    /// The engine failed; the run's streams are closed without a final event.
    Failed,
}

/// Output of a run so far.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Generated tokens.
    pub tokens: Vec<String>,
    /// Prompt token counts; zero until prefill is complete.
    pub usage: Usage,
    /// How the run ended; none while it is queued or running.
    pub end: Option<RunEnd>,
}

/// A completion request that is queued, running or retained.
#[derive(Debug)]
pub struct Run {
    /// Index in `Records::runs`.
    pub record: usize,
    /// Request ID given by the client.
    pub id: String,
    /// Cache scope.
    pub scope: Scope,
    /// Cache keys of the prompt's complete pieces.
    pub keys: Vec<String>,
    /// Tokenized prompt.
    pub prompt: Prompt,
    /// Number of tokens to generate.
    pub max_tokens: usize,
    /// Output so far; streams subscribe to its changes.
    pub progress: watch::Sender<Progress>,
}

impl Run {
    /// Returns whether the run has ended.
    pub fn has_ended(&self) -> bool {
        self.progress.borrow().end.is_some()
    }

    /// Waits until the run has ended.
    pub async fn ended(&self) {
        let mut rx = self.progress.subscribe();
        let reached = rx.wait_for(|progress| progress.end.is_some()).await.is_ok();
        debug_assert!(reached, "the run itself holds the sender");
    }
}

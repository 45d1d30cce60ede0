use super::{block::Scope, words::Prompt};
use serde::Deserialize;
use tokio::sync::watch;

/// `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// Model.
    pub model: String,
    /// Prompt as text; tokens are separated by white space.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: usize,
    /// Must be true.
    #[serde(default)]
    pub stream: bool,
    /// Name of the run, in hex.
    pub request_id: String,
    /// Workspace.
    #[serde(default)]
    pub cache_salt: String,
    /// Weight version; none means the last one loaded.
    #[serde(default)]
    pub version: Option<String>,
    /// Adapter.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Order among waiting requests, higher first.
    #[serde(default)]
    pub priority: i64,
    /// Keys of the prompt's whole pieces, first to last.
    #[serde(default)]
    pub cache_keys: Vec<String>,
}

/// Tokens that a run used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Tokens of the prompt taken from the cache.
    pub cached_tokens: usize,
}

/// End of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All tokens were generated.
    Finished,
    /// It was canceled.
    Canceled,
    /// The engine failed; its streams are cut.
    Failed,
}

/// What a run has generated.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Tokens so far.
    pub tokens: Vec<String>,
    /// What was used; known once the prompt is computed.
    pub usage: Usage,
    /// End, once there is one.
    pub end: Option<End>,
}

/// One request on the engine.
#[derive(Debug)]
pub struct Run {
    /// Position in the records.
    pub record: usize,
    /// Name that the sender gave it.
    pub id: String,
    /// Whose computation it is.
    pub scope: Scope,
    /// Keys of the prompt's whole pieces.
    pub keys: Vec<String>,
    /// Prompt.
    pub prompt: Prompt,
    /// Tokens to generate.
    pub max_tokens: usize,
    /// What it has generated.
    pub progress: watch::Sender<Progress>,
}

impl Run {
    /// Says whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.progress.borrow().end.is_some()
    }

    /// Waits until it has ended.
    pub async fn ended(&self) {
        let mut rx = self.progress.subscribe();
        let reached = rx.wait_for(|progress| progress.end.is_some()).await.is_ok();
        debug_assert!(reached, "the run itself holds the sender");
    }
}

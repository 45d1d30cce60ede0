use cassiagw_core::ids::{PieceKey, VersionId, WorkspaceId};
use std::time::Duration;

/// The properties of a completion that matter for the cache of its prompt.
#[derive(Clone, Debug)]
pub struct PromptRun {
    /// Workspace of the caller, whose share of the links is used.
    pub workspace: WorkspaceId,
    /// Weight of the workspace when it shares a link with others.
    pub weight: u32,
    /// Weight version that computes the prompt.
    pub version: VersionId,
    /// Keys of the prompt's complete pieces, in order.
    pub pieces: Vec<PieceKey>,
    /// Number of tokens of one piece.
    pub piece_tokens: u32,
}

/// Result of the cache preparation of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prepared {
    /// Leading pieces that the engine is assumed to hold.
    pub held: usize,
    /// Number of `held` pieces gained by fetching; includes those already held behind a fetched
    /// one.
    pub imported: usize,
    /// Predicted time until the prompt is used again.
    pub expected_gap: Duration,
}

/// Usage of a finished run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunUsage {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the engine computed rather than read from its cache.
    pub computed_tokens: u32,
    /// Time from the start of the run at the engine to its first token; `None` if there is none.
    pub first_token: Option<Duration>,
}

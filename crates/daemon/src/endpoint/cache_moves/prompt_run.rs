use cassiagw_core::ids::{PieceKey, VersionId, WorkspaceId};
use std::time::Duration;

/// A completion as far as its prompt's cache is concerned.
#[derive(Clone, Debug)]
pub struct PromptRun {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Share of the links relative to other workspaces.
    pub weight: u32,
    /// Weight version that computes it.
    pub version: VersionId,
    /// Keys of the prompt's whole pieces, first to last.
    pub pieces: Vec<PieceKey>,
    /// Tokens of one piece.
    pub piece_tokens: u32,
}

/// What was done for a run before its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prepared {
    /// Leading pieces that the engine is taken to hold.
    pub held: usize,
    /// Pieces fetched and imported among them.
    pub imported: usize,
    /// Time after which the prompt is expected back.
    pub expected_gap: Duration,
}

/// What an ended run used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that the engine computed.
    pub computed_tokens: u32,
    /// Time from the run's start at the engine to its first token.
    pub first_token: Option<Duration>,
}

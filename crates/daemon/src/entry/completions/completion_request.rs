use crate::entry::http::{ApiError, ErrorCode};
use cassiagw_core::{
    ids::{AdapterId, ModelId, VersionId, WorkspaceId},
    settings::{Caller, EndpointKind, Priority, Tree},
};
use hyper::StatusCode;
use serde::Deserialize;
use std::time::Duration;

/// Most tokens that one completion may produce.
const MAX_TOKENS: u32 = 65_536;

/// Completion as a caller sends it, in the form of OpenAI's completions.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RawCompletion {
    model: String,
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    priority: Option<Priority>,
    timeout_ms: Option<u64>,
}

fn default_max_tokens() -> u32 {
    16
}

/// Completion that was checked against the settings; its weight version stays for its whole run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Model.
    pub model: ModelId,
    /// Adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Weight version.
    pub version: VersionId,
    /// Tokens in one piece of the engine's cache.
    pub piece_tokens: u32,
    /// Prompt as text.
    pub prompt: String,
    /// Tokens to produce at most.
    pub max_tokens: u32,
    /// Whether the caller wants each token as it comes.
    pub stream: bool,
    /// Who waits.
    pub priority: Priority,
    /// Time for the whole answer.
    pub time_limit: Duration,
}

impl CompletionRequest {
    /// Reads and checks a completion of a caller.
    ///
    /// # Errors
    /// The error names the field that is wrong.
    pub fn parse(
        body: &[u8],
        caller: &Caller,
        tree: &Tree,
        request_timeout: Duration,
    ) -> Result<Self, ApiError> {
        let raw: RawCompletion = serde_json::from_slice(body).map_err(|error| {
            bad(StatusCode::BAD_REQUEST, ErrorCode::BadJson, format!("body: {error}"))
        })?;
        if raw.max_tokens == 0 || raw.max_tokens > MAX_TOKENS {
            let message = format!("max_tokens: {} is not from 1 to {MAX_TOKENS}", raw.max_tokens);
            return Err(bad(StatusCode::BAD_REQUEST, ErrorCode::InvalidField, message));
        }
        let model = tree.models.get(&*raw.model);
        let Some(model) = model.filter(|model| model.kind == EndpointKind::Engine) else {
            let message = format!("model: there is no model {:?}", raw.model);
            return Err(bad(StatusCode::NOT_FOUND, ErrorCode::UnknownModel, message));
        };
        let is_allowed =
            tree.access.get(&caller.team).is_some_and(|access| access.models.contains(&*raw.model));
        if !is_allowed {
            let message = format!("model: team {} may not use {:?}", caller.team, raw.model);
            return Err(bad(StatusCode::FORBIDDEN, ErrorCode::Forbidden, message));
        }
        let id: ModelId = raw.model.as_str().into();
        let serving = tree.serving.get(&(caller.team.clone(), id.clone()));
        let version = serving
            .and_then(|serving| serving.version.clone())
            .or_else(|| model.default_version.clone());
        let Some(version) = version else {
            let message = format!("model: no weight version of {:?} is in service", raw.model);
            return Err(bad(StatusCode::SERVICE_UNAVAILABLE, ErrorCode::Unavailable, message));
        };
        let deadline = serving.and_then(|serving| serving.deadline_ms);
        let time_limit = raw.timeout_ms.map(Duration::from_millis).or(deadline);
        Ok(Self {
            workspace: caller.workspace.clone(),
            model: id,
            adapter: serving.and_then(|serving| serving.adapter.clone()),
            version,
            piece_tokens: model.piece_tokens,
            prompt: raw.prompt,
            max_tokens: raw.max_tokens,
            stream: raw.stream,
            priority: raw.priority.or(serving.map(|serving| serving.priority)).unwrap_or_default(),
            time_limit: time_limit.unwrap_or(request_timeout).min(request_timeout),
        })
    }
}

fn bad(status: StatusCode, code: ErrorCode, message: String) -> ApiError {
    ApiError::new(status, code, message)
}

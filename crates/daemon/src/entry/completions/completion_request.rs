use crate::entry::http::{ApiError, ErrorCode};
use cassiagw_core::{
    ids::{AdapterId, ModelId, VersionId, WorkspaceId},
    settings::{Caller, EndpointKind, Priority, Tree},
};
use hyper::StatusCode;
use serde::Deserialize;
use std::time::Duration;

/// Maximum number of tokens that one completion may request.
const MAX_TOKENS: u32 = 65_536;

/// Request body of a completion, in the format of OpenAI's completions API.
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

/// Validated completion request; its weight version stays the same across all attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Model to run, as named in the settings.
    pub model: ModelId,
    /// Adapter that the settings assign to the team for this model; `None` for the base model.
    pub adapter: Option<AdapterId>,
    /// Weight version: the team's own if the settings assign one, else the model's default.
    pub version: VersionId,
    /// Number of tokens in one piece of the engine's prefix cache.
    pub piece_tokens: u32,
    /// Prompt text, not yet tokenized.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether to stream tokens as they are generated.
    pub stream: bool,
    /// Priority from the request, else from the settings.
    pub priority: Priority,
    /// Time limit for the complete response, at most the configured request timeout.
    pub time_limit: Duration,
}

impl CompletionRequest {
    /// Parses a request body and validates it against the settings.
    ///
    /// # Errors
    /// The message names the invalid field.
    pub fn parse(
        body: &[u8],
        caller: &Caller,
        tree: &Tree,
        request_timeout: Duration,
    ) -> Result<Self, ApiError> {
        let raw: RawCompletion = serde_json::from_slice(body).map_err(|error| {
            request_error(StatusCode::BAD_REQUEST, ErrorCode::BadJson, format!("body: {error}"))
        })?;
        if raw.max_tokens == 0 || raw.max_tokens > MAX_TOKENS {
            let message =
                format!("max_tokens: {} is not between 1 and {MAX_TOKENS}", raw.max_tokens);
            return Err(request_error(StatusCode::BAD_REQUEST, ErrorCode::InvalidField, message));
        }
        let model = tree.models.get(&*raw.model);
        let Some(model) = model.filter(|model| model.kind == EndpointKind::Engine) else {
            let message = format!("model: there is no model {:?}", raw.model);
            return Err(request_error(StatusCode::NOT_FOUND, ErrorCode::UnknownModel, message));
        };
        let is_allowed =
            tree.access.get(&caller.team).is_some_and(|access| access.models.contains(&*raw.model));
        if !is_allowed {
            let message = format!("model: team {} may not use {:?}", caller.team, raw.model);
            return Err(request_error(StatusCode::FORBIDDEN, ErrorCode::Forbidden, message));
        }
        let id: ModelId = raw.model.as_str().into();
        let serving = tree.serving.get(&(caller.team.clone(), id.clone()));
        let version = serving
            .and_then(|serving| serving.version.clone())
            .or_else(|| model.default_version.clone());
        let Some(version) = version else {
            let message = format!("model: no weight version of {:?} is in service", raw.model);
            return Err(request_error(
                StatusCode::SERVICE_UNAVAILABLE,
                ErrorCode::Unavailable,
                message,
            ));
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

fn request_error(status: StatusCode, code: ErrorCode, message: String) -> ApiError {
    ApiError::new(status, code, message)
}

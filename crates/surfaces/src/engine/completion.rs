use super::{EngineError, SseDecoder};
use cassiagw_core::ids::{AdapterId, ModelId, PieceKey, VersionId, WorkspaceId};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Finish reason of a completion that the engine stopped before it was complete.
const ABORT_FINISH_REASON: &str = "abort";

/// Completion to run on an engine.
#[derive(Clone, Debug, Serialize)]
pub struct CompletionSpec {
    /// Request identifier in hex, by which the stream can be resumed or canceled.
    pub request_id: String,
    /// Model to run.
    pub model: ModelId,
    /// Weight version; `None` leaves the choice to the engine.
    pub version: Option<VersionId>,
    /// Adapter to apply; `None` runs the model without one.
    pub adapter: Option<AdapterId>,
    /// Workspace, used as cache salt: engines do not share cache between salts.
    pub cache_salt: WorkspaceId,
    /// Prompt as text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Scheduling priority among waiting requests; higher values run first.
    pub priority: i32,
    /// Keys of the prompt's complete pieces, in prompt order.
    pub cache_keys: Vec<PieceKey>,
    /// Always true: tokens are streamed as they are generated.
    pub stream: bool,
}

/// Event of a completion stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Text of the next token.
    Token(String),
    /// The completion finished.
    End {
        /// Finish reason: `stop` or `length`.
        reason: String,
        /// Token counts of the completion; all 0 if the engine did not report them.
        usage: Usage,
    },
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Total tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that were reused from cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// Event stream of a running completion.
#[derive(Debug)]
pub struct CompletionStream {
    body: Incoming,
    decoder: SseDecoder,
    ready: VecDeque<EngineEvent>,
    has_ended: bool,
}

impl CompletionStream {
    pub(super) fn new(body: Incoming) -> Self {
        Self { body, decoder: SseDecoder::default(), ready: VecDeque::new(), has_ended: false }
    }

    /// Waits for the next event; `None` after [`EngineEvent::End`] was returned.
    ///
    /// # Errors
    /// [`EngineError::Cut`] if the stream stops before its end event, [`EngineError::Aborted`] if
    /// the engine stopped the completion, [`EngineError::Malformed`] if an event could not be
    /// decoded.
    pub async fn next(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                self.has_ended |= matches!(event, EngineEvent::End { .. });
                return Ok(Some(event));
            }
            if self.has_ended {
                return Ok(None);
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> Result<(), EngineError> {
        let frame = match self.body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Err(EngineError::Cut(error.to_string())),
            None => return Err(EngineError::Cut("stream closed before its end event".to_owned())),
        };
        let data = frame.into_data().unwrap_or_default();
        for event in self.decoder.feed(&data).map_err(EngineError::Malformed)? {
            self.ready.extend(parse_event(&event)?);
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct RawEvent {
    #[serde(default)]
    choices: Vec<RawChoice>,
    usage: Option<RawUsage>,
}

#[derive(Deserialize)]
struct RawChoice {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct RawUsage {
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Option<RawPromptTokensDetails>,
}

#[derive(Deserialize)]
struct RawPromptTokensDetails {
    #[serde(default)]
    cached_tokens: u32,
}

fn parse_event(data: &str) -> Result<Vec<EngineEvent>, EngineError> {
    if data == "[DONE]" {
        return Ok(Vec::new());
    }
    let malformed = |error: serde_json::Error| EngineError::Malformed(error.to_string());
    let raw: RawEvent = serde_json::from_str(data).map_err(malformed)?;
    let is_aborted =
        |choice: &RawChoice| choice.finish_reason.as_deref() == Some(ABORT_FINISH_REASON);
    if raw.choices.iter().any(is_aborted) {
        return Err(EngineError::Aborted);
    }
    let usage = raw.usage.map(usage_of).unwrap_or_default();
    let events = raw.choices.into_iter().flat_map(|choice| {
        let token = (!choice.text.is_empty()).then_some(EngineEvent::Token(choice.text));
        let end = choice.finish_reason.map(|reason| EngineEvent::End { reason, usage });
        token.into_iter().chain(end)
    });
    Ok(events.collect())
}

fn usage_of(raw: RawUsage) -> Usage {
    Usage {
        prompt_tokens: raw.prompt_tokens,
        cached_tokens: raw.prompt_tokens_details.map_or(0, |details| details.cached_tokens),
        completion_tokens: raw.completion_tokens,
    }
}

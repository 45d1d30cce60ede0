use crate::ids::ModelId;

/// Tokens that one output token weighs against a prompt token in an engine's time.
const OUTPUT_WEIGHT: u64 = 10;

/// Part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id, as the caller names it.
    pub id: String,
    /// Tokens.
    pub tokens: u64,
}

/// What a caller says of the prompt of a request to a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Model.
    pub model: ModelId,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Output tokens at most.
    pub max_output: u64,
    /// Parts in order; the last belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Part by which requests are brought together: the last that others share.
    pub fn shared_part(&self) -> Option<&PromptPart> {
        let shared = self.parts.len().checked_sub(2);
        self.parts.get(shared.unwrap_or_default())
    }

    /// Tokens that the request holds in an engine's memory.
    pub fn memory_tokens(&self) -> u64 {
        self.tokens + self.max_output
    }

    /// Work that the request brings, in prompt tokens.
    pub fn work_tokens(&self) -> u64 {
        self.tokens + self.max_output * OUTPUT_WEIGHT
    }
}

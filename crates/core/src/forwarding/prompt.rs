use crate::ids::ModelId;

/// Engine time of one output token, in prompt tokens.
const OUTPUT_WEIGHT: u64 = 10;

/// Part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Part identifier, as named by the caller.
    pub id: String,
    /// Size in tokens.
    pub tokens: u64,
}

/// Prompt of a request to a model engine, as described by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Model that the request is for.
    pub model: ModelId,
    /// Total prompt size in tokens.
    pub tokens: u64,
    /// Maximum number of output tokens.
    pub max_output: u64,
    /// Parts in order; the last one belongs to this request or session alone.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The last part shared with other requests, by which requests are grouped on engines; a sole
    /// part counts as shared. `None` if there are no parts.
    pub fn shared_part(&self) -> Option<&PromptPart> {
        let shared = self.parts.len().checked_sub(2);
        self.parts.get(shared.unwrap_or_default())
    }

    /// KV-cache tokens that the request may occupy, output included.
    pub fn memory_tokens(&self) -> u64 {
        self.tokens + self.max_output
    }

    /// Engine time of the request, in equivalent prompt tokens.
    pub fn work_tokens(&self) -> u64 {
        self.tokens + self.max_output * OUTPUT_WEIGHT
    }
}

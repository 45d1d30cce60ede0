use crate::ids::{BoundedMap, EndpointId};

/// Number of short answers of an endpoint that are suspected if it crashes just after them.
const MAX_SUSPECTED: u64 = 4;
/// Number of endpoints whose answers are counted; twice as many at most.
const MAX_ENDPOINTS: usize = 1_024;

/// Number of a short answer among those of its endpoint.
pub type AnswerNumber = u64;

/// Counts the short answers of each endpoint. The crash of a busy endpoint follows many of them, of which
/// only the latest are suspected: after the others it has answered on, so their runs have survived.
#[derive(Debug)]
pub struct ShortAnswers {
    counts: BoundedMap<EndpointId, AnswerNumber>,
}

impl Default for ShortAnswers {
    fn default() -> Self {
        Self { counts: BoundedMap::new(MAX_ENDPOINTS) }
    }
}

impl ShortAnswers {
    /// Counts a complete answer, and returns its number.
    pub fn on_answer(&mut self, endpoint: &EndpointId) -> AnswerNumber {
        let count = self.counts.entry(endpoint, || 0);
        *count += 1;
        *count
    }

    /// Whether an answer is among the latest of its endpoint.
    pub fn is_suspected(&self, endpoint: &EndpointId, answer: AnswerNumber) -> bool {
        let count = self.counts.peek(endpoint).copied().unwrap_or_default();
        answer + MAX_SUSPECTED > count
    }
}

/// Size up to which an answer is always buffered, in bytes, so that a few endless answers do not
/// displace all others.
const ALWAYS_BUFFERED_BYTES: usize = 16 * 1024;
/// Fraction of the total, as a divisor, that a single answer may occupy.
const SINGLE_ANSWER_DIVISOR: usize = 4;

/// Limits the memory that incompletely received answers of endpoints occupy, since a failing
/// endpoint may send bytes without end.
#[derive(Clone, Debug)]
pub struct AnswerBudget {
    max_bytes: usize,
    used_bytes: usize,
}

impl AnswerBudget {
    /// Creates an empty budget of `max_bytes` for all answers together.
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used_bytes: 0 }
    }

    /// Maximum size of one answer, in bytes.
    pub fn max_answer_bytes(&self) -> usize {
        (self.max_bytes / SINGLE_ANSWER_DIVISOR).max(ALWAYS_BUFFERED_BYTES)
    }

    /// Bytes that are buffered now.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Reserves memory for an answer that grows from `held` to `held + more` bytes. Returns false,
    /// reserving nothing, if the answer must be given up.
    pub fn grow(&mut self, held: usize, more: usize) -> bool {
        let size = held.saturating_add(more);
        let has_room = self.used_bytes.saturating_add(more) <= self.max_bytes;
        let fits = size <= ALWAYS_BUFFERED_BYTES || (size <= self.max_answer_bytes() && has_room);
        if fits {
            self.used_bytes += more;
        }
        fits
    }

    /// Returns the memory of an answer that is complete or given up.
    pub fn release(&mut self, held: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(held);
    }
}

use crate::ids::{FastMap, WorkspaceId};
use std::time::{Duration, Instant};

/// Time in which a caller must read part of an answer. The whole answer is there, so that only the
/// caller and its network decide on the rate.
const WINDOW: Duration = Duration::from_secs(2);
/// Bytes that it must read in that time not to count as slow.
const MIN_READ_BYTES: usize = 64 * 1024;

/// Identifies a held answer.
pub type AnswerId = u64;

#[derive(Clone, Debug)]
struct HeldAnswer {
    workspace: WorkspaceId,
    bytes: usize,
    read: usize,
    /// When the current window began, and what was read before it.
    window: (Instant, usize),
}

impl HeldAnswer {
    fn is_slow(&self, now: Instant) -> bool {
        now >= self.window.0 + WINDOW
    }
}

/// Complete answers that their callers have not read to the end.
#[derive(Clone, Debug, Default)]
pub struct HeldAnswers {
    answers: FastMap<AnswerId, HeldAnswer>,
    last_id: AnswerId,
    used_bytes: usize,
}

impl HeldAnswers {
    /// Bytes of all answers.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Bytes of the answers to a workspace's callers.
    pub fn used_by(&self, workspace: &str) -> usize {
        let of_workspace = self.answers.values().filter(|answer| &*answer.workspace == workspace);
        of_workspace.map(|answer| answer.bytes).sum()
    }

    /// Adds an answer.
    pub fn hold(&mut self, now: Instant, workspace: WorkspaceId, bytes: usize) -> AnswerId {
        self.last_id += 1;
        self.used_bytes += bytes;
        let answer = HeldAnswer { workspace, bytes, read: 0, window: (now, 0) };
        self.answers.insert(self.last_id, answer);
        self.last_id
    }

    /// Records that the caller has taken bytes of an answer.
    pub fn on_read(&mut self, now: Instant, id: AnswerId, bytes: usize) {
        let Some(answer) = self.answers.get_mut(&id) else { return };
        answer.read += bytes;
        if answer.read >= answer.window.1 + MIN_READ_BYTES {
            answer.window = (now, answer.read);
        }
    }

    /// Removes an answer that was read or whose connection ended.
    pub fn release(&mut self, id: AnswerId) {
        if let Some(answer) = self.answers.remove(&id) {
            self.used_bytes -= answer.bytes;
        }
    }

    /// The largest of the answers that are read slowly, of one workspace if one is given.
    pub fn slowest(&self, now: Instant, workspace: Option<&str>) -> Option<AnswerId> {
        let slow = self.answers.iter().filter(|(_, answer)| {
            answer.is_slow(now) && workspace.is_none_or(|name| name == &*answer.workspace)
        });
        slow.max_by_key(|(id, answer)| (answer.bytes - answer.read.min(answer.bytes), **id))
            .map(|(id, _)| *id)
    }
}

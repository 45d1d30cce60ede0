use super::ClaimRecord;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Bounds of the appends to one shard's ledger.
#[derive(Clone, Copy, Debug)]
pub struct CommitLimits {
    /// Time between the starts of two appends in the long run.
    pub interval: Duration,
    /// Appends that may start ahead of this rate after a quiet time.
    pub burst: u32,
    /// Longest time that an outcome waits for a claim to share its append.
    pub settle_delay: Duration,
    /// Bytes of records in one append.
    pub max_batch_bytes: usize,
    /// Records that may wait.
    pub max_queued: usize,
}

impl Default for CommitLimits {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(100),
            burst: 4,
            settle_delay: Duration::from_millis(100),
            max_batch_bytes: 200 * 1024,
            max_queued: 20_000,
        }
    }
}

/// Gathers records so that one append to the ledger carries many; one append is under way at a
/// time. `T` is what the caller needs to answer for a record.
#[derive(Debug)]
pub struct GroupCommit<T> {
    limits: CommitLimits,
    queue: VecDeque<Waiting<T>>,
    urgent: usize,
    is_appending: bool,
    /// Time at which the next append starts if none is ahead of the rate.
    next_append: Option<Instant>,
}

#[derive(Debug)]
struct Waiting<T> {
    since: Instant,
    record: ClaimRecord,
    ticket: T,
}

/// What to do now.
#[derive(Debug)]
pub enum Batch<T> {
    /// Nothing until a record or the end of the append under way.
    Idle,
    /// Nothing before this time.
    Wait(Instant),
    /// Append these; then call [`GroupCommit::finish`].
    Append(Vec<(ClaimRecord, T)>),
}

impl<T> GroupCommit<T> {
    /// Starts with an empty queue.
    pub fn new(limits: CommitLimits) -> Self {
        Self { limits, queue: VecDeque::new(), urgent: 0, is_appending: false, next_append: None }
    }

    /// Queues a record, or gives the ticket back when the queue is full.
    pub fn push(&mut self, now: Instant, record: ClaimRecord, ticket: T) -> Result<(), T> {
        if self.queue.len() >= self.limits.max_queued {
            return Err(ticket);
        }
        self.urgent += usize::from(is_urgent(&record));
        self.queue.push_back(Waiting { since: now, record, ticket });
        Ok(())
    }

    /// Takes the next batch if its time has come.
    pub fn poll(&mut self, now: Instant) -> Batch<T> {
        let Some(due) = self.due() else { return Batch::Idle };
        if due > now {
            return Batch::Wait(due);
        }
        self.is_appending = true;
        let paced = self.next_append.map_or(now, |next| next.max(now));
        self.next_append = Some(paced + self.limits.interval);
        Batch::Append(self.take_batch())
    }

    /// Notes the end of the append under way.
    pub fn finish(&mut self) {
        self.is_appending = false;
    }

    /// Records that wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no record waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    fn due(&self) -> Option<Instant> {
        if self.is_appending {
            return None;
        }
        let first = self.queue.front()?;
        let wanted = match self.urgent {
            0 => first.since + self.limits.settle_delay,
            _ => first.since,
        };
        let ahead = self.limits.interval * self.limits.burst;
        let allowed = self.next_append.and_then(|next| next.checked_sub(ahead));
        Some(allowed.map_or(wanted, |allowed| wanted.max(allowed)))
    }

    fn take_batch(&mut self) -> Vec<(ClaimRecord, T)> {
        let mut bytes = 0;
        let mut count = 0;
        for waiting in &self.queue {
            bytes += waiting.record.weight();
            if count > 0 && bytes > self.limits.max_batch_bytes {
                break;
            }
            count += 1;
        }
        let batch = self.queue.drain(..count).map(|w| (w.record, w.ticket)).collect::<Vec<_>>();
        self.urgent -= batch.iter().filter(|(record, _)| is_urgent(record)).count();
        batch
    }
}

/// Whether a caller waits for the record; an outcome is answered before it is recorded.
fn is_urgent(record: &ClaimRecord) -> bool {
    !matches!(record, ClaimRecord::Settle { .. } | ClaimRecord::Expire { .. })
}

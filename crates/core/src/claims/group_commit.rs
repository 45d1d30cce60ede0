use super::ClaimRecord;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Rate and size limits for appends to one shard's ledger.
#[derive(Clone, Copy, Debug)]
pub struct CommitLimits {
    /// Minimum interval between the starts of two appends, averaged over time.
    pub interval: Duration,
    /// Appends that may start ahead of the average rate after an idle period.
    pub burst: u32,
    /// Maximum time for which an outcome is held back so that it can share an append with a claim.
    pub settle_delay: Duration,
    /// Maximum size of the records in one append, in bytes; a single larger record is still sent.
    pub max_batch_bytes: usize,
    /// Maximum number of queued records.
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

/// Batches records into ledger appends, with at most one append in flight.
///
/// `T` is the ticket that is returned with each record, for example a reply channel.
#[derive(Debug)]
pub struct GroupCommit<T> {
    limits: CommitLimits,
    queue: VecDeque<QueuedRecord<T>>,
    /// Number of queued records that [`is_urgent`] selects.
    urgent_count: usize,
    is_appending: bool,
    /// Start time of the next append at the average rate, without any burst.
    next_append: Option<Instant>,
}

#[derive(Debug)]
struct QueuedRecord<T> {
    since: Instant,
    record: ClaimRecord,
    ticket: T,
}

/// Result of [`GroupCommit::poll`].
#[derive(Debug)]
pub enum Batch<T> {
    /// Nothing to do until a record is queued or the append in flight ends.
    Idle,
    /// Nothing to do before this time.
    Wait(Instant),
    /// Records to append, in order; call [`GroupCommit::finish`] when the append has ended.
    Append(Vec<(ClaimRecord, T)>),
}

impl<T> GroupCommit<T> {
    /// Creates an empty queue with these limits.
    pub fn new(limits: CommitLimits) -> Self {
        Self {
            limits,
            queue: VecDeque::new(),
            urgent_count: 0,
            is_appending: false,
            next_append: None,
        }
    }

    /// Queues a record; returns the ticket as an error if the queue is full.
    pub fn push(&mut self, now: Instant, record: ClaimRecord, ticket: T) -> Result<(), T> {
        if self.queue.len() >= self.limits.max_queued {
            return Err(ticket);
        }
        self.urgent_count += usize::from(is_urgent(&record));
        self.queue.push_back(QueuedRecord { since: now, record, ticket });
        Ok(())
    }

    /// Takes the next batch if it is due at `now`.
    pub fn poll(&mut self, now: Instant) -> Batch<T> {
        let Some(due) = self.due() else { return Batch::Idle };
        if due > now {
            return Batch::Wait(due);
        }
        self.is_appending = true;
        let scheduled = self.next_append.map_or(now, |next| next.max(now));
        self.next_append = Some(scheduled + self.limits.interval);
        Batch::Append(self.take_batch())
    }

    /// Marks the append in flight as ended.
    pub fn finish(&mut self) {
        self.is_appending = false;
    }

    /// Number of queued records.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    fn due(&self) -> Option<Instant> {
        if self.is_appending {
            return None;
        }
        let first = self.queue.front()?;
        let wanted = match self.urgent_count {
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
        for queued in &self.queue {
            bytes += queued.record.encoded_bytes();
            if count > 0 && bytes > self.limits.max_batch_bytes {
                break;
            }
            count += 1;
        }
        let batch = self
            .queue
            .drain(..count)
            .map(|queued| (queued.record, queued.ticket))
            .collect::<Vec<_>>();
        self.urgent_count -= batch.iter().filter(|(record, _)| is_urgent(record)).count();
        batch
    }
}

/// Whether a caller waits for the append. None waits for an expiry, and an outcome is sent to the
/// caller before it is recorded.
fn is_urgent(record: &ClaimRecord) -> bool {
    !matches!(record, ClaimRecord::Settle { .. } | ClaimRecord::Expire { .. })
}

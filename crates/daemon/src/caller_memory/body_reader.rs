use super::{BodyLease, CallerMemory, HeldBody};
use bytes::{Bytes, BytesMut};
use cassiagw_core::forwarding::{BodyProgress, MemoryBudget, MemoryUser, PressureEvent, Shortage};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use thiserror::Error;
use tokio::time::timeout_at;

/// Longest wait for memory, in which nothing of the body is read.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(2);

/// Limits on the reading of a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub max_bytes: usize,
    /// When the body must be complete.
    pub deadline: Instant,
    /// Number of times that the body is in memory while its request is handled.
    pub copies: usize,
}

/// Why a body was not read to its end. The request did not run.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// Its framing is invalid or the connection failed.
    #[error("the body cannot be read: {0}")]
    Unreadable(hyper::Error),
    /// It did not arrive in its time.
    #[error("the body did not arrive in its time")]
    TimedOut,
    /// It stopped arriving.
    #[error("the body stopped arriving")]
    Stalled,
    /// There is no memory for it.
    #[error("no memory is available for the body (limit of the {})", .0.name())]
    NoMemory(Shortage),
}

/// Reads a request body to its end, no faster than memory is available.
///
/// # Errors
/// The body was not read to its end; the rest of it may still arrive.
pub async fn read_body(
    memory: &Arc<CallerMemory>,
    user: impl FnOnce() -> MemoryUser,
    body: &mut Incoming,
    limits: BodyLimits,
) -> Result<HeldBody, BodyError> {
    if body.is_end_stream() {
        return Ok(HeldBody::default());
    }
    let announced =
        body.size_hint().exact().map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > limits.max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut reader = BodyReader {
        lease: BodyLease::new(memory.clone(), user()),
        buf: BytesMut::new(),
        progress: BodyProgress::new(Instant::now()),
        limits,
    };
    let result = reader.read(body, announced.unwrap_or(0)).await;
    match &result {
        Err(BodyError::NoMemory(_)) => memory.record(PressureEvent::BodyRefused),
        Err(BodyError::Stalled) => memory.record(PressureEvent::BodyStalled),
        _ => {}
    }
    result.map(|content| HeldBody { content, lease: Some(reader.lease) })
}

struct BodyReader {
    lease: BodyLease,
    buf: BytesMut,
    progress: BodyProgress,
    limits: BodyLimits,
}

impl BodyReader {
    async fn read(&mut self, body: &mut Incoming, announced: usize) -> Result<Bytes, BodyError> {
        self.reserve(announced).await?;
        while let Some(data) = self.next_data(body).await? {
            let needed = self.buf.len() + data.len();
            if needed > self.limits.max_bytes {
                return Err(BodyError::TooLarge);
            }
            if needed > self.buf.capacity() {
                self.reserve(needed.next_power_of_two().min(self.limits.max_bytes)).await?;
            }
            self.buf.extend_from_slice(&data);
        }
        Ok(std::mem::take(&mut self.buf).freeze())
    }

    /// Next bytes of the body, `None` at its end. A body that occupies memory must make progress.
    async fn next_data(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
        loop {
            let is_small = MemoryBudget::is_small(self.lease.bytes());
            let deadline = self.limits.deadline;
            let until = if is_small { deadline } else { deadline.min(self.progress.stalls_at()) };
            let Ok(next) = timeout_at(until.into(), body.frame()).await else {
                let is_over = until == deadline;
                return Err(if is_over { BodyError::TimedOut } else { BodyError::Stalled });
            };
            let Some(frame) = next.transpose().map_err(BodyError::Unreadable)? else {
                return Ok(None);
            };
            if let Ok(data) = frame.into_data() {
                self.progress.on_data(Instant::now(), data.len());
                return Ok(Some(data));
            }
        }
    }

    /// Makes the buffer hold `capacity` bytes.
    async fn reserve(&mut self, capacity: usize) -> Result<(), BodyError> {
        let until = self.limits.deadline.min(Instant::now() + MAX_MEMORY_WAIT);
        let growing = self.lease.grow_to(capacity * self.limits.copies, until);
        growing.await.map_err(BodyError::NoMemory)?;
        self.buf.reserve(capacity - self.buf.len());
        self.progress.restart(Instant::now());
        Ok(())
    }
}

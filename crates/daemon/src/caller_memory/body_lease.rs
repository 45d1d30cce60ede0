use super::CallerMemory;
use bytes::Bytes;
use cassiagw_core::forwarding::{MemoryUser, Shortage};
use std::{sync::Arc, time::Instant};

/// Memory that is reserved for a request body until this is dropped.
#[derive(Debug)]
pub struct BodyLease {
    memory: Arc<CallerMemory>,
    user: MemoryUser,
    bytes: usize,
}

/// A complete request body and the memory reserved for it.
#[derive(Debug, Default)]
pub struct HeldBody {
    /// Content of the body.
    pub content: Bytes,
    /// Reserved memory; `None` without a body.
    pub lease: Option<BodyLease>,
}

impl BodyLease {
    /// Creates a lease of no bytes.
    pub fn new(memory: Arc<CallerMemory>, user: MemoryUser) -> Self {
        Self { memory, user, bytes: 0 }
    }

    /// Reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows to `bytes` in total, waiting for memory until `until`.
    ///
    /// # Errors
    /// There was no memory in that time.
    pub async fn grow_to(&mut self, bytes: usize, until: Instant) -> Result<(), Shortage> {
        let more = bytes.saturating_sub(self.bytes);
        let memory = &self.memory;
        let grow = || memory.grow_body(&self.user, self.bytes, more);
        memory.wait_for_body(until, grow).await?;
        self.bytes += more;
        Ok(())
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.memory.release_body(&self.user, self.bytes);
    }
}

use super::{attempt::Attempt, forwarder::Forwarder};
use bytes::{Bytes, BytesMut};
use cassiagw_core::forwarding::{Fault, MemoryBudget};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// An answer that is being read completely; its memory counts against the daemon's budget until
/// this is dropped.
pub struct BufferedAnswer {
    fw: Arc<Forwarder>,
    buf: BytesMut,
    reserved: usize,
}

impl Drop for BufferedAnswer {
    fn drop(&mut self) {
        self.fw.answer_budget().release(self.reserved);
    }
}

impl BufferedAnswer {
    /// Creates an empty buffer.
    pub fn new(fw: Arc<Forwarder>) -> Self {
        Self { fw, buf: BytesMut::new(), reserved: 0 }
    }

    /// Reads the body of an attempt's response to its end. With `idle_timeout`, it is given up after that time without data.
    ///
    /// # Errors
    /// The body was truncated or given up, or is longer than the memory that may be used for it.
    pub async fn read_to_end(
        &mut self,
        attempt: &Attempt,
        body: &mut Incoming,
        idle_timeout: Option<Duration>,
    ) -> Result<Bytes, Fault> {
        let idle_timeout = idle_timeout.unwrap_or(Duration::MAX);
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > self.fw.answer_budget().max_answer_bytes() {
            return Err(Fault::Oversized);
        }
        loop {
            let next = timeout(idle_timeout, body.frame()).await.map_err(|_| Fault::Cut)?;
            let Some(frame) = next else { break };
            let frame = frame.map_err(|_| Fault::Cut)?;
            attempt.record_progress();
            if let Ok(data) = frame.into_data() {
                if !MemoryBudget::is_small(self.reserved + data.len()) {
                    let workspace = attempt.call.workspace();
                    self.fw.caller_memory.wait_for_room(workspace).await;
                }
                self.push(&data)?;
            }
        }
        Ok(self.buf.split().freeze())
    }

    fn push(&mut self, data: &[u8]) -> Result<(), Fault> {
        if !self.fw.answer_budget().grow(self.reserved, data.len()) {
            return Err(Fault::Oversized);
        }
        self.reserved += data.len();
        self.buf.extend_from_slice(data);
        Ok(())
    }
}

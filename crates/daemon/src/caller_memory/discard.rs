use super::CallerMemory;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum number of bytes of a refused body that are read and discarded.
const MAX_BYTES: usize = 256 * 1024;
/// Time for which they are.
const MAX_TIME: Duration = Duration::from_secs(2);

impl CallerMemory {
    /// Reads and discards the rest of a refused body, up to a limit: a caller that is still sending
    /// when its connection closes may lose the answer. Returns whether there was a rest, so that the
    /// connection must close.
    pub fn discard(&self, mut body: Incoming) -> bool {
        if body.is_end_stream() {
            return false;
        }
        if let Ok(slot) = self.discards.clone().try_acquire_owned() {
            tokio::spawn(async move {
                // The connection is closed in any case.
                let _ = timeout(MAX_TIME, discard_rest(&mut body, MAX_BYTES)).await;
                drop(slot);
            });
        }
        true
    }
}

/// Reads and discards the rest of a body, at most about `max_bytes`.
pub async fn discard_rest(body: &mut Incoming, max_bytes: usize) {
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > max_bytes {
            return;
        }
    }
}

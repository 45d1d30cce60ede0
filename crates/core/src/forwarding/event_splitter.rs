use super::EventBoundary;
use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event is longer than [`MAX_EVENT_BYTES`], so the bytes are probably no events at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Complete events taken from the front of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Raw bytes of the events, terminators included.
    pub bytes: Bytes,
    /// ID of the last event that has one.
    pub last_id: Option<String>,
}

/// Splits a stream of server-sent events at event boundaries.
///
/// A partial event is buffered until its end arrives, so that another endpoint can resume a stream
/// that was cut off.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    boundary: EventBoundary,
}

impl EventSplitter {
    /// Appends data and returns the events that are complete; `None` if there are none.
    ///
    /// # Errors
    /// An event is too long; the stream cannot be split any further.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<CompleteEvents>, EventTooLong> {
        let before = self.buf.len();
        self.buf.extend_from_slice(data);
        let mut end = 0;
        for (at, byte) in data.iter().enumerate() {
            self.boundary.push_byte(*byte);
            if self.boundary.is_between_events() {
                end = before + at + 1;
            }
        }
        if self.buf.len() - end > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        if end == 0 {
            return Ok(None);
        }
        let bytes = self.buf.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Ok(Some(CompleteEvents { bytes, last_id }))
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line).trim().to_owned())
}

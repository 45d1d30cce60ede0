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
    /// ID of the first event; `None` if it has none.
    pub first_id: Option<String>,
    /// ID of the last event that has one.
    pub last_id: Option<String>,
}

impl CompleteEvents {
    /// Whether these can be the first events of a stream that is resumed after the event
    /// `last_id`. IDs that are numbers increase.
    pub fn continue_after(&self, last_id: &str) -> bool {
        let Some(first_id) = &self.first_id else { return false };
        let number = |id: &str| id.parse::<u64>().ok();
        match (number(last_id), number(first_id)) {
            (Some(last), Some(first)) => first > last,
            _ => first_id != last_id,
        }
    }
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
        let (first_id, last_id) = (first_id(&bytes), last_id(&bytes));
        Ok(Some(CompleteEvents { bytes, first_id, last_id }))
    }
}

/// ID of the first event that has data.
fn first_id(events: &[u8]) -> Option<String> {
    let mut id = None;
    let mut has_data = false;
    for line in event_lines(events) {
        if line.is_empty() && has_data {
            break;
        }
        has_data |= line.starts_with(b"data");
        id = event_id(line).or(id);
    }
    id
}

fn last_id(events: &[u8]) -> Option<String> {
    event_lines(events).rev().find_map(event_id)
}

fn event_lines(events: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    let end = if events.contains(&b'\n') { b'\n' } else { b'\r' };
    let lines = events.split(move |byte| *byte == end);
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn event_id(line: &[u8]) -> Option<String> {
    let id = line.strip_prefix(b"id:")?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}

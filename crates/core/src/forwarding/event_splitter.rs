use bytes::{Bytes, BytesMut};

/// Largest event that is put together; a longer one is passed on in pieces.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Whole events at the front of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// Id of the last one that has an id.
    pub last_id: Option<String>,
}

/// Cuts a stream of server-sent events at the ends of events.
///
/// A part of an event is kept back until its end arrives, so that another endpoint can continue
/// a stream that broke off.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
}

impl EventSplitter {
    /// Takes bytes and gives the events that are whole now.
    pub fn push(&mut self, data: &[u8]) -> Option<WholeEvents> {
        self.buf.extend_from_slice(data);
        let end = match end_of_events(&self.buf) {
            0 if self.buf.len() > MAX_EVENT_BYTES => self.buf.len(),
            0 => return None,
            end => end,
        };
        let bytes = self.buf.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Some(WholeEvents { bytes, last_id })
    }

    /// Takes what is left at the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

/// Position after the last blank line.
fn end_of_events(buf: &[u8]) -> usize {
    let ends = |pattern: &[u8]| {
        let found = buf.windows(pattern.len()).rposition(|window| window == pattern);
        found.map_or(0, |at| at + pattern.len())
    };
    ends(b"\n\n").max(ends(b"\r\n\r\n"))
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line).trim().to_owned())
}

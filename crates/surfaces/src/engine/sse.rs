use bytes::{Buf, BytesMut};

/// Maximum size of the buffered, incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Incremental decoder of a server-sent event stream; the input can be split at any byte.
#[derive(Debug, Default)]
pub struct SseDecoder {
    buf: BytesMut,
    data: Vec<String>,
}

impl SseDecoder {
    /// Adds bytes and returns the data of all events that they complete.
    ///
    /// # Errors
    /// A line is not valid UTF-8, or the buffered, incomplete event exceeds 1 MiB.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<String>, String> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
            let line = self.buf.split_to(end);
            self.buf.advance(1);
            let line = std::str::from_utf8(&line).map_err(|_| "event is not UTF-8".to_owned())?;
            events.extend(self.process_line(line.strip_suffix('\r').unwrap_or(line)));
        }
        let buffered_bytes = self.buf.len() + self.data.iter().map(String::len).sum::<usize>();
        if buffered_bytes > MAX_EVENT_BYTES {
            return Err(format!("event exceeds {MAX_EVENT_BYTES} bytes"));
        }
        Ok(events)
    }

    fn process_line(&mut self, line: &str) -> Option<String> {
        if line.is_empty() {
            let is_event = !self.data.is_empty();
            return is_event.then(|| std::mem::take(&mut self.data).join("\n"));
        }
        if let Some(data) = line.strip_prefix("data:") {
            self.data.push(data.strip_prefix(' ').unwrap_or(data).to_owned());
        }
        None
    }
}

/// Tells whether the bytes of a stream of server-sent events end between two events.
///
/// An event ends with an empty line; a line ends with `\n`, `\r` or both.
#[derive(Clone, Debug)]
pub struct EventBoundary {
    is_empty: bool,
    is_between_events: bool,
    is_at_line_start: bool,
    /// The last byte may be the first half of the line end that ends an event.
    is_half_ended: bool,
    previous: u8,
}

impl Default for EventBoundary {
    fn default() -> Self {
        Self {
            is_empty: true,
            is_between_events: true,
            is_at_line_start: true,
            is_half_ended: false,
            previous: 0,
        }
    }
}

impl EventBoundary {
    /// Appends data of the stream.
    pub fn push(&mut self, data: &[u8]) {
        data.iter().for_each(|byte| self.push_byte(*byte));
    }

    /// Appends a byte of the stream.
    pub fn push_byte(&mut self, byte: u8) {
        self.is_empty = false;
        match byte {
            b'\n' if self.previous == b'\r' => self.is_between_events |= self.is_half_ended,
            b'\n' | b'\r' => self.end_line(byte),
            _ => {
                self.is_between_events = false;
                self.is_at_line_start = false;
            }
        }
        self.is_half_ended &= byte == b'\r';
        self.previous = byte;
    }

    fn end_line(&mut self, byte: u8) {
        // After `\r\n`, a lone `\r` is only half of a line end.
        self.is_half_ended = self.is_at_line_start && byte == b'\r' && self.previous == b'\n';
        self.is_between_events = self.is_at_line_start && !self.is_half_ended;
        self.is_at_line_start = true;
    }

    /// Whether the stream so far has no bytes.
    pub fn is_empty(&self) -> bool {
        self.is_empty
    }

    /// Whether the stream so far is empty or ends with a complete event.
    pub fn is_between_events(&self) -> bool {
        self.is_between_events
    }
}

/// How the end of an answer's body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// The head tells the length.
    Length,
    /// The body comes in chunks, of which the last is marked.
    Chunked,
    /// The body ends with the connection, so a lost connection looks like its end.
    Close,
}

impl Framing {
    /// Value in log records and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

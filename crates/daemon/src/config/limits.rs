use super::Section;
use std::time::Duration;

/// Size limits, connection limits and timeouts of one daemon process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory of the host, in bytes, from which the memory for what is held for callers is derived.
    pub memory_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a request head (request line and header fields), in bytes.
    pub max_head_bytes: u64,
    /// Maximum number of open connections from callers.
    pub max_connections: u32,
    /// Time allowed for a caller to send a request head.
    pub head_timeout: Duration,
    /// Time allowed for a caller to send a request body.
    pub body_timeout: Duration,
    /// Time allowed for the complete response if the request sets no deadline.
    pub request_timeout: Duration,
    /// Timeout for connecting to another process.
    pub connect_timeout: Duration,
    /// Maximum time that a graceful shutdown waits for running requests.
    pub drain_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_bytes: 512_000_000,
            max_body_bytes: 4 * 1024 * 1024,
            max_head_bytes: 16 * 1024,
            max_connections: 10_000,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            request_timeout: Duration::from_secs(120),
            connect_timeout: Duration::from_millis(500),
            drain_timeout: Duration::from_secs(60),
        }
    }
}

impl Limits {
    /// Reads the `limits` section; missing settings get their default values.
    pub fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        Self {
            memory_bytes: section.bytes("memory", default.memory_bytes),
            max_body_bytes: section.bytes("max_body", default.max_body_bytes),
            max_head_bytes: section.bytes("max_head", default.max_head_bytes),
            max_connections: section.count("max_connections", default.max_connections),
            head_timeout: section.duration("head_timeout", default.head_timeout),
            body_timeout: section.duration("body_timeout", default.body_timeout),
            request_timeout: section.duration("request_timeout", default.request_timeout),
            connect_timeout: section.duration("connect_timeout", default.connect_timeout),
            drain_timeout: section.duration("drain_timeout", default.drain_timeout),
        }
    }
}

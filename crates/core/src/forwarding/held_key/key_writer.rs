use serde::{Deserialize, Serialize};

/// Process that wrote a key and the lease under which it did. It is part of the key's value, so that
/// each write can be told from others of the same process that arrive late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyWriter {
    /// Start of the process, in milliseconds since the Unix epoch; 0 if its version does not tell.
    pub started_unix_ms: u64,
    /// Random ID of the process.
    pub boot: u64,
    /// Lease that the key is attached to.
    pub lease: u64,
}

impl KeyWriter {
    /// The same process with another lease.
    pub fn with_lease(self, lease: u64) -> Self {
        Self { lease, ..self }
    }

    /// Name for this process while a newer one has `name`.
    pub fn alias(&self, name: &str) -> String {
        format!("{name}~{:016x}", self.boot)
    }

    /// Whether both are of one process.
    pub fn is_same_boot(&self, other: &Self) -> bool {
        self.age_key() == other.age_key()
    }

    /// Whether this process started after `other`. Any two processes are ordered the same way by
    /// all daemons.
    pub fn is_newer_boot_than(&self, other: &Self) -> bool {
        self.age_key() > other.age_key()
    }

    fn age_key(&self) -> (u64, u64) {
        (self.started_unix_ms, self.boot)
    }
}

use super::{HostRecord, MembersDelta};
use crate::ids::{DaemonId, HostId, Revision, ZoneId};
use bincode::Options;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Wire format version; messages of any other version are rejected.
const FORMAT: u8 = 2;
/// Maximum size of an encoded message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 8 * 1024 * 1024;

/// Anti-entropy request: versions and digests of the requesting peer's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncDigest {
    /// Version of the requesting peer's member table.
    pub members: u64,
    /// Digest of the requesting peer's host table.
    pub hosts: u64,
    /// Page of the full settings to return: the outer `None` requests no page, the inner `None`
    /// the first page, and a path the page after it.
    pub page_after: Option<Option<String>>,
}

/// Anti-entropy response: state that the requesting peer may lack.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncDelta {
    /// Age of the responding peer's last confirmed read of the service in milliseconds; `None` if
    /// there was none.
    pub confirmed_ms: Option<u32>,
    /// Zones that report the service as unreachable, with the age of the report in milliseconds.
    pub down_ms: Vec<(ZoneId, u32)>,
    /// Zones whose registrations ended but which may have running daemons, with the time since then
    /// in milliseconds.
    pub lapsed_ms: Vec<(ZoneId, u32)>,
    /// Watchers in the requesting peer's zone; empty if the responding peer is in another zone.
    pub watchers: Vec<SlotHolder>,
    /// Settings records after the requesting peer's revision.
    pub records: Vec<(Revision, Vec<u8>)>,
    /// Whether the records after the requesting peer's revision are no longer kept, so that it must
    /// read the full settings.
    pub is_too_far: bool,
    /// Page of the full settings, if one was requested.
    pub page: Option<Page>,
    /// Changes to the member table.
    pub members: MembersDelta,
    /// The host table; `None` if the digests are equal.
    pub hosts: Option<Vec<(HostId, HostRecord)>>,
}

/// Holder of a watcher slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotHolder {
    /// Slot index, below [`SLOTS`](super::SLOTS).
    pub slot: u8,
    /// Daemon that holds the slot.
    pub daemon: DaemonId,
    /// Time since the daemon was last known to hold the slot, in milliseconds.
    pub age_ms: u32,
}

/// Page of the full settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Path that the page follows, as given in the request; `None` for the first page.
    pub after: Option<String>,
    /// Paths and JSON values in tree order; empty after the last setting.
    pub entries: Vec<(String, String)>,
}

/// Why a message could not be decoded.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message has another format version.
    #[error("unsupported message format {0}, expected {FORMAT}")]
    Format(u8),
    /// The message has no bytes.
    #[error("message is empty")]
    Empty,
    /// The payload does not decode as the expected type.
    #[error("message could not be decoded: {0}")]
    Shape(#[from] bincode::Error),
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_MESSAGE_BYTES)
}

/// Encodes a message, prefixed with the format version.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut buf = vec![FORMAT];
    options()
        .serialize_into(&mut buf, message)
        .expect("messages serialize and are below the size limit");
    buf
}

/// Decodes a message written by [`encode`].
///
/// # Errors
/// Returns a [`MessageError`] if the message is empty, of another format version or malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    match bytes {
        [] => Err(MessageError::Empty),
        [FORMAT, rest @ ..] => Ok(options().deserialize(rest)?),
        [other, ..] => Err(MessageError::Format(*other)),
    }
}

use super::{HostNews, MembersNews};
use crate::ids::{DaemonId, HostId, Revision, ZoneId};
use bincode::Options;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Version of the messages; another version is not read.
const FORMAT: u8 = 2;
/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 8 * 1024 * 1024;

/// What a daemon tells of itself when it asks a peer for news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Version of its member table.
    pub members: u64,
    /// Digest of its host table.
    pub hosts: u64,
    /// Whether it reads the whole settings page by page, and the last path that it has.
    pub page_after: Option<Option<String>>,
}

/// What a peer knows that the asking daemon may lack.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Age of the last confirmed contact with the service, in milliseconds.
    pub confirmed_ms: Option<u32>,
    /// Zones that report the service as down, with the age of the report in milliseconds.
    pub down_ms: Vec<(ZoneId, u32)>,
    /// Zones whose registrations ended but which may be alive, with the time since then in
    /// milliseconds.
    pub lapsed_ms: Vec<(ZoneId, u32)>,
    /// Watchers of the asking daemon's zone.
    pub watchers: Vec<WatcherNews>,
    /// Records after the asking daemon's revision.
    pub records: Vec<(Revision, Vec<u8>)>,
    /// Whether the records do not reach back to the asking daemon's revision.
    pub is_too_far: bool,
    /// Page of the whole settings, if one was asked for.
    pub page: Option<Page>,
    /// Changes of the member table.
    pub members: MembersNews,
    /// The host table, where it differs.
    pub hosts: Option<Vec<(HostId, HostNews)>>,
}

/// Holder of a watcher's slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherNews {
    /// Slot.
    pub slot: u8,
    /// Holder.
    pub daemon: DaemonId,
    /// Time since it was last known to hold it, in milliseconds.
    pub age_ms: u32,
}

/// Page of the whole settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Path that the request named.
    pub after: Option<String>,
    /// Paths and values as JSON, in the order of the tree; none is the end.
    pub entries: Vec<(String, String)>,
}

/// A message that cannot be read.
#[derive(Debug, Error)]
pub enum MessageError {
    /// Another version wrote it.
    #[error("message has format {0}, this daemon reads format {FORMAT}")]
    Format(u8),
    /// It is empty.
    #[error("message is empty")]
    Empty,
    /// It has another shape.
    #[error("message cannot be read: {0}")]
    Shape(#[from] bincode::Error),
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_MESSAGE_BYTES)
}

/// Writes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut buf = vec![FORMAT];
    options().serialize_into(&mut buf, message).expect("messages are plain data below the limit");
    buf
}

/// Reads a message.
///
/// # Errors
/// [`MessageError`]
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    match bytes {
        [] => Err(MessageError::Empty),
        [FORMAT, rest @ ..] => Ok(options().deserialize(rest)?),
        [other, ..] => Err(MessageError::Format(*other)),
    }
}

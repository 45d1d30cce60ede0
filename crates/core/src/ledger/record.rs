use crate::ids::Revision;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::fmt;
use thiserror::Error;

/// Random ID of one append, by which a writer recognizes its own record in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct AppendId(pub u128);

impl fmt::Display for AppendId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<AppendId> for String {
    fn from(id: AppendId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for AppendId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

/// Content of one append, stored as the value of one log key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<E> {
    /// ID of the append that wrote the record.
    pub id: AppendId,
    /// Entries, in the order in which they are applied.
    pub entries: Vec<E>,
}

impl<E: Serialize + DeserializeOwned> Record<E> {
    /// Encodes the record as JSON for storage.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("records are plain data")
    }

    /// Decodes a stored record; `revision` is only used in the error.
    ///
    /// # Errors
    /// [`LedgerError::BadRecord`] if `value` is not a record with entries of type `E`.
    pub fn decode(revision: Revision, value: &[u8]) -> Result<Self, LedgerError> {
        serde_json::from_slice(value)
            .map_err(|error| LedgerError::BadRecord { revision, cause: error.to_string() })
    }
}

/// Error in the stored content of a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerError {
    /// A record cannot be decoded.
    #[error("ledger record {revision} cannot be decoded: {cause}")]
    BadRecord {
        /// Revision of the record.
        revision: Revision,
        /// Message of the decoder.
        cause: String,
    },
    /// The requested revision is no longer in the log because it was compacted.
    #[error("ledger revision {wanted} has been compacted")]
    Compacted {
        /// Requested revision.
        wanted: Revision,
    },
    /// A snapshot lacks parts, or its content does not match the hash in its head.
    #[error("ledger snapshot {revision} is incomplete or corrupt")]
    BadSnapshot {
        /// Revision of the snapshot; 0 if the head itself cannot be decoded.
        revision: Revision,
    },
}

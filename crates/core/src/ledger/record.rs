use crate::ids::Revision;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::fmt;
use thiserror::Error;

/// Random name of one append; it tells a writer's own record from another's.
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

/// What one append wrote: the value of one key of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<E> {
    /// Name of the append.
    pub id: AppendId,
    /// Entries, in order.
    pub entries: Vec<E>,
}

impl<E: Serialize + DeserializeOwned> Record<E> {
    /// Gives the value of the record's key.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("records are plain data")
    }

    /// Reads the value of a record's key.
    ///
    /// # Errors
    /// The value is not a record of this type.
    pub fn decode(revision: Revision, value: &[u8]) -> Result<Self, LedgerError> {
        serde_json::from_slice(value)
            .map_err(|error| LedgerError::BadRecord { revision, cause: error.to_string() })
    }
}

/// Content of a ledger that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerError {
    /// A record has another shape.
    #[error("record {revision} of the ledger cannot be read: {cause}")]
    BadRecord {
        /// Its revision.
        revision: Revision,
        /// What is wrong.
        cause: String,
    },
    /// The log starts after the revision that is wanted: it was compacted meanwhile.
    #[error("the ledger was compacted past revision {wanted}")]
    Compacted {
        /// Revision that is wanted.
        wanted: Revision,
    },
    /// A snapshot lacks parts or has other content than its head says.
    #[error("snapshot {revision} of the ledger is not whole")]
    BadSnapshot {
        /// Its revision.
        revision: Revision,
    },
}

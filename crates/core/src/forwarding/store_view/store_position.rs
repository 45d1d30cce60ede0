use serde::{Deserialize, Serialize};
use std::{fmt, num::ParseIntError, str::FromStr};

/// Number of revisions that the fencing numbers of one era may take.
const FENCES_PER_ERA: u64 = 1 << 32;

/// Position in the history of the platform's store.
///
/// The store may come back from an older copy; it then begins a new era and gives out revisions
/// again that it gave out before. Positions compare by era first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Era, as the store tells it in all its answers; 0 if it does not.
    pub era: u64,
    /// Revision within the era; 0 before anything is known.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Fencing number of a lease whose key was written here; it rises with the position.
    pub fn fence(self) -> u64 {
        self.era.saturating_mul(FENCES_PER_ERA).saturating_add(self.revision)
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl FromStr for StorePosition {
    type Err = ParseIntError;

    /// Reads the form `ERA.REVISION`; a revision alone has era 0.
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let (era, revision) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self::new(era.parse()?, revision.parse()?))
    }
}

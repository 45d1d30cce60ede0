use crate::ids::{AttemptId, BootId, DaemonId, EndpointId};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

const SEQUENCE_BITS: u32 = 40;
const SALT_BITS: u32 = 40;

/// One attempt of a claimed request, bound to one boot of one endpoint daemon.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// Name of the attempt.
    #[serde_as(as = "DisplayFromStr")]
    pub id: AttemptId,
    /// Endpoint that it may run on.
    pub endpoint: EndpointId,
    /// Boot of the endpoint daemon; another boot refuses it.
    pub boot: BootId,
    /// Daemon that dispatches it.
    pub claimant: DaemonId,
}

/// Source of attempt ids: 48 bits of start time, 40 bits of salt and 40 bits of sequence.
///
/// The sequence lets an endpoint daemon forget old attempts in order; the start time lets it
/// forget whole series from the oldest on. Neither needs clocks that agree.
#[derive(Clone, Debug)]
pub struct AttemptSeries {
    series: u128,
    next: u64,
}

impl AttemptSeries {
    /// Starts a series at `unix_ms` with a random `salt`.
    pub fn new(unix_ms: u64, salt: u64) -> Self {
        let stamp = u128::from(unix_ms & ((1 << 48) - 1));
        let salt = u128::from(salt & ((1 << SALT_BITS) - 1));
        Self { series: stamp << SALT_BITS | salt, next: 1 }
    }

    /// Milliseconds since the start of the series.
    pub fn age_ms(&self, unix_ms: u64) -> u64 {
        unix_ms.saturating_sub((self.series >> SALT_BITS) as u64)
    }

    /// Gives the next id.
    pub fn next_id(&mut self) -> AttemptId {
        let id = self.series << SEQUENCE_BITS | u128::from(self.next);
        self.next += 1;
        id
    }
}

/// Splits an attempt id into its series and its sequence number.
pub fn series_of(id: AttemptId) -> (u128, u64) {
    let sequence = id & ((1 << SEQUENCE_BITS) - 1);
    (id >> SEQUENCE_BITS, sequence as u64)
}

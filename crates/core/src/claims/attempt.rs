use crate::ids::{AttemptId, BootId, DaemonId, EndpointId};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

const SEQUENCE_BITS: u32 = 40;
const SALT_BITS: u32 = 40;

/// One attempt to execute a claimed request, bound to one boot of one endpoint daemon.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// Unique ID of the attempt, allocated by an [`AttemptSeries`].
    #[serde_as(as = "DisplayFromStr")]
    pub id: AttemptId,
    /// Endpoint that the attempt is dispatched to.
    pub endpoint: EndpointId,
    /// Boot of the endpoint daemon that the attempt is valid for; any other boot refuses it.
    pub boot: BootId,
    /// Daemon that dispatches the attempt.
    pub claimant: DaemonId,
}

/// Allocates attempt IDs: 48 bits of start time, 40 bits of salt and 40 bits of sequence number.
///
/// The sequence number lets an endpoint daemon evict old attempts of a series in order, and the
/// start time lets it evict whole series, oldest first. Neither requires synchronized clocks.
#[derive(Clone, Debug)]
pub struct AttemptSeries {
    series: u128,
    next: u64,
}

impl AttemptSeries {
    /// Starts a series at `unix_ms`; `salt` is random and separates series with the same start.
    pub fn new(unix_ms: u64, salt: u64) -> Self {
        let start_ms = u128::from(unix_ms & ((1 << 48) - 1));
        let salt = u128::from(salt & ((1 << SALT_BITS) - 1));
        Self { series: start_ms << SALT_BITS | salt, next: 1 }
    }

    /// Milliseconds from the start of the series to `unix_ms`; 0 if the clock went backwards.
    pub fn age_ms(&self, unix_ms: u64) -> u64 {
        unix_ms.saturating_sub((self.series >> SALT_BITS) as u64)
    }

    /// Allocates the next ID of the series.
    pub fn next_id(&mut self) -> AttemptId {
        let id = self.series << SEQUENCE_BITS | u128::from(self.next);
        self.next += 1;
        id
    }
}

/// Splits an attempt ID into its series (start time and salt) and its sequence number.
pub fn split_attempt_id(id: AttemptId) -> (u128, u64) {
    let sequence = id & ((1 << SEQUENCE_BITS) - 1);
    (id >> SEQUENCE_BITS, sequence as u64)
}

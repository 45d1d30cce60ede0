use cassiagw_core::{
    claims::{ClaimKey, ClaimRecord, ClaimShard, Fingerprint, KeyStatus, SubmitError},
    ids::Revision,
    ledger::{LedgerError, RawRecord, Record},
};
use cassiagw_surfaces::kv::LoadedLedger;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Maximum time between the last contact and the first failure for the view to count as complete.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(3);
/// Minimum size of the records since the last snapshot, in bytes, for a new one to be due.
const MIN_SNAPSHOT_BYTES: usize = 256 * 1024;

/// Status of one shard at one daemon, part of the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ShardStatus {
    /// Whether the daemon is the shard's current owner.
    pub is_owner: bool,
    /// Whether the daemon knows every claim of the shard.
    pub is_complete: bool,
    /// Number of claims that the daemon knows.
    pub claims: usize,
    /// Revision up to which the daemon has read the ledger.
    pub revision: Revision,
}

/// Claims that one daemon has read from a shard's ledger, and when it last reached the ledger.
#[derive(Debug, Default)]
pub(super) struct ShardView {
    claims: ClaimShard,
    revision: Revision,
    is_loaded: bool,
    last_contact: Option<Instant>,
    failing_since: Option<Instant>,
    /// Start of this daemon's current ownership of the shard; `None` if it is not the owner.
    owner_since: Option<Instant>,
    bytes_since_snapshot: usize,
    snapshot_bytes: usize,
}

impl ShardView {
    /// Replaces the claims by those of a loaded ledger: its snapshot and the records after it.
    pub fn load(&mut self, ledger: LoadedLedger) -> Result<(), LedgerError> {
        let (claims, revision, bytes) = match ledger.snapshot {
            Some(snapshot) => {
                let claims = ClaimShard::from_snapshot(&snapshot.content)
                    .map_err(|_| LedgerError::BadSnapshot { revision: snapshot.revision })?;
                (claims, snapshot.revision, snapshot.content.len())
            }
            None => (ClaimShard::default(), 0, 0),
        };
        *self = Self {
            claims,
            revision,
            snapshot_bytes: bytes,
            owner_since: self.owner_since,
            ..Self::default()
        };
        ledger.records.iter().try_for_each(|record| self.apply_raw(record))?;
        self.is_loaded = true;
        Ok(())
    }

    /// Decodes and applies the next record, as read from the key-value service.
    pub fn apply_raw(&mut self, raw: &RawRecord) -> Result<(), LedgerError> {
        let record = Record::<ClaimRecord>::decode(raw.revision, &raw.value)?;
        self.apply(raw.revision, record.entries, raw.value.len());
        Ok(())
    }

    /// Applies the entries of the next record; `bytes` is its size.
    pub fn apply(&mut self, revision: Revision, entries: Vec<ClaimRecord>, bytes: usize) {
        self.revision = revision;
        self.bytes_since_snapshot += bytes;
        entries.into_iter().for_each(|entry| self.claims.apply(entry));
    }

    /// Records a response of the key-value service that confirms the end of the ledger.
    pub fn on_contact(&mut self, now: Instant) {
        self.last_contact = Some(now);
        self.failing_since = None;
    }

    /// Records a failure of the key-value service; the first one since the last contact counts.
    pub fn on_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records whether this daemon owns the shard at `now`.
    pub fn on_ownership(&mut self, now: Instant, is_owner: bool) {
        self.owner_since = is_owner.then(|| self.owner_since.unwrap_or(now));
    }

    /// Returns whether this daemon owns the shard.
    pub fn is_owner(&self) -> bool {
        self.owner_since.is_some()
    }

    /// Returns whether the last access to the key-value service failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Status for the state dump.
    pub fn status(&self) -> ShardStatus {
        ShardStatus {
            is_owner: self.is_owner(),
            is_complete: self.is_complete(),
            claims: self.claims.len(),
            revision: self.revision,
        }
    }

    /// Returns whether the ledger was loaded; until then the revision to append after is unknown.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Revision up to which the ledger was read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Status of a key according to the records read so far.
    pub fn key_status(&self, key: &ClaimKey, fingerprint: Fingerprint) -> KeyStatus {
        self.claims.key_status(key, fingerprint)
    }

    /// Error for a call that failed because the ledger is unreachable, with what is known of its
    /// key.
    pub fn submit_error(&self, key: &ClaimKey, fingerprint: Fingerprint) -> SubmitError {
        let is_free = self.key_status(key, fingerprint) == KeyStatus::Free;
        SubmitError { is_known_free: self.is_complete() && is_free }
    }

    /// Returns whether this daemon has written or read every record up to now or, during an outage,
    /// up to its start. This holds if it has owned the shard since before its last contact and,
    /// during an outage, that contact was shortly before the outage.
    fn is_complete(&self) -> bool {
        let (Some(contact), Some(owner_since)) = (self.last_contact, self.owner_since) else {
            return false;
        };
        let was_contact_recent = self
            .failing_since
            .is_none_or(|failing| failing.saturating_duration_since(contact) <= MAX_CONTACT_AGE);
        self.is_loaded && owner_since <= contact && was_contact_recent
    }

    /// Returns whether the records since the last snapshot have reached its size and the minimum.
    pub fn is_snapshot_due(&self) -> bool {
        self.bytes_since_snapshot >= MIN_SNAPSHOT_BYTES.max(self.snapshot_bytes)
    }

    /// Encodes a snapshot at the current revision and resets the counter of record bytes.
    pub fn take_snapshot(&mut self) -> Vec<u8> {
        let content = self.claims.snapshot();
        self.bytes_since_snapshot = 0;
        self.snapshot_bytes = content.len();
        content
    }
}

use cassiagw_core::{
    claims::{ClaimKey, ClaimRecord, ClaimShard, Fingerprint, KeyStatus, SubmitError},
    ids::Revision,
    ledger::{LedgerError, RawRecord, Record},
};
use cassiagw_surfaces::kv::LoadedLedger;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Longest time without contact before a failure after which the view counts as complete.
const COMPLETE_WITHIN: Duration = Duration::from_secs(3);
/// Bytes of records after which a snapshot is due, at least.
const MIN_SNAPSHOT_BYTES: usize = 256 * 1024;

/// State of one shard at one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ShardStatus {
    /// Whether the daemon owns the shard.
    pub is_owner: bool,
    /// Whether it knows every claim of the shard.
    pub is_complete: bool,
    /// Claims held.
    pub claims: usize,
    /// Revision of the ledger.
    pub revision: Revision,
}

/// What one daemon has read of a shard's ledger.
#[derive(Debug, Default)]
pub(super) struct ShardView {
    claims: ClaimShard,
    revision: Revision,
    is_loaded: bool,
    last_contact: Option<Instant>,
    failing_since: Option<Instant>,
    /// Start of this daemon's present ownership of the shard.
    owner_since: Option<Instant>,
    bytes_since_snapshot: usize,
    snapshot_bytes: usize,
}

impl ShardView {
    /// Takes the ledger in from its snapshot on.
    pub fn load(&mut self, ledger: LoadedLedger) -> Result<(), LedgerError> {
        let (claims, revision, bytes) = match ledger.snapshot {
            Some(set) => {
                let claims = ClaimShard::from_snapshot(&set.content)
                    .map_err(|_| LedgerError::BadSnapshot { revision: set.revision })?;
                (claims, set.revision, set.content.len())
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

    /// Takes in the next record as read from the service.
    pub fn apply_raw(&mut self, raw: &RawRecord) -> Result<(), LedgerError> {
        let record = Record::<ClaimRecord>::decode(raw.revision, &raw.value)?;
        self.apply(raw.revision, record.entries, raw.value.len());
        Ok(())
    }

    /// Takes in the entries of the next record.
    pub fn apply(&mut self, revision: Revision, entries: Vec<ClaimRecord>, bytes: usize) {
        self.revision = revision;
        self.bytes_since_snapshot += bytes;
        entries.into_iter().for_each(|entry| self.claims.apply(entry));
    }

    /// Notes an answer of the key-value service that reflects the ledger's end.
    pub fn on_contact(&mut self, now: Instant) {
        self.last_contact = Some(now);
        self.failing_since = None;
    }

    /// Notes a failure of the key-value service.
    pub fn on_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Notes whether this daemon owns the shard.
    pub fn on_ownership(&mut self, now: Instant, is_owner: bool) {
        self.owner_since = is_owner.then(|| self.owner_since.unwrap_or(now));
    }

    /// Whether this daemon owns the shard.
    pub fn is_owner(&self) -> bool {
        self.owner_since.is_some()
    }

    /// Whether the key-value service failed at the last try.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// State for a dump.
    pub fn status(&self) -> ShardStatus {
        ShardStatus {
            is_owner: self.is_owner(),
            is_complete: self.is_complete(),
            claims: self.claims.len(),
            revision: self.revision,
        }
    }

    /// Whether the ledger was loaded.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Revision up to which the ledger was read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// What the ledger says of a key.
    pub fn standing(&self, key: &ClaimKey, fingerprint: Fingerprint) -> KeyStatus {
        self.claims.key_status(key, fingerprint)
    }

    /// What is known of a key while the ledger cannot be reached.
    pub fn error(&self, key: &ClaimKey, fingerprint: Fingerprint) -> SubmitError {
        let is_free = self.standing(key, fingerprint) == KeyStatus::Free;
        SubmitError { is_known_free: self.is_complete() && is_free }
    }

    /// Whether every record up to the outage, if there is one, passed through this daemon or was
    /// read by it: it has owned the shard since before its last contact.
    fn is_complete(&self) -> bool {
        let (Some(contact), Some(owner_since)) = (self.last_contact, self.owner_since) else {
            return false;
        };
        let was_lately = self
            .failing_since
            .is_none_or(|failing| failing.saturating_duration_since(contact) <= COMPLETE_WITHIN);
        self.is_loaded && owner_since <= contact && was_lately
    }

    /// Whether the log has outgrown the last snapshot.
    pub fn is_snapshot_due(&self) -> bool {
        self.bytes_since_snapshot >= MIN_SNAPSHOT_BYTES.max(self.snapshot_bytes)
    }

    /// Gives the content of a snapshot at the present revision.
    pub fn take_snapshot(&mut self) -> Vec<u8> {
        let content = self.claims.snapshot();
        self.bytes_since_snapshot = 0;
        self.snapshot_bytes = content.len();
        content
    }
}

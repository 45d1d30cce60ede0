use cassiagw_core::{
    claims::{ClaimKey, ClaimRecord, ClaimShard, Fingerprint, Standing, SubmitError},
    ids::Revision,
    ledger::{LedgerError, RawRecord, Record},
};
use cassiagw_platform::kv::LoadedLedger;
use std::time::{Duration, Instant};

/// Longest time without contact before a failure after which the view counts as complete.
const COMPLETE_WITHIN: Duration = Duration::from_secs(3);
/// Bytes of records after which a snapshot is due, at least.
const MIN_SNAPSHOT_BYTES: usize = 256 * 1024;

/// What one daemon has read of a shard's ledger.
#[derive(Debug, Default)]
pub(super) struct ShardView {
    claims: ClaimShard,
    revision: Revision,
    is_loaded: bool,
    last_contact: Option<Instant>,
    failing_since: Option<Instant>,
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
        *self = Self { claims, revision, snapshot_bytes: bytes, ..Self::default() };
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

    /// Whether the ledger was loaded.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Revision up to which the ledger was read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// What the ledger says of a key.
    pub fn standing(&self, key: &ClaimKey, fingerprint: Fingerprint) -> Standing {
        self.claims.standing(key, fingerprint)
    }

    /// What is known of a key while the ledger cannot be reached.
    pub fn error(&self, key: &ClaimKey, fingerprint: Fingerprint) -> SubmitError {
        let was_complete = match (self.last_contact, self.failing_since) {
            (Some(contact), Some(failing)) => failing.duration_since(contact) <= COMPLETE_WITHIN,
            (contact, None) => contact.is_some(),
            (None, Some(_)) => false,
        };
        let is_free = self.standing(key, fingerprint) == Standing::Free;
        SubmitError { is_known_free: self.is_loaded && was_complete && is_free }
    }

    /// Gives the content of a snapshot once the log has outgrown the last one.
    pub fn due_snapshot(&mut self, unix_ms: u64) -> Option<Vec<u8>> {
        if self.bytes_since_snapshot < MIN_SNAPSHOT_BYTES.max(self.snapshot_bytes) {
            return None;
        }
        self.claims.expire(unix_ms);
        let content = self.claims.snapshot();
        self.bytes_since_snapshot = 0;
        self.snapshot_bytes = content.len();
        Some(content)
    }
}

use super::KvClient;
use cassiagw_core::{
    ids::Revision,
    ledger::{
        Append, AppendId, AppendOutcome, AppendStep, KvCallError, KvPair, KvRange, LedgerError,
        LedgerKeys, LogPage, RawRecord, Record, Snapshot, SnapshotHead, SnapshotPlan,
        parse_log_page,
    },
};
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep};

/// Delay before an append with unknown outcome is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of records per read of the log.
const PAGE_RECORDS: u64 = 256;
/// Maximum attempts to load a ledger; a concurrent compaction makes an attempt fail.
const MAX_LOAD_ATTEMPTS: u32 = 5;

/// Failure to read a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerReadError {
    /// The call to the key-value service failed.
    #[error(transparent)]
    Call(#[from] KvCallError),
    /// The records read are not a complete, valid ledger.
    #[error(transparent)]
    Content(#[from] LedgerError),
}

/// Content of a ledger from its newest snapshot on.
#[derive(Clone, Debug, Default)]
pub struct LoadedLedger {
    /// Newest snapshot; `None` if none was written yet.
    pub snapshot: Option<Snapshot>,
    /// All records after the snapshot, or all records if there is no snapshot.
    pub records: Vec<RawRecord>,
}

/// Client of one ledger: a log of records with snapshots, stored in the key-value service.
#[derive(Clone, Debug)]
pub struct LedgerClient {
    kv: KvClient,
    keys: LedgerKeys,
}

impl LedgerClient {
    /// Creates a client of the ledger stored under `keys`.
    pub fn new(kv: KvClient, keys: LedgerKeys) -> Self {
        Self { kv, keys }
    }

    /// Returns the keys under which the ledger is stored.
    pub fn keys(&self) -> &LedgerKeys {
        &self.keys
    }

    /// Appends a record after revision `base`.
    ///
    /// If the record cannot have been written, the call returns at once. If it may have been
    /// written, the append is retried until its outcome is known or `limit` has passed.
    pub async fn append<E>(
        &self,
        base: Revision,
        record: &Record<E>,
        limit: Duration,
    ) -> AppendOutcome
    where
        E: Serialize + DeserializeOwned,
    {
        let deadline = Instant::now() + limit;
        let mut append = Append::new(&self.keys, base, record);
        loop {
            let reply = self.kv.txn(append.txn()).await;
            if let AppendStep::Done(outcome) = append.on_reply(reply) {
                return outcome;
            }
            let is_settled = append.give_up() == AppendOutcome::NotAccepted;
            if is_settled || Instant::now() + RETRY_PAUSE >= deadline {
                return append.give_up();
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads a page of the log from revision `next` on.
    ///
    /// # Errors
    /// [`LedgerReadError`]; if the log was compacted, use [`Self::load`].
    pub async fn read_page(&self, next: Revision) -> Result<LogPage, LedgerReadError> {
        let range = self.keys.log_from(next).with_limit(PAGE_RECORDS);
        let reply = self.kv.range(&range).await?;
        Ok(parse_log_page(&self.keys, next, reply)?)
    }

    /// Reads the newest snapshot and all records after it.
    ///
    /// # Errors
    /// [`LedgerReadError`], also if concurrent compactions made every attempt fail.
    pub async fn load(&self) -> Result<LoadedLedger, LedgerReadError> {
        let mut attempts = 1;
        loop {
            match self.try_load().await {
                Err(LedgerReadError::Content(_)) if attempts < MAX_LOAD_ATTEMPTS => attempts += 1,
                outcome => return outcome,
            }
        }
    }

    /// Reads the revision of the newest snapshot; 0 if there is none.
    ///
    /// # Errors
    /// [`KvCallError`] if the read failed.
    pub async fn snapshot_revision(&self) -> Result<Revision, KvCallError> {
        let head_reply = self.kv.range(&KvRange::one(self.keys.snapshot_head())).await?;
        Ok(head_reply.pairs.first().map_or(0, head_revision))
    }

    /// Writes a snapshot with `content` at `revision`, then deletes older snapshots and the log
    /// records that it covers, except for the last [`RETAINED_LOG_RECORDS`], from which lagging
    /// readers can continue.
    ///
    /// Returns whether it became the newest snapshot; if not, none of its parts are kept.
    ///
    /// [`RETAINED_LOG_RECORDS`]: cassiagw_core::ledger::RETAINED_LOG_RECORDS
    ///
    /// # Errors
    /// [`KvCallError`]; leftover parts are deleted by the next compaction.
    pub async fn write_snapshot(
        &self,
        id: AppendId,
        revision: Revision,
        content: &[u8],
    ) -> Result<bool, KvCallError> {
        let head_reply = self.kv.range(&KvRange::one(self.keys.snapshot_head())).await?;
        let head = head_reply.pairs.first();
        let newest = head.map_or(0, head_revision);
        if newest >= revision {
            return Ok(false);
        }
        let plan = SnapshotPlan::new(
            &self.keys,
            id,
            revision,
            content,
            head.map(|pair| pair.mod_revision),
        );
        for part in &plan.parts {
            self.kv.txn(part).await?;
        }
        let is_newest = self.kv.txn(&plan.head).await?.succeeded;
        self.kv.txn(if is_newest { &plan.compaction } else { &plan.rollback }).await?;
        Ok(is_newest)
    }

    async fn try_load(&self) -> Result<LoadedLedger, LedgerReadError> {
        let snapshot = self.read_snapshot().await?;
        let mut next = snapshot.as_ref().map_or(0, |snapshot| snapshot.revision) + 1;
        let mut records = Vec::new();
        loop {
            let page = self.read_page(next).await?;
            next += page.records.len() as u64;
            records.extend(page.records);
            if !page.more {
                return Ok(LoadedLedger { snapshot, records });
            }
        }
    }

    async fn read_snapshot(&self) -> Result<Option<Snapshot>, LedgerReadError> {
        let head = self.kv.range(&KvRange::one(self.keys.snapshot_head())).await?;
        let Some(pair) = head.pairs.first() else { return Ok(None) };
        let head: SnapshotHead = serde_json::from_slice(&pair.value)
            .map_err(|_| LedgerError::BadSnapshot { revision: 0 })?;
        let range = self.keys.snapshot_parts(head.revision, head.id);
        let parts = self.kv.range(&range).await?.pairs;
        Ok(Some(Snapshot::from_parts(&head, &parts)?))
    }
}

fn head_revision(pair: &KvPair) -> Revision {
    serde_json::from_slice::<SnapshotHead>(&pair.value).map_or(0, |head| head.revision)
}

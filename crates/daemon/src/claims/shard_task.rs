use super::{
    ClaimCall,
    message::PendingCall,
    shard_view::{ShardStatus, ShardView},
};
use cassiagw_core::{
    claims::{Batch, ClaimRecord, CommitLimits, GroupCommit, KeyStatus},
    ledger::{AppendId, AppendOutcome, Record},
};
use cassiagw_surfaces::kv::{LedgerClient, LedgerReadError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{sleep, sleep_until},
};

/// Time limit for an append or a read of the ledger over all tries.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay between two tries of an append or a read.
const LEDGER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of conflicts with other writers' records after which an append fails.
const MAX_CONFLICTS: u32 = 16;
/// Interval at which the owner reads its ledger while there are no appends.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the task checks who owns the shard and, as its owner after a failure, whether
/// the key-value service is available again.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

type PendingBatch = Vec<(ClaimRecord, PendingCall)>;

/// Task that makes all of this daemon's appends to one shard's ledger, in batches.
pub(super) struct ShardTask {
    ledger: LedgerClient,
    view: ShardView,
    commit: GroupCommit<PendingCall>,
    is_owner: Box<dyn Fn() -> bool + Send + Sync>,
    status: watch::Sender<ShardStatus>,
    next_ownership_check: Instant,
    /// Time of the owner's next read of the ledger if there is no append before.
    refresh_at: Instant,
}

impl ShardTask {
    /// Creates the task of one shard; `is_owner` returns whether this daemon owns it now.
    pub fn new(
        ledger: LedgerClient,
        limits: CommitLimits,
        is_owner: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Self {
        Self {
            ledger,
            view: ShardView::default(),
            commit: GroupCommit::new(limits),
            is_owner: Box::new(is_owner),
            refresh_at: Instant::now(),
            next_ownership_check: Instant::now(),
            status: watch::Sender::default(),
        }
    }

    /// Subscribes to the status of the shard, updated at each ownership check.
    pub fn status(&self) -> watch::Receiver<ShardStatus> {
        self.status.subscribe()
    }

    /// Serves calls until every sender is dropped.
    pub async fn run(mut self, mut rx: mpsc::Receiver<PendingCall>) {
        loop {
            self.check_ownership_if_due().await;
            let wake = match self.commit.poll(Instant::now()) {
                Batch::Append(batch) => {
                    self.append(batch).await;
                    self.commit.finish();
                    self.accept_queued(&mut rx).await;
                    continue;
                }
                Batch::Wait(due) => due.min(self.next_ownership_check),
                Batch::Idle => self.next_ownership_check,
            };
            tokio::select! {
                pending = rx.recv() => match pending {
                    Some(pending) => self.accept(pending).await,
                    None => return,
                },
                () = sleep_until(wake.into()) => {}
            }
        }
    }

    async fn accept_queued(&mut self, rx: &mut mpsc::Receiver<PendingCall>) {
        while let Ok(pending) = rx.try_recv() {
            self.accept(pending).await;
        }
    }

    async fn accept(&mut self, mut pending: PendingCall) {
        let key_status = self.key_status(&pending.call);
        match pending.call.record.take() {
            // The key is taken already, so a second claim appends nothing.
            Some(ClaimRecord::Claim { .. }) | None if key_status != KeyStatus::Free => {
                let _ = pending.reply.send(Ok(key_status));
            }
            // During an outage the owner refuses calls at once, as its periodic check notices the
            // end. Other daemons have no such check, so they try.
            _ if self.view.is_owner() && self.view.is_failing() => self.refuse(pending),
            Some(record) => {
                if let Err(pending) = self.commit.push(Instant::now(), record, pending) {
                    self.refuse(pending);
                }
            }
            None => match self.sync().await {
                Ok(()) => self.answer(pending),
                Err(_) => self.refuse(pending),
            },
        }
    }

    /// Appends a batch, after other writers' records if there are any, and replies to its calls.
    async fn append(&mut self, batch: PendingBatch) {
        let (mut entries, waiting): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
        let is_snapshot_due = self.view.is_snapshot_due();
        if is_snapshot_due {
            entries.insert(0, ClaimRecord::Expire { unix_ms: unix_ms() });
        }
        let record = Record { id: AppendId(rand::random()), entries };
        if self.append_record(record).await {
            waiting.into_iter().for_each(|pending| self.answer(pending));
            if is_snapshot_due {
                self.write_snapshot();
            }
        } else {
            waiting.into_iter().for_each(|pending| self.refuse(pending));
        }
    }

    async fn append_record(&mut self, record: Record<ClaimRecord>) -> bool {
        if !self.view.is_loaded() && self.sync().await.is_err() {
            return false;
        }
        let deadline = Instant::now() + LEDGER_TIMEOUT;
        let mut conflicts = 0;
        while conflicts < MAX_CONFLICTS {
            let base = self.view.revision();
            match self.ledger.append(base, &record, LEDGER_TIMEOUT).await {
                AppendOutcome::Accepted(revision) => {
                    let bytes = record.entries.iter().map(ClaimRecord::encoded_bytes).sum();
                    self.view.apply(revision, record.entries, bytes);
                    self.on_contact();
                    return true;
                }
                AppendOutcome::Conflict { .. } => {
                    conflicts += 1;
                    if self.sync().await.is_err() {
                        return false;
                    }
                }
                AppendOutcome::NotAccepted if Instant::now() + LEDGER_RETRY_DELAY < deadline => {
                    sleep(LEDGER_RETRY_DELAY).await;
                }
                AppendOutcome::NotAccepted | AppendOutcome::Unknown => {
                    self.view.on_failure(Instant::now());
                    return false;
                }
            }
        }
        false
    }

    /// Reads the ledger to its end, with retries up to [`LEDGER_TIMEOUT`].
    async fn sync(&mut self) -> Result<(), LedgerReadError> {
        let deadline = Instant::now() + LEDGER_TIMEOUT;
        loop {
            let error = match self.read_to_end().await {
                Ok(()) => {
                    self.on_contact();
                    return Ok(());
                }
                Err(error) => error,
            };
            self.view.on_failure(Instant::now());
            if Instant::now() + LEDGER_RETRY_DELAY >= deadline {
                log::warn!(event = "claims_not_read", error:% = error; "");
                return Err(error);
            }
            sleep(LEDGER_RETRY_DELAY).await;
        }
    }

    async fn read_to_end(&mut self) -> Result<(), LedgerReadError> {
        if !self.view.is_loaded() {
            return self.load().await;
        }
        match self.read_new_records().await {
            Err(LedgerReadError::Content(_)) => self.load().await,
            result => result,
        }
    }

    async fn load(&mut self) -> Result<(), LedgerReadError> {
        let ledger = self.ledger.load().await?;
        Ok(self.view.load(ledger)?)
    }

    async fn read_new_records(&mut self) -> Result<(), LedgerReadError> {
        loop {
            let page = self.ledger.read_page(self.view.revision() + 1).await?;
            page.records.iter().try_for_each(|record| self.view.apply_raw(record))?;
            if !page.more {
                return Ok(());
            }
        }
    }

    fn on_contact(&mut self) {
        let now = Instant::now();
        self.refresh_at = now + REFRESH_INTERVAL;
        self.view.on_contact(now);
    }

    async fn check_ownership_if_due(&mut self) {
        let now = Instant::now();
        if now < self.next_ownership_check {
            return;
        }
        let was_owner = self.view.is_owner();
        self.view.on_ownership(now, (self.is_owner)());
        let is_due = now >= self.refresh_at || !was_owner || self.view.is_failing();
        if self.view.is_owner() && is_due {
            self.refresh().await;
        }
        self.next_ownership_check = Instant::now() + OWNERSHIP_CHECK_INTERVAL;
        self.status.send_replace(self.view.status());
    }

    async fn refresh(&mut self) {
        self.refresh_at = Instant::now() + REFRESH_INTERVAL;
        match self.read_to_end().await {
            Ok(()) => self.on_contact(),
            Err(_) => self.view.on_failure(Instant::now()),
        }
    }

    fn write_snapshot(&mut self) {
        let content = self.view.take_snapshot();
        let (ledger, revision) = (self.ledger.clone(), self.view.revision());
        tokio::spawn(async move {
            let id = AppendId(rand::random());
            match ledger.write_snapshot(id, revision, &content).await {
                Ok(_) => log::info!(event = "claims_snapshot", revision = revision; ""),
                Err(error) => log::warn!(event = "claims_snapshot_failed", error:% = error; ""),
            }
        });
    }

    fn key_status(&self, call: &ClaimCall) -> KeyStatus {
        self.view.key_status(&call.key, call.fingerprint)
    }

    fn answer(&self, pending: PendingCall) {
        let key_status = self.key_status(&pending.call);
        let _ = pending.reply.send(Ok(key_status));
    }

    fn refuse(&self, pending: PendingCall) {
        let error = self.view.submit_error(&pending.call.key, pending.call.fingerprint);
        let _ = pending.reply.send(Err(error));
    }
}

/// Sends a call to a shard's task and waits for the result; `None` if the task has ended.
pub(super) async fn call_shard(
    tx: &mpsc::Sender<PendingCall>,
    call: ClaimCall,
) -> Option<cassiagw_core::claims::SubmitResult> {
    let (reply, answer) = oneshot::channel();
    tx.send(PendingCall { call, reply }).await.ok()?;
    answer.await.ok()
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}

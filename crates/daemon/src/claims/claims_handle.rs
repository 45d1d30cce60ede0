use super::{
    ClaimCall,
    message::PendingCall,
    owner::owner_of,
    peer_pool::PeerPool,
    shard_task::{ShardTask, call_shard},
    shard_view::ShardStatus,
};
use crate::control::ControlHandle;
use cassiagw_core::{
    claims::{
        ClaimKey, ClaimRecord, CommitLimits, Fingerprint, SHARD_COUNT, SubmitError, SubmitResult,
    },
    ids::DaemonId,
    ledger::LedgerKeys,
};
use cassiagw_rpc::{ClaimReply, ClaimRequest, Deployment};
use cassiagw_surfaces::kv::{KvClient, KvLimits, LedgerClient};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

/// Maximum number of calls queued for one shard's task.
const SHARD_QUEUE_SIZE: usize = 4_096;
/// Timeout of a call to a shard's task, which may wait for an append.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Number of tries to submit an outcome. With [`SETTLE_RETRY_DELAY`] they last at least one hour,
/// longer than any outage of the key-value service that the claims are to survive.
const MAX_SETTLE_TRIES: u32 = 1_800;
/// Delay between two tries to submit an outcome.
const SETTLE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Interval at which [`Claims::flush`] checks whether every outcome is in the ledger.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration of a daemon's claims.
#[derive(Clone, Debug)]
pub struct ClaimsConfig {
    /// ID of this daemon, to recognize the shards that it owns.
    pub local_daemon: DaemonId,
    /// Addresses of the key-value service's members.
    pub kv: Vec<SocketAddr>,
    /// Key prefix of the deployment in the key-value service.
    pub prefix: String,
    /// Limits on rate and size of ledger appends.
    pub commit: CommitLimits,
}

impl ClaimsConfig {
    /// Creates a configuration with the default prefix and limits.
    pub fn new(local_daemon: DaemonId, kv: Vec<SocketAddr>) -> Self {
        Self { local_daemon, kv, prefix: "/cassiagw".into(), commit: CommitLimits::default() }
    }

    /// Sets the key prefix of the deployment.
    pub fn with_prefix(self, prefix: String) -> Self {
        Self { prefix, ..self }
    }
}

/// Handle to the claims of all shards; clones share their state.
#[derive(Clone)]
pub struct Claims {
    inner: Arc<Inner>,
}

struct Inner {
    local_daemon: DaemonId,
    control: ControlHandle,
    shards: Vec<mpsc::Sender<PendingCall>>,
    statuses: Vec<watch::Receiver<ShardStatus>>,
    peers: PeerPool,
    /// Number of outcomes that are not in the ledger yet.
    unsettled: AtomicUsize,
}

impl Claims {
    /// Starts one task per shard; the tasks end when all handles are dropped.
    pub fn spawn(cfg: &ClaimsConfig, control: &ControlHandle) -> Self {
        let limits = KvLimits {
            connect_timeout: Duration::from_millis(300),
            call_timeout: Duration::from_millis(600),
        };
        let kv = KvClient::with_members(&cfg.kv, limits);
        let (shards, statuses) = (0..SHARD_COUNT)
            .map(|shard| {
                let keys = LedgerKeys::new(format!("{}/claims/{shard:02}", cfg.prefix));
                let ledger = LedgerClient::new(kv.clone(), keys);
                let (local_daemon, control) = (cfg.local_daemon.clone(), control.clone());
                let is_owner = move || owns(&local_daemon, shard, &control);
                let (tx, rx) = mpsc::channel(SHARD_QUEUE_SIZE);
                let task = ShardTask::new(ledger, cfg.commit, is_owner);
                let status = task.status();
                tokio::spawn(task.run(rx));
                (tx, status)
            })
            .unzip();
        let inner = Inner {
            local_daemon: cfg.local_daemon.clone(),
            control: control.clone(),
            shards,
            statuses,
            peers: PeerPool::new(Deployment::new(&cfg.prefix)),
            unsettled: AtomicUsize::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Appends a record and returns the key's status after it; without a record only reads it.
    ///
    /// The call goes to the shard's owner, or to this daemon's own task if the owner does not
    /// reply.
    pub async fn submit(
        &self,
        key: &ClaimKey,
        fingerprint: Fingerprint,
        record: Option<ClaimRecord>,
    ) -> SubmitResult {
        let call = ClaimCall { key: key.clone(), fingerprint, record };
        if let Some(result) = self.ask_owner(&call).await {
            return result;
        }
        self.submit_locally(call).await
    }

    /// Status of each shard, in order, for the state dump.
    pub fn statuses(&self) -> Vec<ShardStatus> {
        self.inner.statuses.iter().map(|status| *status.borrow()).collect()
    }

    /// Serves a call of another entry; never forwards it.
    pub async fn serve(&self, req: ClaimRequest) -> ClaimReply {
        let result = match serde_json::from_slice::<ClaimCall>(&req.payload) {
            Ok(call) => self.submit_locally(call).await,
            Err(error) => {
                log::warn!(event = "claim_not_read", error:% = error; "");
                Err(unavailable())
            }
        };
        ClaimReply { payload: serde_json::to_vec(&result).unwrap_or_default() }
    }

    /// Appends an outcome in the background; retries during an outage of the key-value service.
    pub fn settle(&self, key: ClaimKey, fingerprint: Fingerprint, record: ClaimRecord) {
        let claims = self.clone();
        claims.inner.unsettled.fetch_add(1, Ordering::AcqRel);
        tokio::spawn(async move {
            if !claims.settle_with_retries(&key, fingerprint, &record).await {
                log::warn!(event = "outcome_not_recorded", key:% = key.key; "");
            }
            claims.inner.unsettled.fetch_sub(1, Ordering::AcqRel);
        });
    }

    /// Waits until every outcome is in the ledger, but at most `limit`.
    pub async fn flush(&self, limit: Duration) {
        let settled = async {
            while self.inner.unsettled.load(Ordering::Acquire) > 0 {
                sleep(FLUSH_POLL_INTERVAL).await;
            }
        };
        if timeout(limit, settled).await.is_err() {
            log::warn!(event = "outcomes_not_flushed"; "");
        }
    }

    async fn settle_with_retries(
        &self,
        key: &ClaimKey,
        fingerprint: Fingerprint,
        record: &ClaimRecord,
    ) -> bool {
        for _ in 0..MAX_SETTLE_TRIES {
            if self.submit(key, fingerprint, Some(record.clone())).await.is_ok() {
                return true;
            }
            sleep(SETTLE_RETRY_DELAY).await;
        }
        false
    }

    async fn submit_locally(&self, call: ClaimCall) -> SubmitResult {
        let shard = &self.inner.shards[call.key.shard() as usize];
        let result = timeout(SUBMIT_TIMEOUT, call_shard(shard, call)).await;
        result.ok().flatten().unwrap_or(Err(unavailable()))
    }

    async fn ask_owner(&self, call: &ClaimCall) -> Option<SubmitResult> {
        let shard = call.key.shard();
        let peers = self.inner.control.peers();
        let owner =
            owner_of(shard, &peers).filter(|owner| owner.daemon != self.inner.local_daemon)?;
        let req = ClaimRequest { shard, payload: serde_json::to_vec(call).ok()? };
        let reply = self.inner.peers.claim(owner.address, req).await?;
        serde_json::from_slice(&reply.payload).ok()
    }
}

fn owns(local_daemon: &DaemonId, shard: u32, control: &ControlHandle) -> bool {
    owner_of(shard, &control.peers()).is_some_and(|owner| owner.daemon == *local_daemon)
}

fn unavailable() -> SubmitError {
    SubmitError { is_known_free: false }
}

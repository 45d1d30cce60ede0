use super::{
    ClaimCall,
    message::Pending,
    owner::owner_of,
    peer_pool::PeerPool,
    shard_task::{ShardTask, ask},
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

/// Calls that may wait for one shard's task.
const SHARD_QUEUE: usize = 4_096;
/// Time for a record to be appended or refused.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Times that an outcome is submitted again, and the time between them: longer than an outage
/// that the claims outlive.
const MAX_SETTLE_TRIES: u32 = 1_800;
const SETTLE_RETRY: Duration = Duration::from_secs(2);
/// Time between two looks whether every outcome is in the ledger.
const FLUSH_POLL: Duration = Duration::from_millis(20);

/// What the claims of a daemon take from its settings.
#[derive(Clone, Debug)]
pub struct ClaimsConfig {
    /// This daemon.
    pub me: DaemonId,
    /// Members of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// First part of every key of the deployment.
    pub prefix: String,
    /// Bounds of the appends.
    pub commit: CommitLimits,
}

impl ClaimsConfig {
    /// Makes a configuration with defaults for everything but the addresses.
    pub fn new(me: DaemonId, kv: Vec<SocketAddr>) -> Self {
        Self { me, kv, prefix: "/cassiagw".into(), commit: CommitLimits::default() }
    }

    /// Sets the first part of every key of the deployment.
    pub fn with_prefix(self, prefix: String) -> Self {
        Self { prefix, ..self }
    }
}

/// Access to the claims of every shard; clones share their state.
#[derive(Clone)]
pub struct Claims {
    inner: Arc<Inner>,
}

struct Inner {
    me: DaemonId,
    control: ControlHandle,
    shards: Vec<mpsc::Sender<Pending>>,
    statuses: Vec<watch::Receiver<ShardStatus>>,
    peers: PeerPool,
    /// Outcomes that are not in the ledger yet.
    unsettled: AtomicUsize,
}

impl Claims {
    /// Starts one task for each shard.
    pub fn spawn(cfg: &ClaimsConfig, control: &ControlHandle) -> Self {
        let limits =
            KvLimits { connect: Duration::from_millis(300), call: Duration::from_millis(600) };
        let kv = KvClient::with_members(&cfg.kv, limits);
        let (shards, statuses) = (0..SHARD_COUNT)
            .map(|shard| {
                let keys = LedgerKeys::new(format!("{}/claims/{shard:02}", cfg.prefix));
                let ledger = LedgerClient::new(kv.clone(), keys);
                let (me, control) = (cfg.me.clone(), control.clone());
                let is_owner = move || owns(&me, shard, &control);
                let (tx, rx) = mpsc::channel(SHARD_QUEUE);
                let task = ShardTask::new(ledger, cfg.commit, is_owner);
                let status = task.status();
                tokio::spawn(task.run(rx));
                (tx, status)
            })
            .unzip();
        let inner = Inner {
            me: cfg.me.clone(),
            control: control.clone(),
            shards,
            statuses,
            peers: PeerPool::new(Deployment::new(&cfg.prefix)),
            unsettled: AtomicUsize::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Appends a record through the shard's owner, or without it if it gives no reply, and tells
    /// the key's standing after it; without a record only reads.
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
        self.submit_here(call).await
    }

    /// State of each shard, for a dump.
    pub fn statuses(&self) -> Vec<ShardStatus> {
        self.inner.statuses.iter().map(|status| *status.borrow()).collect()
    }

    /// Answers another entry's call.
    pub async fn serve(&self, req: ClaimRequest) -> ClaimReply {
        let result = match serde_json::from_slice::<ClaimCall>(&req.payload) {
            Ok(call) => self.submit_here(call).await,
            Err(error) => {
                log::warn!(event = "claim_not_read", error:% = error; "");
                Err(unavailable())
            }
        };
        ClaimReply { payload: serde_json::to_vec(&result).unwrap_or_default() }
    }

    /// Appends an outcome in the background, also past an outage.
    pub fn settle(&self, key: ClaimKey, fingerprint: Fingerprint, record: ClaimRecord) {
        let claims = self.clone();
        claims.inner.unsettled.fetch_add(1, Ordering::AcqRel);
        tokio::spawn(async move {
            if !claims.settle_within_tries(&key, fingerprint, &record).await {
                log::warn!(event = "outcome_not_recorded", key:% = key.key; "");
            }
            claims.inner.unsettled.fetch_sub(1, Ordering::AcqRel);
        });
    }

    /// Waits up to `limit` until every outcome is in the ledger.
    pub async fn flush(&self, limit: Duration) {
        let settled = async {
            while self.inner.unsettled.load(Ordering::Acquire) > 0 {
                sleep(FLUSH_POLL).await;
            }
        };
        if timeout(limit, settled).await.is_err() {
            log::warn!(event = "outcomes_not_flushed"; "");
        }
    }

    async fn settle_within_tries(
        &self,
        key: &ClaimKey,
        fingerprint: Fingerprint,
        record: &ClaimRecord,
    ) -> bool {
        for _ in 0..MAX_SETTLE_TRIES {
            if self.submit(key, fingerprint, Some(record.clone())).await.is_ok() {
                return true;
            }
            sleep(SETTLE_RETRY).await;
        }
        false
    }

    async fn submit_here(&self, call: ClaimCall) -> SubmitResult {
        let shard = &self.inner.shards[call.key.shard() as usize];
        let asked = timeout(SUBMIT_TIMEOUT, ask(shard, call)).await;
        asked.ok().flatten().unwrap_or(Err(unavailable()))
    }

    async fn ask_owner(&self, call: &ClaimCall) -> Option<SubmitResult> {
        let shard = call.key.shard();
        let peers = self.inner.control.peers();
        let owner = owner_of(shard, &peers).filter(|owner| owner.daemon != self.inner.me)?;
        let req = ClaimRequest { shard, payload: serde_json::to_vec(call).ok()? };
        let reply = self.inner.peers.claim(owner.address, req).await?;
        serde_json::from_slice(&reply.payload).ok()
    }
}

fn owns(me: &DaemonId, shard: u32, control: &ControlHandle) -> bool {
    owner_of(shard, &control.peers()).is_some_and(|owner| owner.daemon == *me)
}

fn unavailable() -> SubmitError {
    SubmitError { is_known_free: false }
}

use cassiagw_core::ledger::{Compare, KvCallError, KvRange, Op, OpReply, Txn};
use cassiagw_surfaces::kv::{KvClient, LeaseId, LeaseState};
use std::time::{Duration, Instant};

/// Key of the key-value service that at most one process holds, until its lease expires.
pub struct HeldKey {
    kv: KvClient,
    key: String,
    lease: LeaseId,
    /// Revision of the key-value service at which the key was acquired; later holders have higher
    /// ones.
    pub revision: u64,
    /// Time until which the key is certain to be held.
    pub until: Instant,
}

/// A newly acquired key, with the replies to the other operations of its transaction.
pub struct Acquired {
    /// The acquired key.
    pub held: HeldKey,
    /// Replies to the other operations; `None` if the response was lost.
    pub replies: Option<Vec<OpReply>>,
}

impl HeldKey {
    /// Acquires a key for `ttl` and runs `extra_ops` in the same transaction.
    ///
    /// Returns `None` if another process holds the key.
    ///
    /// # Errors
    /// The service did not answer; a key that was acquired nevertheless expires with its lease.
    pub async fn acquire(
        kv: &KvClient,
        key: String,
        ttl: Duration,
        extra_ops: Vec<Op>,
    ) -> Result<Option<Acquired>, KvCallError> {
        let until = Instant::now() + ttl;
        let lease = kv.grant_lease(ttl).await?;
        let value = lease.to_string().into_bytes();
        let put = Op::Put { key: key.clone(), value: value.clone(), lease: Some(lease) };
        let txn = Txn {
            compare: vec![Compare::Absent(key.clone())],
            success: extra_ops.into_iter().chain([put]).collect(),
            failure: Vec::new(),
        };
        let held = |revision| HeldKey { kv: kv.clone(), key: key.clone(), lease, revision, until };
        let outcome = match kv.txn(&txn).await {
            Ok(reply) if reply.succeeded => {
                return Ok(Some(Acquired {
                    held: held(reply.revision),
                    replies: Some(reply.replies),
                }));
            }
            Ok(_) => Ok(None),
            Err(KvCallError::Unknown(_)) => {
                kv.range(&KvRange::one(key.clone())).await.map(|read| {
                    let own = read.pairs.into_iter().find(|pair| pair.value == value);
                    own.map(|pair| Acquired { held: held(pair.mod_revision), replies: None })
                })
            }
            Err(failure) => Err(failure),
        };
        if !matches!(outcome, Ok(Some(_))) {
            // A write still in progress then fails for lack of its lease. If revoking fails, the
            // lease expires.
            let _ = kv.revoke_lease(lease).await;
        }
        outcome
    }

    /// Renews the lease for `ttl`; returns whether the key is still held.
    ///
    /// # Errors
    /// The service did not answer; `until` stays as it was.
    pub async fn renew(&mut self, ttl: Duration) -> Result<bool, KvCallError> {
        let until = Instant::now() + ttl;
        match self.kv.keep_lease(self.lease).await? {
            LeaseState::Held(_) => {
                self.until = until;
                Ok(true)
            }
            LeaseState::Gone => Ok(false),
        }
    }

    /// Releases the key and runs `extra_ops` in the same transaction, if the key is still held.
    ///
    /// # Errors
    /// The service did not answer; the key expires with its lease.
    pub async fn release(self, extra_ops: Vec<Op>) -> Result<(), KvCallError> {
        let delete = Op::Delete(KvRange::one(self.key.clone()));
        let txn = Txn {
            compare: vec![Compare::ModifiedAt(self.key, self.revision)],
            success: extra_ops.into_iter().chain([delete]).collect(),
            failure: Vec::new(),
        };
        self.kv.txn(&txn).await?;
        self.kv.revoke_lease(self.lease).await
    }
}

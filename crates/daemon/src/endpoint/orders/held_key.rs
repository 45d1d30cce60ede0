use cassiagw_core::ledger::{Compare, KvCallError, KvRange, Op, OpReply, Txn};
use cassiagw_surfaces::kv::{KvClient, LeaseId, LeaseState};
use std::time::{Duration, Instant};

/// Key at the key-value service that only one process can hold, until its lease runs out.
pub struct HeldKey {
    kv: KvClient,
    key: String,
    lease: LeaseId,
    /// Revision of the service at which the key was taken; a later holder has a higher one.
    pub revision: u64,
    /// Time until which it is held for certain.
    pub until: Instant,
}

/// A key just taken, with the replies to the operations done beside it.
pub struct Taken {
    /// The key.
    pub held: HeldKey,
    /// Replies; none if the answer was lost.
    pub replies: Option<Vec<OpReply>>,
}

impl HeldKey {
    /// Takes a key for `ttl`, and does `beside` in the same transaction; none if another holds it.
    ///
    /// # Errors
    /// The service did not answer; a key taken all the same ends with its lease.
    pub async fn take(
        kv: &KvClient,
        key: String,
        ttl: Duration,
        beside: Vec<Op>,
    ) -> Result<Option<Taken>, KvCallError> {
        let until = Instant::now() + ttl;
        let lease = kv.grant_lease(ttl).await?;
        let value = lease.to_string().into_bytes();
        let put = Op::Put { key: key.clone(), value: value.clone(), lease: Some(lease) };
        let txn = Txn {
            compare: vec![Compare::Absent(key.clone())],
            success: beside.into_iter().chain([put]).collect(),
            failure: Vec::new(),
        };
        let held = |revision| HeldKey { kv: kv.clone(), key: key.clone(), lease, revision, until };
        let outcome = match kv.txn(&txn).await {
            Ok(reply) if reply.succeeded => {
                return Ok(Some(Taken {
                    held: held(reply.revision),
                    replies: Some(reply.replies),
                }));
            }
            Ok(_) => Ok(None),
            Err(KvCallError::Unknown(_)) => {
                kv.range(&KvRange::one(key.clone())).await.map(|read| {
                    let own = read.pairs.into_iter().find(|pair| pair.value == value);
                    own.map(|pair| Taken { held: held(pair.mod_revision), replies: None })
                })
            }
            Err(failure) => Err(failure),
        };
        if !matches!(outcome, Ok(Some(_))) {
            // A write still under way then finds its lease gone; else the lease runs out.
            let _ = kv.revoke_lease(lease).await;
        }
        outcome
    }

    /// Renews the lease for `ttl`; says whether it is still held.
    ///
    /// # Errors
    /// The service did not answer; the key is held until the time known before.
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

    /// Gives the key back and does `beside` in the same transaction, if it is still held.
    ///
    /// # Errors
    /// The service did not answer; the key ends with its lease.
    pub async fn release(self, beside: Vec<Op>) -> Result<(), KvCallError> {
        let delete = Op::Delete(KvRange::one(self.key.clone()));
        let txn = Txn {
            compare: vec![Compare::ModifiedAt(self.key, self.revision)],
            success: beside.into_iter().chain([delete]).collect(),
            failure: Vec::new(),
        };
        self.kv.txn(&txn).await?;
        self.kv.revoke_lease(self.lease).await
    }
}

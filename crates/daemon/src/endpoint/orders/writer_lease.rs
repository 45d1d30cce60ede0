use super::held_key::{Acquired, HeldKey};
use cassiagw_core::{
    ledger::{KvCallError, KvRange, Op, OpReply},
    orders::PreviousWriter,
};
use cassiagw_surfaces::kv::KvClient;
use std::time::Duration;

/// Value of the record of a writer that has not released its lease.
const OPEN: &[u8] = b"open";
/// Value of the record of a writer that released its lease with no orders in progress.
const FINISHED: &[u8] = b"finished";

/// Lease of the only writer of orders to one endpoint, with a record that outlives the lease.
pub struct WriterLease {
    kv: KvClient,
    key: String,
    record_key: String,
    ttl: Duration,
}

impl WriterLease {
    /// Refers to the lease of an endpoint below the key `prefix`; acquires nothing.
    pub fn new(kv: KvClient, prefix: &str, endpoint: &str, ttl: Duration) -> Self {
        let key = format!("{prefix}/orders/{endpoint}/writer");
        let record_key = format!("{prefix}/orders/{endpoint}/last");
        Self { kv, key, record_key, ttl }
    }

    /// Acquires the lease and returns how the previous writer ended; `None` if another holds it.
    ///
    /// # Errors
    /// The key-value service did not answer.
    pub async fn acquire(&self) -> Result<Option<(HeldKey, PreviousWriter)>, KvCallError> {
        let extra_ops = vec![
            Op::Range(KvRange::one(self.record_key.clone())),
            Op::put(self.record_key.clone(), OPEN),
        ];
        let acquired = HeldKey::acquire(&self.kv, self.key.clone(), self.ttl, extra_ops).await?;
        Ok(acquired.map(|Acquired { held, replies }| (held, previous_writer(replies))))
    }

    /// Releases the lease and records that no orders are in progress.
    ///
    /// # Errors
    /// The service did not answer; the lease expires and the next writer waits.
    pub async fn release(&self, held: HeldKey) -> Result<(), KvCallError> {
        held.release(vec![Op::put(self.record_key.clone(), FINISHED)]).await
    }
}

/// How the previous writer ended. If the response was lost, that is unknown, so one of its orders
/// may still be in progress.
fn previous_writer(replies: Option<Vec<OpReply>>) -> PreviousWriter {
    match replies.as_deref().and_then(<[OpReply]>::first) {
        Some(OpReply::Range(read)) if read.pairs.iter().all(|pair| pair.value == FINISHED) => {
            PreviousWriter::Released
        }
        _ => PreviousWriter::Expired,
    }
}

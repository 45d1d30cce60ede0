use super::held_key::{HeldKey, Taken};
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
    record: String,
    ttl: Duration,
}

impl WriterLease {
    /// Refers to the lease of an endpoint below the key `prefix`; acquires nothing.
    pub fn new(kv: KvClient, prefix: &str, endpoint: &str, ttl: Duration) -> Self {
        let key = format!("{prefix}/orders/{endpoint}/writer");
        let record = format!("{prefix}/orders/{endpoint}/last");
        Self { kv, key, record, ttl }
    }

    /// Acquires the lease and returns how the previous writer ended; `None` if another holds it.
    ///
    /// # Errors
    /// The key-value service did not answer.
    pub async fn take(&self) -> Result<Option<(HeldKey, PreviousWriter)>, KvCallError> {
        let beside =
            vec![Op::Range(KvRange::one(self.record.clone())), Op::put(self.record.clone(), OPEN)];
        let taken = HeldKey::take(&self.kv, self.key.clone(), self.ttl, beside).await?;
        Ok(taken.map(|Taken { held, replies }| (held, predecessor_of(replies))))
    }

    /// Releases the lease and records that no orders are in progress.
    ///
    /// # Errors
    /// The service did not answer; the lease expires and the next writer waits.
    pub async fn finish(&self, held: HeldKey) -> Result<(), KvCallError> {
        held.release(vec![Op::put(self.record.clone(), FINISHED)]).await
    }
}

/// After a lost response, an order of the previous writer may still be in progress.
fn predecessor_of(replies: Option<Vec<OpReply>>) -> PreviousWriter {
    match replies.as_deref().and_then(<[OpReply]>::first) {
        Some(OpReply::Range(read)) if read.pairs.iter().all(|pair| pair.value == FINISHED) => {
            PreviousWriter::Released
        }
        _ => PreviousWriter::Expired,
    }
}

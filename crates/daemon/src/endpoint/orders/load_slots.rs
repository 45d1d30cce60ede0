use super::held_key::HeldKey;
use cassiagw_core::ledger::{KvCallError, KvRange};
use cassiagw_surfaces::kv::KvClient;
use rand::seq::IndexedRandom;
use std::{collections::BTreeSet, time::Duration};

/// Slots that limit how many replicas of a region load weights concurrently.
pub struct LoadSlots {
    kv: KvClient,
    prefix: String,
    count: u32,
    ttl: Duration,
}

impl LoadSlots {
    /// Refers to the `count` slots of a region below the key `prefix`, each held for at most `ttl`.
    pub fn new(kv: KvClient, prefix: &str, region: &str, count: u32, ttl: Duration) -> Self {
        Self { kv, prefix: format!("{prefix}/load-slots/{region}/"), count, ttl }
    }

    /// Acquires a random free slot; `None` if all are taken or another process was faster.
    ///
    /// # Errors
    /// The key-value service did not answer.
    pub async fn acquire(&self) -> Result<Option<HeldKey>, KvCallError> {
        let taken = self.kv.range(&KvRange::prefix(&self.prefix)).await?;
        let taken: BTreeSet<String> = taken.pairs.into_iter().map(|pair| pair.key).collect();
        let keys = (0..self.count).map(|slot| format!("{}{slot}", self.prefix));
        let free: Vec<String> = keys.filter(|key| !taken.contains(key)).collect();
        let Some(key) = free.choose(&mut rand::rng()) else { return Ok(None) };
        let acquired = HeldKey::acquire(&self.kv, key.clone(), self.ttl, Vec::new()).await?;
        Ok(acquired.map(|acquired| acquired.held))
    }
}

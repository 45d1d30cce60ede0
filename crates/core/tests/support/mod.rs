//! In-memory key-value service for tests.

use cassiagw_core::ledger::{Compare, KvPair, KvRange, Op, OpReply, RangeReply, Txn, TxnReply};
use std::collections::BTreeMap;

/// Applies transactions sequentially and records every write for later assertions.
#[derive(Default)]
pub struct MemoryKv {
    pub revision: u64,
    pub pairs: BTreeMap<String, KvPair>,
    pub writes: Vec<(String, Vec<u8>)>,
}

impl MemoryKv {
    pub fn apply(&mut self, txn: &Txn) -> TxnReply {
        let succeeded = txn.compare.iter().all(|compare| self.is_satisfied(compare));
        let ops = if succeeded { &txn.success } else { &txn.failure };
        self.revision += 1;
        let replies = ops.iter().map(|op| self.execute(op)).collect();
        TxnReply { succeeded, revision: self.revision, replies }
    }

    pub fn range(&self, of: &KvRange) -> RangeReply {
        let found = self.matching_pairs(of);
        let limit = of.limit.unwrap_or(u64::MAX) as usize;
        RangeReply {
            revision: self.revision,
            count: found.len() as u64,
            pairs: found.into_iter().take(limit).collect(),
        }
    }

    fn matching_pairs(&self, of: &KvRange) -> Vec<KvPair> {
        self.pairs
            .values()
            .filter(|pair| match &of.end {
                Some(end) => pair.key >= of.key && pair.key < *end,
                None => pair.key == of.key,
            })
            .cloned()
            .collect()
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Absent(key) => !self.pairs.contains_key(key),
            Compare::Present(key) => self.pairs.contains_key(key),
            Compare::ModifiedAt(key, at) => {
                self.pairs.get(key).is_some_and(|p| p.mod_revision == *at)
            }
        }
    }

    fn execute(&mut self, op: &Op) -> OpReply {
        match op {
            Op::Put { key, value, .. } => {
                let pair =
                    KvPair { key: key.clone(), value: value.clone(), mod_revision: self.revision };
                self.writes.push((key.clone(), value.clone()));
                self.pairs.insert(key.clone(), pair);
                OpReply::Done
            }
            Op::Range(of) => OpReply::Range(self.range(of)),
            Op::Delete(of) => {
                self.matching_pairs(of).iter().for_each(|pair| {
                    self.pairs.remove(&pair.key);
                });
                OpReply::Done
            }
        }
    }
}

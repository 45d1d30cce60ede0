use super::{
    api::{
        Compare, CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, Header,
        KeyValue, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp, ResponseOp,
        TxnRequest, TxnResponse,
    },
    config::Config,
    error::KvError,
    key_range::KeyRange,
    key_space::KeySpace,
    leases::Leases,
};
use foldhash::HashSet;
use std::cmp::Ordering;

/// Key space and leases, changed together under one lock.
#[derive(Debug)]
pub struct State {
    /// Keys, values and change log.
    pub keys: KeySpace,
    /// Granted leases.
    pub leases: Leases,
    max_value_bytes: usize,
    history_revisions: usize,
    history_bytes: usize,
}

impl State {
    /// Creates an empty state with the configured bounds on values and history.
    pub fn new(cfg: &Config) -> Self {
        Self {
            keys: KeySpace::new(),
            leases: Leases::new(),
            max_value_bytes: cfg.max_value_bytes,
            history_revisions: cfg.history_revisions,
            history_bytes: cfg.history_bytes,
        }
    }

    /// Response header with the current revision.
    pub fn header(&self) -> Header {
        Header::new(self.keys.revision())
    }

    /// Reads a range, at the current or a past revision.
    pub fn range(&self, req: &RangeRequest) -> Result<RangeResponse, KvError> {
        if req.key.is_empty() {
            return Err(KvError::EmptyKey);
        }
        let range = KeyRange::new(&req.key, &req.range_end);
        let mut kvs = match req.revision {
            0 => self.keys.range(&range).cloned().collect(),
            revision => self.keys.range_at(&range, revision)?,
        };
        let count = kvs.len();
        let limit = if req.limit > 0 { req.limit as usize } else { usize::MAX };
        kvs.truncate(if req.count_only { 0 } else { limit });
        if req.keys_only {
            kvs.iter_mut().for_each(|kv| kv.value.clear());
        }
        Ok(RangeResponse {
            header: self.header(),
            kvs,
            more: !req.count_only && count > limit,
            count: count as i64,
        })
    }

    /// Sets one key in a new revision.
    pub fn put(&mut self, req: &PutRequest) -> Result<PutResponse, KvError> {
        self.check_put(req)?;
        self.keys.begin_revision();
        let response = self.apply_put(req);
        self.trim();
        Ok(response)
    }

    /// Deletes a range in a new revision; an empty range leaves the revision unchanged.
    pub fn delete_range(
        &mut self,
        req: &DeleteRangeRequest,
    ) -> Result<DeleteRangeResponse, KvError> {
        check_delete(req)?;
        if self.keys.range(&KeyRange::new(&req.key, &req.range_end)).next().is_some() {
            self.keys.begin_revision();
        }
        let response = self.apply_delete(req);
        self.trim();
        Ok(response)
    }

    /// Validates both branches of a transaction and applies the selected one in one revision; if
    /// either is invalid, nothing is applied.
    pub fn txn(&mut self, req: &TxnRequest) -> Result<TxnResponse, KvError> {
        self.check_branch(&req.success, &mut HashSet::default())?;
        self.check_branch(&req.failure, &mut HashSet::default())?;
        if self.writes(req) {
            self.keys.begin_revision();
        }
        let response = self.apply_txn(req)?;
        self.trim();
        Ok(response)
    }

    /// Revokes a lease and deletes its keys in one revision.
    pub fn revoke(&mut self, id: i64) -> Result<(), KvError> {
        let keys = self.leases.revoke(id)?;
        if !keys.is_empty() {
            self.keys.begin_revision();
        }
        for key in &keys {
            self.keys.delete(&KeyRange::new(key, &[]));
        }
        self.trim();
        Ok(())
    }

    fn trim(&mut self) {
        self.keys.trim(self.history_revisions, self.history_bytes);
    }

    fn check_put(&self, req: &PutRequest) -> Result<(), KvError> {
        if req.key.is_empty() {
            return Err(KvError::EmptyKey);
        }
        if req.value.len() > self.max_value_bytes {
            return Err(KvError::TooLarge);
        }
        if req.lease != 0 && self.leases.get(req.lease).is_none() {
            return Err(KvError::LeaseNotFound);
        }
        Ok(())
    }

    fn check_branch(
        &self,
        ops: &[RequestOp],
        written: &mut HashSet<Vec<u8>>,
    ) -> Result<(), KvError> {
        ops.iter().try_for_each(|op| match op {
            RequestOp::Put(put) => {
                self.check_put(put)?;
                let is_new = written.insert(put.key.clone());
                is_new.then_some(()).ok_or(KvError::DuplicateKey)
            }
            RequestOp::Range(range) if range.key.is_empty() => Err(KvError::EmptyKey),
            RequestOp::Range(range) => self.range(range).map(|_| ()),
            RequestOp::DeleteRange(delete) => check_delete(delete),
            RequestOp::Txn(txn) => {
                self.check_branch(&txn.success, &mut written.clone())?;
                self.check_branch(&txn.failure, written)
            }
        })
    }

    /// Returns whether the branch selected by the comparisons changes any key.
    fn writes(&self, req: &TxnRequest) -> bool {
        self.chosen_branch(req).iter().any(|op| match op {
            RequestOp::Put(_) => true,
            RequestOp::Range(_) => false,
            RequestOp::DeleteRange(delete) => {
                self.keys.range(&KeyRange::new(&delete.key, &delete.range_end)).next().is_some()
            }
            RequestOp::Txn(txn) => self.writes(txn),
        })
    }

    fn chosen_branch<'a>(&self, req: &'a TxnRequest) -> &'a [RequestOp] {
        if req.compare.iter().all(|compare| self.evaluate(compare)) {
            &req.success
        } else {
            &req.failure
        }
    }

    fn apply_txn(&mut self, req: &TxnRequest) -> Result<TxnResponse, KvError> {
        let succeeded = req.compare.iter().all(|compare| self.evaluate(compare));
        let ops = if succeeded { &req.success } else { &req.failure };
        let responses = ops.iter().map(|op| self.apply(op)).collect::<Result<_, _>>()?;
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    fn apply(&mut self, op: &RequestOp) -> Result<ResponseOp, KvError> {
        Ok(match op {
            RequestOp::Range(req) => ResponseOp::Range(self.range(req)?),
            RequestOp::Put(req) => ResponseOp::Put(self.apply_put(req)),
            RequestOp::DeleteRange(req) => ResponseOp::DeleteRange(self.apply_delete(req)),
            RequestOp::Txn(req) => ResponseOp::Txn(self.apply_txn(req)?),
        })
    }

    fn apply_put(&mut self, req: &PutRequest) -> PutResponse {
        let previous = self.keys.put(&req.key, req.value.clone(), req.lease);
        let old_lease = previous.as_ref().map_or(0, |kv| kv.lease);
        self.leases.reattach(&req.key, old_lease, req.lease);
        PutResponse { header: self.header(), prev_kv: previous.filter(|_| req.prev_kv) }
    }

    fn apply_delete(&mut self, req: &DeleteRangeRequest) -> DeleteRangeResponse {
        let removed = self.keys.delete(&KeyRange::new(&req.key, &req.range_end));
        removed.iter().for_each(|kv| self.leases.reattach(&kv.key, kv.lease, 0));
        DeleteRangeResponse {
            header: self.header(),
            deleted: removed.len() as i64,
            prev_kvs: if req.prev_kv { removed } else { Vec::new() },
        }
    }

    /// Returns whether all keys of the range satisfy the comparison. As in etcd, an absent key has
    /// zero as version, revisions and lease, and no comparison with its value is true.
    fn evaluate(&self, compare: &Compare) -> bool {
        let range = KeyRange::new(&compare.key, &compare.range_end);
        let mut pairs = self.keys.range(&range).peekable();
        if pairs.peek().is_some() {
            return pairs.all(|kv| compare_matches(compare, kv));
        }
        compare.target != CompareTarget::Value && compare_matches(compare, &KeyValue::default())
    }
}

fn check_delete(req: &DeleteRangeRequest) -> Result<(), KvError> {
    if req.key.is_empty() { Err(KvError::EmptyKey) } else { Ok(()) }
}

fn compare_matches(compare: &Compare, kv: &KeyValue) -> bool {
    let order = match compare.target {
        CompareTarget::Version => kv.version.cmp(&compare.version),
        CompareTarget::Create => kv.create_revision.cmp(&compare.create_revision),
        CompareTarget::Mod => kv.mod_revision.cmp(&compare.mod_revision),
        CompareTarget::Value => kv.value.cmp(&compare.value),
        CompareTarget::Lease => kv.lease.cmp(&compare.lease),
    };
    match compare.result {
        CompareResult::Equal => order == Ordering::Equal,
        CompareResult::Greater => order == Ordering::Greater,
        CompareResult::Less => order == Ordering::Less,
        CompareResult::NotEqual => order != Ordering::Equal,
    }
}

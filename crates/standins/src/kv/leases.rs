use super::error::KvError;
use foldhash::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// Generated lease IDs start one above this value.
const LEASE_ID_BASE: i64 = 7_587_000_000_000_000_001;

/// A lease and the keys attached to it.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Granted time to live, in seconds.
    pub ttl_s: i64,
    /// Time of expiry unless renewed.
    pub expires: Instant,
    /// Keys that are deleted with the lease.
    pub keys: HashSet<Vec<u8>>,
}

/// Leases by ID.
#[derive(Debug)]
pub struct Leases {
    leases: HashMap<i64, Lease>,
    last_id: i64,
}

impl Leases {
    /// Creates an empty set of leases.
    pub fn new() -> Self {
        Self { leases: HashMap::default(), last_id: LEASE_ID_BASE }
    }

    /// Grants a lease and returns its ID; an `id` of 0 requests a generated one.
    ///
    /// # Errors
    /// The ID is in use or the time to live is not positive.
    pub fn grant(&mut self, id: i64, ttl_s: i64) -> Result<i64, KvError> {
        if ttl_s <= 0 {
            return Err(KvError::BadRequest("etcdserver: invalid lease TTL".into()));
        }
        let id = if id == 0 { self.generate_id() } else { id };
        if self.leases.contains_key(&id) {
            return Err(KvError::LeaseExists);
        }
        let lease = Lease { ttl_s, expires: expiry_after(ttl_s), keys: HashSet::default() };
        self.leases.insert(id, lease);
        Ok(id)
    }

    /// Renews a lease and returns its time to live in seconds; 0 if the lease does not exist.
    pub fn keep_alive(&mut self, id: i64) -> i64 {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = expiry_after(lease.ttl_s);
                lease.ttl_s
            }
            None => 0,
        }
    }

    /// Returns a lease; `None` if it does not exist.
    pub fn get(&self, id: i64) -> Option<&Lease> {
        self.leases.get(&id)
    }

    /// Removes a lease and returns the keys attached to it; the caller deletes them.
    ///
    /// # Errors
    /// The lease does not exist.
    pub fn revoke(&mut self, id: i64) -> Result<HashSet<Vec<u8>>, KvError> {
        self.leases.remove(&id).map(|lease| lease.keys).ok_or(KvError::LeaseNotFound)
    }

    /// Moves a key from one lease to another; an ID of 0 means no lease.
    pub fn reattach(&mut self, key: &[u8], from: i64, to: i64) {
        if let Some(lease) = self.leases.get_mut(&from) {
            lease.keys.remove(key);
        }
        if let Some(lease) = self.leases.get_mut(&to) {
            lease.keys.insert(key.to_vec());
        }
    }

    /// IDs of the leases that have expired at `now`.
    pub fn expired(&self, now: Instant) -> Vec<i64> {
        self.leases.iter().filter(|(_, lease)| lease.expires <= now).map(|(id, _)| *id).collect()
    }

    /// Resets every lease to its full time to live.
    pub fn renew_all(&mut self) {
        self.leases.values_mut().for_each(|lease| lease.expires = expiry_after(lease.ttl_s));
    }

    fn generate_id(&mut self) -> i64 {
        self.last_id += 1;
        self.last_id
    }
}

fn expiry_after(ttl_s: i64) -> Instant {
    Instant::now() + Duration::from_secs(ttl_s.unsigned_abs())
}

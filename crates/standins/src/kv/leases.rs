use super::error::KvError;
use foldhash::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// First id given to a lease whose request names none.
const FIRST_LEASE_ID: i64 = 7_587_000_000_000_000_001;

/// A lease and the keys bound to it.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Time to live as granted, in seconds.
    pub ttl_s: i64,
    /// When it runs out.
    pub expires: Instant,
    /// Keys that go with it.
    pub keys: HashSet<Vec<u8>>,
}

/// All leases.
#[derive(Debug)]
pub struct Leases {
    leases: HashMap<i64, Lease>,
    next_id: i64,
}

impl Leases {
    /// Starts without leases.
    pub fn new() -> Self {
        Self { leases: HashMap::default(), next_id: FIRST_LEASE_ID }
    }

    /// Grants a lease; an id of 0 asks for a fresh one.
    ///
    /// # Errors
    /// The id is taken or the time to live is not positive.
    pub fn grant(&mut self, id: i64, ttl_s: i64) -> Result<i64, KvError> {
        if ttl_s <= 0 {
            return Err(KvError::BadRequest("etcdserver: invalid lease TTL".into()));
        }
        let id = if id == 0 { self.fresh_id() } else { id };
        if self.leases.contains_key(&id) {
            return Err(KvError::LeaseExists);
        }
        let lease = Lease { ttl_s, expires: expiry(ttl_s), keys: HashSet::default() };
        self.leases.insert(id, lease);
        Ok(id)
    }

    /// Renews a lease and gives its time to live in seconds, 0 if it is gone.
    pub fn keep_alive(&mut self, id: i64) -> i64 {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = expiry(lease.ttl_s);
                lease.ttl_s
            }
            None => 0,
        }
    }

    /// Looks a lease up.
    pub fn get(&self, id: i64) -> Option<&Lease> {
        self.leases.get(&id)
    }

    /// Removes a lease and gives the keys that go with it.
    ///
    /// # Errors
    /// The lease is not there.
    pub fn revoke(&mut self, id: i64) -> Result<HashSet<Vec<u8>>, KvError> {
        self.leases.remove(&id).map(|lease| lease.keys).ok_or(KvError::LeaseNotFound)
    }

    /// Moves a key from one lease to another; 0 stands for none.
    pub fn rebind(&mut self, key: &[u8], from: i64, to: i64) {
        if let Some(lease) = self.leases.get_mut(&from) {
            lease.keys.remove(key);
        }
        if let Some(lease) = self.leases.get_mut(&to) {
            lease.keys.insert(key.to_vec());
        }
    }

    /// Leases that have run out.
    pub fn expired(&self, now: Instant) -> Vec<i64> {
        self.leases.iter().filter(|(_, lease)| lease.expires <= now).map(|(id, _)| *id).collect()
    }

    /// Gives every lease its full time again.
    pub fn renew_all(&mut self) {
        self.leases.values_mut().for_each(|lease| lease.expires = expiry(lease.ttl_s));
    }

    fn fresh_id(&mut self) -> i64 {
        self.next_id += 1;
        self.next_id
    }
}

fn expiry(ttl_s: i64) -> Instant {
    Instant::now() + Duration::from_secs(ttl_s.unsigned_abs())
}

use bytes::Bytes;
use rand::{SeedableRng, rngs::StdRng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use tokio::time::Instant;

/// Maximum number of overwritten or deleted objects kept for stale reads.
const MAX_PREVIOUS: usize = 64;

/// Storage tier of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// Memory tier; transfers are limited by the link only.
    Memory,
    /// Disk tier; transfers are limited by the disk and the link.
    Disk,
}

/// Error: the object does not fit in the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TierFull;

/// A stored object.
#[derive(Clone, Debug)]
pub struct Object {
    /// Bytes as last written; injected damage changes only responses.
    pub body: Bytes,
    /// Storage tier that holds the object.
    pub tier: Tier,
    /// Time of the last write or read.
    pub last_used: Instant,
}

/// Entry in the response of `GET /objects`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectInfo {
    /// Object name: the path after `/objects/`.
    pub name: String,
    /// Size in bytes.
    pub size: u64,
    /// Storage tier that holds the object.
    pub tier: Tier,
    /// Time since the last write or read, in milliseconds.
    pub idle_ms: u64,
}

/// Objects of both tiers, and a limited number of previous versions.
#[derive(Debug)]
pub struct Objects {
    memory_limit: u64,
    disk_limit: u64,
    objects: BTreeMap<String, Object>,
    previous: VecDeque<(String, Bytes)>,
}

impl Objects {
    /// Creates an empty store with tier capacities in bytes.
    pub fn new(memory_limit: u64, disk_limit: u64) -> Self {
        Self { memory_limit, disk_limit, objects: BTreeMap::new(), previous: VecDeque::new() }
    }

    /// Capacity of a tier, in bytes.
    pub fn limit(&self, tier: Tier) -> u64 {
        match tier {
            Tier::Memory => self.memory_limit,
            Tier::Disk => self.disk_limit,
        }
    }

    /// Size of all objects in a tier, in bytes.
    pub fn used(&self, tier: Tier) -> u64 {
        let in_tier = self.objects.values().filter(|object| object.tier == tier);
        in_tier.map(|object| object.body.len() as u64).sum()
    }

    /// Writes or replaces an object; fails if the tier has no room for it.
    pub fn put(&mut self, name: &str, body: Bytes, tier: Tier) -> Result<(), TierFull> {
        let replaced_bytes = self.objects.get(name).filter(|old| old.tier == tier);
        let replaced_bytes = replaced_bytes.map_or(0, |old| old.body.len() as u64);
        if self.used(tier) - replaced_bytes + body.len() as u64 > self.limit(tier) {
            return Err(TierFull);
        }
        let object = Object { body, tier, last_used: Instant::now() };
        if let Some(old) = self.objects.insert(name.into(), object) {
            self.keep_previous(name, old.body);
        }
        Ok(())
    }

    /// Reads an object and updates its time of last use.
    pub fn get(&mut self, name: &str) -> Option<Object> {
        let object = self.objects.get_mut(name)?;
        object.last_used = Instant::now();
        Some(object.clone())
    }

    /// Looks up an object without updating its time of last use.
    pub fn peek(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Body of an object before its last overwrite or deletion; none if the object was never
    /// overwritten or deleted, or the body is no longer kept.
    pub fn previous(&self, name: &str) -> Option<Bytes> {
        let mut newest_first = self.previous.iter().rev();
        newest_first.find(|(old, _)| old == name).map(|(_, body)| body.clone())
    }

    /// Body of the next object in name order, wrapping around; none if there is no other object.
    pub fn next_after(&self, name: &str) -> Option<Bytes> {
        let others = self.objects.iter().filter(|(other, _)| *other != name);
        others.min_by_key(|(other, _)| other.as_str() < name).map(|(_, object)| object.body.clone())
    }

    /// Deletes an object and returns whether it existed.
    pub fn delete(&mut self, name: &str) -> bool {
        match self.objects.remove(name) {
            Some(old) => {
                self.keep_previous(name, old.body);
                true
            }
            None => false,
        }
    }

    /// Moves an object to a tier; none if it does not exist.
    pub fn move_to(&mut self, name: &str, tier: Tier) -> Option<Result<(), TierFull>> {
        let object = self.objects.get(name)?;
        if object.tier == tier {
            return Some(Ok(()));
        }
        if self.used(tier) + object.body.len() as u64 > self.limit(tier) {
            return Some(Err(TierFull));
        }
        self.objects.get_mut(name)?.tier = tier;
        Some(Ok(()))
    }

    /// Removes all objects and previous versions.
    pub fn clear(&mut self) {
        self.objects.clear();
        self.previous.clear();
    }

    fn keep_previous(&mut self, name: &str, old: Bytes) {
        self.previous.push_back((name.into(), old));
        if self.previous.len() > MAX_PREVIOUS {
            self.previous.pop_front();
        }
    }

    /// Returns a random sample of up to `limit` objects whose names start with `prefix`.
    pub fn sample(&self, prefix: &str, limit: usize, seed: u64) -> Vec<ObjectInfo> {
        self.objects
            .iter()
            .filter(|(name, _)| name.starts_with(prefix))
            .sample(&mut StdRng::seed_from_u64(seed), limit)
            .into_iter()
            .map(|(name, object)| ObjectInfo {
                name: name.clone(),
                size: object.body.len() as u64,
                tier: object.tier,
                idle_ms: object.last_used.elapsed().as_millis() as u64,
            })
            .collect()
    }
}

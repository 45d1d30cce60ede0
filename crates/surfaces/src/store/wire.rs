use cassiagw_core::cache::StoreTier;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// Entry of a store's object list.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ObjectInfo {
    /// Name of the object.
    pub name: String,
    /// Size in bytes.
    #[serde(rename = "size")]
    pub bytes: u64,
    /// Tier that holds the object.
    pub tier: StoreTier,
    /// Time since the object was last written or read.
    #[serde(rename = "idle_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle: Duration,
}

/// Response body of an object list request.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ObjectList {
    pub objects: Vec<ObjectInfo>,
}

/// Space usage of one tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct TierUsage {
    /// Total size of the stored objects, in bytes.
    pub used: u64,
    /// Capacity in bytes.
    pub limit: u64,
}

/// Space usage of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct StoreUsage {
    /// Usage of the memory tier.
    pub memory: TierUsage,
    /// Usage of the disk tier.
    pub disk: TierUsage,
}

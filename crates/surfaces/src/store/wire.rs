use cassiagw_core::cache::StoreTier;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// An object as a store lists it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ObjectInfo {
    /// Name.
    pub name: String,
    /// Length.
    #[serde(rename = "size")]
    pub bytes: u64,
    /// Tier that it lies in.
    pub tier: StoreTier,
    /// Time since it was last written or read.
    #[serde(rename = "idle_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle: Duration,
}

/// Objects that a store lists.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ObjectList {
    pub objects: Vec<ObjectInfo>,
}

/// Use of one tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct TierUsage {
    /// Bytes of its objects.
    pub used: u64,
    /// Bytes that it takes at most.
    pub limit: u64,
}

/// Use of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct StoreUsage {
    /// Memory tier.
    pub memory: TierUsage,
    /// Disk tier.
    pub disk: TierUsage,
}

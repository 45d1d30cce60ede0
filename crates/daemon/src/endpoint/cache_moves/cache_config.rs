use cassiagw_core::links::WindowConfig;
use std::time::Duration;

/// Limits of the cache transfers of one engine.
#[derive(Clone, Copy, Debug)]
pub struct CacheConfig {
    /// Limits of the transfer window of each store's link.
    pub window: WindowConfig,
    /// Timeout of a small request, such as for a manifest.
    pub request_timeout: Duration,
    /// Timeout of the transfer of one block. It includes the wait for the link for a fetch; an
    /// export may take twice this time with its wait.
    pub block_timeout: Duration,
    /// Longest time that a run waits for its cache to be fetched.
    pub max_fetch_wait: Duration,
    /// Time to compute one prompt token, assumed until the first measurement.
    pub initial_prefill_per_token: Duration,
    /// Time between the deletion of a manifest and the deletion of its block; also the idle time
    /// after which a block without a manifest is deleted.
    pub grace: Duration,
    /// Time for which a piece seen in a store is assumed to be there without another lookup before
    /// an export.
    pub seen_in_store_ttl: Duration,
    /// Interval at which the engine's cache events are read while no run starts.
    pub event_interval: Duration,
    /// Age of the last read above which the events are read again before a run.
    pub event_max_age: Duration,
    /// Longest time that a run waits for the engine's cache events.
    pub event_timeout: Duration,
    /// Shortest time between two checks of a store's usage.
    pub usage_interval: Duration,
    /// Usage of a tier, in percent of its limit, above which blocks are evicted.
    pub high_water_percent: u64,
    /// Capacity of each of the tables that track pieces or prompts.
    pub remembered_pieces: usize,
    /// Capacity of the queue of finished runs that wait for their export.
    pub export_queue_capacity: usize,
    /// Blocks sampled at once as candidates for eviction.
    pub eviction_sample: usize,
}

impl Default for CacheConfig {
    fn default() -> Self {
        Self {
            window: WindowConfig::default(),
            request_timeout: Duration::from_millis(250),
            block_timeout: Duration::from_secs(10),
            max_fetch_wait: Duration::from_secs(5),
            initial_prefill_per_token: Duration::from_micros(500),
            grace: Duration::from_secs(15),
            seen_in_store_ttl: Duration::from_secs(600),
            event_interval: Duration::from_secs(1),
            event_max_age: Duration::from_millis(20),
            event_timeout: Duration::from_millis(50),
            usage_interval: Duration::from_secs(1),
            high_water_percent: 90,
            remembered_pieces: 20_000,
            export_queue_capacity: 256,
            eviction_sample: 32,
        }
    }
}

use cassiagw_core::links::WindowConfig;
use std::time::Duration;

/// Bounds of the cache moves of one engine.
#[derive(Clone, Copy, Debug)]
pub struct CacheConfig {
    /// Bounds of each link's window.
    pub pace: WindowConfig,
    /// Longest time for a small exchange, such as a manifest.
    pub small_limit: Duration,
    /// Longest time for one block, its wait for the link included.
    pub block_limit: Duration,
    /// Longest time that a run waits for its cache.
    pub wait_limit: Duration,
    /// Time to compute one prompt token, taken before the first run.
    pub prefill_guess: Duration,
    /// Time between the deletion of a manifest and that of its block.
    pub grace: Duration,
    /// Time for which a piece that was seen in a store is not looked for again before an export.
    pub kept_memory: Duration,
    /// Time between two reads of the engine's cache events while no run begins.
    pub event_interval: Duration,
    /// Age above which the events are read anew before a run.
    pub event_max_age: Duration,
    /// Longest time that a run waits for the engine's events.
    pub event_limit: Duration,
    /// Time between two looks at a store's use.
    pub usage_interval: Duration,
    /// Share of a tier, in percent, above which blocks are evicted.
    pub high_water_percent: u64,
    /// Pieces remembered for each purpose.
    pub remembered_pieces: usize,
    /// Finished runs that wait for their export.
    pub waiting_exports: usize,
    /// Blocks drawn at once to choose which to evict.
    pub eviction_sample: usize,
}

impl Default for CacheConfig {
    fn default() -> Self {
        Self {
            pace: WindowConfig::default(),
            small_limit: Duration::from_millis(250),
            block_limit: Duration::from_secs(10),
            wait_limit: Duration::from_secs(5),
            prefill_guess: Duration::from_micros(500),
            grace: Duration::from_secs(15),
            kept_memory: Duration::from_secs(600),
            event_interval: Duration::from_secs(1),
            event_max_age: Duration::from_millis(20),
            event_limit: Duration::from_millis(50),
            usage_interval: Duration::from_secs(1),
            high_water_percent: 90,
            remembered_pieces: 20_000,
            waiting_exports: 256,
            eviction_sample: 32,
        }
    }
}

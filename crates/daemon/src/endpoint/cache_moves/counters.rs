use cassiagw_core::ids::StoreId;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Running counts of one engine's cache moves.
        #[derive(Debug, Default)]
        pub(super) struct Counters { $($(#[$doc])* pub $name: AtomicU64,)* }

        /// Counts of one engine's cache moves at one moment.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct CacheCounts { $($(#[$doc])* pub $name: u64,)* }

        impl CacheCounts {
            /// Every count with its name.
            pub fn named(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }

        impl Counters {
            pub fn read(&self) -> CacheCounts {
                CacheCounts { $($name: self.$name.load(Ordering::Relaxed),)* }
            }
        }
    };
}

counters! {
    /// Runs prepared.
    runs,
    /// Prompt tokens of ended runs.
    prompt_tokens,
    /// Prompt tokens that the engine computed.
    computed_tokens,
    /// Tokens fetched from stores.
    fetched_tokens,
    /// Bytes fetched from stores.
    fetched_bytes,
    /// Tokens exported to stores.
    exported_tokens,
    /// Bytes exported to stores.
    exported_bytes,
    /// Fetches that joined one already under way.
    joined_fetches,
    /// Fetches that ended without an import.
    failed_fetches,
    /// Imported pieces that the engine did not reuse.
    unused_imports,
    /// Manifests and blocks that were not what they should be.
    rejected_objects,
    /// Runs whose export was skipped because too many waited.
    skipped_exports,
    /// Blocks that could not be exported.
    failed_exports,
    /// Blocks moved from memory to disk.
    demoted_blocks,
    /// Blocks evicted.
    evicted_blocks,
}

/// Adds to a counter.
pub(super) fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}

/// State of the link to one store.
#[derive(Clone, Debug, Serialize)]
pub struct LinkDump {
    /// Store.
    pub store: StoreId,
    /// Whether it is asked at all now.
    pub is_usable: bool,
    /// Bytes that may be in flight.
    pub window_bytes: u64,
    /// Bytes in flight.
    pub in_flight_bytes: u64,
    /// Bytes of fetches that wait.
    pub waiting_fetch_bytes: u64,
    /// Bytes of exports that wait.
    pub waiting_export_bytes: u64,
    /// Bytes a second at the link's current share.
    pub bytes_per_s: u64,
}

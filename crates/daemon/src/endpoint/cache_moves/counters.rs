use cassiagw_core::ids::StoreId;
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counters of one engine's cache transfers.
        #[derive(Debug, Default)]
        pub(super) struct Counters { $($(#[$doc])* pub $name: AtomicU64,)* }

        /// Snapshot of the counters of one engine's cache transfers.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct CacheCounts { $($(#[$doc])* pub $name: u64,)* }

        impl CacheCounts {
            /// Returns every count with its field name, which is its label in the metrics.
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
    /// Runs whose prompt was prepared.
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
    /// Fetches that joined one already in progress.
    joined_fetches,
    /// Fetches that ended without an import.
    failed_fetches,
    /// Imported pieces that the engine did not reuse.
    unused_imports,
    /// Manifests and blocks that failed verification.
    rejected_objects,
    /// Runs whose export was skipped because the queue was full.
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

/// State of the link to one store, written to state dumps.
#[derive(Clone, Debug, Serialize)]
pub struct LinkDump {
    /// Store at the other end of the link.
    pub store: StoreId,
    /// Whether the store is in use, that is, not suspended after failures.
    pub is_usable: bool,
    /// Maximum number of bytes in flight.
    pub window_bytes: u64,
    /// Bytes of transfers in progress.
    pub in_flight_bytes: u64,
    /// Bytes of fetches that wait for the link.
    pub waiting_fetch_bytes: u64,
    /// Bytes of exports that wait for the link.
    pub waiting_export_bytes: u64,
    /// Estimated throughput of the link in bytes per second.
    pub bytes_per_s: u64,
}

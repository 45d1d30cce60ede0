//! Thread-safe wrapper around the router and the retry budget of `cassiagw_core`.

mod entry_routing;

pub use self::entry_routing::EntryRouting;

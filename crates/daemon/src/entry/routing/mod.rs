//! Shell of the routing and retry cores: one state for all requests of an entry.

mod entry_routing;

pub use self::entry_routing::EntryRouting;

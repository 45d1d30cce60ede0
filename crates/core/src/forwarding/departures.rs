use super::EndpointEntry;
use crate::ids::{EndpointId, FastMap};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time for which a departure is remembered; a copy of the store is younger than that.
const MEMORY: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct Departure {
    started_unix_ms: Option<u64>,
    address: SocketAddr,
    until: Instant,
}

/// Boots of endpoints that are known to leave or to have left.
///
/// Load: the store comes back from a copy in which these endpoints are still ready. They get no
/// requests until they are written as ready again.
#[derive(Clone, Debug, Default)]
pub struct Departures(FastMap<EndpointId, Departure>);

impl Departures {
    /// Records that the boot of an entry leaves or has left.
    pub fn on_left(&mut self, now: Instant, entry: &EndpointEntry) {
        self.0.retain(|_, departure| now < departure.until);
        let departure = Departure {
            started_unix_ms: entry.started_unix_ms,
            address: entry.address,
            until: now + MEMORY,
        };
        self.0.insert(entry.id.clone(), departure);
    }

    /// Records that an endpoint was written as ready.
    pub fn on_ready(&mut self, id: &EndpointId) {
        self.0.remove(id);
    }

    /// Whether the boot of an entry is known to leave or to have left.
    pub fn has_left(&self, now: Instant, entry: &EndpointEntry) -> bool {
        self.0.get(&entry.id).is_some_and(|departure| {
            now < departure.until
                && departure.started_unix_ms == entry.started_unix_ms
                && departure.address == entry.address
        })
    }
}

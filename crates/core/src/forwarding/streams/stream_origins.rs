use crate::ids::{FastMap, ServiceId, ServiceVersion, stable_hash};
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Maximum number of streams that are remembered; the oldest are forgotten first.
const MAX_STREAMS: usize = 50_000;

/// Hash that identifies a stream: of the workspace of its caller and of the ID of the request that
/// began it.
pub type StreamKey = u64;

/// Number of the placement that a statement is based on. A later placement of the same request
/// counts more, the one that brought events most.
pub type PlacementNumber = u32;

/// Returns the key of the stream that a request begins.
pub fn stream_key(workspace: &str, request_id: &str) -> StreamKey {
    stable_hash(format!("{workspace}\n{request_id}").as_bytes())
}

/// Statement of which endpoints a stream began at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub key: StreamKey,
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Software version of the endpoint.
    pub version: ServiceVersion,
    /// Placement that the statement is based on.
    pub placement: PlacementNumber,
}

#[derive(Clone, Debug)]
struct Held {
    origin: StreamOrigin,
    until: Instant,
}

/// Origins of the streams that this daemon has placed or that other daemons have told it.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    held: FastMap<StreamKey, Held>,
    /// Keys in the order of their first record; one that is recorded again stays in its place until it is
    /// looked at.
    order: VecDeque<StreamKey>,
}

impl StreamOrigins {
    /// Records a statement for a time, unless a later placement is known.
    pub fn record(&mut self, now: Instant, lifetime: Duration, origin: StreamOrigin) {
        let key = origin.key;
        let until = now + lifetime;
        match self.held.get_mut(&key) {
            Some(held) if held.origin.placement > origin.placement => held.until = until,
            Some(held) => *held = Held { origin, until },
            None => {
                self.make_room(now);
                self.held.insert(key, Held { origin, until });
                self.order.push_back(key);
            }
        }
    }

    /// Origin of a stream; `None` if it is not known.
    pub fn get(&self, now: Instant, key: StreamKey) -> Option<&StreamOrigin> {
        self.held.get(&key).filter(|held| now < held.until).map(|held| &held.origin)
    }

    /// Iterates over the known streams of a service.
    pub fn of_service<'a>(
        &'a self,
        now: Instant,
        service: &'a str,
    ) -> impl Iterator<Item = &'a StreamOrigin> {
        let held = self.held.values().filter(move |held| now < held.until);
        held.map(|held| &held.origin).filter(move |origin| &*origin.service == service)
    }

    /// Removes the oldest streams if they have ended or if there are too many.
    fn make_room(&mut self, now: Instant) {
        while let Some(key) = self.order.front().copied() {
            let is_ended = self.held.get(&key).is_none_or(|held| now >= held.until);
            if !is_ended && self.held.len() < MAX_STREAMS {
                return;
            }
            self.order.pop_front();
            self.held.remove(&key);
        }
    }
}

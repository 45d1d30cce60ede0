use super::{CacheScope, Prompt};
use crate::ids::{BoundedMap, EndpointId, FastMap, stable_hash};
use serde::{Deserialize, Serialize};

/// Number of prompt parts whose locations are remembered.
const MAX_PARTS: usize = 8_192;
/// Number of engines remembered per part.
const MAX_ENGINES_PER_PART: usize = 4;
/// Maximum number of locations buffered for the other daemons.
const MAX_UNANNOUNCED: usize = 512;
/// Tokens that may be sent to an engine, as a percentage of its memory, before a part is assumed to
/// be evicted; the rest is taken by running requests.
const RESIDENT_PERCENT: u64 = 60;

/// Hash of a prompt part within its scope.
pub type PartKey = u64;

/// Key of a prompt's last shared part within a scope; `None` if the prompt has no parts.
pub fn part_key(scope: &CacheScope, prompt: &Prompt) -> Option<PartKey> {
    let part = prompt.shared_part()?;
    Some(stable_hash(scope.as_bytes()).rotate_left(1) ^ stable_hash(part.id.as_bytes()))
}

/// A prompt part that was sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartLocation {
    /// Key of the part.
    pub part: PartKey,
    /// Engine that the part was sent to.
    pub engine: EndpointId,
    /// Tokens that the request adds to the engine's memory.
    pub tokens: u64,
}

#[derive(Clone, Debug)]
struct Location {
    engine: EndpointId,
    /// Total tokens sent to the engine up to and including this part.
    tokens_sent: u64,
}

/// Engines that probably hold a prompt part in memory, estimated from the requests of all daemons.
///
/// Engines evict the least recently used part, so a part is assumed to be present until enough
/// other tokens have been sent to the engine.
#[derive(Debug)]
pub struct PartLocations {
    locations: BoundedMap<PartKey, Vec<Location>>,
    tokens_sent: FastMap<EndpointId, u64>,
    unannounced: Vec<PartLocation>,
}

impl Default for PartLocations {
    fn default() -> Self {
        Self {
            locations: BoundedMap::new(MAX_PARTS),
            tokens_sent: FastMap::default(),
            unannounced: Vec::new(),
        }
    }
}

impl PartLocations {
    /// Records a request of this daemon and buffers it for the other daemons.
    pub fn record_own(&mut self, location: PartLocation) {
        if self.unannounced.len() < MAX_UNANNOUNCED {
            self.unannounced.push(location.clone());
        }
        self.record(location);
    }

    /// Records a request, for example one reported by another daemon.
    pub fn record(&mut self, location: PartLocation) {
        let tokens_sent = self.tokens_sent.entry(location.engine.clone()).or_default();
        *tokens_sent += location.tokens;
        let at = Location { engine: location.engine, tokens_sent: *tokens_sent };
        let known = self.locations.entry(&location.part, Vec::new);
        known.retain(|other| other.engine != at.engine);
        known.insert(0, at);
        known.truncate(MAX_ENGINES_PER_PART);
    }

    /// Whether an engine probably holds a part in memory.
    pub fn is_resident(&self, part: PartKey, engine: &EndpointId, memory_tokens: u64) -> bool {
        let locations = self.locations.peek(&part).map_or(&[][..], Vec::as_slice);
        let location = locations.iter().find(|location| location.engine == *engine);
        location.is_some_and(|location| {
            let now = self.tokens_sent.get(engine).copied().unwrap_or_default();
            now - location.tokens_sent < memory_tokens * RESIDENT_PERCENT / 100
        })
    }

    /// Whether any engine probably holds a part in memory or is prefilling it.
    pub fn is_resident_anywhere(&self, part: PartKey, memory_tokens: u64) -> bool {
        let locations = self.locations.peek(&part).map_or(&[][..], Vec::as_slice);
        locations.iter().any(|location| self.is_resident(part, &location.engine, memory_tokens))
    }

    /// Records that an engine has dropped everything it held.
    pub fn mark_evicted(&mut self, engine: &EndpointId) {
        let tokens_sent = self.tokens_sent.entry(engine.clone()).or_default();
        // More tokens than an engine's memory holds, so that no earlier part counts as resident.
        *tokens_sent += u64::from(u32::MAX);
    }

    /// Drains the requests of this daemon that the other daemons have not been told of.
    pub fn take_unannounced(&mut self) -> Vec<PartLocation> {
        std::mem::take(&mut self.unannounced)
    }
}

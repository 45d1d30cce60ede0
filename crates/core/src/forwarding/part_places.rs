use super::{CacheScope, Prompt};
use crate::ids::{BoundedMap, EndpointId, FastMap, stable_hash};
use serde::{Deserialize, Serialize};

/// Number of prompt parts whose locations are remembered.
const REMEMBERED_PARTS: usize = 8_192;
/// Number of engines remembered per part.
const ENGINES_OF_PART: usize = 4;
/// Maximum number of locations buffered for the other daemons.
const MAX_UNTOLD: usize = 512;
/// Tokens that may be sent to an engine, as a percentage of its memory, before a part is assumed to
/// be evicted; the rest is taken by running requests.
const RESIDENT_PERCENT: u64 = 60;

/// Hash of a prompt part within its scope.
pub type PartPlaceKey = u64;

/// Key of a prompt's last shared part within a scope; `None` if the prompt has no parts.
pub fn part_place_key(scope: &CacheScope, prompt: &Prompt) -> Option<PartPlaceKey> {
    let part = prompt.shared_part()?;
    Some(stable_hash(scope.as_bytes()).rotate_left(1) ^ stable_hash(part.id.as_bytes()))
}

/// A prompt part that was sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartPlace {
    /// Key of the part.
    pub part: PartPlaceKey,
    /// Engine that the part was sent to.
    pub engine: EndpointId,
    /// Tokens that the request adds to the engine's memory.
    pub tokens: u64,
}

#[derive(Clone, Debug)]
struct Place {
    engine: EndpointId,
    /// Total tokens sent to the engine up to and including this part.
    brought: u64,
}

/// Engines that probably hold a prompt part in memory, estimated from the requests of all daemons.
///
/// Engines evict the least recently used part, so a part is assumed to be present until enough
/// other tokens have been sent to the engine.
#[derive(Debug)]
pub struct PartPlaces {
    places: BoundedMap<PartPlaceKey, Vec<Place>>,
    brought: FastMap<EndpointId, u64>,
    untold: Vec<PartPlace>,
}

impl Default for PartPlaces {
    fn default() -> Self {
        Self {
            places: BoundedMap::new(REMEMBERED_PARTS),
            brought: FastMap::default(),
            untold: Vec::new(),
        }
    }
}

impl PartPlaces {
    /// Records a request of this daemon and buffers it for the other daemons.
    pub fn note(&mut self, place: PartPlace) {
        if self.untold.len() < MAX_UNTOLD {
            self.untold.push(place.clone());
        }
        self.learn(place);
    }

    /// Records a request, for example one reported by another daemon.
    pub fn learn(&mut self, place: PartPlace) {
        let brought = self.brought.entry(place.engine.clone()).or_default();
        *brought += place.tokens;
        let at = Place { engine: place.engine, brought: *brought };
        let known = self.places.entry(&place.part, Vec::new);
        known.retain(|other| other.engine != at.engine);
        known.insert(0, at);
        known.truncate(ENGINES_OF_PART);
    }

    /// Whether an engine probably holds a part in memory.
    pub fn is_resident(&self, part: PartPlaceKey, engine: &EndpointId, memory_tokens: u64) -> bool {
        let places = self.places.peek(&part).map_or(&[][..], Vec::as_slice);
        let place = places.iter().find(|place| place.engine == *engine);
        let now = self.brought.get(engine).copied().unwrap_or_default();
        place.is_some_and(|place| now - place.brought < memory_tokens * RESIDENT_PERCENT / 100)
    }

    /// Whether any engine probably holds a part in memory or is prefilling it.
    pub fn is_resident_anywhere(&self, part: PartPlaceKey, memory_tokens: u64) -> bool {
        let places = self.places.peek(&part).map_or(&[][..], Vec::as_slice);
        places.iter().any(|place| self.is_resident(part, &place.engine, memory_tokens))
    }

    /// Records that an engine has dropped everything it held.
    pub fn forget(&mut self, engine: &EndpointId) {
        let brought = self.brought.entry(engine.clone()).or_default();
        *brought += u64::from(u32::MAX);
    }

    /// Drains the requests of this daemon that the other daemons have not been told of.
    pub fn take_untold(&mut self) -> Vec<PartPlace> {
        std::mem::take(&mut self.untold)
    }
}

use super::{CacheScope, Prompt};
use crate::ids::{BoundedMap, EndpointId, FastMap, stable_hash};
use serde::{Deserialize, Serialize};

/// Prompt parts whose engines are remembered.
const REMEMBERED_PARTS: usize = 8_192;
/// Engines remembered of one part.
const ENGINES_OF_PART: usize = 4;
/// Placements that wait to be told to the other daemons.
const MAX_UNTOLD: usize = 512;
/// Part of an engine's memory that can be brought in before a part is taken to be evicted, in
/// percent; running requests hold the rest.
const KEPT_PERCENT: u64 = 60;

/// Key of a prompt part within its scope.
pub type PartPlaceKey = u64;

/// Makes the key of a prompt's last shared part within a scope.
pub fn part_place_key(scope: &CacheScope, prompt: &Prompt) -> Option<PartPlaceKey> {
    let part = prompt.shared_part()?;
    Some(stable_hash(scope.as_bytes()).rotate_left(1) ^ stable_hash(part.id.as_bytes()))
}

/// A prompt part that was brought to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartPlace {
    /// Part.
    pub part: PartPlaceKey,
    /// Engine.
    pub engine: EndpointId,
    /// Tokens that the request brought there.
    pub tokens: u64,
}

#[derive(Clone, Debug)]
struct Place {
    engine: EndpointId,
    /// Tokens brought to the engine up to then.
    brought: u64,
}

/// Which engines are likely to have a prompt part in memory, from the requests of all daemons.
///
/// An engine drops what was used least recently, so a part is taken to be there until enough
/// other tokens were brought to the engine.
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
    /// Takes note of a request of this daemon.
    pub fn note(&mut self, place: PartPlace) {
        if self.untold.len() < MAX_UNTOLD {
            self.untold.push(place.clone());
        }
        self.learn(place);
    }

    /// Takes note of a request, such as one of another daemon.
    pub fn learn(&mut self, place: PartPlace) {
        let brought = self.brought.entry(place.engine.clone()).or_default();
        *brought += place.tokens;
        let at = Place { engine: place.engine, brought: *brought };
        let known = self.places.entry(&place.part, Vec::new);
        known.retain(|other| other.engine != at.engine);
        known.insert(0, at);
        known.truncate(ENGINES_OF_PART);
    }

    /// Whether a part is likely to be in an engine's memory.
    pub fn is_kept(&self, part: PartPlaceKey, engine: &EndpointId, memory_tokens: u64) -> bool {
        let places = self.places.peek(&part).map_or(&[][..], Vec::as_slice);
        let place = places.iter().find(|place| place.engine == *engine);
        let now = self.brought.get(engine).copied().unwrap_or_default();
        place.is_some_and(|place| now - place.brought < memory_tokens * KEPT_PERCENT / 100)
    }

    /// Whether some engine is likely to have a part in memory, or to be reading it.
    pub fn is_kept_anywhere(&self, part: PartPlaceKey, memory_tokens: u64) -> bool {
        let places = self.places.peek(&part).map_or(&[][..], Vec::as_slice);
        places.iter().any(|place| self.is_kept(part, &place.engine, memory_tokens))
    }

    /// Takes note that an engine has dropped all that it had.
    pub fn forget(&mut self, engine: &EndpointId) {
        let brought = self.brought.entry(engine.clone()).or_default();
        *brought += u64::from(u32::MAX);
    }

    /// Requests of this daemon that the others were not told of yet.
    pub fn take_untold(&mut self) -> Vec<PartPlace> {
        std::mem::take(&mut self.untold)
    }
}

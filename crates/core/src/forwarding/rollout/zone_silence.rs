use crate::ids::{FastMap, ZoneId};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time over which the answers of a zone are compared.
const WINDOW: Duration = Duration::from_secs(5);
/// Largest numbers of answers and zones that are remembered.
const MAX_ANSWERS: usize = 64;
const MAX_ZONES: usize = 32;

/// Availability zones whose endpoints of old versions do not answer in time.
///
/// Needed when a zone is cut off: requests there stay without an answer whatever the
/// version, also where the target has most of its endpoints in that zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneSilence {
    /// Recent answers of each zone and whether they were missing.
    zones: FastMap<ZoneId, VecDeque<(Instant, bool)>>,
}

impl ZoneSilence {
    /// Records an answer of an old version, or that there was none in time.
    pub fn on_answer(&mut self, now: Instant, zone: &ZoneId, is_missing: bool) {
        if !self.zones.contains_key(zone) && self.zones.len() >= MAX_ZONES {
            return;
        }
        let answers = self.zones.entry(zone.clone()).or_default();
        if answers.len() >= MAX_ANSWERS {
            answers.pop_front();
        }
        answers.push_back((now, is_missing));
    }

    /// Whether at least half of the recent answers of old versions in a zone were missing.
    pub fn is_silent(&self, now: Instant, zone: &ZoneId) -> bool {
        let answers = self.zones.get(zone).into_iter().flatten();
        let recent = answers.filter(|(at, _)| now.saturating_duration_since(*at) < WINDOW);
        let (missing, all) = recent.fold((0, 0), |(missing, all), (_, is_missing)| {
            (missing + usize::from(*is_missing), all + 1)
        });
        missing > 0 && 2 * missing >= all
    }
}

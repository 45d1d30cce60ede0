use crate::ids::{FastMap, ZoneId};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Time before and after a cut in which others in the zone count as the same moment.
const MOMENT: Duration = Duration::from_secs(1);
/// Time for which a cut answer of the target waits for what the others in the zone saw.
const HOLD: Duration = Duration::from_millis(400);
/// Largest number of cut answers that wait.
const MAX_HELD: usize = 64;
/// Largest number of zones whose cuts are remembered.
const MAX_ZONES: usize = 32;
/// Time for which cuts in a zone are told to the others.
const TELL_FOR: Duration = Duration::from_secs(2);

/// Cut answers of the target that wait for news of their zone, and the zones in which endpoints of
/// other versions or services were cut lately.
///
/// Needed when a zone is cut off or many endpoints crash for one reason, which says
/// nothing of a version.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneCuts {
    zones: FastMap<ZoneId, Instant>,
    held: Vec<HeldCut>,
}

/// Cut answer of the target.
#[derive(Clone, Debug)]
pub(super) struct HeldCut {
    at: Instant,
    zone: ZoneId,
    pub(super) route: Arc<str>,
    pub(super) host: Option<Arc<str>>,
}

impl ZoneCuts {
    /// Notes that an endpoint in a zone was cut that is not of the target.
    pub(super) fn on_cut_elsewhere(&mut self, at: Instant, zone: &ZoneId) {
        if let Some(last) = self.zones.get_mut(zone) {
            *last = at.max(*last);
            return;
        }
        self.zones.retain(|_, last| at.saturating_duration_since(*last) < TELL_FOR);
        if self.zones.len() < MAX_ZONES {
            self.zones.insert(zone.clone(), at);
        }
    }

    /// Holds a cut answer of the target back. Returns whether there was room.
    pub(super) fn hold(
        &mut self,
        at: Instant,
        zone: &ZoneId,
        route: &Arc<str>,
        host: Option<&Arc<str>>,
    ) -> bool {
        let has_room = self.held.len() < MAX_HELD;
        if has_room {
            let (zone, route) = (zone.clone(), route.clone());
            self.held.push(HeldCut { at, zone, route, host: host.cloned() });
        }
        has_room
    }

    /// Removes and returns the cut answers that count against the target: those held for long
    /// enough in zones in which nothing else was cut at the moment.
    pub(super) fn take_counted(&mut self, now: Instant) -> Vec<HeldCut> {
        let zones = &self.zones;
        let is_common = |cut: &HeldCut| {
            zones.get(&cut.zone).is_some_and(|&other| distance(other, cut.at) <= MOMENT)
        };
        let is_due = |cut: &HeldCut| now.saturating_duration_since(cut.at) >= HOLD;
        let due = self.held.extract_if(.., |cut| is_due(cut)).collect::<Vec<_>>();
        due.into_iter().filter(|cut| !is_common(cut)).collect()
    }

    /// Zones with recent cuts, and the time since the latest one.
    pub(super) fn recent(&self, now: Instant) -> Vec<(ZoneId, Duration)> {
        let ages =
            self.zones.iter().map(|(zone, &at)| (zone.clone(), now.saturating_duration_since(at)));
        ages.filter(|(_, age)| *age < TELL_FOR).collect()
    }
}

fn distance(one: Instant, other: Instant) -> Duration {
    one.saturating_duration_since(other).max(other.saturating_duration_since(one))
}

use crate::ids::ZoneId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Availability zones whose last registration ended, with the time at which it did.
///
/// An outage of the service ends the registrations of daemons that live on. Until the service has
/// been reachable for long enough to register again, such a zone may still take changes, so a
/// daemon that is cut off must not conclude from its own zone alone that nobody can.
#[derive(Clone, Debug, Default)]
pub struct LapsedZones {
    ended: BTreeMap<ZoneId, Instant>,
}

impl LapsedZones {
    /// Notes the zones with registered daemons before and after a change.
    pub fn on_members(
        &mut self,
        now: Instant,
        before: &BTreeSet<ZoneId>,
        after: &BTreeSet<ZoneId>,
    ) {
        for zone in before.difference(after) {
            self.ended.entry(zone.clone()).or_insert(now);
        }
        self.ended.retain(|zone, _| !after.contains(zone));
    }

    /// Notes a peer's report that a zone's registrations ended at a time.
    pub fn on_news(&mut self, zone: &ZoneId, at: Instant) {
        let last = self.ended.entry(zone.clone()).or_insert(at);
        *last = at.max(*last);
    }

    /// Zones that may still be alive: the service was not reachable for `grace` since their end.
    pub fn possible(
        &self,
        confirmed: Option<Instant>,
        grace: Duration,
    ) -> impl Iterator<Item = (&ZoneId, Instant)> {
        let had_time =
            move |at: Instant| confirmed.is_some_and(|confirmed| confirmed >= at + grace);
        self.ended.iter().map(|(zone, at)| (zone, *at)).filter(move |(_, at)| !had_time(*at))
    }
}

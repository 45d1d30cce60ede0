use crate::ids::ZoneId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Availability zones without a registered daemon, with the time at which the last registration
/// ended.
///
/// During an outage of the service, the registrations of running daemons expire. Until the service
/// has been reachable for long enough to register again, such a zone may still accept changes. A
/// partitioned daemon must therefore not conclude an outage from the reports of its own zone alone.
#[derive(Clone, Debug, Default)]
pub struct LapsedZones {
    lapsed_at: BTreeMap<ZoneId, Instant>,
}

impl LapsedZones {
    /// Updates the lapsed zones from the zones with registered daemons before and after a change.
    pub fn on_members(
        &mut self,
        now: Instant,
        before: &BTreeSet<ZoneId>,
        after: &BTreeSet<ZoneId>,
    ) {
        for zone in before.difference(after) {
            self.lapsed_at.entry(zone.clone()).or_insert(now);
        }
        self.lapsed_at.retain(|zone, _| !after.contains(zone));
    }

    /// Merges a peer's report that a zone's last registration ended at time `at`.
    pub fn on_report(&mut self, zone: &ZoneId, at: Instant) {
        let last = self.lapsed_at.entry(zone.clone()).or_insert(at);
        *last = at.max(*last);
    }

    /// Zones that may still have running daemons, with the time at which they lapsed.
    ///
    /// A zone is ruled out once the service was reached at least `grace` after it lapsed.
    pub fn possibly_alive(
        &self,
        confirmed: Option<Instant>,
        grace: Duration,
    ) -> impl Iterator<Item = (&ZoneId, Instant)> {
        let could_reregister =
            move |at: Instant| confirmed.is_some_and(|confirmed| confirmed >= at + grace);
        self.lapsed_at
            .iter()
            .map(|(zone, at)| (zone, *at))
            .filter(move |(_, at)| !could_reregister(*at))
    }
}

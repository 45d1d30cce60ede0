//! The verdict: which part or request is quarantined by the crashes that are known.

use super::{
    PartCrashes, PartQuarantine, QuarantinedPart, SuspectKind, part_quarantine::SETTLING_TIME,
    quarantined_part::ActiveQuarantine,
};
use std::{cmp::Reverse, time::Instant};

/// Weight of the crashes that quarantines a part: three endpoints that crashed one after the other as
/// they answered a request with it.
const QUARANTINE_WEIGHT: usize = 6;
/// The same for a whole request if another one of its workspace is in quarantine.
const SECOND_REQUEST_WEIGHT: usize = 4;
/// Crashes that quarantine a part whatever their weight, unless all came at one moment.
const QUARANTINE_CRASHES: usize = 5;
/// Different requests among their runs: a single request that was sent again may have met crashes of
/// another cause.
const MIN_REQUESTS: usize = 2;

impl PartQuarantine {
    /// Crashes that count for each part now.
    pub(super) fn crashes_by_part(&self, now: Instant) -> Vec<PartCrashes> {
        // For this, it does not matter for which workspaces a quarantine holds.
        self.history.crashes_by_part(now, |run| {
            run.suspects().position(|part| self.active.contains_key(&part))
        })
    }

    /// The part with the largest weight that is to be quarantined. Of parts with equal weights, it is
    /// the one furthest down in the prompt, which the fewest other requests share.
    pub(super) fn next_to_quarantine(&self, now: Instant) -> Option<QuarantinedPart> {
        let crashes_by_part = self.crashes_by_part(now).into_iter();
        let quarantined =
            crashes_by_part.filter(|part_crashes| self.needs_quarantine(now, part_crashes));
        let strongest = quarantined.max_by_key(|part_crashes| {
            (part_crashes.weight(), part_crashes.position, Reverse(part_crashes.part))
        })?;
        Some(QuarantinedPart {
            part: strongest.part,
            kind: strongest.kind,
            name: self.name(strongest.part).unwrap_or_default().to_owned(),
            workspace: strongest.only_workspace().cloned(),
            crashes: u32::try_from(strongest.crashes()).unwrap_or(u32::MAX),
            trials: 0,
        })
    }

    /// Whether all endpoints may have crashed under a request for a common reason: they did at one
    /// moment, or their crashes are not known here.
    pub(super) fn is_uncertain(&self, quarantined: &QuarantinedPart) -> bool {
        quarantined.kind == SuspectKind::Request && self.history.crash_moments(quarantined.part) < 2
    }

    fn needs_quarantine(&self, now: Instant, part_crashes: &PartCrashes) -> bool {
        let active = self.active.get(&part_crashes.part);
        let is_held = active.is_some_and(|active| {
            part_crashes.workspaces.iter().all(|workspace| active.quarantined.covers(workspace))
        });
        !is_held
            && self.has_enough(part_crashes)
            && part_crashes.requests.len() >= MIN_REQUESTS
            && now >= part_crashes.first_at + SETTLING_TIME
    }

    /// Whether the crashes suffice by their weight or their number.
    fn has_enough(&self, part_crashes: &PartCrashes) -> bool {
        let has_crashes = part_crashes.kind == SuspectKind::Part
            && part_crashes.crashes() >= QUARANTINE_CRASHES
            && part_crashes.crash_moments() > 1;
        has_crashes || part_crashes.weight() >= self.needed_weight(part_crashes)
    }

    /// Weight that quarantines a part. A request needs less if another one of its workspace is in
    /// quarantine: who has sent one request that crashes endpoints may well send another. Crashes at
    /// one moment, which may have a cause in common, count neither for the one nor for the other.
    fn needed_weight(&self, part_crashes: &PartCrashes) -> usize {
        let has_moments = |part| self.history.crash_moments(part) > 1;
        let workspace = part_crashes.only_workspace().filter(|workspace| !workspace.is_empty());
        let is_of_same = |active: &ActiveQuarantine| {
            let of = &active.quarantined;
            let is_other = of.kind == SuspectKind::Request && of.part != part_crashes.part;
            is_other && of.workspace.as_ref() == workspace && has_moments(of.part)
        };
        let is_second = part_crashes.kind == SuspectKind::Request
            && workspace.is_some()
            && self.active.values().any(is_of_same)
            && has_moments(part_crashes.part);
        if is_second { SECOND_REQUEST_WEIGHT } else { QUARANTINE_WEIGHT }
    }
}

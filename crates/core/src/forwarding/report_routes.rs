use crate::ids::{DaemonId, FastMap, ZoneId, stable_hash};
use std::time::{Duration, Instant};

/// Largest number of daemons that a daemon sends its reports to directly.
const MAX_DIRECT: usize = 24;
/// Interval between reports in a fleet of up to [`DAEMONS_PER_INTERVAL`] daemons.
const INTERVAL: Duration = Duration::from_millis(100);
/// Number of daemons above which reports are sent less often, so that the work of receiving them
/// stays the same.
const DAEMONS_PER_INTERVAL: usize = 40;
/// Upper bound on the interval.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a daemon that did not answer is not used as a relay.
const AVOID_FOR: Duration = Duration::from_secs(3);

/// Recipients of a daemon's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Daemons that get the report for themselves.
    pub direct: Vec<DaemonId>,
    /// One daemon in each other availability zone, which passes the report on in its zone.
    pub relays: Vec<DaemonId>,
}

/// Selects how the reports of each daemon reach all others: directly in a small fleet, otherwise
/// through one relay in each other availability zone.
#[derive(Clone, Debug, Default)]
pub struct ReportRoutes {
    avoided: FastMap<DaemonId, Instant>,
}

impl ReportRoutes {
    /// Selects the recipients for the reports of the daemon `own`, a name and its zone, among the
    /// other members.
    pub fn recipients<'a>(
        &self,
        now: Instant,
        own: (&DaemonId, &ZoneId),
        others: impl IntoIterator<Item = (&'a DaemonId, &'a ZoneId)>,
    ) -> Recipients {
        let others: Vec<_> = others.into_iter().collect();
        let mut recipients = Recipients::default();
        let mut by_zone: FastMap<&ZoneId, Vec<&DaemonId>> = FastMap::default();
        for (daemon, zone) in &others {
            if needs_relays(others.len()) && *zone != own.1 {
                by_zone.entry(*zone).or_default().push(*daemon);
            } else {
                recipients.direct.push((*daemon).clone());
            }
        }
        let is_avoided =
            |daemon: &DaemonId| self.avoided.get(daemon).is_some_and(|until| now < *until);
        let own_hash = stable_hash(own.0.as_bytes());
        let rank = |daemon: &DaemonId| {
            stable_hash(&(own_hash ^ stable_hash(daemon.as_bytes())).to_le_bytes())
        };
        let relays = by_zone.into_values().filter_map(|daemons| {
            daemons.into_iter().min_by_key(|daemon| (is_avoided(daemon), rank(daemon))).cloned()
        });
        recipients.relays = relays.collect();
        recipients
    }

    /// Records that a daemon did not answer.
    pub fn on_unreachable(&mut self, now: Instant, daemon: DaemonId) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(daemon, now + AVOID_FOR);
    }
}

/// Why a daemon sends a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportCause {
    /// The interval is over.
    Interval,
    /// The daemon has news that the others should hear soon.
    News,
    /// An urgent report of another daemon is to be passed on.
    Relay,
}

impl ReportCause {
    /// Whether relays are to pass the report on at once. A report that itself only passes others on is
    /// not urgent, or relays would wake each other without end.
    pub fn is_urgent(self) -> bool {
        self == Self::News
    }
}

/// Whether reports from other availability zones are passed on, in a fleet with `others` daemons
/// beside this one.
pub fn needs_relays(others: usize) -> bool {
    others > MAX_DIRECT
}

/// Interval between the reports of a daemon in a fleet of `daemons`.
pub fn report_interval(daemons: usize) -> Duration {
    let factor = daemons.div_ceil(DAEMONS_PER_INTERVAL).max(1);
    (INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX)).min(MAX_INTERVAL)
}

use super::{
    RolloutEvidence, RolloutVerdict, RouteEvidence, RouteStatement, VersionCounts, VersionSummary,
    rollout_statement::{HostStatement, MAX_HOSTS, MAX_ROUTES},
    version_comparison::{
        BAD_EVIDENCE, DOUBTFUL_EVIDENCE, SUSPICIOUS_EVIDENCE, Tally, VersionComparison,
    },
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Cut answers that count for each host of the target within `CUT_WINDOW`: a crash cuts all requests
/// that the endpoint runs, which is one event and not many.
const CUTS_PER_HOST: u64 = 1;
const CUT_WINDOW: Duration = Duration::from_secs(1);
/// Interval between judgements while no more answers of the target fail.
const JUDGE_INTERVAL: Duration = Duration::from_millis(10);
/// Answers on each route after which the target may be called good.
const GOOD_ANSWERS: u64 = 30;
/// Share of the old versions' answers from which on a route counts for the verdict.
const MIN_ROUTE_SHARE: f64 = 0.01;
/// Answers of a host from which on it counts for the spread of slow answers.
const HOST_ANSWERS: u64 = 5;
/// Seconds in which there must be slow answers: on several hosts, on one host. A single host may be
/// slow for a while for a reason of its own.
const SLOW_SECONDS: u32 = 2;
const SLOW_SECONDS_ONE_HOST: u32 = 6;
/// Least part of slow answers that is not due to one host, for a target that is slower in general.
const MIN_SPREAD: f64 = 0.5;

/// Answers of all daemons since the order, and the judgement on them.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerPool {
    routes: Vec<(Arc<str>, VersionComparison)>,
    hosts: Vec<HostStatement>,
    cut_window: Option<CutWindow>,
    /// Number of seconds with slow answers of the target, and the beginning of the latest one.
    slow_seconds: u32,
    slow_second: Option<Instant>,
    /// When the target answered for the first time.
    first_answer: Option<Instant>,
    badness: f64,
    is_bad: bool,
    judged_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct CutWindow {
    since: Instant,
    hosts: Vec<Arc<str>>,
    counted: u64,
}

impl AnswerPool {
    /// Adds the growth of a statement.
    pub(super) fn add(
        &mut self,
        now: Instant,
        routes: Vec<RouteStatement>,
        hosts: &[HostStatement],
    ) {
        self.add_hosts(now, hosts);
        let has_failed = routes.iter().any(|growth| growth.new.failed() > 0);
        for mut growth in routes.into_iter().take(MAX_ROUTES + 1) {
            let counted = self.counted_cuts(now, growth.new.cut());
            growth.new.limit_cut(counted);
            self.add_route(now, growth);
        }
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) < JUDGE_INTERVAL && now >= at;
        if has_failed || !self.judged_at.is_some_and(is_recent) {
            self.judged_at = Some(now);
            self.judge();
        }
    }

    /// Whether the target has been found bad.
    pub(super) fn is_bad(&self) -> bool {
        self.is_bad
    }

    /// Whether there is a sign against the target.
    pub(super) fn is_suspicious(&self) -> bool {
        self.is_bad || self.badness >= SUSPICIOUS_EVIDENCE
    }

    /// Whether more answers should be awaited before the old versions are closed.
    pub(super) fn is_doubtful(&self) -> bool {
        self.badness >= DOUBTFUL_EVIDENCE
    }

    /// When the target answered for the first time.
    pub(super) fn first_answer(&self) -> Option<Instant> {
        self.first_answer
    }

    /// Answers of the old versions.
    pub(super) fn old_answers(&self) -> u64 {
        self.routes.iter().map(|(_, route)| route.old.answers()).sum()
    }

    /// Judgement on the target.
    pub(super) fn verdict(&self) -> RolloutVerdict {
        if self.is_bad {
            return RolloutVerdict::Bad;
        }
        let least = self.old_answers() as f64 * MIN_ROUTE_SHARE;
        let mut served =
            self.routes.iter().filter(|(_, route)| route.old.answers() as f64 > least).peekable();
        let has_routes = served.peek().is_some();
        let has_enough = served.all(|(_, route)| route.new.answers() >= GOOD_ANSWERS);
        if has_routes && has_enough && !self.is_suspicious() {
            RolloutVerdict::Good
        } else {
            RolloutVerdict::Undecided
        }
    }

    /// Whether a good answer of the target on a route counts as slow.
    pub(super) fn is_slow(&self, route: &str, class: usize) -> bool {
        let found = self.routes.iter().find(|(name, _)| **name == *route);
        found.and_then(|(_, route)| route.slow_class()).is_some_and(|slow| class >= slow)
    }

    /// Fills in what the pool knows.
    pub(super) fn describe(&self, evidence: &mut RolloutEvidence) {
        evidence.verdict = self.verdict();
        evidence.badness = self.badness;
        evidence.routes = self.routes.iter().map(route_evidence).collect();
    }

    fn add_route(&mut self, now: Instant, growth: RouteStatement) {
        let RouteStatement { route, old, new } = growth;
        if new.answers() > 0 {
            self.first_answer.get_or_insert(now);
        }
        let comparison = self.comparison(&route);
        comparison.add(now, &old, &new);
        let Some(class) = comparison.slow_class() else { return };
        if new.good_from(class) > 0 {
            self.note_slow(now);
        }
    }

    fn comparison(&mut self, route: &Arc<str>) -> &mut VersionComparison {
        let found = self.routes.iter().position(|(name, _)| name == route);
        let index = found.unwrap_or_else(|| {
            let is_full = self.routes.len() >= MAX_ROUTES;
            let name: Arc<str> = if is_full { "".into() } else { route.clone() };
            self.routes.iter().position(|(known, _)| *known == name).unwrap_or_else(|| {
                self.routes.push((name, VersionComparison::default()));
                self.routes.len() - 1
            })
        });
        &mut self.routes[index].1
    }

    fn add_hosts(&mut self, now: Instant, hosts: &[HostStatement]) {
        for growth in hosts.iter().take(MAX_HOSTS) {
            if growth.cut > 0 {
                self.open_cut_window(now).note(&growth.host);
            }
            growth.add_to(&mut self.hosts);
        }
    }

    fn open_cut_window(&mut self, now: Instant) -> &mut CutWindow {
        let is_over =
            |window: &mut CutWindow| now.saturating_duration_since(window.since) >= CUT_WINDOW;
        self.cut_window.take_if(is_over);
        self.cut_window.get_or_insert_with(|| CutWindow {
            since: now,
            hosts: Vec::new(),
            counted: 0,
        })
    }

    /// How many of the target's cut answers count.
    fn counted_cuts(&mut self, now: Instant, cut: u64) -> u64 {
        if cut == 0 {
            return 0;
        }
        let window = self.open_cut_window(now);
        let permitted = CUTS_PER_HOST * window.hosts.len().max(1) as u64;
        let counted = cut.min(permitted.saturating_sub(window.counted));
        window.counted += counted;
        counted
    }

    fn judge(&mut self) {
        let spread = self.slow_spread();
        let has_slow_time = self.has_slow_time();
        let mut failed = Tally::default();
        let mut slow = Tally::default();
        let mut badness = 0.0f64;
        // The more routes, the more likely one of them looks bad by chance.
        let many_routes = (self.routes.len().max(1) as f64).ln();
        for (_, route) in &self.routes {
            let tallies = route.tallies();
            failed += tallies.failed;
            slow += tallies.slow;
            let failed_evidence = tallies.failed.failed_evidence();
            badness = badness.max(failed_evidence + route.alone_evidence() - many_routes);
            if has_slow_time {
                badness = badness.max(tallies.slow.slow_evidence(spread) - many_routes);
            }
            if has_slow_time && spread >= MIN_SPREAD && route.is_slower_overall() {
                badness = badness.max(BAD_EVIDENCE);
            }
        }
        badness = badness.max(failed.failed_evidence());
        if has_slow_time {
            badness = badness.max(slow.slow_evidence(spread));
        }
        self.is_bad |= badness >= BAD_EVIDENCE;
        self.badness = badness.max(failed.failed_sign().min(BAD_EVIDENCE));
    }

    /// Part of the slow answers that would remain without the slowest host, in relation to its part
    /// of all answers; 1 with a single host.
    fn slow_spread(&self) -> f64 {
        let hosts = self.hosts.iter().filter(|host| host.good >= HOST_ANSWERS);
        let hosts = hosts.collect::<Vec<_>>();
        let slow = hosts.iter().map(|host| host.slow).sum::<u64>() as f64;
        let good = hosts.iter().map(|host| host.good).sum::<u64>() as f64;
        let Some(slowest) = hosts.iter().max_by_key(|host| host.slow) else { return 1.0 };
        if hosts.len() < 2 || slow == 0.0 {
            return 1.0;
        }
        let slow_elsewhere = 1.0 - slowest.slow as f64 / slow;
        let good_elsewhere = 1.0 - slowest.good as f64 / good;
        (slow_elsewhere / good_elsewhere).min(1.0)
    }

    fn note_slow(&mut self, now: Instant) {
        let is_known = self
            .slow_second
            .is_some_and(|at| now.saturating_duration_since(at) < Duration::from_secs(1));
        if !is_known {
            self.slow_second = Some(now);
            self.slow_seconds += 1;
        }
    }

    fn has_slow_time(&self) -> bool {
        let hosts = self.hosts.iter().filter(|host| host.good >= HOST_ANSWERS).count();
        let needed = if hosts >= 2 { SLOW_SECONDS } else { SLOW_SECONDS_ONE_HOST };
        self.slow_seconds >= needed
    }
}

impl CutWindow {
    fn note(&mut self, host: &Arc<str>) {
        if !self.hosts.contains(host) {
            self.hosts.push(host.clone());
        }
    }
}

fn route_evidence((route, comparison): &(Arc<str>, VersionComparison)) -> RouteEvidence {
    let (old_slow, new_slow) = comparison.slow_answers();
    RouteEvidence {
        route: route.clone(),
        old: VersionSummary::new(&comparison.old, old_slow),
        new: VersionSummary::new(&comparison.new, new_slow),
    }
}

/// What the statement of a boot has beyond an earlier one.
pub(super) fn route_growth(
    before: &[RouteStatement],
    after: &[RouteStatement],
) -> Vec<RouteStatement> {
    let none = VersionCounts::default();
    let grown = |after: &RouteStatement| {
        let before = before.iter().find(|before| before.route == after.route);
        let (old, new) = before.map_or((&none, &none), |before| (&before.old, &before.new));
        RouteStatement {
            route: after.route.clone(),
            old: after.old.growth_since(old),
            new: after.new.growth_since(new),
        }
    };
    after.iter().take(MAX_ROUTES + 1).map(grown).collect()
}

/// What a boot's answers by host have beyond earlier ones.
pub(super) fn host_growth(before: &[HostStatement], after: &[HostStatement]) -> Vec<HostStatement> {
    let grown = |after: &HostStatement| {
        let before = before.iter().find(|before| before.host == after.host);
        before.map_or_else(|| after.clone(), |before| after.growth_since(before))
    };
    after.iter().take(MAX_HOSTS).map(grown).collect()
}

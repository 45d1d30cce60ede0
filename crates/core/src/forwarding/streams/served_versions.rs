use crate::ids::{FastMap, FastSet, ServiceVersion};
use std::time::{Duration, Instant};

/// Time after its announcement from which streams begin at a version. It is longer than a view counts as
/// current, so that a daemon that has missed the announcement knows that its view is too old.
const NOTICE_TIME: Duration = Duration::from_millis(4_000);

/// A software version of the endpoints that are registered for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVersion {
    /// The version.
    pub version: ServiceVersion,
    /// Number of its endpoints that get requests by load.
    pub ready: usize,
}

/// Change of a service's announcement in the store, which lists the versions that may have begun
/// streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnouncementStep {
    /// Write these versions.
    Write(Vec<ServiceVersion>),
    /// Remove the announcement: a single version has served for longer than any stream lasts.
    Remove,
}

/// Which software versions of a service may have begun streams that callers can still resume.
///
/// While one version serves, nothing is announced, so no announcement means that the registered
/// version began all streams. Before streams begin at another version, both are announced in the
/// store, which outlasts the daemons and the endpoints.
#[derive(Clone, Debug)]
pub struct ServedVersions {
    known_since: Instant,
    /// Time for which a stream can be resumed after its beginning.
    lifetime: Duration,
    /// Versions of the endpoints that are registered.
    listed: Vec<ServiceVersion>,
    /// Versions without endpoints, and when the last one left.
    left: FastMap<ServiceVersion, Instant>,
    /// Announced versions, and when each was first seen announced; empty without an announcement.
    announced: FastMap<ServiceVersion, Instant>,
    /// Version that served alone when it was last the only one.
    first: Option<ServiceVersion>,
}

impl ServedVersions {
    /// Creates the state of a service of which nothing is known yet.
    pub fn new(now: Instant, lifetime: Duration) -> Self {
        Self {
            known_since: now,
            lifetime,
            listed: Vec::new(),
            left: FastMap::default(),
            announced: FastMap::default(),
            first: None,
        }
    }

    /// Sets the time for which a stream can be resumed after its beginning.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime;
    }

    /// Records the versions of the endpoints that are registered now.
    pub fn on_listed(&mut self, now: Instant, listed: Vec<ServiceVersion>) {
        let former = std::mem::replace(&mut self.listed, listed);
        let gone = former.into_iter().filter(|version| !self.listed.contains(version));
        self.left.extend(gone.map(|version| (version, now)));
        let (listed, lifetime) = (&self.listed, self.lifetime);
        self.left.retain(|version, at| !listed.contains(version) && now < *at + lifetime);
        if let Some(only) = self.only(now) {
            self.first = Some(only);
        }
    }

    /// Records the versions that the store announces, none without an announcement. What a new daemon
    /// finds announced has been so for a while.
    pub fn on_announced(&mut self, now: Instant, versions: Vec<ServiceVersion>) {
        let is_start = now == self.known_since;
        let first_seen = if is_start { now.checked_sub(NOTICE_TIME).unwrap_or(now) } else { now };
        let seen = |version: &ServiceVersion| self.announced.get(version).copied();
        let announced = versions.into_iter().map(|version| {
            let at = seen(&version).unwrap_or(first_seen);
            (version, at)
        });
        self.announced = announced.collect();
    }

    /// The only version that may have begun streams; `None` if there are several, or none is known.
    pub fn only(&self, now: Instant) -> Option<ServiceVersion> {
        let mut possible = self.possible(now).into_iter();
        let only = possible.next();
        only.filter(|_| possible.next().is_none()).cloned()
    }

    /// Whether several versions may have begun streams.
    pub fn is_mixed(&self, now: Instant) -> bool {
        self.possible(now).len() > 1
    }

    /// Versions at which streams may begin, of those that are `listed` now; `None` if all may.
    ///
    /// A version that others do not know of yet waits, unless it has most of the endpoints: answers
    /// now are worth more to callers than streams that can be resumed.
    pub fn may_begin(&self, now: Instant, listed: &[ListedVersion]) -> Option<Vec<ServiceVersion>> {
        let is_known = |version: &ServiceVersion| {
            let announced = self.announced.get(version);
            self.first.as_ref() == Some(version)
                || announced.is_some_and(|at| now >= *at + NOTICE_TIME)
        };
        let (known, waiting): (Vec<_>, Vec<_>) =
            listed.iter().partition(|listed| is_known(&listed.version));
        let ready = |versions: &[&ListedVersion]| versions.iter().map(|l| l.ready).sum::<usize>();
        let is_enough = ready(&known) > 0 && ready(&known) >= ready(&waiting);
        let is_restricted = !waiting.is_empty() && is_enough;
        is_restricted.then(|| known.into_iter().map(|listed| listed.version.clone()).collect())
    }

    /// Change of the announcement that is due.
    pub fn due_step(&self, now: Instant) -> Option<AnnouncementStep> {
        let possible = self.possible(now);
        let has_all = possible.iter().all(|version| self.announced.contains_key(*version));
        if possible.len() > 1 && !has_all {
            let mut versions: Vec<ServiceVersion> = possible.into_iter().cloned().collect();
            versions.sort();
            return Some(AnnouncementStep::Write(versions));
        }
        let is_over = self.listed.len() == 1
            && self.left.values().all(|at| now >= *at + self.lifetime)
            && now >= self.known_since + self.lifetime
            && self.announced.values().all(|at| now >= *at + self.lifetime);
        (!self.announced.is_empty() && is_over).then_some(AnnouncementStep::Remove)
    }

    fn possible(&self, now: Instant) -> FastSet<&ServiceVersion> {
        let left = self.left.iter().filter(|(_, at)| now < **at + self.lifetime);
        let listed = self.listed.iter();
        listed.chain(left.map(|(version, _)| version)).chain(self.announced.keys()).collect()
    }
}

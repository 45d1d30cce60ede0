use std::time::{Duration, Instant};

/// Weight version of a model before any update is announced.
pub const INITIAL_WEIGHT_VERSION: u64 = 1;
/// Time after a weight update for which cache parts of the previous version are still fetched.
pub const PREVIOUS_WEIGHTS_FETCH_WINDOW: Duration = Duration::from_millis(1_500);
/// Margin before the limit for older weight versions at which a request that has not started is
/// canceled.
const CANCEL_MARGIN: Duration = Duration::from_millis(250);
/// Maximum number of announcements remembered for a model.
const MAX_ANNOUNCEMENTS: usize = 16;

/// Age given to an update of unknown time once it cannot be recent; longer than any limit for older
/// weights.
const LONG_AGO: Duration = Duration::from_secs(3_600);

/// A weight version and when it was announced.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    version: u64,
    /// When this daemon learned of it.
    at: Instant,
    /// Whether it may have been announced long before.
    may_be_older: bool,
}

/// Target weight version of a model, and since when each older version is outdated.
///
/// A version is outdated from the first newer announcement on. Later announcements do not extend
/// the time for which it may be used.
#[derive(Clone, Debug)]
pub struct TargetWeights {
    /// Announcements in order, at least one; both versions and times increase.
    announcements: Vec<Announcement>,
    /// Previous target version, whose cache parts may still be fetched for a short time; `None` if
    /// the update may have been announced long before this daemon learned of it, or after the host
    /// was frozen.
    previous: Option<u64>,
}

impl TargetWeights {
    /// Creates the state after the first announcement that is known.
    ///
    /// `is_just_announced` is true if the update was just announced, and false if it may have been
    /// announced before this daemon was following the store.
    pub fn new(now: Instant, version: u64, is_just_announced: bool) -> Self {
        Self {
            announcements: vec![Announcement {
                version,
                at: now,
                may_be_older: !is_just_announced,
            }],
            previous: is_just_announced.then_some(INITIAL_WEIGHT_VERSION),
        }
    }

    /// Records an announcement; a version that is not newer than the target is ignored.
    pub fn announce(&mut self, now: Instant, version: u64, is_just_announced: bool) {
        let previous = self.version();
        if version <= previous {
            return;
        }
        while self.announcements.len() >= MAX_ANNOUNCEMENTS {
            self.merge_oldest();
        }
        let may_be_older = !is_just_announced;
        self.announcements.push(Announcement { version, at: now, may_be_older });
        self.previous = is_just_announced.then_some(previous);
    }

    /// The version that engines should run.
    pub fn version(&self) -> u64 {
        self.announcements.last().map_or(INITIAL_WEIGHT_VERSION, |newest| newest.version)
    }

    /// When the first version newer than `version` was announced; `None` if it is not outdated.
    pub fn outdated_since(&self, version: u64) -> Option<Instant> {
        let newer = self.announcements.iter().find(|announcement| announcement.version > version);
        newer.map(|announcement| announcement.at)
    }

    /// Time by which a request sent to an engine running `version` must have started there; `None`
    /// if the version is not outdated.
    pub fn start_deadline(&self, version: u64, old_weights_limit: Duration) -> Option<Instant> {
        let since = self.outdated_since(version)?;
        Some(since + old_weights_limit.saturating_sub(CANCEL_MARGIN))
    }

    /// Whether cached parts of a weight version may be fetched: versions from the target on, and
    /// for a short time after an update also the previous one, for engines that have not switched
    /// yet.
    pub fn may_fetch(&self, now: Instant, version: u64) -> bool {
        let Some(since) = self.outdated_since(version) else { return true };
        let is_previous = self.previous.is_some_and(|previous| version >= previous);
        is_previous && now < since + PREVIOUS_WEIGHTS_FETCH_WINDOW
    }

    /// Whether cached parts of the previous weight version may be fetched.
    pub fn fetches_previous(&self, now: Instant) -> bool {
        self.previous.is_some_and(|previous| self.may_fetch(now, previous))
    }

    /// Whether some version may have been announced long before this daemon learned of it.
    pub fn has_unknown_times(&self) -> bool {
        self.announcements.iter().any(|announcement| announcement.may_be_older)
    }

    /// Records that `version` is in wide use. Unless this daemon knows when it was announced, that
    /// was long ago, and so were all versions before it.
    pub fn on_widely_used(&mut self, now: Instant, version: u64) {
        let version = version.min(self.version());
        let index = self.announcements.partition_point(|known| known.version < version);
        let known = self.announcements.get(index).filter(|known| known.version == version);
        if known.is_some_and(|known| !known.may_be_older) {
            return;
        }
        let at = now.checked_sub(LONG_AGO).unwrap_or(now);
        if known.is_none() {
            self.announcements.insert(index, Announcement { version, at, may_be_older: false });
        }
        for announcement in &mut self.announcements[..=index] {
            announcement.at = announcement.at.min(at);
            announcement.may_be_older = false;
        }
    }

    /// Stops fetches for the previous weight version at once.
    pub fn end_previous_version_fetches(&mut self) {
        self.previous = None;
    }

    /// Merges the two oldest announcements into one of the newer version at the older time, so
    /// that no version gets more time by it.
    fn merge_oldest(&mut self) {
        let oldest = self.announcements.remove(0);
        if let Some(next) = self.announcements.first_mut() {
            next.at = oldest.at;
        }
    }
}

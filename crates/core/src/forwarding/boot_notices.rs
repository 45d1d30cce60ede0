use super::EndpointNotice;
use crate::ids::EndpointId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time for which the other daemons are told that an endpoint leaves.
const TELL_FOR: Duration = Duration::from_secs(1);

/// That a boot of an endpoint leaves, as one daemon tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingStatement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its process start, in Unix milliseconds.
    pub boot: Option<u64>,
    /// Time since it said so for the first time.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// When it was said for the first time, to any daemon.
    since: Instant,
    /// When it was said to this daemon for the first time; `None` if only others were told.
    heard_at: Option<Instant>,
}

/// What one boot of an endpoint has said of the requests that it wants.
///
/// Answers a load in which the platform's list lags behind, is away or comes back older while
/// endpoints say in their answers that they leave. What was said holds for the boot, whatever the
/// list says.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootNotices {
    leaving: Option<Leaving>,
}

impl BootNotices {
    /// Applies what the endpoint said in an answer to this daemon. Returns whether it changes what
    /// is known.
    pub fn on_notice(&mut self, now: Instant, notice: EndpointNotice) -> bool {
        if !notice.is_leaving {
            return false;
        }
        let is_new = self.leaving.is_none();
        let leaving = self.leaving.get_or_insert(Leaving { since: now, heard_at: None });
        leaving.heard_at.get_or_insert(now);
        is_new
    }

    /// Records that the endpoint said to another daemon at `since` that it leaves. Returns whether
    /// that is news.
    pub fn on_peer_leaving(&mut self, since: Instant) -> bool {
        let is_new = self.leaving.is_none();
        let leaving = self.leaving.get_or_insert(Leaving { since, heard_at: None });
        leaving.since = leaving.since.min(since);
        is_new
    }

    /// When the endpoint first said that it leaves; `None` if it did not.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving.map(|leaving| leaving.since)
    }

    /// Time since the endpoint first said that it leaves, if the other daemons are still to be told.
    pub fn untold_leaving_age(&self, now: Instant) -> Option<Duration> {
        let leaving = self.leaving?;
        let is_told = now >= leaving.heard_at? + TELL_FOR;
        (!is_told).then(|| now.saturating_duration_since(leaving.since))
    }

    /// Whether nothing was said that must be remembered.
    pub fn is_empty(&self) -> bool {
        self.leaving.is_none()
    }
}

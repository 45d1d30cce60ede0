use super::{EndpointNotice, RequestedPause};
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
/// Answers loads in which endpoints turn requests away, and in which the platform's list lags
/// behind, is away or comes back older while endpoints say in their answers that they leave. What
/// was said holds for the boot, whatever the list says.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootNotices {
    leaving: Option<Leaving>,
    pause: Option<RequestedPause>,
}

impl BootNotices {
    /// Applies what the endpoint said in an answer to this daemon, whose turn among all daemons is
    /// `turn`, from 0 to below 1. Returns what of it is news.
    ///
    /// A pause is never shortened. An answer after its end that asks for no other ends it.
    pub fn on_notice(&mut self, now: Instant, notice: EndpointNotice, turn: f64) -> EndpointNotice {
        let is_leaving = notice.is_leaving && self.leaving.is_none();
        if notice.is_leaving {
            let leaving = self.leaving.get_or_insert(Leaving { since: now, heard_at: None });
            leaving.heard_at.get_or_insert(now);
        }
        EndpointNotice { is_leaving, pause: self.on_pause(now, notice.pause, turn) }
    }

    fn on_pause(&mut self, now: Instant, time: Option<Duration>, turn: f64) -> Option<Duration> {
        let Some(time) = time else {
            self.pause = self.pause.filter(|pause| pause.is_closed(now));
            return None;
        };
        let asked = RequestedPause::new(now, time, turn);
        let is_longer = self.pause.is_none_or(|pause| asked.until() > pause.until());
        if is_longer {
            self.pause = Some(asked);
        }
        is_longer.then_some(time)
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
        self.leaving.is_none() && self.pause.is_none()
    }

    /// The pause that the endpoint asked for, until a request after it has been answered.
    pub fn pause(&self) -> Option<&RequestedPause> {
        self.pause.as_ref()
    }

    /// Records that a request was sent to the endpoint.
    pub fn on_sent(&mut self, now: Instant) {
        if let Some(pause) = &mut self.pause {
            pause.on_sent(now);
        }
    }

    /// Takes one of the few calls other than requests that may be made in a pause.
    pub fn take_control_call(&mut self, now: Instant) -> bool {
        self.pause.as_mut().is_none_or(|pause| pause.take_control_call(now))
    }

    /// Time until a request may be sent because of a pause; zero without one.
    pub fn pause_wait(&self, now: Instant) -> Duration {
        self.pause.map_or(Duration::ZERO, |pause| pause.wait(now))
    }
}

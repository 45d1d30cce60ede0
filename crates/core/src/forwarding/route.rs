use crate::ids::ServiceId;
use std::{sync::Arc, time::Duration};

/// What may be done again with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Idempotent: it may run more than once.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// Answered by a stream of events; it runs at most once.
    Stream,
    /// Answered by a stream of events that another endpoint may continue.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable_stream",
        }
    }
}

/// Service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: ServiceId,
    /// Share of the requests, relative to the route's other targets.
    pub weight: u32,
}

/// Rule that sends the requests of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host name that callers use, in lower case.
    pub host: String,
    /// Prefix of the path; it begins and ends with a slash.
    pub prefix: String,
    /// What may be done again.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time in which an answer is of full use to the caller.
    pub target_latency: Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services, with the share of each.
    pub targets: Vec<Target>,
    /// Endpoints on which one request may run, the first included.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Longest pause between events that is of full use to the caller.
    pub max_pause: Option<Duration>,
}

/// Shortest time after which a caller leaves a stream that says nothing.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// The same as a multiple of the target latency.
const PATIENCE_LATENCIES: u32 = 4;
/// The same as a multiple of the longest pause that is of full use.
const PATIENCE_PAUSES: u32 = 8;

impl Route {
    /// Time after which a caller leaves a stream that has not begun; callers wait for other
    /// answers as long as they say.
    pub fn stream_patience(&self) -> Option<Duration> {
        let pauses = self.max_pause.unwrap_or_default() * PATIENCE_PAUSES;
        let latencies = self.target_latency * PATIENCE_LATENCIES;
        self.kind.is_stream().then(|| MIN_STREAM_PATIENCE.max(latencies).max(pauses))
    }

    /// Chooses the service of a request from a number that is spread evenly, such as a hash.
    pub fn service(&self, spread: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = spread.checked_rem(total)?;
        self.targets.iter().find_map(|target| match left.checked_sub(u64::from(target.weight)) {
            Some(rest) => {
                left = rest;
                None
            }
            None => Some(&target.service),
        })
    }
}

use crate::ids::ServiceId;
use std::{sync::Arc, time::Duration};

/// Which retries the requests of a route allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// Answered with an event stream; a request runs at most once.
    Stream,
    /// Answered with an event stream that another endpoint can resume.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Value in log records and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable_stream",
        }
    }
}

/// A service that receives a fraction of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Weight of the service relative to the route's other targets.
    pub weight: u32,
}

/// Rule that maps the requests of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in the settings.
    pub name: Arc<str>,
    /// Host name used by callers, in lower case.
    pub host: String,
    /// Path prefix, starting and ending with a slash.
    pub prefix: String,
    /// Which retries are allowed.
    pub kind: RouteKind,
    /// Maximum time a caller waits for an answer.
    pub timeout: Duration,
    /// Latency within which an answer has its full value to the caller.
    pub target_latency: Duration,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Weighted target services.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints on which one request may run, the first one included.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// Longest gap between events at which a stream has its full value to the caller; `None` if not
    /// limited.
    pub max_pause: Option<Duration>,
}

/// Minimum time before a caller abandons a stream that has not started.
const MIN_STREAM_START_TIMEOUT: Duration = Duration::from_secs(2);
/// The same as a multiple of the target latency; the longest of the three applies.
const START_TIMEOUT_LATENCIES: u32 = 4;
/// The same as a multiple of the longest gap between events.
const START_TIMEOUT_PAUSES: u32 = 8;

impl Route {
    /// Time after which a caller abandons a stream that has not started; `None` for other routes,
    /// whose callers wait for the timeout they specify.
    pub fn stream_start_timeout(&self) -> Option<Duration> {
        let pauses = self.max_pause.unwrap_or_default() * START_TIMEOUT_PAUSES;
        let latencies = self.target_latency * START_TIMEOUT_LATENCIES;
        self.kind.is_stream().then(|| MIN_STREAM_START_TIMEOUT.max(latencies).max(pauses))
    }

    /// Selects the service of a request by weight; `hash` is any uniformly distributed number.
    /// `None` if the total weight is zero.
    pub fn service(&self, hash: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = hash.checked_rem(total)?;
        self.targets.iter().find_map(|target| match left.checked_sub(u64::from(target.weight)) {
            Some(rest) => {
                left = rest;
                None
            }
            None => Some(&target.service),
        })
    }
}

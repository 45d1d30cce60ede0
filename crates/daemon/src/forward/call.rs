use super::{request_log::RequestEnd, request_record::RequestRecord};
use bytes::Bytes;
use cassiagw_core::{
    forwarding::{ForwardSettings, KeyOwner, PartMoves, Picked, Route, Service, cache_scope},
    ids::stable_hash,
};
use cassiagw_platform::{CallerHead, SentHead};
use hyper::{HeaderMap, Method, Uri};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Kept back of the time left for the way back to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// A caller's request that is read, routed and allowed.
pub struct Call {
    /// When its head had arrived.
    pub arrival: Instant,
    /// When its answer is of no more use.
    pub deadline: Instant,
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// Header fields as the caller sent them.
    pub headers: HeaderMap,
    /// What they say.
    pub head: CallerHead,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<Route>,
    /// Service that its requests go to.
    pub service: Service,
    /// Owner of the caller's key.
    pub owner: Option<KeyOwner>,
    /// Settings under which it was routed.
    pub settings: Arc<ForwardSettings>,
    /// What is told of it once it ends.
    pub record: RequestRecord,
}

impl Drop for Call {
    /// A call that is dropped before its end was told has lost its caller.
    fn drop(&mut self) {
        if self.record.is_ended() {
            return;
        }
        let cause = "the caller left or the daemon stopped";
        let end = RequestEnd { outcome: "left", status: 0, cause, endpoint: None, faults: &[] };
        self.record.end(self, &end);
    }
}

impl Call {
    /// Number that is spread evenly over requests.
    pub fn spread(&self) -> u64 {
        stable_hash(self.head.id.as_bytes())
    }

    /// Rank among requests: that of the key's owner, or else the route's; 0 goes first.
    pub fn rank(&self) -> u8 {
        let own = self.owner.as_ref().and_then(|owner| owner.priority);
        own.unwrap_or(self.route.priority)
    }

    /// When its caller leaves: at the deadline, or earlier if no bytes of a stream have come.
    pub fn left_at(&self) -> Instant {
        if self.record.has_answered() {
            return self.deadline;
        }
        let patience = self.route.stream_start_timeout();
        patience.map_or(self.deadline, |patience| self.deadline.min(self.arrival + patience))
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Scope of kept cache: it is shared only within one model and weight version, and within
    /// one workspace where that is dedicated.
    pub fn cache_scope(&self, weights: Option<u64>) -> Option<String> {
        let prompt = self.head.prompt.as_ref()?;
        let dedicated = self.owner.as_ref().filter(|owner| owner.is_dedicated);
        let workspace = dedicated.map_or("", |owner| &*owner.workspace);
        Some(cache_scope(&prompt.model, weights.unwrap_or_default(), workspace))
    }

    /// What is said of it to an endpoint.
    pub fn sent_head(&self, picked: &Picked, moves: PartMoves, after: Option<&str>) -> SentHead {
        let is_prompt = self.head.prompt.is_some();
        SentHead {
            endpoint: picked.entry.id.to_string(),
            weights: picked.version,
            cache_scope: self.cache_scope(picked.version),
            moves,
            workspace: self.owner.as_ref().map(|owner| owner.workspace.clone()),
            priority: is_prompt.then(|| self.rank()),
            time_left: self.time_left().saturating_sub(RETURN_MARGIN),
            after_event: after.map(str::to_owned),
            // Where callers need keys, these must not be passed on.
            removes_authorization: self.settings.keys.is_some(),
        }
    }
}

use super::{request_log::RequestEnd, request_record::RequestRecord};
use crate::{caller_memory::BodyLease, http_server::CallerConnection};
use bytes::Bytes;
use cassiagw_core::{
    forwarding::{
        ForwardSettings, KeyOwner, PartHash, PartMoves, Picked, RequestHash, RequestIdentity,
        Route, RouteKind, Service, StreamKey, dedicated_scope, stream_key,
    },
    ids::{ServiceVersion, WorkspaceId, stable_hash},
};
use cassiagw_platform::{CallerHead, SentHead};
use hyper::{
    HeaderMap, Method, Uri,
    header::{HOST, HeaderValue},
    http::uri::PathAndQuery,
};
use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32},
    },
    time::{Duration, Instant},
};

/// Margin subtracted from the remaining time that is reported to endpoints, for returning the
/// response to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// A request that has been read completely, routed and authenticated.
pub struct Call {
    /// When the request head was received.
    pub arrival: Instant,
    /// When the request times out: the earlier of the caller's deadline and the route timeout.
    pub deadline: Instant,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// Header fields as the caller sent them.
    pub headers: HeaderMap,
    /// Whether the caller reads chunks; before HTTP/1.1 it cannot tell a broken answer from a
    /// complete one.
    pub takes_chunks: bool,
    /// Parsed gateway header fields.
    pub head: CallerHead,
    /// Complete request body, kept for retries.
    pub body: Bytes,
    /// Memory reserved for the body.
    pub lease: Option<BodyLease>,
    /// Connection of the caller.
    pub connection: Arc<CallerConnection>,
    /// Route that matched host and path.
    pub route: Arc<Route>,
    /// Service of the route that was chosen for this request.
    pub service: Service,
    /// Owner of the caller's API key. `None` if the route is public or the settings contain no
    /// keys.
    pub owner: Option<KeyOwner>,
    /// Settings that were in force when the request was routed.
    pub settings: Arc<ForwardSettings>,
    /// Parts of the prompt that could crash an endpoint, in order; empty without a prompt.
    pub suspect_parts: Vec<PartHash>,
    /// Hash of the request as a whole, made when it is first needed.
    pub whole: OnceLock<RequestHash>,
    /// Whether bytes of the request may have reached an endpoint.
    pub is_sent: AtomicBool,
    /// Software version at which the stream began; unset until an event of it has been passed on, unless
    /// the request resumes a stream.
    pub stream_version: OnceLock<ServiceVersion>,
    /// Number of times that the request was placed on an endpoint.
    pub placements: AtomicU32,
    /// Data for the log lines that are written when the request ends.
    pub record: RequestRecord,
}

impl Drop for Call {
    /// A call that is dropped before its end was recorded was abandoned by the caller or cut off by
    /// shutdown.
    fn drop(&mut self) {
        if self.record.is_ended() {
            return;
        }
        let cause = "caller disconnected or daemon stopped";
        let end = RequestEnd {
            outcome: "left",
            status: 0,
            cause,
            endpoint: None,
            framing: None,
            faults: &[],
        };
        self.record.end(self, &end);
    }
}

impl Call {
    /// Hash of the request as a whole, the same each time that it comes again.
    pub fn whole(&self) -> RequestHash {
        *self.whole.get_or_init(|| {
            let host = self.headers.get(HOST).map_or(&[][..], HeaderValue::as_bytes);
            let target = self.uri.path_and_query().map_or("", PathAndQuery::as_str);
            let identity = RequestIdentity {
                workspace: self.workspace(),
                method: self.method.as_str(),
                host,
                target,
                prompt: self.head.prompt.as_ref(),
                body: &self.body,
            };
            identity.hash()
        })
    }

    /// Whether the answer is a stream that can be resumed.
    pub fn is_resumable(&self) -> bool {
        self.route.kind == RouteKind::ResumableStream
    }

    /// Whether the caller resumes a stream that broke off.
    pub fn is_resume(&self) -> bool {
        self.is_resumable() && self.head.is_resume()
    }

    /// The stream that the request begins or resumes.
    pub fn stream_key(&self) -> StreamKey {
        stream_key(self.workspace(), self.head.stream_id())
    }

    /// All that could crash an endpoint: parts of the prompt, then the request as a whole.
    pub fn suspects(&self) -> Vec<PartHash> {
        self.suspect_parts.iter().copied().chain([self.whole()]).collect()
    }

    /// Names of all that could crash an endpoint, in the order of [`Self::suspects`].
    pub fn suspect_names(&self) -> impl Iterator<Item = String> {
        let parts = self.head.prompt.iter().flat_map(|prompt| &prompt.parts);
        let parts = parts.take(self.suspect_parts.len()).map(|part| part.id.clone());
        parts.chain([self.name()])
    }

    /// Method and path, which name the request to operators.
    pub fn name(&self) -> String {
        format!("{} {}", self.method, self.uri.path())
    }

    /// Hash of the request ID, evenly distributed over requests.
    pub fn id_hash(&self) -> u64 {
        stable_hash(self.head.id.as_bytes())
    }

    /// Workspace of the caller; empty if it belongs to none.
    pub fn workspace(&self) -> &str {
        self.owner.as_ref().map_or("", |owner| &*owner.workspace)
    }

    /// ID of that workspace.
    pub fn workspace_id(&self) -> WorkspaceId {
        self.owner.as_ref().map(|owner| owner.workspace.clone()).unwrap_or_default()
    }

    /// Scheduling priority: that of the key's owner if set, otherwise the route's. 0 is the
    /// highest.
    pub fn priority(&self) -> u8 {
        let owner_priority = self.owner.as_ref().and_then(|owner| owner.priority);
        owner_priority.unwrap_or(self.route.priority)
    }

    /// When the caller is expected to give up: at the deadline, or at the stream start timeout of
    /// the route while no bytes have been sent.
    pub fn caller_timeout_at(&self) -> Instant {
        if self.record.has_response_started() {
            return self.deadline;
        }
        let start_timeout = self.route.stream_start_timeout();
        start_timeout
            .map_or(self.deadline, |start_timeout| self.deadline.min(self.arrival + start_timeout))
    }

    /// Time until the deadline, zero after it.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Scope within which cached prompt parts may be shared: one model and weight version, and a
    /// single workspace if that is dedicated. `None` for requests without a prompt.
    ///
    /// `newest` are the settings in force when the request is sent. A workspace that was dedicated
    /// when the request came keeps to itself also if it is not in them any more.
    pub fn cache_scope(&self, newest: &ForwardSettings, weights: Option<u64>) -> Option<String> {
        let model = &self.head.prompt.as_ref()?.model;
        let version = weights.unwrap_or_default();
        let workspace = self.workspace();
        let all = [&self.settings.sharing, &newest.sharing];
        Some(match all.iter().any(|sharing| sharing.is_dedicated(workspace)) {
            true => dedicated_scope(model, version, workspace),
            false => newest.sharing.shared_scope(model, version),
        })
    }

    /// Header data for the request to an endpoint. `cache_scope` is the scope of the prompt's cached
    /// parts, for which `moves` were planned; `last_event_id` names the last event that the
    /// caller has, when a stream is resumed.
    pub fn sent_head(
        &self,
        picked: &Picked,
        cache_scope: Option<String>,
        moves: PartMoves,
        last_event_id: Option<&str>,
    ) -> SentHead {
        let has_prompt = self.head.prompt.is_some();
        SentHead {
            endpoint: picked.entry.id.to_string(),
            weights: picked.version,
            cache_scope,
            moves,
            workspace: self.owner.as_ref().map(|owner| owner.workspace.clone()),
            priority: has_prompt.then(|| self.priority()),
            time_left: self.time_left().saturating_sub(RETURN_MARGIN),
            after_event: last_event_id.map(str::to_owned),
            // API keys of callers must not reach the endpoints.
            removes_authorization: self.settings.keys.is_some(),
        }
    }
}

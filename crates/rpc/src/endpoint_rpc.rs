use crate::{LoadReport, RunStatus, StreamEnd};
use cassiagw_core::{
    ids::{
        AdapterId, AttemptId, BootId, EndpointId, IdempotencyKey, ModelId, PieceKey, Revision,
        VersionId, WorkspaceId,
    },
    settings::Priority,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// RPC service of an endpoint's daemon, called by the daemons that accept client requests.
#[tarpc::service]
pub trait EndpointRpc {
    /// Submits one attempt. A refusal proves that the attempt did not run and will not run.
    /// Submitting an attempt again is idempotent: it is accepted and not run a second time.
    async fn open(req: OpenRequest) -> OpenReply;
    /// Waits for tokens after an offset. The call is idempotent and resumes an interrupted stream.
    async fn pull(req: PullRequest) -> PullReply;
    /// Cancels an attempt: its stream is dropped and the engine is told to stop.
    async fn cancel(attempt: AttemptId);
    /// Returns the state of an attempt. An attempt that has not arrived is sealed, so that it can
    /// no longer run.
    async fn resolve(attempt: AttemptId) -> Resolution;
    /// Returns the endpoint's current load.
    async fn load() -> LoadReport;
}

/// One attempt to run a request on one endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Unique identifier of the attempt.
    pub attempt: AttemptId,
    /// Endpoint that the attempt is meant for; any other one refuses it.
    pub endpoint: EndpointId,
    /// Boot of the daemon that the claim names; `None` accepts any boot.
    pub boot: Option<BootId>,
    /// Settings revision of the sender.
    pub revision: Revision,
    /// Address of the sender's peer RPC service, from which newer settings can be fetched.
    pub sender: SocketAddr,
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// Model, or the plain (non-model) service to call.
    pub model: ModelId,
    /// Adapter to apply; `None` runs the model without one.
    pub adapter: Option<AdapterId>,
    /// Weight version; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Priority class of the request.
    pub priority: Priority,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Keys of the prompt's pieces in prompt order; empty for a plain service.
    pub pieces: Vec<PieceKey>,
    /// Operation to run.
    pub work: Work,
}

/// Operation that an attempt runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Work {
    /// A completion by an engine. It is safe to retry.
    Completion {
        /// Prompt, followed by the tokens that an earlier attempt already delivered.
        prompt: String,
        /// Maximum number of tokens still to generate.
        max_tokens: u32,
    },
    /// A call to a plain service. It runs at most once.
    Call {
        /// HTTP method, such as `POST`.
        method: String,
        /// Path and query, relative to the service's address.
        path: String,
        /// Value of the `Content-Type` header, if the request has one.
        content_type: Option<String>,
        /// Request body.
        body: Vec<u8>,
        /// The caller's idempotency key, passed on to the service.
        idempotency_key: Option<IdempotencyKey>,
    },
}

/// Reply to [`EndpointRpc::open`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OpenReply {
    /// The attempt was accepted; its stream can be read with [`EndpointRpc::pull`].
    Accepted {
        /// Load after accepting the attempt.
        load: LoadReport,
    },
    /// The attempt did not run and will never run under this ID.
    Refused {
        /// Reason for the refusal.
        reason: Refusal,
        /// Load at the time of the refusal.
        load: LoadReport,
    },
}

/// Why an endpoint daemon refused an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The attempt is meant for another endpoint.
    WrongEndpoint,
    /// The attempt is meant for another boot of this daemon.
    WrongBoot,
    /// The attempt was sealed by [`EndpointRpc::resolve`] before it arrived.
    Sealed,
    /// The endpoint's availability zone is out of service.
    ZoneOut,
    /// The host or the daemon is leaving.
    Leaving,
    /// The endpoint is at capacity.
    Full,
    /// The requested weights are not loaded.
    NotLoaded,
    /// The daemon's settings lack the endpoint or may be outdated.
    Behind,
    /// The time left is shorter than the expected queueing time.
    TooLate,
}

/// Request for tokens after an offset.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// Attempt whose stream to read.
    pub attempt: AttemptId,
    /// Number of tokens already received.
    pub offset: u32,
    /// Maximum time that the daemon holds the request while there are no new tokens (long poll).
    pub wait: Duration,
}

/// Reply to [`EndpointRpc::pull`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PullReply {
    /// Tokens from `offset` on. `end` is set if no tokens follow those of the chunk, also when the
    /// end of the stream is pulled again.
    Chunk {
        /// Position of the first token in the stream.
        offset: u32,
        /// Text of each token; empty if none arrived within the wait or only the end is left.
        tokens: Vec<String>,
        /// End of the stream; `None` while more tokens may follow.
        end: Option<StreamEnd>,
        /// Load at the time of the reply.
        load: LoadReport,
    },
    /// The daemon never received the attempt or no longer has its stream.
    UnknownAttempt {
        /// Boot of the replying daemon.
        boot: BootId,
    },
}

/// State of an attempt, as returned by [`EndpointRpc::resolve`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Resolution {
    /// The attempt never arrived and is now sealed, which proves that it did not run.
    Sealed {
        /// Boot of the replying daemon.
        boot: BootId,
    },
    /// The attempt is queued or running.
    Running {
        /// Boot of the replying daemon.
        boot: BootId,
    },
    /// The attempt ended.
    Ended {
        /// Boot of the replying daemon.
        boot: BootId,
        /// How the attempt ended.
        end: StreamEnd,
    },
    /// The attempt arrived earlier, but its end is no longer stored.
    Forgotten {
        /// Boot of the replying daemon.
        boot: BootId,
        /// What is still known about whether it ran.
        ran: RunStatus,
    },
}

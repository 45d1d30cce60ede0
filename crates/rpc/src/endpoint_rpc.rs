use crate::{End, LoadReport, Ran};
use cassiagw_core::{
    ids::{
        AdapterId, AttemptId, BootId, EndpointId, IdempotencyKey, ModelId, PieceKey, Revision,
        VersionId, WorkspaceId,
    },
    settings::Priority,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Requests from an entry to the daemon before an endpoint.
#[tarpc::service]
pub trait EndpointRpc {
    /// Hands over one attempt. A refusal proves that it did not and will not run; one that was
    /// handed over before is accepted again and not run again.
    async fn open(req: OpenRequest) -> OpenReply;
    /// Waits for tokens past an offset; repeating it is harmless and resumes a cut stream.
    async fn pull(req: PullRequest) -> PullReply;
    /// Gives up an attempt. Its stream is dropped and the engine told to stop.
    async fn cancel(attempt: AttemptId);
    /// Tells what became of an attempt and seals one that never arrived, so that it cannot run.
    async fn resolve(attempt: AttemptId) -> Resolution;
    /// Tells the endpoint's load.
    async fn load() -> LoadReport;
}

/// One attempt to run a request on one endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Unique name of the attempt.
    pub attempt: AttemptId,
    /// Endpoint that the entry means; another one refuses.
    pub endpoint: EndpointId,
    /// Boot of the daemon that a claim was made for; none accepts any.
    pub boot: Option<BootId>,
    /// Settings revision of the sender.
    pub revision: Revision,
    /// Address of the sender's peer protocol, to pull newer settings from.
    pub sender: SocketAddr,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Model or plain service.
    pub model: ModelId,
    /// Adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Weight version; none for a plain service.
    pub version: Option<VersionId>,
    /// Who waits.
    pub priority: Priority,
    /// Time left until the answer is of no use.
    pub time_left: Duration,
    /// Keys of the prompt's pieces, first to last; empty for a plain service.
    pub pieces: Vec<PieceKey>,
    /// What to run.
    pub work: Work,
}

/// What an attempt runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Work {
    /// A completion by an engine; it may be repeated.
    Completion {
        /// Prompt with the tokens that an earlier attempt already delivered.
        prompt: String,
        /// Tokens still to produce.
        max_tokens: u32,
    },
    /// A call of a plain service; it runs at most once.
    Call {
        /// HTTP method.
        method: String,
        /// Path and query below the service's address.
        path: String,
        /// `Content-Type`, if any.
        content_type: Option<String>,
        /// Body.
        body: Vec<u8>,
        /// The caller's key, passed on to the service.
        idempotency_key: Option<IdempotencyKey>,
    },
}

/// Reply to [`EndpointRpc::open`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OpenReply {
    /// The attempt is in; pull its stream.
    Accepted {
        /// Load after taking it.
        load: LoadReport,
    },
    /// The attempt did not run and never will under this id.
    Refused {
        /// Why.
        reason: Refusal,
        /// Load at the refusal.
        load: LoadReport,
    },
}

/// Why an endpoint daemon refused an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Another endpoint was meant.
    WrongEndpoint,
    /// Another boot of this daemon was meant.
    WrongBoot,
    /// The attempt was sealed by [`EndpointRpc::resolve`] before it arrived.
    Sealed,
    /// The endpoint's availability zone is out.
    ZoneOut,
    /// The host or daemon is leaving.
    Leaving,
    /// The endpoint can take no more now.
    Full,
    /// The wanted weights are not loaded.
    NotLoaded,
    /// The daemon lacks settings that it must have before taking work.
    Behind,
    /// The time left is shorter than the wait.
    TooLate,
}

/// Request for tokens past an offset.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// Attempt whose stream is read.
    pub attempt: AttemptId,
    /// Tokens already received.
    pub offset: u32,
    /// Time that the daemon may hold the request while there is nothing new.
    pub wait: Duration,
}

/// Reply to [`EndpointRpc::pull`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PullReply {
    /// Tokens from `offset` on; `end` is set once with the last of them.
    Chunk {
        /// Position of the first token.
        offset: u32,
        /// Tokens as text.
        tokens: Vec<String>,
        /// Explicit end of the stream.
        end: Option<End>,
        /// Load at the reply.
        load: LoadReport,
    },
    /// The daemon does not know the attempt.
    UnknownAttempt {
        /// Boot of the daemon that answers.
        boot: BootId,
    },
}

/// What became of an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Resolution {
    /// It never arrived and is now sealed: proof that it did not run.
    Sealed {
        /// Boot of the daemon that answers.
        boot: BootId,
    },
    /// It waits or runs.
    Running {
        /// Boot of the daemon that answers.
        boot: BootId,
    },
    /// It ended.
    Ended {
        /// Boot of the daemon that answers.
        boot: BootId,
        /// Its end.
        end: End,
    },
    /// It arrived at an earlier time and its end is no longer known.
    Forgotten {
        /// Boot of the daemon that answers.
        boot: BootId,
        /// What is still known.
        ran: Ran,
    },
}

use super::EndpointPool;
use cassiagw_core::ids::{AttemptId, EndpointId};
use cassiagw_rpc::{OpenReply, OpenRequest, PullReply, PullRequest, Refusal, StreamEnd};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tarpc::context::{self, Context as RpcContext};
use thiserror::Error;
use tokio::time::sleep;

/// Maximum time that the endpoint daemon holds a pull while no token is available.
const PULL_WAIT: Duration = Duration::from_secs(1);
/// Timeout of an RPC; for a pull it is added to [`PULL_WAIT`].
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of consecutive failed pulls after which the endpoint daemon counts as unreachable.
const MAX_FAILED_PULLS: u32 = 3;
/// Delay before a failed pull is retried.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why an attempt did not start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// Connecting failed, so nothing was sent and the attempt did not run.
    #[error("{0}")]
    NotSent(String),
    /// The endpoint daemon refused the attempt, which did not and will not run.
    #[error("refused: {0:?}")]
    Refused(Refusal),
    /// The request was sent but no reply arrived, so the attempt may have run.
    #[error("no reply: {0}")]
    Unknown(String),
}

/// Why reading the stream of an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PullError {
    /// The endpoint daemon has restarted or has evicted the attempt.
    #[error("the endpoint daemon no longer knows the attempt")]
    Forgotten,
    /// Several pulls in a row failed; contains the last error.
    #[error("the endpoint daemon cannot be reached: {0}")]
    Lost(String),
}

/// Client side of one attempt at one endpoint.
pub struct Attempt<'a> {
    pool: &'a EndpointPool,
    endpoint: EndpointId,
    address: SocketAddr,
    id: AttemptId,
    offset: u32,
}

impl<'a> Attempt<'a> {
    /// Sends a request to an endpoint's daemon and starts the attempt.
    ///
    /// # Errors
    /// [`OpenError`] says whether the attempt may have started.
    pub async fn open(
        pool: &'a EndpointPool,
        address: SocketAddr,
        req: OpenRequest,
    ) -> Result<Self, OpenError> {
        let client =
            pool.client(address).await.map_err(|error| OpenError::NotSent(error.to_string()))?;
        let (endpoint, id) = (req.endpoint.clone(), req.attempt);
        let sent_at = Instant::now();
        let reply = client.open(deadline(REPLY_TIMEOUT), req).await;
        let reply = reply.map_err(|error| {
            pool.discard(address);
            OpenError::Unknown(error.to_string())
        })?;
        match reply {
            OpenReply::Accepted { load } => {
                pool.routing().on_load(&endpoint, &load, sent_at);
                Ok(Self { pool, endpoint, address, id, offset: 0 })
            }
            OpenReply::Refused { reason, load } => {
                pool.routing().on_load(&endpoint, &load, sent_at);
                Err(OpenError::Refused(reason))
            }
        }
    }

    /// Attaches to an attempt that was opened before and reads its stream from the start.
    pub fn resume(
        pool: &'a EndpointPool,
        endpoint: EndpointId,
        address: SocketAddr,
        id: AttemptId,
    ) -> Self {
        Self { pool, endpoint, address, id, offset: 0 }
    }

    /// Waits for the next tokens or the end of the stream; returns no tokens and no end if none
    /// arrived within the wait. Each token is returned once, also across failed tries.
    ///
    /// # Errors
    /// The endpoint daemon does not know the attempt, or several tries in a row failed.
    pub async fn pull(&mut self) -> Result<(Vec<String>, Option<StreamEnd>), PullError> {
        let mut failed = 0;
        loop {
            match self.pull_once().await {
                Ok(PullReply::Chunk { tokens, end, load, .. }) => {
                    self.pool.record_load(&self.endpoint, load);
                    self.offset += tokens.len() as u32;
                    return Ok((tokens, end));
                }
                Ok(PullReply::UnknownAttempt { .. }) => return Err(PullError::Forgotten),
                Err(error) => {
                    self.pool.discard(self.address);
                    failed += 1;
                    if failed >= MAX_FAILED_PULLS {
                        return Err(PullError::Lost(error));
                    }
                    sleep(PULL_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Cancels the attempt at the endpoint daemon; errors are ignored.
    pub async fn cancel(&self) {
        if let Ok(client) = self.pool.client(self.address).await {
            let _ = client.cancel(deadline(REPLY_TIMEOUT), self.id).await;
        }
    }

    async fn pull_once(&self) -> Result<PullReply, String> {
        let client = self.pool.client(self.address).await.map_err(|error| error.to_string())?;
        let req = PullRequest { attempt: self.id, offset: self.offset, wait: PULL_WAIT };
        let cx = deadline(PULL_WAIT + REPLY_TIMEOUT);
        client.pull(cx, req).await.map_err(|error| error.to_string())
    }
}

fn deadline(time: Duration) -> RpcContext {
    let mut cx = context::current();
    cx.deadline = Instant::now() + time;
    cx
}

use super::EndpointPool;
use cassiagw_core::ids::{AttemptId, EndpointId};
use cassiagw_rpc::{End, OpenReply, OpenRequest, PullReply, PullRequest, Refusal};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tarpc::context::{self, Context as RpcContext};
use thiserror::Error;
use tokio::time::sleep;

/// Time that a pull waits at the endpoint daemon for the next token.
const PULL_WAIT: Duration = Duration::from_secs(1);
/// Time for a reply beyond the wait asked for.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Failed pulls in a row after which the endpoint daemon counts as lost.
const MAX_FAILED_PULLS: u32 = 3;
/// Wait between two failed pulls.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why an attempt did not start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// Nothing was sent, so it did not run.
    #[error("{0}")]
    NotSent(String),
    /// The endpoint daemon refused, so it did not and will not run.
    #[error("refused: {0:?}")]
    Refused(Refusal),
    /// It was sent and no reply came.
    #[error("no reply: {0}")]
    Unknown(String),
}

/// Why the stream of an attempt cannot be read on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PullError {
    /// The endpoint daemon restarted or dropped the attempt.
    #[error("the endpoint daemon no longer knows the attempt")]
    Forgotten,
    /// The endpoint daemon cannot be reached.
    #[error("the endpoint daemon cannot be reached: {0}")]
    Lost(String),
}

/// One attempt on one endpoint, from the entry's side.
pub struct Attempt<'a> {
    pool: &'a EndpointPool,
    endpoint: EndpointId,
    address: SocketAddr,
    id: AttemptId,
    offset: u32,
}

impl<'a> Attempt<'a> {
    /// Hands a request to the daemon before an endpoint.
    ///
    /// # Errors
    /// [`OpenError`] tells whether the attempt may have started.
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

    /// Reads an attempt that is already in, from its start.
    pub fn resume(
        pool: &'a EndpointPool,
        endpoint: EndpointId,
        address: SocketAddr,
        id: AttemptId,
    ) -> Self {
        Self { pool, endpoint, address, id, offset: 0 }
    }

    /// Waits for the next tokens or the end; empty tokens without an end mean none came yet.
    ///
    /// # Errors
    /// [`PullError`] after several failed tries; tokens already read are never read again.
    pub async fn pull(&mut self) -> Result<(Vec<String>, Option<End>), PullError> {
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

    /// Gives up the attempt; its end is no longer wanted.
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

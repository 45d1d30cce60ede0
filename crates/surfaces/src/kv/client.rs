use super::wire;
use crate::http::{
    HttpClient, HttpError, HttpLimits, HttpRequest, HttpResponse, MAX_BYTES_WITHOUT_PROGRESS,
};
use cassiagw_core::ledger::{KvCallError, KvRange, RangeReply, Txn, TxnReply};
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Timeouts of calls to the key-value service.
#[derive(Clone, Debug)]
pub struct KvLimits {
    /// Connect timeout.
    pub connect_timeout: Duration,
    /// Timeout of one call to one member.
    pub call_timeout: Duration,
}

impl Default for KvLimits {
    fn default() -> Self {
        Self { connect_timeout: Duration::from_millis(500), call_timeout: Duration::from_secs(1) }
    }
}

/// Client of the key-value service; clones share the connection pool and the preferred member.
#[derive(Clone, Debug)]
pub struct KvClient {
    pub(super) http: HttpClient,
    members: Arc<[SocketAddr]>,
    preferred: Arc<AtomicUsize>,
}

impl KvClient {
    /// Creates a client of a service with a single member at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_members(&[address], KvLimits::default())
    }

    /// Creates a client of a service with several members. If a request cannot be sent to one of
    /// them, the client switches to the next one.
    pub fn with_members(members: &[SocketAddr], limits: KvLimits) -> Self {
        let limits = HttpLimits {
            connect_timeout: limits.connect_timeout,
            response_timeout: limits.call_timeout,
            max_bytes_without_progress: MAX_BYTES_WITHOUT_PROGRESS,
            max_idle_connections: 4,
            ..HttpLimits::default()
        };
        Self { http: HttpClient::new(limits), members: members.into(), preferred: Arc::default() }
    }

    /// Reads the keys of a range.
    ///
    /// # Errors
    /// [`KvCallError`]. Reads have no side effects, so both variants mean that nothing was read.
    pub async fn range(&self, range: &KvRange) -> Result<RangeReply, KvCallError> {
        let response: wire::RangeResponse =
            self.post("/v3/kv/range", &wire::range_request(range)).await?;
        Ok(response.into())
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// [`KvCallError::NotExecuted`] proves that the transaction has no effect, now or later.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnReply, KvCallError> {
        let response: wire::TxnResponse = self.post("/v3/kv/txn", &wire::txn_request(txn)).await?;
        Ok(response.into())
    }

    pub(super) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        document: &Value,
    ) -> Result<T, KvCallError> {
        let req = HttpRequest::new_json(path, document);
        let mut failure = KvCallError::NotExecuted("no service member is configured".into());
        for _ in 0..self.members.len() {
            let response = self.http.call(self.preferred_member(), req.clone()).await;
            let not_sent = response.as_ref().is_err_and(HttpError::is_not_sent);
            match decode_response(response) {
                Err(error) if not_sent => {
                    failure = error;
                    self.prefer_next_member();
                }
                outcome => return outcome,
            }
        }
        Err(failure)
    }

    /// Returns the member to which requests are sent first.
    pub(super) fn preferred_member(&self) -> SocketAddr {
        self.members[self.preferred.load(Ordering::Relaxed) % self.members.len()]
    }

    fn prefer_next_member(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }
}

fn decode_response<T: DeserializeOwned>(
    response: Result<HttpResponse, HttpError>,
) -> Result<T, KvCallError> {
    let response = response.map_err(|error| match error.is_not_sent() {
        true => KvCallError::NotExecuted(error.to_string()),
        false => KvCallError::Unknown(error.to_string()),
    })?;
    let status = response.status;
    if status.is_success() {
        return response
            .json()
            .map_err(|error| KvCallError::Unknown(format!("invalid response: {error}")));
    }
    let cause = format!("{status}: {}", String::from_utf8_lossy(&response.body));
    // Only these statuses prove that nothing was executed. Others, such as 503 and 504, can be
    // returned after the write was proposed to the cluster, so its outcome is unknown.
    let refused = status == StatusCode::TOO_MANY_REQUESTS
        || status == StatusCode::BAD_REQUEST
        || status == StatusCode::NOT_FOUND;
    Err(if refused { KvCallError::NotExecuted(cause) } else { KvCallError::Unknown(cause) })
}

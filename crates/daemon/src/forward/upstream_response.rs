use super::{
    attempt::{Attempt, ResponseTimeouts},
    buffered_answer::BufferedAnswer,
};
use bytes::Bytes;
use cassiagw_core::{
    forwarding::{Fault, Framing},
    ids::EndpointId,
};
use hyper::{HeaderMap, StatusCode, body::Incoming};
use std::time::Instant;
use tokio::time::timeout;

/// A response whose head has been received and whose body is still being read.
pub struct UpstreamResponse {
    /// Attempt that received the response.
    pub attempt: Attempt,
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Header fields as the endpoint sent them.
    pub headers: HeaderMap,
    /// Response body, streamed.
    pub body: Incoming,
}

/// A completely received response.
pub struct CompleteResponse {
    /// Endpoint that sent the response.
    pub endpoint: EndpointId,
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Header fields as the endpoint sent them.
    pub headers: HeaderMap,
    /// How the end of the body was marked.
    pub framing: Framing,
    /// Complete response body.
    pub body: Bytes,
}

impl UpstreamResponse {
    /// Reads the response body to its end. If the request may be retried, the soft timeout applies
    /// to each wait for data.
    ///
    /// # Errors
    /// The body was truncated, is too long or did not end in time. The fault is already
    /// recorded.
    pub async fn collect(mut self, timeouts: ResponseTimeouts) -> Result<CompleteResponse, Fault> {
        let limit = timeouts.deadline.saturating_duration_since(Instant::now());
        let mut buffered = BufferedAnswer::new(self.attempt.fw.clone());
        let reading = timeout(
            limit,
            buffered.read_to_end(&self.attempt, &mut self.body, timeouts.soft_timeout),
        )
        .await;
        let checked = match reading.unwrap_or(Err(Fault::Cut)) {
            Ok(body) => self.attempt.check_end().await.map(|()| body),
            Err(fault) => Err(fault),
        };
        match checked {
            Ok(body) => {
                let endpoint = self.attempt.endpoint.clone();
                let framing = self.attempt.framing();
                if self.status.is_success() {
                    self.attempt.record_data();
                }
                self.attempt.finish();
                Ok(CompleteResponse {
                    endpoint,
                    status: self.status,
                    headers: self.headers,
                    framing,
                    body,
                })
            }
            Err(fault) => {
                self.attempt.end_with_fault(fault).await;
                Err(fault)
            }
        }
    }
}

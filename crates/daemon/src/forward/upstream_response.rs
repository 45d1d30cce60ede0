use super::{
    attempt::{Attempt, ResponseTimeouts},
    buffered_answer::BufferedAnswer,
};
use bytes::Bytes;
use cassiagw_core::{
    forwarding::{AnswerEnd, Fault, Framing},
    ids::EndpointId,
};
use hyper::{
    HeaderMap, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
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
    /// Follows the body for its end.
    pub fn answer_end(&self) -> AnswerEnd {
        let is_event_stream = self.attempt.is_for_stream()
            && self.status.is_success()
            && may_hold_events(&self.headers);
        AnswerEnd::new(self.attempt.framing(), is_event_stream)
    }

    /// Whether the response is a stream of events, as which a stream can go on.
    pub fn is_event_stream(&self) -> bool {
        self.status == StatusCode::OK && has_event_type(&self.headers)
    }

    /// Reads the response body to its end. If the request may be retried, the soft timeout applies
    /// to each wait for data.
    ///
    /// # Errors
    /// The body was truncated, is too long or did not end in time. The fault is already
    /// recorded.
    pub async fn collect(mut self, timeouts: ResponseTimeouts) -> Result<CompleteResponse, Fault> {
        let limit = timeouts.deadline.saturating_duration_since(Instant::now());
        let mut end = self.answer_end();
        let mut buffered = BufferedAnswer::new(self.attempt.fw.clone());
        let reading = timeout(
            limit,
            buffered.read_to_end(&self.attempt, &mut self.body, timeouts.soft_timeout),
        )
        .await;
        let checked = match reading.unwrap_or(Err(Fault::Cut)) {
            Ok(body) => {
                end.push(&body);
                self.attempt.check_end(&end).await.map(|()| body)
            }
            Err(fault) => Err(fault),
        };
        match checked {
            Ok(body) => {
                let endpoint = self.attempt.endpoint.clone();
                let framing = end.framing();
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

/// Whether an answer is a series of events, as far as its head tells.
fn may_hold_events(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_TYPE) || has_event_type(headers)
}

fn has_event_type(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    kind.is_some_and(|kind| kind.to_ascii_lowercase().starts_with(b"text/event-stream"))
}

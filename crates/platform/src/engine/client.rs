use super::{CompletionSpec, CompletionStream, EngineError};
use crate::http::{HttpClient, HttpRequest};
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Response, body::Incoming};
use std::{net::SocketAddr, time::Duration};

/// Longest error text kept, in bytes.
const MAX_ERROR_BYTES: usize = 4_096;

/// Client of one engine; clones share its connections.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pub(super) http: HttpClient,
    pub(super) address: SocketAddr,
}

impl EngineClient {
    /// Makes a client of the engine at an address.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Starts a completion; the head of the answer must come within `limit`.
    ///
    /// # Errors
    /// [`EngineError::Refused`] proves that the completion did not start.
    pub async fn start(
        &self,
        spec: &CompletionSpec,
        limit: Duration,
    ) -> Result<CompletionStream, EngineError> {
        let req = HttpRequest::new_json("/v1/completions", spec);
        self.stream(req, limit).await
    }

    /// Reads a running or ended completion again from token `offset`.
    ///
    /// # Errors
    /// [`EngineError::Refused`] with status 404 if the engine no longer knows it.
    pub async fn resume(
        &self,
        request_id: &str,
        offset: usize,
        limit: Duration,
    ) -> Result<CompletionStream, EngineError> {
        let path = format!("/v1/completions/{request_id}?offset={offset}");
        self.stream(HttpRequest::new(Method::GET, path), limit).await
    }

    /// Stops a completion; stopping an unknown one is harmless.
    ///
    /// # Errors
    /// The exchange failed.
    pub async fn cancel(&self, request_id: &str) -> Result<(), EngineError> {
        let path = format!("/v1/completions/{request_id}");
        self.http.call(self.address, HttpRequest::new(Method::DELETE, path)).await?;
        Ok(())
    }

    async fn stream(
        &self,
        req: HttpRequest,
        limit: Duration,
    ) -> Result<CompletionStream, EngineError> {
        let response = self.http.open_within(self.address, req, limit).await?;
        if !response.status().is_success() {
            return Err(refusal(response).await);
        }
        Ok(CompletionStream::new(response.into_body()))
    }
}

async fn refusal(response: Response<Incoming>) -> EngineError {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_ERROR_BYTES).collect().await;
    let message = body.map_or_else(
        |error| error.to_string(),
        |body| String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    );
    EngineError::Refused { status, message }
}

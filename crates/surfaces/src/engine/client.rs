use super::{CompletionSpec, CompletionStream, EngineError, EngineLoad};
use crate::http::{HttpClient, HttpRequest, HttpResponse};
use cassiagw_core::orders::{EngineOrder, EngineState};
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Response, StatusCode, body::Incoming};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

/// Maximum length of an error body that is kept, in bytes.
const MAX_ERROR_BYTES: usize = 4_096;

/// Client of one engine; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pub(super) http: HttpClient,
    pub(super) address: SocketAddr,
}

impl EngineClient {
    /// Creates a client of the engine at `address`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Starts a completion; the response head must arrive within `limit`.
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

    /// Reads a running or finished completion again from token `offset` on.
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

    /// Cancels a completion; canceling an unknown one is no error.
    ///
    /// # Errors
    /// The HTTP exchange failed; the response status is not checked.
    pub async fn cancel(&self, request_id: &str) -> Result<(), EngineError> {
        let path = format!("/v1/completions/{request_id}");
        self.http.call(self.address, HttpRequest::new(Method::DELETE, path)).await?;
        Ok(())
    }

    /// Reads the engine's load, which it reports with a delay.
    ///
    /// # Errors
    /// No successful response was received within `limit`, or it could not be decoded.
    pub async fn load(&self, limit: Duration) -> Result<EngineLoad, EngineError> {
        self.read(HttpRequest::new(Method::GET, "/load"), limit).await
    }

    /// Sends an order and waits until the engine has carried it out.
    ///
    /// # Errors
    /// [`EngineError::OldFence`] and [`EngineError::Refused`] prove that it was not carried out;
    /// if the response is lost, it may still be carried out later.
    pub async fn order(
        &self,
        order: &EngineOrder,
        limit: Duration,
    ) -> Result<EngineState, EngineError> {
        match self.read(HttpRequest::new_json("/orders", order), limit).await {
            Err(EngineError::Refused { status, .. }) if status == StatusCode::CONFLICT => {
                Err(EngineError::OldFence)
            }
            outcome => outcome,
        }
    }

    /// Reads what the engine has loaded and the fencing token of its latest order.
    ///
    /// # Errors
    /// No successful response was received within `limit`, or it could not be decoded.
    pub async fn order_state(&self, limit: Duration) -> Result<EngineState, EngineError> {
        self.read(HttpRequest::new(Method::GET, "/orders/state"), limit).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        req: HttpRequest,
        limit: Duration,
    ) -> Result<T, EngineError> {
        let response = self.call(req, limit).await?;
        response.json().map_err(|error| EngineError::Malformed(error.to_string()))
    }

    pub(super) async fn call(
        &self,
        req: HttpRequest,
        limit: Duration,
    ) -> Result<HttpResponse, EngineError> {
        let response = self.http.call_within(self.address, req, limit).await?;
        if response.status.is_success() {
            return Ok(response);
        }
        let truncated = response.body.slice(..response.body.len().min(MAX_ERROR_BYTES));
        let message = String::from_utf8_lossy(&truncated).into_owned();
        Err(EngineError::Refused { status: response.status.as_u16(), message })
    }

    async fn stream(
        &self,
        req: HttpRequest,
        limit: Duration,
    ) -> Result<CompletionStream, EngineError> {
        let response = self.http.open_within(self.address, req, limit).await?;
        if !response.status().is_success() {
            return Err(refused_error(response).await);
        }
        Ok(CompletionStream::new(response.into_body()))
    }
}

async fn refused_error(response: Response<Incoming>) -> EngineError {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_ERROR_BYTES).collect().await;
    let message = body.map_or_else(
        |error| error.to_string(),
        |body| String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    );
    EngineError::Refused { status, message }
}

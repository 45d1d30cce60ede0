use super::{EngineClient, EngineError};
use crate::http::HttpRequest;
use bytes::Bytes;
use cassiagw_core::{
    cache::CacheEvent,
    ids::{BootId, PieceKey},
};
use hyper::Method;
use serde::Deserialize;
use std::time::Duration;

/// Cache events of an engine from a position on.
#[derive(Clone, Debug, Deserialize)]
pub struct CacheEvents {
    /// Boot of the engine; `None` if the engine does not report it.
    #[serde(default)]
    pub boot: Option<BootId>,
    /// Position from which to continue with the next request.
    pub next: u64,
    /// Events. They can be delayed, out of order and incomplete.
    pub events: Vec<CacheEvent>,
}

impl EngineClient {
    /// Reads the cache block of one piece; `None` if the engine does not hold it.
    ///
    /// # Errors
    /// No complete response was received within `limit`.
    pub async fn export_block(
        &self,
        key: PieceKey,
        limit: Duration,
    ) -> Result<Option<Bytes>, EngineError> {
        let req = HttpRequest::new(Method::GET, format!("/kv/blocks/{key}"));
        match self.call(req, limit).await {
            Ok(response) => Ok(Some(response.body)),
            Err(EngineError::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes the cache block of one piece to the engine. Importing a block that the engine already
    /// holds has no effect.
    ///
    /// # Errors
    /// The engine did not store the block, or it is unknown whether it did.
    pub async fn import_block(
        &self,
        key: PieceKey,
        payload: Bytes,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let req = HttpRequest::new(Method::PUT, format!("/kv/blocks/{key}")).with_body(payload);
        self.call(req, limit).await.map(drop)
    }

    /// Reads cache events from position `since` on.
    ///
    /// # Errors
    /// No complete response was received within `limit`, or it could not be decoded.
    pub async fn cache_events(
        &self,
        since: u64,
        limit: Duration,
    ) -> Result<CacheEvents, EngineError> {
        let req = HttpRequest::new(Method::GET, format!("/kv/events?since={since}"));
        let response = self.call(req, limit).await?;
        response.json().map_err(|error| EngineError::Malformed(error.to_string()))
    }
}

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

/// Cache events of an engine past a position.
#[derive(Clone, Debug, Deserialize)]
pub struct CacheEvents {
    /// Boot of the engine, if it says so.
    #[serde(default)]
    pub boot: Option<BootId>,
    /// Position to ask from next time.
    pub next: u64,
    /// Events, late, in any order and with gaps.
    pub events: Vec<CacheEvent>,
}

impl EngineClient {
    /// Reads the cache of one piece; none if the engine does not hold it.
    ///
    /// # Errors
    /// No whole answer came within `limit`.
    pub async fn export_block(
        &self,
        key: PieceKey,
        limit: Duration,
    ) -> Result<Option<Bytes>, EngineError> {
        let req = HttpRequest::new(Method::GET, format!("/kv/blocks/{key}"));
        match self.call(req, limit).await {
            Ok(answer) => Ok(Some(answer.body)),
            Err(EngineError::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Hands the engine the cache of one piece; importing one that it holds is harmless.
    ///
    /// # Errors
    /// The engine did not take it, or may not have.
    pub async fn import_block(
        &self,
        key: PieceKey,
        payload: Bytes,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let req = HttpRequest::new(Method::PUT, format!("/kv/blocks/{key}")).with_body(payload);
        self.call(req, limit).await.map(drop)
    }

    /// Reads the cache events from position `since` on.
    ///
    /// # Errors
    /// No whole answer came within `limit`, or it cannot be read.
    pub async fn cache_events(
        &self,
        since: u64,
        limit: Duration,
    ) -> Result<CacheEvents, EngineError> {
        let req = HttpRequest::new(Method::GET, format!("/kv/events?since={since}"));
        let answer = self.call(req, limit).await?;
        answer.json().map_err(|error| EngineError::Malformed(error.to_string()))
    }
}

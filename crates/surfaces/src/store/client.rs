use super::{ObjectInfo, StoreError, StoreUsage, wire::ObjectList};
use crate::http::{HttpClient, HttpRequest, HttpResponse};
use bytes::Bytes;
use cassiagw_core::cache::StoreTier;
use hyper::{Method, StatusCode, header::CONTENT_LENGTH};
use std::{net::SocketAddr, time::Duration};

/// Client of one cache store host; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    address: SocketAddr,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Writes a complete object to a tier.
    ///
    /// # Errors
    /// [`StoreError::Full`] if the tier has no space; after other errors the object may have been
    /// written.
    pub async fn put(
        &self,
        name: &str,
        body: Bytes,
        tier: StoreTier,
        limit: Duration,
    ) -> Result<(), StoreError> {
        let path = format!("/objects/{name}?tier={}", tier_name(tier));
        self.call(HttpRequest::new(Method::PUT, path).with_body(body), limit).await?;
        Ok(())
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// No complete response was received within `limit`.
    pub async fn get(&self, name: &str, limit: Duration) -> Result<Option<Bytes>, StoreError> {
        let req = HttpRequest::new(Method::GET, format!("/objects/{name}"));
        none_if_missing(self.call(req, limit).await)
            .map(|response| response.map(|response| response.body))
    }

    /// Reads the length of an object in bytes; `None` if the object does not exist.
    ///
    /// # Errors
    /// No response with a content length was received within `limit`.
    pub async fn length(&self, name: &str, limit: Duration) -> Result<Option<u64>, StoreError> {
        let req = HttpRequest::new(Method::HEAD, format!("/objects/{name}"));
        let Some(response) = none_if_missing(self.call(req, limit).await)? else { return Ok(None) };
        let length = response.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        length
            .and_then(|text| text.parse().ok())
            .map(Some)
            .ok_or_else(|| StoreError::Malformed("missing or invalid length".to_owned()))
    }

    /// Deletes an object; deleting a missing object is no error.
    ///
    /// # Errors
    /// The object may still exist.
    pub async fn delete(&self, name: &str, limit: Duration) -> Result<(), StoreError> {
        let req = HttpRequest::new(Method::DELETE, format!("/objects/{name}"));
        none_if_missing(self.call(req, limit).await).map(drop)
    }

    /// Moves an object to a tier; moving a missing object is no error.
    ///
    /// # Errors
    /// [`StoreError::Full`] if the tier has no space; after other errors the object may have been
    /// moved.
    pub async fn move_to(
        &self,
        name: &str,
        tier: StoreTier,
        limit: Duration,
    ) -> Result<(), StoreError> {
        let path = format!("/objects/{name}/move?tier={}", tier_name(tier));
        none_if_missing(self.call(HttpRequest::new(Method::POST, path), limit).await).map(drop)
    }

    /// Returns a random sample, drawn with `seed`, of up to `count` objects whose names start with
    /// `prefix`.
    ///
    /// # Errors
    /// No complete response was received within `limit`, or it could not be decoded.
    pub async fn sample(
        &self,
        prefix: &str,
        count: usize,
        seed: u64,
        limit: Duration,
    ) -> Result<Vec<ObjectInfo>, StoreError> {
        let path = format!("/objects?prefix={prefix}&limit={count}&seed={seed}");
        let response = self.call(HttpRequest::new(Method::GET, path), limit).await?;
        let list: ObjectList = response.json().map_err(malformed)?;
        Ok(list.objects)
    }

    /// Reads the used and total space of both tiers.
    ///
    /// # Errors
    /// No complete response was received within `limit`, or it could not be decoded.
    pub async fn usage(&self, limit: Duration) -> Result<StoreUsage, StoreError> {
        let response = self.call(HttpRequest::new(Method::GET, "/usage"), limit).await?;
        response.json().map_err(malformed)
    }

    async fn call(&self, req: HttpRequest, limit: Duration) -> Result<HttpResponse, StoreError> {
        let response = self.http.call_within(self.address, req, limit).await?;
        match response.status {
            StatusCode::INSUFFICIENT_STORAGE => Err(StoreError::Full),
            status if status.is_success() => Ok(response),
            status => Err(StoreError::Refused { status: status.as_u16() }),
        }
    }
}

fn tier_name(tier: StoreTier) -> &'static str {
    match tier {
        StoreTier::Memory => "memory",
        StoreTier::Disk => "disk",
    }
}

fn none_if_missing(
    response: Result<HttpResponse, StoreError>,
) -> Result<Option<HttpResponse>, StoreError> {
    match response {
        Err(StoreError::Refused { status: 404 }) => Ok(None),
        response => response.map(Some),
    }
}

fn malformed(error: serde_json::Error) -> StoreError {
    StoreError::Malformed(error.to_string())
}

use crate::http::{HttpClient, HttpError, HttpRequest};
use cassiagw_core::ids::{HostId, ZoneId};
use hyper::Method;
use serde::Deserialize;
use std::{net::SocketAddr, time::Duration};
use thiserror::Error;

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It stays.
    Live,
    /// It will be taken away.
    Leaving,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListedHost {
    /// Name.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it stays.
    pub state: HostState,
}

/// Failure to read the host list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HostsError {
    /// The exchange itself failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The answer has a status that is not success.
    #[error("host list answered {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer has another shape.
    #[error("host list cannot be read: {0}")]
    Malformed(String),
}

/// Client of the host list.
#[derive(Clone, Debug)]
pub struct HostsClient {
    http: HttpClient,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct HostList {
    hosts: Vec<ListedHost>,
}

impl HostsClient {
    /// Makes a client of the list at an address.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// No whole list came within `limit`; the last one read stays the best knowledge.
    pub async fn list(&self, limit: Duration) -> Result<Vec<ListedHost>, HostsError> {
        let req = HttpRequest::new(Method::GET, "/v1/hosts");
        let answer = self.http.call_within(self.address, req, limit).await?;
        if !answer.status.is_success() {
            return Err(HostsError::Refused { status: answer.status.as_u16() });
        }
        let list: HostList =
            answer.json().map_err(|error| HostsError::Malformed(error.to_string()))?;
        Ok(list.hosts)
    }
}

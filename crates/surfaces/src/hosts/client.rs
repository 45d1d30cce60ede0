use crate::http::{HttpClient, HttpError, HttpRequest};
use cassiagw_core::ids::{HostId, ZoneId};
use hyper::Method;
use serde::Deserialize;
use std::{net::SocketAddr, time::Duration};
use thiserror::Error;

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host stays in service.
    Live,
    /// The platform is going to remove the host.
    Leaving,
}

/// Entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListedHost {
    /// Identifier of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Whether the host stays in service.
    pub state: HostState,
}

/// Failure to read the host list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HostsError {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The host list service responded with a non-success status.
    #[error("host list service responded with status {status}")]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// The response could not be decoded.
    #[error("invalid host list: {0}")]
    Malformed(String),
}

/// Client of the platform's host list service.
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
    /// Creates a client of the host list service at `address`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Reads the current host list.
    ///
    /// # Errors
    /// No complete list was received within `limit`; the caller keeps using the last one it read.
    pub async fn list(&self, limit: Duration) -> Result<Vec<ListedHost>, HostsError> {
        let req = HttpRequest::new(Method::GET, "/v1/hosts");
        let response = self.http.call_within(self.address, req, limit).await?;
        if !response.status.is_success() {
            return Err(HostsError::Refused { status: response.status.as_u16() });
        }
        let list: HostList =
            response.json().map_err(|error| HostsError::Malformed(error.to_string()))?;
        Ok(list.hosts)
    }
}

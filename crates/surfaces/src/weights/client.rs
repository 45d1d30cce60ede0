use crate::http::{HttpClient, HttpError, HttpRequest};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use std::{net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::time::timeout;

/// Failure to download weights.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WeightsError {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The weight store does not have the version.
    #[error("weights {model}/{version} do not exist")]
    Unknown {
        /// Requested model.
        model: String,
        /// Requested version.
        version: String,
    },
    /// The weight store responded with another non-success status.
    #[error("weight store responded with status {status}")]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// The response body was truncated, or the download timed out.
    #[error("download of weights was interrupted: {0}")]
    Cut(String),
}

/// Client of the weight store.
#[derive(Clone, Debug)]
pub struct WeightsClient {
    http: HttpClient,
    address: SocketAddr,
}

impl WeightsClient {
    /// Creates a client of the weight store at `address`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Downloads a complete version, discards the data as it arrives and returns its length in
    /// bytes.
    ///
    /// # Errors
    /// The version does not exist or was not received completely within `limit`.
    pub async fn measure(
        &self,
        model: &str,
        version: &str,
        limit: Duration,
    ) -> Result<u64, WeightsError> {
        let download = self.download(model, version, limit);
        timeout(limit, download)
            .await
            .unwrap_or_else(|_| Err(WeightsError::Cut("timed out".to_owned())))
    }

    async fn download(
        &self,
        model: &str,
        version: &str,
        limit: Duration,
    ) -> Result<u64, WeightsError> {
        let req = HttpRequest::new(Method::GET, format!("/weights/{model}/{version}"));
        let response = self.http.open_within(self.address, req, limit).await?;
        match response.status() {
            StatusCode::NOT_FOUND => {
                let (model, version) = (model.to_owned(), version.to_owned());
                return Err(WeightsError::Unknown { model, version });
            }
            status if !status.is_success() => {
                return Err(WeightsError::Refused { status: status.as_u16() });
            }
            _ => {}
        }
        let mut body = response.into_body();
        let mut bytes = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| WeightsError::Cut(error.to_string()))?;
            bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        }
        Ok(bytes)
    }
}

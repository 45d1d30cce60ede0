use crate::http::{HttpClient, HttpError, HttpRequest};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use std::{net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::time::timeout;

/// Failure to read weights.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WeightsError {
    /// The exchange itself failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The store has no such version.
    #[error("weights {model}/{version} do not exist")]
    Unknown {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// The answer has another status.
    #[error("weight store answered {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer stopped before its end.
    #[error("weights were cut: {0}")]
    Cut(String),
}

/// Client of the weight store.
#[derive(Clone, Debug)]
pub struct WeightsClient {
    http: HttpClient,
    address: SocketAddr,
}

impl WeightsClient {
    /// Makes a client of the store at an address.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Reads a version whole, discards it piece by piece and gives its length in bytes.
    ///
    /// # Errors
    /// The version does not exist or did not arrive whole within `limit`.
    pub async fn measure(
        &self,
        model: &str,
        version: &str,
        limit: Duration,
    ) -> Result<u64, WeightsError> {
        let reading = self.read(model, version, limit);
        timeout(limit, reading)
            .await
            .unwrap_or_else(|_| Err(WeightsError::Cut("time limit".to_owned())))
    }

    async fn read(&self, model: &str, version: &str, limit: Duration) -> Result<u64, WeightsError> {
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

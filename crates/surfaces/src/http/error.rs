use std::net::SocketAddr;
use thiserror::Error;

/// Failure of an HTTP exchange.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// No byte of the request reached the server.
    #[error("request to {address} was not sent: {cause}")]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the failure.
        cause: String,
    },
    /// At least part of the request may have been sent, and no complete response was received.
    #[error("outcome of a request to {address} is unknown: {cause}")]
    Unknown {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the failure.
        cause: String,
    },
}

impl HttpError {
    /// Returns whether the failure proves that the server received nothing of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

use std::net::SocketAddr;
use thiserror::Error;

/// Failure of an HTTP exchange.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// No byte of the request reached the other side.
    #[error("request to {address} was not sent: {cause}")]
    NotSent {
        /// Address of the other side.
        address: SocketAddr,
        /// What failed.
        cause: String,
    },
    /// The request was sent, wholly or in part, and no whole answer came back.
    #[error("outcome of a request to {address} is unknown: {cause}")]
    Unknown {
        /// Address of the other side.
        address: SocketAddr,
        /// What failed.
        cause: String,
    },
}

impl HttpError {
    /// Says whether the failure proves that the other side saw nothing of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

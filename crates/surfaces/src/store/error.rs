use crate::http::HttpError;
use thiserror::Error;

/// Failure of an exchange with a store host.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The tier has no space for the object.
    #[error("store tier has no space left")]
    Full,
    /// The store responded with another non-success status.
    #[error("store responded with status {status}")]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// A response could not be decoded.
    #[error("invalid response from the store: {0}")]
    Malformed(String),
}

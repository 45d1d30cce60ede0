use crate::http::HttpError;
use thiserror::Error;

/// Failure of an exchange with a store host.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The exchange itself failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The tier has no room for the object.
    #[error("store is full")]
    Full,
    /// The store answered with another status.
    #[error("store answered {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// An answer has another shape.
    #[error("answer of the store cannot be read: {0}")]
    Malformed(String),
}

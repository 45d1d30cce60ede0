use crate::http::HttpError;
use thiserror::Error;

/// Failure of an exchange with an engine.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The engine responded with a non-success status.
    #[error("engine responded with status {status}: {message}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Response body, truncated, or the reason why the body could not be read.
        message: String,
    },
    /// The stream stopped before its end event.
    #[error("completion stream was interrupted: {0}")]
    Cut(String),
    /// The engine stopped the completion before it was complete.
    #[error("completion was aborted by the engine")]
    Aborted,
    /// The engine has already received an order with a newer fencing token.
    #[error("order rejected: the engine has received a newer fencing token")]
    OldFence,
    /// An event or a response could not be decoded.
    #[error("invalid data from the engine: {0}")]
    Malformed(String),
}

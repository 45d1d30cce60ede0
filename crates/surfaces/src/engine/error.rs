use crate::http::HttpError;
use thiserror::Error;

/// Failure of an exchange with an engine.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The exchange itself failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The engine answered with a status that is not success.
    #[error("engine answered {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body, shortened.
        message: String,
    },
    /// The stream ended without its explicit end.
    #[error("stream was cut: {0}")]
    Cut(String),
    /// The engine stopped the completion before it was whole.
    #[error("completion was aborted")]
    Aborted,
    /// The engine has seen a newer fencing number.
    #[error("fencing number is older than one that the engine has seen")]
    OldFence,
    /// An event has another shape.
    #[error("event cannot be read: {0}")]
    Malformed(String),
}

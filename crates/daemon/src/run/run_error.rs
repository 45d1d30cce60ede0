use std::{io, net::SocketAddr};
use thiserror::Error;

/// Error at daemon startup.
#[derive(Debug, Error)]
pub enum RunError {
    /// A listener cannot be bound.
    #[error("{setting}: cannot listen on {address}: {source}")]
    Listen {
        /// Path of the setting that holds the address.
        setting: &'static str,
        /// Configured address.
        address: SocketAddr,
        /// I/O error from the bind.
        source: io::Error,
    },
}

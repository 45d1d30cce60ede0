use std::{io, net::SocketAddr};
use thiserror::Error;

/// Why a daemon cannot start.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address cannot be listened on.
    #[error("{setting}: cannot listen on {address}: {source}")]
    Listen {
        /// Path of the setting.
        setting: &'static str,
        /// Address that was tried.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

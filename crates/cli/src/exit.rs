use std::process::ExitCode;
use thiserror::Error;

/// Exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Success; for `diff`, no differences.
    Ok = 0,
    /// Rejected or invalid; for `diff`, differences were found.
    Refused = 1,
    /// Invalid argument, environment variable or input.
    Usage = 2,
    /// The settings were changed concurrently.
    Conflict = 3,
    /// No valid response, or the entry did not accept the request; nothing was changed.
    NotAccepted = 4,
    /// Unknown outcome: the change may have been applied or may still be applied.
    Unknown = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Error of a command.
#[derive(Debug, Error)]
pub enum CliError {
    /// Invalid argument, environment variable or input.
    #[error("{0}")]
    Usage(String),
    /// The entry returned an error response.
    #[error("{code}: {message}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Machine-readable error code; the HTTP status if the response has none.
        code: String,
        /// Error message; the response body if the response has none.
        message: String,
    },
    /// The request was not sent, or a read got no valid response; nothing was changed.
    #[error("no valid response; nothing was changed: {0}")]
    Unreachable(String),
    /// The request was sent, but no complete and valid response was received.
    #[error("outcome unknown: {0}; read the settings to check whether the change was applied")]
    Unknown(String),
}

impl CliError {
    /// Exit status for scripts, by kind of error.
    ///
    /// After status 503 nothing was changed; after 500, 502 or 504 the change may have been
    /// applied.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) => ExitStatus::Usage,
            Self::Unreachable(_) => ExitStatus::NotAccepted,
            Self::Unknown(_) => ExitStatus::Unknown,
            Self::Refused { status, .. } => match status {
                409 => ExitStatus::Conflict,
                503 => ExitStatus::NotAccepted,
                500 | 502 | 504 => ExitStatus::Unknown,
                _ => ExitStatus::Refused,
            },
        }
    }
}

//! Errors of the client and their exit codes.

use fieldhook_http::SendError;
use std::fmt;

/// Errors of the client.
#[derive(Debug)]
pub enum ClientError {
    /// The command line is invalid. Exit code 2.
    Usage(String),
    /// The document is invalid. Exit code 3.
    Invalid(String),
    /// Another change was published first. Exit code 4.
    OutOfDate {
        /// The version now in use.
        version: u64,
        /// Unified diff from the version that the change was based on to the current one.
        changes: String,
    },
    /// A daemon or the log did not respond as expected in time. Exit code 5.
    Unreachable(String),
    /// A daemon or the log rejected the request, or no log line matches. Exit code 1.
    Refused(String),
}

impl ClientError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Invalid(_) => 3,
            Self::OutOfDate { .. } => 4,
            Self::Unreachable(_) => 5,
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) | Self::Invalid(message) | Self::Refused(message) => {
                formatter.write_str(message)
            }
            Self::OutOfDate { version, changes } => write!(
                formatter,
                "version {version} was published first; remedy: `fieldhook config show`, apply \
                 your change to it and publish again. Changes in between:\n{changes}"
            ),
            Self::Unreachable(message) => write!(
                formatter,
                "{message}; remedy: choose another daemon with --daemon, or check the platform's \
                 log"
            ),
        }
    }
}

impl std::error::Error for ClientError {}

impl From<SendError> for ClientError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Status { status, body } => {
                Self::Refused(format!("the daemon or the log answered {status}: {body}"))
            }
            other => Self::Unreachable(other.to_string()),
        }
    }
}

//! What can go wrong for an operator, with exit codes.

use fieldhook_http::SendError;
use std::fmt;

/// What can go wrong; each message names the remedy.
#[derive(Debug)]
pub enum ClientError {
    /// The command line is not usable. Exit code 2.
    Usage(String),
    /// The document is not valid. Exit code 3.
    Invalid(String),
    /// Another change came first. Exit code 4.
    OutOfDate {
        /// The version now in force.
        version: u64,
        /// What it changed against the version the change was based on.
        changes: String,
    },
    /// A daemon or the log did not answer. Exit code 5.
    Unreachable(String),
    /// The daemon refused. Exit code 1.
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
                "version {version} came first; remedy: `fieldhook config show`, apply your \
                 change to it and publish again. It changed:\n{changes}"
            ),
            Self::Unreachable(message) => write!(
                formatter,
                "{message}; remedy: name another daemon with --daemon, or check the platform's log"
            ),
        }
    }
}

impl std::error::Error for ClientError {}

impl From<SendError> for ClientError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Status { status, body } => {
                Self::Refused(format!("the daemon answered {status}: {body}"))
            }
            other => Self::Unreachable(other.to_string()),
        }
    }
}

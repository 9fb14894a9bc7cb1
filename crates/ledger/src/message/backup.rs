//! Messages that back up the attempts in progress of a daemon at another one.

use super::RequestKey;
use nanoserde::{DeBin, SerBin};

/// What the process at the address of a server had stated about itself before an attempt was sent on
/// that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum StatedProcess {
    /// It was not asked.
    NotAsked,
    /// Nothing that shows which one it is.
    Nothing,
    /// That it is the one which the entry of the server names.
    Same,
    /// That it is another one.
    Other,
}

/// Server of an attempt, as its entry in service discovery names it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AttemptServer {
    /// Name of the server.
    pub name: String,
    /// Unix time at which its process started, in milliseconds, if the entry tells.
    pub started_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: String,
    /// IP address and port.
    pub address: String,
}

/// An attempt in progress, with what another daemon needs to find out whether its server ends.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BackedUpAttempt {
    /// Number of the attempt.
    pub attempt: u64,
    /// The request, by its content.
    pub content: RequestKey,
    /// Id of the client's request, for log lines.
    pub request: String,
    /// Servers that were known to have ended under the request when it was sent.
    pub known: Vec<String>,
    /// How long clients may send the request again, in milliseconds.
    pub retention_ms: u64,
    /// Server that it was sent to.
    pub server: AttemptServer,
    /// What the process on its connection had stated.
    pub stated: StatedProcess,
    /// Start of that process, if it is known.
    pub process_started_ms: Option<u64>,
    /// How long the server may work on the request from the send on, in milliseconds.
    pub limit_ms: u64,
    /// Time since the send, in milliseconds.
    pub age_ms: u64,
}

/// An attempt that its daemon no longer follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ClosedAttempt {
    /// Number of the attempt.
    pub attempt: u64,
    /// Whether it has remained open what became of the server.
    pub is_open: bool,
}

/// Attempts that a daemon has begun and ended, for the daemon that backs them up.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BackUpAttempts {
    /// IP address and port at which the sender listens for other daemons.
    pub address: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Whether `begun` has all attempts in progress, and replaces what was sent before. Otherwise it has
    /// those that began since the message before.
    pub is_complete: bool,
    /// Attempts that ended since the message before. They come before those that began, since an attempt
    /// that did not run is made again under its number.
    pub closed: Vec<ClosedAttempt>,
    /// Attempts that began.
    pub begun: Vec<BackedUpAttempt>,
}

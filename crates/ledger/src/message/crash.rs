//! Messages about requests under which servers ended.

use super::RequestKey;
use crate::crashes::{AttemptEnd, EndedAttempt, WatchLevel};
use crate::name::QualifiedName;
use nanoserde::{DeBin, SerBin};

/// Asks whether a request may be sent to a server.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RequestSend {
    /// The request, by its content.
    pub request: RequestKey,
    /// Random number of the attempt.
    pub attempt: u64,
    /// How long the attempt may take, in milliseconds.
    pub hold_ms: u64,
    /// Servers that the sender knows to have ended under the request.
    pub known: Vec<String>,
    /// How long clients may send the request again, in milliseconds.
    pub retention_ms: u64,
    /// How long the reply may wait until the place of the attempt is durable, in milliseconds.
    pub max_durable_wait_ms: u64,
}

/// What daemons have to do before they send requests of a partition, as its owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct CrashWatch {
    /// The partition.
    pub partition: u32,
    /// What they have to do.
    pub level: WatchLevel,
}

/// Asks those who follow detached attempts of a request whether their processes live.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AttemptQuestion {
    /// Name of the request's content.
    pub name: QualifiedName,
    /// Number of the question. Those of successive owners rise.
    pub question: u64,
}

/// Reports that the process of a detached attempt has shown that it lives after a question.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfirmAttempt {
    /// The request, by its content.
    pub request: RequestKey,
    /// Number of the attempt.
    pub attempt: u64,
    /// Number of the question.
    pub question: u64,
}

/// Reports how an attempt at a server ended.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ReportAttempt {
    /// The request, by its content.
    pub request: RequestKey,
    /// Number of the attempt.
    pub attempt: u64,
    /// Identity of the server.
    pub server: String,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Servers that the sender knew to have ended under the request when it sent the attempt.
    pub known: Vec<String>,
    /// How long a place is held if the outcome is open, in milliseconds.
    pub hold_ms: u64,
    /// How long clients may send the request again, in milliseconds.
    pub retention_ms: u64,
}

impl ReportAttempt {
    /// What daemons have to do before they send requests of the partition; `None` if nothing has
    /// changed for them.
    pub fn watch_level(&self) -> Option<WatchLevel> {
        self.end.watch_level(self.hold_ms)
    }

    /// The end of the attempt, for the table of the partition.
    pub fn ended_attempt(&self) -> EndedAttempt<'_> {
        EndedAttempt {
            attempt: self.attempt,
            server: &self.server,
            end: self.end,
            known: &self.known,
            hold_ms: self.hold_ms,
            retention_ms: self.retention_ms,
        }
    }
}

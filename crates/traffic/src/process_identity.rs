//! Judges which process listens at the address of a server.
//!
//! An established connection shows that some process listens there, and an entry in service
//! discovery names the process that wrote it last. A process that starts at the same address
//! accepts connections before its entry is known, so only what a process states about itself shows
//! which one it is.

use crate::directory::{ServerEntry, identity};

/// What a process stated about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// It rejected a request because it is not the expected server.
    pub is_misdirected: bool,
    /// Its name in service discovery.
    pub name: Option<String>,
    /// Unix time of its start, in milliseconds.
    pub started_ms: Option<u64>,
}

/// Relation of a process to the entry of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessIdentity {
    /// It is the process that the entry names.
    Same,
    /// It is another one, so the process that the entry names has ended.
    Other,
    /// It stated nothing that shows which one it is.
    Unknown,
}

impl ProcessIdentity {
    /// Returns the value of the log field `identity` and of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

impl Statement {
    /// Compares the process with the entry of a server. If the entry tells a start, names may be
    /// used again, so a name alone does not identify the process.
    pub fn compare(&self, server: &ServerEntry) -> ProcessIdentity {
        let is_other_name = self.name.as_ref().is_some_and(|name| *name != server.name);
        if self.is_misdirected || is_other_name {
            return ProcessIdentity::Other;
        }
        match (self.started_ms, server.reports_start()) {
            (Some(_), true) if identity(&server.name, self.started_ms) == server.id => {
                ProcessIdentity::Same
            }
            (Some(_), true) => ProcessIdentity::Other,
            (None, false) if self.name.is_some() => ProcessIdentity::Same,
            _ => ProcessIdentity::Unknown,
        }
    }
}

//! Answers of the gateway's own.

use super::request::RETRY_LATER_MS;
use super::writer::ClientWriter;
use crate::daemon::Daemon;
use crate::http::write::{ResponseFraming, reason, response_head};
use std::io;

/// An answer that no server gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnAnswer {
    /// Status.
    pub status: u16,
    /// What the client may do, as text.
    pub remedy: &'static str,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    close: bool,
}

/// More is held for slow peers than there is memory for: the request has not run.
pub fn no_room() -> OwnAnswer {
    OwnAnswer::not_run("this daemon holds too much for slow peers", RETRY_LATER_MS)
}

impl OwnAnswer {
    /// An answer with a status and what the client may do.
    pub fn new(status: u16, remedy: &'static str) -> Self {
        Self {
            status,
            remedy,
            retry_after_ms: None,
            close: false,
        }
    }

    /// It has not run and never will; come back after this time.
    pub fn not_run(remedy: &'static str, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..Self::new(503, remedy)
        }
    }

    /// It has not run and never will, because its tenant is at its limit; come back after
    /// this time.
    pub fn over_limit(remedy: &'static str, retry_after_ms: u64) -> Self {
        Self {
            status: 429,
            ..Self::not_run(remedy, retry_after_ms)
        }
    }

    /// The connection is closed behind it.
    pub fn closing(mut self) -> Self {
        self.close = true;
        self
    }

    /// Writes it.
    ///
    /// # Errors
    /// The client is gone.
    pub async fn write(
        &self,
        daemon: &Daemon,
        request_id: Option<&str>,
        writer: &mut ClientWriter,
    ) -> io::Result<()> {
        let headers = daemon.dialect.own_answer(request_id, self.retry_after_ms);
        let body = self.remedy.as_bytes();
        let close = self.close || daemon.sends_away();
        let mut bytes = response_head(
            self.status,
            reason(self.status),
            &headers,
            ResponseFraming::Length(body.len()),
            close,
        );
        bytes.extend_from_slice(body);
        daemon
            .metrics
            .answers
            .with_label_values(&[&self.status.to_string()])
            .inc();
        writer.write(&bytes).await
    }
}

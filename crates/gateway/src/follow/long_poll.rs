//! How long a read of a followed topic waits for a change: each read is a call of the log
//! that is paid for, so as long as the bounds of the sheet allow.
//!
//! An open connection may fall silent for good, which only the time-out of the read shows.
//! That counts as a disturbance: the daemon owes nothing until it went undisturbed for
//! `contact_ms`, and everything from then on. A read that was sent right before the silence
//! ends with its time-out, and the next one, on a new connection, has to be answered by
//! then. So, whatever the bounds of configuration, draining and evacuation are, a read may
//! wait for `contact_ms` less these; none of them is lengthened by it, since a connection that is
//! well tells of a change at once.

use crate::settings::GatewaySettings;
use fieldhook_log::follow::{READ_MARGIN, RESUME_DELAY};
use std::time::Duration;

/// Reads wait for this at least: shorter ones would cost more calls than they are worth on
/// any sheet.
const SHORTEST: Duration = Duration::from_millis(500);
/// The log holds a read for no longer.
const LONGEST: Duration = Duration::from_millis(30_000);
/// The configuration is confirmed with the end of each read that brings nothing. Keys that
/// have to be confirmed within a time go on being served where the read ends this much
/// before it: an answer on its way from a busy log.
const CONFIRM_SLACK: Duration = Duration::from_millis(300);

/// Longest wait of reads that follow each other after a pause.
pub fn max_wait(contact: Duration, pause: Duration) -> Duration {
    let wait = contact.saturating_sub(READ_MARGIN + RESUME_DELAY + pause);
    wait.clamp(SHORTEST, LONGEST)
}

/// Longest wait of a read of the configuration and the operator's records.
pub fn max_config_wait(settings: &GatewaySettings) -> Duration {
    let wait = max_wait(contact(settings), Duration::ZERO);
    match settings.revocation_ms {
        Some(limit_ms) => {
            let limit = Duration::from_millis(limit_ms);
            wait.min(limit.saturating_sub(CONFIRM_SLACK)).max(SHORTEST)
        }
        None => wait,
    }
}

/// Longest wait of a read of the servers, which follows a pause.
pub fn max_server_wait(settings: &GatewaySettings, pause: Duration) -> Duration {
    max_wait(contact(settings), pause)
}

fn contact(settings: &GatewaySettings) -> Duration {
    Duration::from_millis(settings.bounds.contact_ms)
}

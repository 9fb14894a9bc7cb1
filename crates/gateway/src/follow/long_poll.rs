//! Wait times of long-poll reads of followed topics. Every read is a billed log call, so reads
//! wait as long as the time bounds in the settings allow.
//!
//! An open connection may stop responding for good, which only the timeout of a read reveals. This
//! counts as lost contact: the time bounds of the settings apply again once contact has been
//! undisturbed for `contact_ms`. If a connection stops responding right after a read was sent,
//! that read has to time out and the next one, on a new connection, has to be answered, both within
//! `contact_ms`. A read may therefore wait for `contact_ms` less [`READ_MARGIN`], [`RESUME_DELAY`]
//! and the pause between reads. The bounds of configuration, draining and
//! evacuation are not affected, since a healthy connection delivers a change at once.

use crate::settings::GatewaySettings;
use fieldhook_log::follow::{READ_MARGIN, RESUME_DELAY};
use std::time::Duration;

/// Shortest wait, also where the time bounds ask for less. Shorter reads cost more log calls than
/// they are worth in any deployment.
const MIN_WAIT: Duration = Duration::from_millis(500);
/// Longest wait that the log accepts.
const MAX_WAIT: Duration = Duration::from_millis(30_000);
/// Time left for the reply of a busy log. Each read that ends without a change confirms the
/// configuration. Where API keys have to be confirmed within a limit, the read ends this much
/// before the limit, so that requests with these keys are served without interruption.
const CONFIRM_MARGIN: Duration = Duration::from_millis(300);

/// Returns the longest wait of successive reads that are `pause` apart.
pub fn max_wait(contact: Duration, pause: Duration) -> Duration {
    let wait = contact.saturating_sub(READ_MARGIN + RESUME_DELAY + pause);
    wait.clamp(MIN_WAIT, MAX_WAIT)
}

/// Returns the longest wait of a read of the configuration topic, which also has evacuations.
pub fn max_config_wait(settings: &GatewaySettings) -> Duration {
    let wait = max_wait(contact(settings), Duration::ZERO);
    match settings.revocation_ms {
        Some(limit_ms) => {
            let limit = Duration::from_millis(limit_ms);
            wait.min(limit.saturating_sub(CONFIRM_MARGIN)).max(MIN_WAIT)
        }
        None => wait,
    }
}

/// Returns the longest wait of a read of the servers topic, where reads are `pause` apart.
pub fn max_server_wait(settings: &GatewaySettings, pause: Duration) -> Duration {
    max_wait(contact(settings), pause)
}

fn contact(settings: &GatewaySettings) -> Duration {
    Duration::from_millis(settings.bounds.contact_ms)
}

//! Attempts in progress of a daemon, backed up at another daemon.
//!
//! The daemon that sent a request is the first that learns of the end of its server. If it is lost
//! itself, nobody else knows that there was an attempt. So it tells another daemon, its backup, which
//! attempts it begins and ends. The backup takes over the attempts in progress of a daemon that is
//! lost: it finds out what became of their servers. docs/design/lost-senders.md describes the
//! alternatives.

mod attempts;
mod choice;
mod senders;

pub use attempts::AttemptsInProgress;
pub use choice::BackupChoice;
pub use senders::{BackupChange, LossCause, LostSender, MAX_ATTEMPTS, Senders};

/// Interval at which a daemon with attempts in progress is heard, in milliseconds.
pub const HEARTBEAT_MS: u64 = 200;
/// Interval at which a daemon without any is heard, so that others know its address, in milliseconds.
pub const IDLE_HEARTBEAT_MS: u64 = 1_000;
/// A daemon with attempts in progress that was not heard for this long is lost, in milliseconds.
pub const LOST_AFTER_MS: u64 = 3 * HEARTBEAT_MS;
/// Interval at which a backup checks whether the daemons were heard, in milliseconds.
pub const CHECK_PERIOD_MS: u64 = HEARTBEAT_MS / 2;

//! Client side of the log service: an interface to it, and on top of that the following of topics,
//! the ownership of partitions and group commit. Adapters implement [`api::LogStore`] for the
//! protocol of a given service.
//!
//! - [`api`]: the interface to the log service.
//! - [`appender`]: group commit for one owned partition.
//! - [`claim_delay`]: delay that lets more capable machines claim first.
//! - [`claims`]: follows and makes claims on partitions.
//! - [`eligibility`]: restricts the partitions that a daemon may own.
//! - [`follow`]: follows one compacted partition.
//! - [`hedge`]: repeats an append until its outcome is known.
//! - [`lease`]: limits how long an owner may act as the only one.
//! - [`log_health`]: whether the service answers.
//! - [`mirror`]: copy of a followed topic that a reader serves.
//! - [`ownership`]: table of partition owners.
//! - [`random_delay`]: delay before competing appends.
//! - [`reach`]: distinguishes an outage of the log from a lost connection of this daemon.
//! - [`reader_selector`]: selects the readers that a daemon asks.
//! - [`readers`]: daemons that read followed topics for others.
//! - [`round_trip`]: estimate of the answer time.
//! - [`trimmer`]: deletes the history of one owned partition.
//! - [`wire`]: binary form of the calls.

pub mod api;
pub mod appender;
pub mod claim_delay;
pub mod claims;
pub mod crash_watch;
pub mod eligibility;
pub mod follow;
pub mod hedge;
pub mod lease;
pub mod log_health;
pub mod mirror;
pub mod ownership;
pub mod random_delay;
pub mod reach;
pub mod reader_replies;
pub mod reader_selector;
pub mod readers;
pub mod round_trip;
pub mod trimmer;
pub mod wire;

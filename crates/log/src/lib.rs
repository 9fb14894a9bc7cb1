//! The log service as the product needs it, and what is built on it: following
//! topics, owning partitions, appending in groups. An adapter speaks the protocol
//! of the service at hand.
//!
//! - [`api`]: the calls and their outcomes.
//! - [`readers`]: who reads the followed topics for others; [`reader_selector`]: whom these ask;
//!   [`mirror`]: what a reader keeps for them.
//! - [`random_delay`]: who of many goes first.
//! - [`log_health`]: when the service last answered.
//! - [`follow`]: following one compacted partition.
//! - [`ownership`]: the table of owners.
//! - [`claims`]: learning of owners and becoming one.
//! - [`eligibility`]: which partitions a daemon may own.
//! - [`appender`]: group commit of one owned partition.
//! - [`lease`]: how long an owner may act as the only one.
//! - [`hedge`]: one append, repeated until its outcome is known.
//! - [`claim_delay`]: who claims first.
//! - [`reach`]: whether the log is down or this daemon cut off.
//! - [`round_trip`]: how long an answer takes.
//! - [`trimmer`]: dropping the history of one owned partition.
//! - [`wire`]: the calls in binary form, for the stand-in.

pub mod api;
pub mod appender;
pub mod claim_delay;
pub mod claims;
pub mod eligibility;
pub mod follow;
pub mod hedge;
pub mod lease;
pub mod log_health;
pub mod mirror;
pub mod ownership;
pub mod random_delay;
pub mod reach;
pub mod reader_selector;
pub mod readers;
pub mod round_trip;
pub mod trimmer;
pub mod wire;

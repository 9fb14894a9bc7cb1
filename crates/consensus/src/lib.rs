//! One group's replicated log, without I/O, clock or disk.
//!
//! This is Raft (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm", 2014) with the additions of Ongaro's thesis that the
//! setting asks for: pre-vote, leader transfer, learners, one membership
//! change at a time, and a leader lease. A replica that loses its memory is
//! a new replica with a new identity and never votes as the old one, so the
//! algorithm's need for stable storage is met without a disk.
//!
//! The owner feeds [`Input`]s and carries out the [`Action`]s. Time is what
//! the owner says it is, in milliseconds of a monotonic clock.

mod election;
mod lease;
mod log;
mod members;
mod message;
mod progress;
mod reconcile;
mod replica;
mod replication;
mod settings;

pub use log::{Entry, Payload};
pub use members::{MemberChange, Members};
pub use message::{Append, AppendReply, Body, Message, Snapshot, Vote, VoteReply};
pub use reconcile::{Candidates, plan_change};
pub use replica::{Action, Input, ProposeError, Replica, Role};
pub use settings::{Settings, SettingsError};

//! The ledger of programs: stores chains of turns and enforces token budgets. It does no I/O.
//!
//! Programs are hashed to partitions of a compacted topic. Each partition has one owner at a time,
//! which holds its state in memory and appends records to the topic. A new owner recovers the state
//! from the newest record of each key.
//!
//! Terms:
//!
//! - A turn is one request of a client to a model and the response to it.
//! - A program is a group of turns under one name, which share a token budget and an engine.
//! - The chain of a turn is that turn and the turns that it continues, back to the first one. It
//!   may contain turns of other programs.
//! - A session is a group of turns of a program that the client runs one after another. A program
//!   may run several sessions in parallel.
//! - The gateway of a turn is the daemon that received it from the client.
//! - The owner of a partition is the daemon whose claim on it is the newest. Its successor is the
//!   next owner, and the previous owner the one before it.
//! - A home partition is bound to one region and stores contents only. All other partitions are
//!   global: see [`layout`].
//! - A program without a record is uncertain for some time after a takeover, the uncertainty
//!   window, because a previous owner may have started it: see [`uncertainty`].
//!
//! Modules:
//!
//! - [`name`]: names of programs and turns, qualified by tenant.
//! - [`layout`]: which partition stores what, and which region may own it.
//! - [`message`]: messages between daemons, mainly requests to the owner of a partition and its
//!   replies.
//! - [`record`]: records of the topic and their keys.
//! - [`budget`]: the token budget of one program.
//! - [`chains`]: chains of completed turns, with their contents.
//! - [`open_turns`]: turns in progress of a program, and which of them are in doubt.
//! - [`ended_turns`]: recently ended turns, for deduplication.
//! - [`uncertainty`]: programs that may have started without a record before a takeover.
//! - [`streams`]: which server sent the first event of a stream that a client may resume.
//! - [`crashes`]: requests under which servers ended.
//! - [`backup`]: attempts in progress of a daemon, backed up at another one.
//! - [`software`]: the software that may have begun streams, by service.
//! - [`partition`]: the state machine of one partition.

pub mod backup;
pub mod budget;
pub mod chains;
pub mod crashes;
pub mod ended_turns;
pub mod layout;
pub mod message;
pub mod name;
pub mod open_turns;
pub mod partition;
pub mod record;
pub mod software;
pub mod streams;
mod tenant_map;
pub mod uncertainty;

use xxhash_rust::xxh3::xxh3_64;

/// Partition of a program, for a given number of partitions.
pub fn partition_of(program: &str, partitions: u32) -> u32 {
    (xxh3_64(program.as_bytes()) % u64::from(partitions.max(1))) as u32
}

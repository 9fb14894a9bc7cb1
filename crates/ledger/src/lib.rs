//! The ledger of programs: chains of turns and token budgets, without I/O.
//!
//! Programs hash to partitions of a compacted topic. One owner at a time keeps a
//! partition in memory and appends what must outlive it; a later owner begins
//! from the newest record of each key.
//!
//! - [`name`]: names of programs and turns within their tenants.
//! - [`layout`]: which partition keeps what, and which region may own it.
//! - [`message`]: what gateways ask an owner, and its answers.
//! - [`record`]: what is appended, and its keys.
//! - [`budget`]: how much of its budget a program may still hand out.
//! - [`open`]: the turns under way of a program, and which of them are in doubt.
//! - [`uncertainty`]: programs that no record tells of after a take-over.
//! - [`ended`]: ends of turns that are remembered.
//! - [`partition`]: the state machine of one partition.

pub mod budget;
pub mod ended;
pub mod layout;
pub mod message;
pub mod name;
pub mod open;
pub mod partition;
pub mod record;
pub mod uncertainty;

use xxhash_rust::xxh3::xxh3_64;

/// The partition that a program belongs to.
pub fn partition_of(program: &str, partitions: u32) -> u32 {
    (xxh3_64(program.as_bytes()) % u64::from(partitions.max(1))) as u32
}

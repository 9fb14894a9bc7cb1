//! Identifiers of programs and shards.

use nanoserde::{DeBin, SerBin};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

/// Index of a shard, from 0 up to the configured number of shards.
pub type ShardId = u16;

/// Prefix of a program identifier's text form, which is followed by the hexadecimal
/// digits of the shard and of the hash.
const PREFIX: &str = "p-";
const SHARD_DIGITS: usize = 4;
const HASH_DIGITS: usize = 16;

/// Identifier of a program. It contains the program's shard, so that every daemon
/// finds the shard without a lookup. A sub-agent is on the shard of its root.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ProgramId {
    /// The shard that holds the program and orders its calls.
    pub shard: ShardId,
    hash: u64,
}

impl ProgramId {
    /// Returns the identifier of a root program. The same tenant and request key
    /// give the same identifier, which makes opening a program idempotent.
    pub fn root(tenant: &str, request_key: &str, shard_count: u16) -> Self {
        let hash = xxh3_64(format!("{tenant}\n{request_key}").as_bytes());
        Self {
            shard: (hash % u64::from(shard_count.max(1))) as ShardId,
            hash,
        }
    }

    /// Returns the identifier of a sub-agent, which is on its parent's shard.
    pub fn child(parent: ProgramId, request_key: &str) -> Self {
        let hash = xxh3_64(format!("{parent}\n{request_key}").as_bytes());
        Self {
            shard: parent.shard,
            hash,
        }
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{PREFIX}{:04x}{:016x}", self.shard, self.hash)
    }
}

impl fmt::Debug for ProgramId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Error for text that is not a program identifier.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidProgramId;

impl FromStr for ProgramId {
    type Err = InvalidProgramId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_prefix(PREFIX).ok_or(InvalidProgramId)?;
        if digits.len() != SHARD_DIGITS + HASH_DIGITS || !digits.is_ascii() {
            return Err(InvalidProgramId);
        }
        let (shard, hash) = digits.split_at(SHARD_DIGITS);
        Ok(Self {
            shard: u16::from_str_radix(shard, 16).map_err(|_| InvalidProgramId)?,
            hash: u64::from_str_radix(hash, 16).map_err(|_| InvalidProgramId)?,
        })
    }
}

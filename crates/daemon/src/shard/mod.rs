//! Shards: fixed partitions of all programs, each owned by one daemon at a time and
//! kept on the log.
//!
//! - [`host`]: one owned shard.
//! - [`storage`]: how its state stands on the log.
//! - [`manage`]: taking shards up, giving them up, claiming orphaned ones.
//! - [`live_call`]: a call that runs under this owner.

mod host;
mod live_call;
mod manage;
pub mod storage;

pub use host::{ShardHost, Unsettled};
pub use live_call::LiveCall;
pub use manage::{act_on_claim, owner_of, run_management};

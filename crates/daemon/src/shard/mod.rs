//! Shards: fixed partitions of all programs, each owned by one daemon at a time and
//! kept on the log.
//!
//! - [`host`]: one owned shard.
//! - [`storage`]: how its state stands on the log.
//! - [`ownership`]: taking shards up, giving them up, claiming orphaned ones.
//! - [`live_call`]: a call that runs under this owner.

mod host;
mod live_call;
mod ownership;
pub mod storage;

pub use host::{ProposeError, ShardHost};
pub use live_call::LiveCall;
pub use ownership::{apply_claim, owner_of, run_claiming};

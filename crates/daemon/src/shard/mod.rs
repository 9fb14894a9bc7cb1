//! Shards: a fixed partitioning of all programs. Each shard is owned by one daemon at a time and
//! stored on the log.
//!
//! - [`host`]: a shard that this daemon owns.
//! - [`storage`]: representation of its state on the log.
//! - [`ownership`]: loads claimed shards, drops lost ones, and claims those whose owner is gone.
//! - [`live_call`]: output of a call that runs under this owner.

mod host;
mod live_call;
mod ownership;
pub mod storage;

pub use host::{ProposeError, ShardHost};
pub use live_call::LiveCall;
pub use ownership::{apply_claim, owner_of, run_claiming};

//! Replicas of shards on this daemon.

mod drive;
mod host;
mod live_call;
mod manage;

pub use drive::{carry_out, propose, receive_message, run_shards};
pub use host::{ShardHost, Unsettled};
pub use live_call::LiveCall;
pub use manage::{form_group, retire_host, run_management};

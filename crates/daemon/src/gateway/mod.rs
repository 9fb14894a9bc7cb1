//! The caller's side: check a request, find the owner of its shard, and relay
//! the answer, through changes of owner.

mod calls;
mod commands;
mod input;
mod owner_lookup;
mod programs;
mod relay;
mod source;

pub use calls::post_call;
pub use commands::send_command;
pub use input::{error_response, parse_program};
pub use programs::{delete_program, post_program, show_program};
pub use source::encode_frame;

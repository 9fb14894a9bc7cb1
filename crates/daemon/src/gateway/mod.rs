//! The caller's side of a call: validates the request, finds the owner of the shard, and relays the
//! response, even if the owner changes.

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

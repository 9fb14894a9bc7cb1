//! The owner's side of a call: admits it, records that it is about to run, dispatches it, records
//! its outcome, and streams its output to readers.

mod admission;
mod attempt;
mod commands;
mod follow;
mod maintenance;
mod message;
mod model_attempt;
mod placement;
mod server_attempt;

pub use admission::serve_call;
pub use attempt::resume_calls;
pub use commands::serve_command;
pub use maintenance::run_maintenance;
pub use message::{CallMessage, CommandMessage, CommandReply, Position};

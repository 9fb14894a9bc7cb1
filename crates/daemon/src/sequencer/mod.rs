//! The owner's side of a call: admit it, record its intent, dispatch it,
//! record its outcome, and let readers follow.

mod admission;
mod attempt;
mod commands;
mod follow;
mod message;
mod model_attempt;
mod place;
mod server_attempt;
mod upkeep;

pub use admission::serve_call;
pub use attempt::take_over;
pub use commands::serve_command;
pub use message::{CallMessage, CommandMessage, CommandReply, Position};
pub use upkeep::run_upkeep;

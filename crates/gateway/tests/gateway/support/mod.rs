//! Support for tests: gateways in the test process, scripted servers, and a client.

mod act;
mod client;
mod dialect;
mod log_capture;
mod process;
mod recording_log;
mod response;
mod server;
mod world;

pub use act::Act;
pub use client::Reply;
pub use log_capture::LogCapture;
pub use response::response_head;
pub use server::{Seen, Server};
pub use world::{
    CONFIG, EntryWriter, Gateway, OWNERS_SETTLED, SERVERS, World, config, config_with_tenants,
    tenant,
};

use std::time::Duration;

/// Timeout for expected events.
const LIMIT: Duration = Duration::from_secs(5);

/// Runs a test on its own runtime.
pub fn run<F: Future<Output = ()> + 'static>(test: F) {
    ntex::rt::System::new("gateway-tests", ntex::rt::DefaultRuntime).block_on(test);
}

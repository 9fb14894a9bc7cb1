//! A gateway in the test's process, servers that do as they are told, and a client.

mod client;
mod dialect;
mod log_capture;
mod server;
mod spy;
mod world;

pub use client::Reply;
pub use log_capture::LogCapture;
pub use server::{Act, Seen, Server};
pub use world::{CONFIG, Gateway, SERVERS, World, config, config_with_tenants, tenant};

use std::time::Duration;

/// How long a test waits for what has to come.
const LIMIT: Duration = Duration::from_secs(5);

/// Runs a test on a system of its own.
pub fn run<F: Future<Output = ()> + 'static>(test: F) {
    ntex::rt::System::new("gateway-tests", ntex::rt::DefaultRuntime).block_on(test);
}

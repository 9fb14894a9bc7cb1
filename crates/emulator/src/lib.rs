//! Stand-ins for what fieldhook meets outside itself: model engines, the
//! append-only log, the machine list, the weight store, and tool or
//! application servers. Each runs as its own process and takes its faults
//! over a control route.

pub mod engine;
pub mod faults;
pub mod log;
pub mod machines;
pub mod serve;
pub mod server;
pub mod weights;

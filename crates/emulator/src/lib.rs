//! Emulators of the external services that fieldhook depends on: model
//! engines, the log service, the machine list, the weight store, and tool or
//! application servers. Each one runs as its own process and accepts fault
//! injection over a control route, except [`log::memory`] and [`endless`], which serve in a
//! test's process.

pub mod endless;
pub mod engine;
pub mod faults;
pub mod log;
pub mod machines;
pub mod serve;
pub mod server;
pub mod weights;

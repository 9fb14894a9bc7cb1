//! UDP transport of the failure detector.

mod datagram;

pub use datagram::{Datagram, run_datagrams};

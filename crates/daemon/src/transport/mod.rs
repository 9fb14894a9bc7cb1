//! Messages of the failure detector, by datagram.

mod datagram;

pub use datagram::{Datagram, run_datagrams};

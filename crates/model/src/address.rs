//! Network identity of a daemon: its address and its process.

use nanoserde::{DeBin, SerBin};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

/// An IPv4 address and port. The same port number serves HTTP over TCP and
/// the failure detector over UDP. Six bytes on the wire.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Address {
    ip: u32,
    port: u16,
}

impl Address {
    /// Creates an address from a socket address.
    pub fn new(socket: SocketAddrV4) -> Self {
        Self {
            ip: u32::from(*socket.ip()),
            port: socket.port(),
        }
    }

    /// Returns the address as a socket address.
    pub fn socket(self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.ip), self.port)
    }
}

impl fmt::Display for Address {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.socket())
    }
}

impl fmt::Debug for Address {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for Address {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self::new)
    }
}

/// Identity of a daemon's process. A daemon stores nothing on disk, so after a
/// restart at the same address it is a new process with a higher incarnation and
/// none of the previous state.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ProcessId {
    /// Address on which the process listens.
    pub address: Address,
    /// Start of the process in milliseconds since the Unix epoch. It only has to
    /// increase from one process at an address to the next.
    pub incarnation: u64,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.address, self.incarnation)
    }
}

impl fmt::Debug for ProcessId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

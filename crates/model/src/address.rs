//! Network identity of a daemon: where it listens and which process answers.

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
    /// Builds an address from its socket form.
    pub fn new(socket: SocketAddrV4) -> Self {
        Self {
            ip: u32::from(*socket.ip()),
            port: socket.port(),
        }
    }

    /// The form that sockets take.
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

/// One life of one process. A daemon keeps no disk, so a restart at the same
/// address is a new process with a higher incarnation and none of the state
/// of the old one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ProcessId {
    /// Where the process listens.
    pub address: Address,
    /// Start of the process in milliseconds since the Unix epoch; it only has
    /// to grow from one life to the next.
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

//! The platform's list of machines, in which other writers may leave entries that cannot be read.

use crate::platform::Machine;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// A list of machines as received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MachineList {
    /// The entries that could be read.
    pub machines: Vec<Machine>,
    /// Why the other entries could not be read, in their order.
    pub problems: Vec<String>,
}

impl MachineList {
    /// Parses each entry by itself, so that one that cannot be read does not affect the others.
    pub fn parse(entries: &[Box<RawValue>]) -> Self {
        let mut list = Self::default();
        for entry in entries {
            match parse_machine(entry.get()) {
                Ok(machine) => list.machines.push(machine),
                Err(problem) => list.problems.push(problem),
            }
        }
        list
    }
}

fn parse_machine(text: &str) -> Result<Machine, String> {
    let machine: Machine = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let address: Option<SocketAddr> = machine.address.parse().ok();
    match address.filter(|address| address.port() != 0) {
        Some(_) => Ok(machine),
        None => Err(format!(
            "address of {}: {} is not IP:PORT",
            machine.name, machine.address
        )),
    }
}

//! Port allocation for a cluster's processes.

use fieldhook_bench::cluster::free_port;
use std::collections::HashSet;

/// Enough for the system, which picks from some thousands of ports, to repeat one.
const PORTS: usize = 600;

#[test]
fn free_port_never_repeats_a_port() {
    let ports: HashSet<u16> = (0..PORTS)
        .map(|_| free_port().expect("a free port"))
        .collect();
    assert_eq!(ports.len(), PORTS);
}

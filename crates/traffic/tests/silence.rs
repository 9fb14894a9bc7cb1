//! Servers whose machines are unreachable become silent, and slow servers do not.

use fieldhook_traffic::silence::SilenceDetector;
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn zone_of(server: &str) -> &'static str {
    if server.starts_with('a') { "a" } else { "b" }
}

fn contact(detector: &mut SilenceDetector, server: &str, now_ms: u64) -> bool {
    detector.record_contact(server, zone_of(server), now_ms)
}

fn connect_timeout(detector: &mut SilenceDetector, server: &str, now_ms: u64) -> bool {
    detector.record_connect_timeout(server, zone_of(server), now_ms)
}

#[test]
fn two_consecutive_connect_timeouts_make_a_server_silent() {
    let mut detector = SilenceDetector::default();
    assert!(!connect_timeout(&mut detector, "a1", 1_000));
    assert!(!detector.is_silent("a1", 1_000));
    assert!(detector.is_suspect("a1", "a", 1_000));
    contact(&mut detector, "b1", 1_100);
    assert!(connect_timeout(&mut detector, "a1", 1_200));
    assert!(detector.is_silent("a1", 1_200));
    assert!(!detector.is_silent("a2", 1_200));
    assert!(contact(&mut detector, "a1", 1_300));
    assert!(!detector.is_silent("a1", 1_300));
    assert!(!detector.is_suspect("a1", "a", 1_300));
}

#[test]
fn one_timeout_is_enough_if_another_server_of_the_zone_times_out() {
    let mut detector = SilenceDetector::default();
    connect_timeout(&mut detector, "a1", 1_000);
    contact(&mut detector, "b1", 1_050);
    connect_timeout(&mut detector, "a2", 1_040);
    assert!(detector.is_silent("a1", 1_060));
    assert!(detector.is_silent("a2", 1_060));
    // A server that was never probed is suspect: its kept connections are not used.
    assert!(detector.is_suspect("a3", "a", 1_060));
    assert!(!detector.is_silent("a3", 1_060));
    // A contact with the zone clears it, and its servers with a single timeout.
    contact(&mut detector, "a3", 1_070);
    assert!(!detector.is_silent("a1", 1_070));
    assert!(!detector.is_suspect("a4", "a", 1_070));
}

#[test]
fn more_timeouts_are_needed_without_any_contact() {
    let mut detector = SilenceDetector::default();
    contact(&mut detector, "b1", 500);
    for now_ms in [1_000, 1_200, 1_400] {
        connect_timeout(&mut detector, "a1", now_ms);
        connect_timeout(&mut detector, "a2", now_ms);
        assert!(!detector.is_silent("a1", now_ms));
    }
    connect_timeout(&mut detector, "a1", 1_600);
    assert!(detector.is_silent("a1", 1_600));
}

#[test]
fn connect_timeouts_expire() {
    let mut detector = SilenceDetector::default();
    connect_timeout(&mut detector, "a1", 1_000);
    contact(&mut detector, "b1", 1_000);
    connect_timeout(&mut detector, "a1", 1_200);
    assert!(detector.is_silent("a1", 3_199));
    assert!(!detector.is_silent("a1", 3_200));
    // The count starts again.
    connect_timeout(&mut detector, "a1", 4_000);
    contact(&mut detector, "b1", 4_000);
    assert!(!detector.is_silent("a1", 4_000));
}

/// State of a server in the reference model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The machine accepts connections, whether the server is fast, slow or hangs.
    Reachable,
    /// The machine has no power, or its network is partitioned.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    SetState(usize, State),
    /// A request probes the server with a connection.
    Probe(usize),
    /// A probe fails because a packet is lost on a saturated link.
    LoseProbe(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let server = usize::arbitrary(g) % SERVERS.len();
        match u8::arbitrary(g) % 8 {
            0 => Self::Wait(u64::arbitrary(g) % 900),
            1 => Self::SetState(server, State::Unreachable),
            2 => Self::SetState(server, State::Reachable),
            3 => Self::LoseProbe(server),
            _ => Self::Probe(server),
        }
    }
}

const SERVERS: [&str; 5] = ["a1", "a2", "a3", "b1", "b2"];

/// The reference model counts failed probes. A server is never silent without a recent failed
/// probe since its last contact. A server with four failed probes in a row, each within two
/// seconds of the one before, is always silent.
#[test]
fn only_servers_with_failed_probes_are_silent() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut detector = SilenceDetector::default();
        let mut now_ms = 1_000;
        let mut states = [State::Reachable; SERVERS.len()];
        let mut failed_probes: [Vec<u64>; SERVERS.len()] = Default::default();
        for step in steps {
            now_ms += 1;
            match step {
                Step::Wait(ms) => now_ms += ms,
                Step::SetState(server, state) => states[server] = state,
                Step::Probe(server) if states[server] == State::Reachable => {
                    contact(&mut detector, SERVERS[server], now_ms);
                    failed_probes[server].clear();
                }
                Step::Probe(server) | Step::LoseProbe(server) => {
                    connect_timeout(&mut detector, SERVERS[server], now_ms);
                    failed_probes[server].push(now_ms);
                }
            }
            for (server, name) in SERVERS.iter().enumerate() {
                let silent = detector.is_silent(name, now_ms);
                let failed = &failed_probes[server];
                let recent = failed.last().is_some_and(|at_ms| now_ms < at_ms + 2_000);
                if silent && !recent {
                    return false;
                }
                let is_series = failed.len() >= 4
                    && recent
                    && failed[failed.len() - 4..]
                        .windows(2)
                        .all(|pair| pair[1] < pair[0] + 2_000);
                if is_series && !silent {
                    return false;
                }
                // One failed probe alone makes no server silent.
                let others = SERVERS.iter().enumerate().filter(|(other, name)| {
                    *other != server
                        && zone_of(name) == zone_of(SERVERS[server])
                        && !failed_probes[*other].is_empty()
                });
                if silent && failed.len() < 2 && others.count() == 0 {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 11))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

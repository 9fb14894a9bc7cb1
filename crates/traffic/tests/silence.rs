//! Servers that are slow are waited for, and servers whose machines are gone are not.

use fieldhook_traffic::silence::SilenceDetector;
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn zone_of(server: &str) -> &'static str {
    if server.starts_with('a') { "a" } else { "b" }
}

fn heard(silence: &mut SilenceDetector, server: &str, now_ms: u64) -> bool {
    silence.record_contact(server, zone_of(server), now_ms)
}

fn missed(silence: &mut SilenceDetector, server: &str, now_ms: u64) -> bool {
    silence.record_connect_timeout(server, zone_of(server), now_ms)
}

#[test]
fn two_connections_in_a_row_that_do_not_come_about_make_a_server_silent() {
    let mut silence = SilenceDetector::default();
    assert!(!missed(&mut silence, "a1", 1_000));
    assert!(!silence.is_silent("a1", 1_000));
    assert!(silence.is_suspect("a1", "a", 1_000));
    heard(&mut silence, "b1", 1_100);
    assert!(missed(&mut silence, "a1", 1_200));
    assert!(silence.is_silent("a1", 1_200));
    assert!(!silence.is_silent("a2", 1_200));
    assert!(heard(&mut silence, "a1", 1_300));
    assert!(!silence.is_silent("a1", 1_300));
    assert!(!silence.is_suspect("a1", "a", 1_300));
}

#[test]
fn one_is_enough_where_a_second_server_of_the_zone_misses_too() {
    let mut silence = SilenceDetector::default();
    missed(&mut silence, "a1", 1_000);
    heard(&mut silence, "b1", 1_050);
    missed(&mut silence, "a2", 1_040);
    assert!(silence.is_silent("a1", 1_060));
    assert!(silence.is_silent("a2", 1_060));
    // One that was never tried is in doubt: what is kept to it is not used.
    assert!(silence.is_suspect("a3", "a", 1_060));
    assert!(!silence.is_silent("a3", 1_060));
    // A word from the zone ends its doubt, and that of the servers that missed once.
    heard(&mut silence, "a3", 1_070);
    assert!(!silence.is_silent("a1", 1_070));
    assert!(!silence.is_suspect("a4", "a", 1_070));
}

#[test]
fn where_nothing_is_heard_at_all_the_own_link_may_be_full() {
    let mut silence = SilenceDetector::default();
    heard(&mut silence, "b1", 500);
    for now_ms in [1_000, 1_200, 1_400] {
        missed(&mut silence, "a1", now_ms);
        missed(&mut silence, "a2", now_ms);
        assert!(!silence.is_silent("a1", now_ms));
    }
    missed(&mut silence, "a1", 1_600);
    assert!(silence.is_silent("a1", 1_600));
}

#[test]
fn a_belief_lapses() {
    let mut silence = SilenceDetector::default();
    missed(&mut silence, "a1", 1_000);
    heard(&mut silence, "b1", 1_000);
    missed(&mut silence, "a1", 1_200);
    assert!(silence.is_silent("a1", 3_199));
    assert!(!silence.is_silent("a1", 3_200));
    // It begins anew.
    missed(&mut silence, "a1", 4_000);
    heard(&mut silence, "b1", 4_000);
    assert!(!silence.is_silent("a1", 4_000));
}

/// What a server of the oracle does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Its machine answers: whether the server is quick, slow or hangs is the same here.
    Reached,
    /// Power off, or a cut.
    Gone,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    Set(usize, State),
    /// The watch of a request tries the server.
    Try(usize),
    /// A packet of a try is lost on a full link, once.
    Lose(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let server = usize::arbitrary(g) % SERVERS.len();
        match u8::arbitrary(g) % 8 {
            0 => Self::Pass(u64::arbitrary(g) % 900),
            1 => Self::Set(server, State::Gone),
            2 => Self::Set(server, State::Reached),
            3 => Self::Lose(server),
            _ => Self::Try(server),
        }
    }
}

const SERVERS: [&str; 5] = ["a1", "a2", "a3", "b1", "b2"];

/// The oracle counts plainly: a server that was reached by its last try is never silent; one
/// that is silent failed each try since it was heard last; and one that failed four tries in
/// a row within two seconds is silent, whatever else goes on.
#[test]
fn only_servers_that_fail_their_tries_are_silent() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut silence = SilenceDetector::default();
        let mut now_ms = 1_000;
        let mut states = [State::Reached; SERVERS.len()];
        let mut fails: [Vec<u64>; SERVERS.len()] = Default::default();
        for step in steps {
            now_ms += 1;
            match step {
                Step::Pass(ms) => now_ms += ms,
                Step::Set(server, state) => states[server] = state,
                Step::Try(server) if states[server] == State::Reached => {
                    heard(&mut silence, SERVERS[server], now_ms);
                    fails[server].clear();
                }
                Step::Try(server) | Step::Lose(server) => {
                    missed(&mut silence, SERVERS[server], now_ms);
                    fails[server].push(now_ms);
                }
            }
            for (server, name) in SERVERS.iter().enumerate() {
                let silent = silence.is_silent(name, now_ms);
                let failed = &fails[server];
                let recent = failed.last().is_some_and(|at_ms| now_ms < at_ms + 2_000);
                if silent && !recent {
                    return false;
                }
                let close = failed.len() >= 4
                    && recent
                    && failed[failed.len() - 4..]
                        .windows(2)
                        .all(|pair| pair[1] < pair[0] + 2_000);
                if close && !silent {
                    return false;
                }
                // One failed try makes nobody silent alone.
                let others = SERVERS.iter().enumerate().filter(|(other, name)| {
                    *other != server
                        && zone_of(name) == zone_of(SERVERS[server])
                        && !fails[*other].is_empty()
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

//! Attempts that are over for their client while the server lives and may still run the request.

use super::{HOLD_MS, RETENTION_MS, busy, end_server, ended, granted, name};
use fieldhook_ledger::crashes::{
    AttemptEnd, CrashTable, DETACHED_HOLD_MS, DETACHED_LEASE_MS, EndedAttempt, MAX_OPEN_ATTEMPTS,
    SendDecision, WatchLevel,
};

/// Reports an attempt as detached from a process.
fn detach(table: &mut CrashTable, attempt: u64, process: &str, now_ms: u64) {
    let detached = EndedAttempt {
        hold_ms: RETENTION_MS,
        ..ended(attempt, process, AttemptEnd::Detached)
    };
    let change = table.end_attempt(&name("r"), &detached, now_ms);
    assert!(change.forgotten.is_empty());
}

/// Number of the question after which processes show that they live.
const QUESTION: u64 = 7;

/// Decides about an attempt after these processes have shown that they live.
fn send_confirmed(
    table: &mut CrashTable,
    attempt: u64,
    alive: std::ops::Range<u64>,
    now_ms: u64,
) -> SendDecision {
    for other in alive {
        table.confirm(&name("r"), other, QUESTION, now_ms);
    }
    table.request_send(&name("r"), attempt, HOLD_MS, Some(QUESTION), now_ms)
}

/// Guards against requests that are refused because their clients left early, or because servers that
/// live on reset their connections.
#[test]
fn detached_attempts_take_no_place_while_all_servers_live() {
    let mut table = CrashTable::default();
    for attempt in 0..3 * MAX_OPEN_ATTEMPTS as u64 {
        detach(&mut table, attempt, &format!("s{attempt}"), 0);
    }
    assert_eq!(table.recorded(&name("r"), 0), None);
    let decision = send_confirmed(&mut table, 99, 0..MAX_OPEN_ATTEMPTS as u64, 0);
    assert_eq!(decision, granted(&[]));
}

/// Guards against a process that ended without a sign and passes as alive, because it lived when it was
/// last heard.
#[test]
fn detached_attempts_take_places_unless_their_processes_live_after_the_question() {
    let mut table = CrashTable::default();
    for attempt in 0..2 {
        detach(&mut table, attempt, &format!("s{attempt}"), 0);
        assert!(!table.is_undecided(&name("r"), None, 0));
        assert_eq!(table.watch_level(0), WatchLevel::None);
    }
    detach(&mut table, 2, "s2", 0);
    assert_eq!(table.watch_level(0), WatchLevel::Suspected);
    assert!(table.is_undecided(&name("r"), None, 0));
    let unasked = table.request_send(&name("r"), 9, HOLD_MS, None, 0);
    assert_eq!(unasked, busy(&[]));
    for attempt in 0..3 {
        table.confirm(&name("r"), attempt, QUESTION - 1, 0);
    }
    assert_eq!(send_confirmed(&mut table, 9, 0..0, 0), busy(&[]));
    assert!(table.is_undecided(&name("r"), Some(QUESTION), 0));
    table.confirm(&name("r"), 1, QUESTION, 0);
    assert!(!table.is_undecided(&name("r"), Some(QUESTION), 0));
    assert_eq!(send_confirmed(&mut table, 9, 0..0, 0), granted(&[]));
}

/// Guards against a request that is sent on while a server that it was sent to before may still be the
/// third to end.
#[test]
fn detached_attempts_take_places_once_the_next_end_reaches_the_limit() {
    let mut table = CrashTable::default();
    for attempt in 1..4 {
        detach(&mut table, attempt, "c", 0);
    }
    end_server(&mut table, "r", "a", 0);
    let now_ms = DETACHED_HOLD_MS;
    let early = send_confirmed(&mut table, 4, 1..4, now_ms - 1);
    assert_eq!(early, busy(&["a"]));
    let decision = send_confirmed(&mut table, 4, 1..4, now_ms);
    assert_eq!(decision, granted(&["a"]));
    let end = ended(4, "b", AttemptEnd::ServerEnded);
    table.end_attempt(&name("r"), &end, now_ms);
    let busy = busy(&["a", "b"]);
    for attempt in 1..4 {
        assert_eq!(send_confirmed(&mut table, 5, 1..4, now_ms), busy);
        let alive = ended(attempt, "c", AttemptEnd::ServerAlive);
        table.end_attempt(&name("r"), &alive, now_ms);
    }
    let decision = table.request_send(&name("r"), 5, HOLD_MS, None, now_ms);
    assert_eq!(decision, granted(&["a", "b"]));
}

/// Guards against ends that are missed because the daemon that made the attempts was lost.
#[test]
fn detached_attempts_that_nobody_follows_take_places() {
    let mut table = CrashTable::default();
    for attempt in 0..3 {
        detach(&mut table, attempt, &format!("s{attempt}"), 0);
    }
    let lapsed = DETACHED_LEASE_MS;
    assert_eq!(
        table.request_send(&name("r"), 9, HOLD_MS, None, lapsed),
        busy(&[])
    );
    assert_eq!(table.watch_level(lapsed), WatchLevel::Watched);
    assert_eq!(send_confirmed(&mut table, 9, 0..3, lapsed), busy(&[]));
    detach(&mut table, 0, "s0", lapsed);
    assert_eq!(send_confirmed(&mut table, 9, 0..1, lapsed), granted(&[]));
}

/// Guards against the end of one process that counts for a detached attempt and for a later one there.
#[test]
fn end_of_a_process_counts_once_for_a_detached_attempt_and_a_later_one() {
    let mut table = CrashTable::default();
    detach(&mut table, 1, "a", 0);
    table.request_send(&name("r"), 2, HOLD_MS, None, 0);
    for attempt in [2, 1] {
        let end = ended(attempt, "a", AttemptEnd::ServerEnded);
        table.end_attempt(&name("r"), &end, 10);
    }
    assert_eq!(table.servers(&name("r"), 10), ["a"]);
}

/// Guards against an append for every renewal.
#[test]
fn renewal_of_a_detached_attempt_changes_no_record() {
    let mut table = CrashTable::default();
    end_server(&mut table, "r", "a", 0);
    for attempt in 1..3 {
        detach(&mut table, attempt, &format!("s{attempt}"), 0);
    }
    let record = table.recorded(&name("r"), 0).expect("a record").clone();
    assert_eq!(record.open.len(), 2);
    for now_ms in [1_000, 2_000, 3_000] {
        for attempt in 1..3 {
            detach(&mut table, attempt, &format!("s{attempt}"), now_ms);
        }
    }
    assert_eq!(table.recorded(&name("r"), 3_000), Some(&record));
}

/// Guards against the end of one process that counts for an attempt whose client left and for its
/// next one, so that the request is blocked after two ends.
#[test]
fn end_of_a_process_counts_once_for_an_abandoned_attempt_and_a_later_one() {
    let mut table = CrashTable::default();
    table.end_attempt(&name("r"), &ended(1, "a", AttemptEnd::Unresolved), 0);
    table.request_send(&name("r"), 2, HOLD_MS, None, 0);
    for attempt in [2, 1] {
        let end = ended(attempt, "a", AttemptEnd::ServerEnded);
        table.end_attempt(&name("r"), &end, 10);
    }
    assert_eq!(table.servers(&name("r"), 10), ["a"]);
}

//! Counts of the servers that ended under requests.

mod detached;
mod fuzz;

use fieldhook_ledger::crashes::{
    AttemptEnd, BLOCK_MS, CrashTable, EndedAttempt, MAX_OPEN_ATTEMPTS, MAX_REQUESTS,
    MAX_REQUESTS_PER_TENANT, SETTLE_MS, SendDecision, identity_of_end, successors,
};
use fieldhook_ledger::message::{ReportAttempt, RequestKey, RequestSend};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::Partition;
use fieldhook_ledger::record::Record;
use std::collections::HashMap;

const HOLD_MS: u64 = 1_000;
/// A place that is held for at least `MIN_RECORDED_HOLD_MS` is recorded.
const LONG_HOLD_MS: u64 = 4_000;
const RETENTION_MS: u64 = 60_000;

fn name(text: &str) -> QualifiedName {
    QualifiedName::new(Some("red"), text)
}

fn ended(attempt: u64, server: &str, end: AttemptEnd) -> EndedAttempt<'_> {
    EndedAttempt {
        attempt,
        server,
        end,
        known: &[],
        hold_ms: HOLD_MS,
        retention_ms: RETENTION_MS,
    }
}

/// Ends a server under a request.
fn end_server(table: &mut CrashTable, text: &str, server: &str, now_ms: u64) {
    let ended = ended(u64::MAX, server, AttemptEnd::ServerEnded);
    table.end_attempt(&name(text), &ended, now_ms);
}

/// Decision about a request for whose attempt a place is held, under which these servers ended.
fn granted(servers: &[&str]) -> SendDecision {
    SendDecision::Granted {
        servers: owned(servers),
        holds_place: true,
    }
}

fn busy(servers: &[&str]) -> SendDecision {
    SendDecision::Busy {
        servers: owned(servers),
    }
}

fn owned(servers: &[&str]) -> Vec<String> {
    servers.iter().map(|server| server.to_string()).collect()
}

fn is_blocked(decision: &SendDecision) -> bool {
    matches!(decision, SendDecision::Blocked { .. })
}

#[test]
fn request_is_blocked_after_three_servers_and_for_a_limited_time() {
    let mut table = CrashTable::default();
    for (number, server) in ["a", "b", "c"].into_iter().enumerate() {
        let decision = table.request_send(&name("r"), number as u64, HOLD_MS, None, 0);
        assert!(!is_blocked(&decision));
        let ended = ended(number as u64, server, AttemptEnd::ServerEnded);
        table.end_attempt(&name("r"), &ended, 0);
    }
    let decision = table.request_send(&name("r"), 9, HOLD_MS, None, BLOCK_MS - 1);
    let servers = ["a", "b", "c"].map(str::to_owned).to_vec();
    assert_eq!(decision, SendDecision::Blocked { servers });
    let decision = table.request_send(&name("r"), 9, HOLD_MS, None, BLOCK_MS);
    assert_eq!(decision, granted(&[]));
    assert_eq!(table.expire(BLOCK_MS), vec![]);
    assert_eq!(table.expire(BLOCK_MS + HOLD_MS), vec![name("r")]);
}

#[test]
fn one_server_counts_once_however_many_attempts_ended_with_it() {
    let mut table = CrashTable::default();
    for _ in 0..5 {
        end_server(&mut table, "r", "a", 0);
    }
    assert_eq!(table.servers(&name("r"), 0).len(), 1);
}

/// Guards against a server that starts again at once and is counted as the process before, because
/// its new entry is not known yet.
#[test]
fn server_counts_again_if_the_attempt_was_granted_after_its_end() {
    let mut table = CrashTable::default();
    end_server(&mut table, "r", "a", 0);
    for (attempt, count) in [(1, 2), (2, 3)] {
        table.request_send(&name("r"), attempt, HOLD_MS, None, 0);
        let again = ended(attempt, "a", AttemptEnd::ServerEnded);
        table.end_attempt(&name("r"), &again, 0);
        assert_eq!(table.servers(&name("r"), 0).len(), count);
    }
}

/// Guards against copies of a request that are sent side by side and together exceed the limit.
#[test]
fn attempts_in_progress_hold_places() {
    let mut table = CrashTable::default();
    end_server(&mut table, "r", "a", 0);
    end_server(&mut table, "r", "b", 0);
    assert_eq!(
        table.request_send(&name("r"), 1, HOLD_MS, None, 0),
        granted(&["a", "b"])
    );
    let busy = busy(&["a", "b"]);
    assert_eq!(table.request_send(&name("r"), 2, HOLD_MS, None, 0), busy);
    let alive = ended(1, "c", AttemptEnd::ServerAlive);
    table.end_attempt(&name("r"), &alive, 0);
    assert_eq!(
        table.request_send(&name("r"), 2, HOLD_MS, None, 0),
        granted(&["a", "b"])
    );
    assert_eq!(
        table.request_send(&name("r"), 3, HOLD_MS, None, HOLD_MS),
        granted(&["a", "b"])
    );
}

#[test]
fn open_outcomes_hold_places_until_they_are_known() {
    let mut table = CrashTable::default();
    for (attempt, server) in [(1, "a"), (2, "b"), (3, "c")] {
        let open = ended(attempt, server, AttemptEnd::Unresolved);
        table.end_attempt(&name("r"), &open, 0);
    }
    assert_eq!(
        table.request_send(&name("r"), 4, HOLD_MS, None, 0),
        busy(&[])
    );
    for (attempt, server) in [(1, "a"), (2, "b")] {
        let known = ended(attempt, server, AttemptEnd::ServerEnded);
        table.end_attempt(&name("r"), &known, 0);
    }
    assert_eq!(
        table.request_send(&name("r"), 4, HOLD_MS, None, 0),
        busy(&["a", "b"])
    );
    table.end_attempt(&name("r"), &ended(3, "c", AttemptEnd::ServerAlive), 0);
    assert_eq!(
        table.request_send(&name("r"), 4, HOLD_MS, None, 0),
        granted(&["a", "b"])
    );
}

/// Guards against two ends that count once because another daemon takes over the first attempt.
#[test]
fn attempt_that_broke_keeps_its_place_and_its_order_if_it_is_abandoned_again() {
    let mut table = CrashTable::default();
    let open = |attempt| EndedAttempt {
        hold_ms: LONG_HOLD_MS,
        ..ended(attempt, "a", AttemptEnd::Unresolved)
    };
    table.end_attempt(&name("r"), &open(1), 0);
    table.request_send(&name("r"), 2, LONG_HOLD_MS, None, 0);
    table.end_attempt(&name("r"), &open(2), 0);
    let abandoned = ended(1, "a", AttemptEnd::Unresolved);
    table.end_attempt(&name("r"), &abandoned, 0);
    table.request_send(&name("r"), 3, LONG_HOLD_MS, None, 0);
    let later_ms = HOLD_MS + 1;
    let decision = table.request_send(&name("r"), 4, HOLD_MS, None, later_ms);
    assert_eq!(decision, busy(&[]));
    for attempt in [1, 2] {
        let ended = ended(attempt, "a", AttemptEnd::ServerEnded);
        table.end_attempt(&name("r"), &ended, later_ms);
    }
    assert_eq!(table.servers(&name("r"), later_ms), ["a", "a"]);
}

/// Guards against a place that lapses because the first of two reports arrives last at the next owner.
#[test]
fn restored_place_is_not_shortened_if_the_attempt_is_abandoned() {
    let mut table = CrashTable::default();
    end_server(&mut table, "r", "a", 0);
    for attempt in [1, 2] {
        table.request_send(&name("r"), attempt, LONG_HOLD_MS, None, SETTLE_MS);
    }
    let record = table.recorded(&name("r"), SETTLE_MS).cloned();
    let mut next = CrashTable::default();
    next.restore(&name("r"), record.expect("a record"), 0);
    next.end_attempt(&name("r"), &ended(1, "b", AttemptEnd::Unresolved), 0);
    let decision = next.request_send(&name("r"), 3, HOLD_MS, None, 2 * HOLD_MS);
    assert_eq!(decision, busy(&["a"]));
}

#[test]
fn complete_response_clears_the_count_below_the_limit_only() {
    let mut table = CrashTable::default();
    end_server(&mut table, "r", "a", 0);
    end_server(&mut table, "r", "b", 0);
    let change = table.end_attempt(&name("r"), &ended(1, "c", AttemptEnd::Completed), 0);
    assert_eq!(change.record, Some(None));
    assert!(table.is_empty());
    for server in ["a", "b", "c"] {
        end_server(&mut table, "r", server, 0);
    }
    table.end_attempt(&name("r"), &ended(2, "d", AttemptEnd::Completed), 0);
    assert!(is_blocked(&table.request_send(
        &name("r"),
        3,
        HOLD_MS,
        None,
        0
    )));
}

#[test]
fn requests_of_other_tenants_and_other_content_are_not_affected() {
    let mut table = CrashTable::default();
    for server in ["a", "b", "c"] {
        end_server(&mut table, "r", server, 0);
    }
    let granted = SendDecision::UNCOUNTED;
    let foreign = QualifiedName::new(Some("blue"), "r");
    assert_eq!(table.request_send(&foreign, 1, HOLD_MS, None, 0), granted);
    assert_eq!(
        table.request_send(&name("other"), 1, HOLD_MS, None, 0),
        granted
    );
}

/// Guards against a tenant that fills the table with requests whose outcome is open.
#[test]
fn open_outcomes_of_a_tenant_displace_no_count() {
    let mut table = CrashTable::default();
    for server in ["a", "b", "c"] {
        end_server(&mut table, "r", server, 0);
    }
    for number in 0..2 * MAX_REQUESTS_PER_TENANT {
        let open = ended(1, "a", AttemptEnd::Unresolved);
        table.end_attempt(&name(&format!("open{number}")), &open, 0);
    }
    assert_eq!(table.len(), MAX_REQUESTS_PER_TENANT);
    assert!(is_blocked(&table.request_send(
        &name("r"),
        3,
        HOLD_MS,
        None,
        0
    )));
}

#[test]
fn table_is_bounded_and_forgets_the_oldest_of_the_largest_tenant() {
    let mut table = CrashTable::default();
    let mut forgotten = 0;
    for tenant in 0..8 {
        for number in 0..MAX_REQUESTS_PER_TENANT {
            let name = QualifiedName::new(Some(&format!("t{tenant}")), &format!("r{number}"));
            let change = table.end_attempt(&name, &ended(1, "a", AttemptEnd::ServerEnded), 0);
            forgotten += change.forgotten.len();
        }
    }
    assert_eq!(table.len(), MAX_REQUESTS);
    assert_eq!(forgotten, 8 * MAX_REQUESTS_PER_TENANT - MAX_REQUESTS);
}

/// Guards against a count that is lost with the owner of its partition.
#[test]
fn next_owner_restores_the_count_from_its_records() {
    let request = RequestKey {
        name: name("r"),
        program: Some("p".to_owned()),
    };
    let mut first = Partition::first(0);
    let mut records: HashMap<Vec<u8>, Vec<u8>> = HashMap::new();
    for (attempt, server) in ["a", "b", "c"].into_iter().enumerate() {
        let report = ReportAttempt {
            request: request.clone(),
            attempt: attempt as u64,
            server: server.to_owned(),
            end: AttemptEnd::ServerEnded,
            known: Vec::new(),
            hold_ms: HOLD_MS,
            retention_ms: RETENTION_MS,
        };
        for record in first.end_attempt(&report, 10) {
            records.insert(record.key(), record.value());
        }
    }
    let mut next = Partition::after_loss(20, 0);
    for (key, value) in &records {
        next.load(Record::decode(key, value).expect("a record"));
    }
    next.finish_loading();
    let send = RequestSend {
        request,
        attempt: 9,
        hold_ms: HOLD_MS,
        known: Vec::new(),
        retention_ms: RETENTION_MS,
        max_durable_wait_ms: 0,
    };
    assert!(is_blocked(&next.request_send(&send, None, 30).0));
    assert_eq!(next.expire(20 + BLOCK_MS - 1), vec![]);
    let expired = next.expire(20 + BLOCK_MS);
    assert_eq!(expired, vec![Record::Crashes(name("r"), None)]);
}

/// Guards against counts and places that end early, or never, because the clocks of two owners differ.
#[test]
fn next_owner_with_another_clock_keeps_counts_and_places_for_their_time() {
    let first_ms = 100 * BLOCK_MS;
    for next_ms in [0, first_ms - 5_000, first_ms + 5_000, 2 * first_ms] {
        let mut first = CrashTable::default();
        for server in ["a", "b"] {
            end_server(&mut first, "r", server, first_ms);
        }
        let decision = first.request_send(&name("r"), 1, RETENTION_MS, None, first_ms);
        assert_eq!(decision, granted(&["a", "b"]));
        let record = first.recorded(&name("r"), first_ms).expect("a record");
        let mut next = CrashTable::default();
        next.restore(&name("r"), record.clone(), next_ms);
        let until_ms = next_ms + RETENTION_MS;
        let decision = next.request_send(&name("r"), 2, HOLD_MS, None, until_ms - 1);
        assert_eq!(decision, busy(&["a", "b"]), "{next_ms}");
        let expired = next.expire(next_ms + BLOCK_MS);
        assert_eq!(expired, vec![name("r")], "{next_ms}");
    }
}

/// Guards against a count that was lost with its owner while the log was away, although the daemons
/// that asked were told of it.
#[test]
fn owner_learns_from_those_who_ask() {
    let mut next = Partition::after_loss(0, 0);
    let send = RequestSend {
        request: RequestKey {
            name: name("r"),
            program: None,
        },
        attempt: 1,
        hold_ms: HOLD_MS,
        known: owned(&["a", "b"]),
        retention_ms: RETENTION_MS,
        max_durable_wait_ms: 0,
    };
    let (decision, record) = next.request_send(&send, None, 10);
    assert_eq!(decision, granted(&["a", "b"]));
    assert!(matches!(record, Some(Record::Crashes(_, Some(_)))));
    let (_, record) = next.request_send(&send, None, 10);
    assert_eq!(record, None);
}

/// Guards against an end that the next owner counts alone, because the ends before were known to the
/// owner that was lost and to the daemon that reports.
#[test]
fn report_brings_the_servers_that_ended_before() {
    let mut table = CrashTable::default();
    let known = owned(&["a", "b"]);
    let again = EndedAttempt {
        known: &known,
        ..ended(1, "a", AttemptEnd::ServerEnded)
    };
    let change = table.end_attempt(&name("r"), &again, 0);
    let record = change.record.flatten().expect("a record");
    assert_eq!(record.servers, ["a", "b", "a"]);
    assert!(is_blocked(&table.request_send(
        &name("r"),
        2,
        HOLD_MS,
        None,
        0
    )));
}

/// Guards against an attempt that is granted by the next owner while one in progress may end a
/// server.
#[test]
fn next_owner_restores_the_places_of_attempts_in_progress() {
    let mut first = CrashTable::default();
    end_server(&mut first, "r", "a", 0);
    end_server(&mut first, "r", "b", 0);
    let decision = first.request_send(&name("r"), 1, HOLD_MS, None, 0);
    assert_eq!(decision, granted(&["a", "b"]));
    let mut next = CrashTable::default();
    next.restore(
        &name("r"),
        first.recorded(&name("r"), 0).expect("a record").clone(),
        0,
    );
    let again = next.request_send(&name("r"), 2, HOLD_MS, None, 10);
    assert_eq!(again, busy(&["a", "b"]));
    let change = next.end_attempt(&name("r"), &ended(1, "c", AttemptEnd::ServerAlive), 20);
    let record = change.record.flatten().expect("a record");
    assert!(record.open.is_empty());
    let again = next.request_send(&name("r"), 2, HOLD_MS, None, 30);
    assert_eq!(again, granted(&["a", "b"]));
}

/// Guards against processes that ended one after another under one identity, whose ends the next
/// owner counts as one.
#[test]
fn next_owner_counts_the_ends_of_each_attempt_in_progress() {
    let mut first = CrashTable::default();
    let open = |attempt| EndedAttempt {
        hold_ms: RETENTION_MS,
        ..ended(attempt, "a", AttemptEnd::Unresolved)
    };
    first.end_attempt(&name("r"), &open(0), 0);
    for attempt in 1..3 {
        first.request_send(&name("r"), attempt, RETENTION_MS, None, 0);
        first.end_attempt(&name("r"), &open(attempt), 0);
    }
    let record = first.recorded(&name("r"), 0).expect("a record").clone();
    let mut next = CrashTable::default();
    next.restore(&name("r"), record, 0);
    for attempt in [2, 0, 1] {
        next.end_attempt(
            &name("r"),
            &ended(attempt, "a", AttemptEnd::ServerEnded),
            10,
        );
    }
    assert!(is_blocked(&next.request_send(
        &name("r"),
        3,
        HOLD_MS,
        None,
        10
    )));
}

/// Guards against the end of one process that counts for an attempt there and, once more, for an
/// earlier one whose client had left, or for those of several daemons at the next process.
#[test]
fn ends_with_the_same_successor_count_once() {
    let mut table = CrashTable::default();
    let abandoned = ended(0, "a", AttemptEnd::Unresolved);
    table.end_attempt(&name("r"), &abandoned, 0);
    table.request_send(&name("r"), 1, RETENTION_MS, None, 10);
    let end = identity_of_end("a", Some(7));
    for attempt in [1, 0] {
        table.end_attempt(
            &name("r"),
            &ended(attempt, &end, AttemptEnd::ServerEnded),
            20,
        );
    }
    assert_eq!(table.servers(&name("r"), 20), [end.as_str()]);
    table.request_send(&name("r"), 2, RETENTION_MS, None, 30);
    let later = identity_of_end("a", Some(8));
    table.end_attempt(&name("r"), &ended(2, &later, AttemptEnd::ServerEnded), 40);
    assert_eq!(table.servers(&name("r"), 40), [end, later]);
}

/// Guards against copies side by side whose end was found in two ways.
#[test]
fn end_of_copies_side_by_side_counts_once_if_only_one_names_the_successor() {
    let mut table = CrashTable::default();
    let end = identity_of_end("a", Some(7));
    for server in ["a", end.as_str()] {
        table.end_attempt(&name("r"), &ended(1, server, AttemptEnd::ServerEnded), 0);
    }
    assert_eq!(table.servers(&name("r"), 0), ["a"]);
}

/// Guards against a record that grows with every copy of a request whose server falls silent.
#[test]
fn record_holds_a_limited_number_of_attempts() {
    let mut table = CrashTable::default();
    for attempt in 0..1_000 {
        let open = EndedAttempt {
            hold_ms: RETENTION_MS,
            ..ended(attempt, "a", AttemptEnd::Unresolved)
        };
        table.end_attempt(&name("r"), &open, 0);
    }
    let record = table.recorded(&name("r"), 0).expect("a record");
    assert_eq!(record.open.len(), MAX_OPEN_ATTEMPTS);
    let again = table.request_send(&name("r"), 1_000, HOLD_MS, None, 0);
    assert_eq!(again, busy(&[]));
}

#[test]
fn successors_are_those_of_the_server_alone() {
    let ends = ["a~1>2", "b~1>3", "a~1", "a~1>4"].map(str::to_owned);
    let starts: Vec<u64> = successors(&ends, "a~1").collect();
    assert_eq!(starts, [2, 4]);
}

/// Guards against a decision that is made while the ends of other copies are still reported.
#[test]
fn count_settles_after_each_end_below_the_limit() {
    let mut table = CrashTable::default();
    assert_eq!(table.settling_ms(&name("r"), 0), 0);
    end_server(&mut table, "r", "a", 100);
    assert_eq!(table.settling_ms(&name("r"), 100), SETTLE_MS);
    end_server(&mut table, "r", "b", 110);
    assert_eq!(table.settling_ms(&name("r"), 110), SETTLE_MS);
    assert_eq!(table.settling_ms(&name("r"), 110 + SETTLE_MS), 0);
    end_server(&mut table, "r", "c", 120);
    assert_eq!(table.settling_ms(&name("r"), 120), 0);
}

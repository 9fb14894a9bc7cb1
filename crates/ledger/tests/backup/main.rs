//! Attempts in progress that are backed up at another daemon.

mod fuzz;

use fieldhook_ledger::backup::{
    AttemptsInProgress, BackupChoice, CHECK_PERIOD_MS, LOST_AFTER_MS, LossCause, LostSender,
    MAX_ATTEMPTS, Senders,
};
use fieldhook_ledger::message::{
    AttemptServer, BackUpAttempts, BackedUpAttempt, ClosedAttempt, RequestKey, StatedProcess,
};
use fieldhook_ledger::name::QualifiedName;
use nanoserde::{DeBin, SerBin};

/// Number of a connection.
const CONNECTION: u64 = 1;

fn attempt(number: u64) -> BackedUpAttempt {
    BackedUpAttempt {
        attempt: number,
        content: RequestKey {
            name: QualifiedName::new(None, "content"),
            program: None,
        },
        request: format!("r{number}"),
        known: Vec::new(),
        retention_ms: 60_000,
        server: AttemptServer {
            name: "s1".to_owned(),
            started_ms: Some(1),
            service: "service".to_owned(),
            address: "127.0.0.1:80".to_owned(),
        },
        stated: StatedProcess::NotAsked,
        process_started_ms: None,
        limit_ms: 2_000,
        age_ms: 0,
    }
}

fn message(
    is_complete: bool,
    closed: Vec<ClosedAttempt>,
    begun: Vec<BackedUpAttempt>,
) -> BackUpAttempts {
    BackUpAttempts {
        address: "127.0.0.1:7303".to_owned(),
        incarnation: 7,
        is_complete,
        closed,
        begun,
    }
}

fn numbers(lost: &LostSender) -> Vec<u64> {
    let attempts = lost.attempts.iter();
    let mut numbers: Vec<u64> = attempts.map(|attempt| attempt.attempt).collect();
    numbers.sort_unstable();
    numbers
}

fn checked_each_period(senders: &mut Senders, from_ms: u64, to_ms: u64) -> Vec<LostSender> {
    let times = (from_ms..=to_ms).step_by(CHECK_PERIOD_MS as usize);
    times.flat_map(|at_ms| senders.find_silent(at_ms)).collect()
}

#[test]
fn message_is_decoded_as_it_was_encoded() {
    let closed = ClosedAttempt {
        attempt: 3,
        is_open: true,
    };
    let sent = message(true, vec![closed], vec![attempt(4)]);
    let decoded = BackUpAttempts::deserialize_bin(&sent.serialize_bin());
    assert_eq!(decoded.expect("decodes"), sent);
}

#[test]
fn closed_connection_yields_the_attempts_in_progress_with_their_ages() {
    let mut senders = Senders::default();
    senders.receive(CONNECTION, message(true, vec![], vec![attempt(1)]), 100);
    senders.receive(CONNECTION, message(false, vec![], vec![attempt(2)]), 150);
    let ended = ClosedAttempt {
        attempt: 1,
        is_open: false,
    };
    senders.receive(CONNECTION, message(false, vec![ended], vec![]), 200);
    let lost = senders.close(CONNECTION, 400).expect("lost");
    assert_eq!(lost.cause, LossCause::Closed);
    assert_eq!(numbers(&lost), [2]);
    assert_eq!(lost.attempts[0].age_ms, 250);
    assert_eq!(senders.close(CONNECTION, 500), None);
}

#[test]
fn sender_without_attempts_is_not_lost() {
    let mut senders = Senders::default();
    senders.receive(CONNECTION, message(true, vec![], vec![]), 0);
    assert!(checked_each_period(&mut senders, 0, 4 * LOST_AFTER_MS).is_empty());
    assert_eq!(senders.close(CONNECTION, 5 * LOST_AFTER_MS), None);
}

#[test]
fn sender_that_chose_another_backup_is_not_lost() {
    let mut senders = Senders::default();
    senders.receive(CONNECTION, message(true, vec![], vec![attempt(1)]), 0);
    senders.receive(CONNECTION, message(true, vec![], vec![]), 10);
    assert_eq!(senders.close(CONNECTION, 20), None);
}

#[test]
fn silent_sender_is_lost_once_and_may_end_its_attempts_later() {
    let mut senders = Senders::default();
    senders.receive(CONNECTION, message(true, vec![], vec![attempt(1)]), 0);
    let lost = checked_each_period(&mut senders, 0, 2 * LOST_AFTER_MS);
    assert_eq!(lost.len(), 1);
    assert_eq!(lost[0].cause, LossCause::Silent);
    assert_eq!(numbers(&lost[0]), [1]);
    let ended = ClosedAttempt {
        attempt: 1,
        is_open: false,
    };
    let late = message(false, vec![ended], vec![attempt(2)]);
    let change = senders.receive(CONNECTION, late, 3 * LOST_AFTER_MS);
    assert_eq!(change.ended, [ended]);
    let lost = senders.close(CONNECTION, 4 * LOST_AFTER_MS);
    assert_eq!(numbers(&lost.expect("lost")), [2]);
}

#[test]
fn senders_are_not_lost_after_a_pause_of_the_backup() {
    let mut senders = Senders::default();
    senders.receive(CONNECTION, message(true, vec![], vec![attempt(1)]), 0);
    assert!(senders.find_silent(0).is_empty());
    let woken_ms = 10 * LOST_AFTER_MS;
    let checked_ms = woken_ms + LOST_AFTER_MS - 1;
    assert!(checked_each_period(&mut senders, woken_ms, checked_ms).is_empty());
}

#[test]
fn attempts_of_a_sender_are_bounded() {
    let mut senders = Senders::default();
    let begun = (0..MAX_ATTEMPTS as u64 + 3).map(attempt).collect();
    let change = senders.receive(CONNECTION, message(true, vec![], begun), 0);
    assert_eq!(change.dropped, 3);
    assert_eq!(senders.attempt_count(), MAX_ATTEMPTS);
}

#[test]
fn attempt_that_is_made_again_under_its_number_is_told_anew() {
    let mut own = AttemptsInProgress::default();
    own.begin(attempt(1), 0);
    own.take_changes(0);
    own.end(1, false);
    own.begin(attempt(1), 10);
    let (closed, begun) = own.take_changes(15);
    assert_eq!(closed.len(), 1);
    assert_eq!(begun[0].age_ms, 5);
    let mut senders = Senders::default();
    senders.receive(CONNECTION, message(true, vec![], vec![attempt(1)]), 0);
    senders.receive(CONNECTION, message(false, closed, begun), 15);
    assert_eq!(senders.attempt_count(), 1);
}

#[test]
fn daemon_of_another_zone_is_chosen_if_one_is_known() {
    let [own_zone, unknown, other] =
        ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(|text| text.parse().expect("an address"));
    let candidates = [own_zone, unknown, other];
    let mut choice = BackupChoice::new("z1");
    choice.set_zone(own_zone, "z1".to_owned());
    assert_eq!(choice.choose(&candidates, 0), Some(unknown));
    choice.set_zone(other, "z2".to_owned());
    assert_eq!(choice.choose(&candidates, 0), Some(other));
    assert!(choice.is_improvable(own_zone, &candidates, 0));
    assert!(!choice.is_improvable(unknown, &candidates, 0));
    choice.set_failed(other, 0);
    choice.set_failed(unknown, 0);
    assert_eq!(choice.choose(&candidates, 1), Some(own_zone));
    assert_eq!(choice.choose(&candidates, 10_000), Some(other));
}

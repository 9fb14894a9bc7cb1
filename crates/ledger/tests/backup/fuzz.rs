//! Random attempts of a daemon with two possible backups, against an oracle that keeps what each was
//! told.

use super::{attempt, message, numbers};
use fieldhook_ledger::backup::{AttemptsInProgress, Senders};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Step {
    Begin(u8),
    End(u8),
    /// The backup is told what has changed.
    Tell,
    /// The other daemon becomes the backup; `is_left` tells the earlier one before its connection closes.
    Move {
        is_left: bool,
    },
    /// The daemon is lost, and starts again.
    Lose,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        match u8::arbitrary(source) % 16 {
            0..6 => Self::Begin(u8::arbitrary(source) % 6),
            6..10 => Self::End(u8::arbitrary(source) % 6),
            10..13 => Self::Tell,
            13 | 14 => Self::Move {
                is_left: bool::arbitrary(source),
            },
            _ => Self::Lose,
        }
    }
}

#[derive(Default)]
struct Run {
    own: AttemptsInProgress,
    backups: [Senders; 2],
    current: usize,
    connection: u64,
    /// Attempts in progress.
    open: BTreeSet<u64>,
    /// Attempts in progress as far as the backup was told.
    told: BTreeSet<u64>,
}

impl Run {
    fn connect(&mut self) {
        self.connection += 1;
        let all = self.own.take_all(0);
        let complete = message(true, vec![], all);
        self.backups[self.current].receive(self.connection, complete, 0);
        self.told = self.open.clone();
    }

    /// Closes the connection to the backup. Returns the attempts that it takes over.
    fn close(&mut self) -> Vec<u64> {
        let lost = self.backups[self.current].close(self.connection, 0);
        lost.map_or(Vec::new(), |lost| numbers(&lost))
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Begin(number) => {
                let number = u64::from(*number);
                // An attempt is not begun twice.
                if self.open.insert(number) {
                    self.own.begin(attempt(number), 0);
                }
            }
            Step::End(number) => {
                let number = u64::from(*number);
                self.open.remove(&number);
                self.own.end(number, false);
            }
            Step::Tell => {
                let (closed, begun) = self.own.take_changes(0);
                let changes = message(false, closed, begun);
                let change = self.backups[self.current].receive(self.connection, changes, 0);
                assert!(change.ended.is_empty());
                self.told = self.open.clone();
            }
            Step::Move { is_left } => {
                if *is_left {
                    let nothing = message(true, vec![], vec![]);
                    self.backups[self.current].receive(self.connection, nothing, 0);
                    self.told.clear();
                }
                let taken_over = self.close();
                assert_eq!(taken_over, self.told.iter().copied().collect::<Vec<_>>());
                self.current = 1 - self.current;
                self.connect();
            }
            Step::Lose => {
                let taken_over = self.close();
                assert_eq!(taken_over, self.told.iter().copied().collect::<Vec<_>>());
                self.own = AttemptsInProgress::default();
                self.open.clear();
                self.connect();
            }
        }
        assert_eq!(self.own.len(), self.open.len());
        let kept = self.backups[self.current].attempt_count();
        assert_eq!(kept, self.told.len());
        assert_eq!(self.backups[1 - self.current].attempt_count(), 0);
    }
}

fn backup_takes_over_what_it_was_told(steps: Vec<Step>) -> bool {
    let mut run = Run::default();
    run.connect();
    steps.iter().for_each(|step| run.step(step));
    true
}

#[test]
fn backup_takes_over_exactly_the_attempts_that_it_was_told_of() {
    let generator = Gen::from_size_and_seed(80, 69);
    QuickCheck::new()
        .rng(generator)
        .tests(2_000)
        .quickcheck(backup_takes_over_what_it_was_told as fn(Vec<Step>) -> bool);
}

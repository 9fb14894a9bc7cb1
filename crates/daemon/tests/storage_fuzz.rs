//! Recovery of a shard from the log: for any sequence of commands and snapshots, an owner that
//! reads the newest record of each key recovers the same state.

use fieldhook_daemon::shard::storage::{Snapshot, command_record, recover};
use fieldhook_log::api::KeyedRecord;
use fieldhook_model::ids::ProgramId;
use fieldhook_model::labels::Labels;
use fieldhook_program::{Command, EndReason, OpenProgram, ShardState, TimedCommand};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug)]
enum Step {
    Open(u8),
    End(u8),
    Forget,
    Apply,
    Snapshot,
    Recover,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=3 => Self::Open(u8::arbitrary(g) % 12),
            4..=5 => Self::End(u8::arbitrary(g) % 12),
            6 => Self::Forget,
            7 => Self::Apply,
            8 => Self::Snapshot,
            _ => Self::Recover,
        }
    }
}

fn program(number: u8) -> ProgramId {
    ProgramId::root("tenant", &format!("key-{number}"), 1)
}

fn command(step: Step) -> Option<Command> {
    match step {
        Step::Open(number) => Some(Command::OpenProgram(OpenProgram {
            program: program(number),
            parent: None,
            tenant: "tenant".to_owned(),
            labels: Labels::new(),
            budget: 1_000,
            deadline_ms: 60_000,
            max_turns: 10,
        })),
        Step::End(number) => Some(Command::EndProgram {
            program: program(number),
            reason: EndReason::Caller,
        }),
        Step::Forget => Some(Command::PurgeExpired),
        Step::Apply | Step::Snapshot | Step::Recover => None,
    }
}

/// Newest record of each key.
#[derive(Default)]
struct Log(BTreeMap<Vec<u8>, Vec<u8>>);

impl Log {
    fn append(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            if record.value.is_empty() {
                self.0.remove(&record.key);
            } else {
                self.0.insert(record.key, record.value);
            }
        }
    }

    fn newest(&self) -> Vec<KeyedRecord> {
        let records = self.0.iter();
        records
            .map(|(key, value)| KeyedRecord {
                key: key.clone(),
                value: value.clone(),
            })
            .collect()
    }
}

/// An owner. Commands are appended to the log first and applied in order later.
#[derive(Default)]
struct Owner {
    log: Log,
    state: ShardState,
    snapshot: Snapshot,
    unapplied: VecDeque<TimedCommand>,
    appended: u64,
    applied: u64,
}

impl Owner {
    fn append(&mut self, command: Command) {
        self.appended += 1;
        let command = TimedCommand {
            at_ms: self.appended * 1_000_000,
            command,
        };
        self.log
            .append(vec![command_record(self.appended, &command)]);
        self.unapplied.push_back(command);
    }

    fn apply_next(&mut self) {
        if let Some(command) = self.unapplied.pop_front() {
            self.applied += 1;
            self.state.apply(command);
        }
    }

    fn snapshot(&mut self) {
        let (records, advanced) = self.snapshot.advance(&self.state, self.applied);
        self.log.append(records);
        self.snapshot = advanced;
    }

    /// Lets a new owner recover the state from the log. Returns whether it equals the state after
    /// all appended commands.
    fn recovers_same_state(&mut self) -> bool {
        while !self.unapplied.is_empty() {
            self.apply_next();
        }
        let recovered = recover(&self.log.newest());
        let is_same = recovered.index == self.appended && recovered.state == self.state;
        self.snapshot = recovered.snapshot;
        is_same
    }
}

fn recovers_after_any_steps(steps: Vec<Step>) -> bool {
    let mut owner = Owner::default();
    for step in steps {
        if let Some(command) = command(step) {
            owner.append(command);
        }
        match step {
            Step::Apply => owner.apply_next(),
            Step::Snapshot => owner.snapshot(),
            Step::Recover if !owner.recovers_same_state() => return false,
            _ => {}
        }
    }
    owner.recovers_same_state()
}

#[test]
fn recovered_state_equals_the_state_after_the_last_command() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 51))
        .tests(2_000)
        .quickcheck(recovers_after_any_steps as fn(Vec<Step>) -> bool);
}

//! A shard's state on the log: whatever was appended, with a snapshot after any
//! command, an owner that reads the newest record of each key has the same state.

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

/// An owner: commands stand on the log first and are applied in order later.
#[derive(Default)]
struct World {
    log: Log,
    state: ShardState,
    snapshot: Snapshot,
    waiting: VecDeque<TimedCommand>,
    appended: u64,
    applied: u64,
}

impl World {
    fn append(&mut self, command: Command) {
        self.appended += 1;
        let command = TimedCommand {
            at_ms: self.appended * 1_000_000,
            command,
        };
        self.log
            .append(vec![command_record(self.appended, &command)]);
        self.waiting.push_back(command);
    }

    fn apply_next(&mut self) {
        if let Some(command) = self.waiting.pop_front() {
            self.applied += 1;
            self.state.apply(command);
        }
    }

    fn snapshot(&mut self) {
        let (records, advanced) = self.snapshot.advance(&self.state, self.applied);
        self.log.append(records);
        self.snapshot = advanced;
    }

    /// A new owner takes over with all that stands on the log.
    fn recovers(&mut self) -> bool {
        while !self.waiting.is_empty() {
            self.apply_next();
        }
        let recovered = recover(&self.log.newest());
        let same = recovered.index == self.appended && recovered.state == self.state;
        self.snapshot = recovered.snapshot;
        same
    }
}

fn recovers(steps: Vec<Step>) -> bool {
    let mut world = World::default();
    for step in steps {
        if let Some(command) = command(step) {
            world.append(command);
        }
        match step {
            Step::Apply => world.apply_next(),
            Step::Snapshot => world.snapshot(),
            Step::Recover if !world.recovers() => return false,
            _ => {}
        }
    }
    world.recovers()
}

#[test]
fn a_shard_is_recovered_as_it_was_after_its_last_command() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 51))
        .tests(2_000)
        .quickcheck(recovers as fn(Vec<Step>) -> bool);
}

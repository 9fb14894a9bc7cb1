//! A shard's state on the log: whatever was appended, with a snapshot after any
//! command, an owner that reads the newest record of each key has the same state.

use fieldhook_daemon::shard::storage::{Snapshot, command_record, recover};
use fieldhook_log::api::KeyedRecord;
use fieldhook_model::ids::ProgramId;
use fieldhook_model::labels::Labels;
use fieldhook_program::{Command, EndReason, Open, ShardState, TimedCommand};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
enum Step {
    Open(u8),
    End(u8),
    Forget,
    Snapshot,
    Recover,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=3 => Self::Open(u8::arbitrary(g) % 12),
            4..=5 => Self::End(u8::arbitrary(g) % 12),
            6 => Self::Forget,
            7..=8 => Self::Snapshot,
            _ => Self::Recover,
        }
    }
}

fn program(number: u8) -> ProgramId {
    ProgramId::root("tenant", &format!("key-{number}"), 1)
}

fn command(step: Step) -> Option<Command> {
    match step {
        Step::Open(number) => Some(Command::Open(Open {
            program: program(number),
            parent: None,
            tenant: "tenant".to_owned(),
            labels: Labels::new(),
            budget: 1_000,
            deadline_ms: 60_000,
            max_turns: 10,
        })),
        Step::End(number) => Some(Command::End {
            program: program(number),
            reason: EndReason::Caller,
        }),
        Step::Forget => Some(Command::Forget),
        Step::Snapshot | Step::Recover => None,
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

fn recovers(steps: Vec<Step>) -> bool {
    let mut log = Log::default();
    let mut state = ShardState::default();
    let mut snapshot = Snapshot::default();
    let mut index = 0;
    for step in steps {
        if let Some(command) = command(step) {
            index += 1;
            let command = TimedCommand {
                at_ms: index * 1_000_000,
                command,
            };
            log.append(vec![command_record(index, &command)]);
            state.apply(command);
        }
        match step {
            Step::Snapshot => {
                let (records, advanced) = snapshot.advance(&state, index);
                log.append(records);
                snapshot = advanced;
            }
            Step::Recover => {
                let recovered = recover(&log.newest());
                if recovered.index != index || recovered.state != state {
                    return false;
                }
                snapshot = recovered.snapshot;
            }
            _ => {}
        }
    }
    let recovered = recover(&log.newest());
    recovered.index == index && recovered.state == state
}

#[test]
fn a_shard_is_recovered_as_it_was_after_its_last_command() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 51))
        .tests(2_000)
        .quickcheck(recovers as fn(Vec<Step>) -> bool);
}

//! How a shard's state stands on the log: a snapshot of each program, and the
//! commands that came after it.
//!
//! Records are keyed, so that the log keeps the newest of each for good: a program
//! by its identifier, a command by its index, and the mark that says up to which
//! command the programs go. A snapshot is one append: the programs that changed, the
//! mark, and deletions of the commands that it covers.

use fieldhook_log::api::KeyedRecord;
use fieldhook_model::ids::ProgramId;
use fieldhook_program::{Program, ShardState, TimedCommand};
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Topic of the shards' states.
pub const SHARDS_TOPIC: &str = "keyed.shards";
/// Topic of the claims of shards.
pub const SHARD_OWNERS_TOPIC: &str = "keyed.shard-owners";
/// Commands after which a snapshot is due, which bounds what a recovery reads.
pub const SNAPSHOT_COMMANDS: u64 = 400;

const COMMAND_KEY: u8 = b'c';
const PROGRAM_KEY: u8 = b'p';
const MARK_KEY: u8 = b'm';

/// Up to which command the programs on the log go.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
struct Mark {
    index: u64,
    clock_ms: u64,
}

/// A shard's state as read from the log.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Index of the last command.
    pub index: u64,
    /// The state after it.
    pub state: ShardState,
    /// What the log's snapshot holds.
    pub snapshot: Snapshot,
}

/// What the newest snapshot on the log holds: digests of programs, and the index.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Last command that it covers.
    pub index: u64,
    programs: BTreeMap<ProgramId, u64>,
}

fn make_key(kind: u8, rest: &[u8]) -> Vec<u8> {
    let mut key = vec![kind];
    key.extend_from_slice(rest);
    key
}

fn command_key(index: u64) -> Vec<u8> {
    make_key(COMMAND_KEY, &index.to_be_bytes())
}

fn program_key(id: ProgramId) -> Vec<u8> {
    make_key(PROGRAM_KEY, id.to_string().as_bytes())
}

/// The record of a command.
pub fn command_record(index: u64, command: &TimedCommand) -> KeyedRecord {
    KeyedRecord {
        key: command_key(index),
        value: command.serialize_bin(),
    }
}

impl Snapshot {
    /// The records that bring the log's snapshot up to a state, and the snapshot
    /// that stands there then.
    pub fn advance(&self, state: &ShardState, index: u64) -> (Vec<KeyedRecord>, Snapshot) {
        let mut records = Vec::new();
        let mut programs = BTreeMap::new();
        for (id, program) in &state.programs {
            let value = program.serialize_bin();
            let digest = xxh3_64(&value);
            programs.insert(*id, digest);
            if self.programs.get(id) != Some(&digest) {
                let key = program_key(*id);
                records.push(KeyedRecord { key, value });
            }
        }
        let gone = self.programs.keys().filter(|id| !programs.contains_key(id));
        records.extend(gone.map(|id| deletion(program_key(*id))));
        let mark = Mark {
            index,
            clock_ms: state.clock_ms,
        };
        records.push(KeyedRecord {
            key: make_key(MARK_KEY, &[]),
            value: mark.serialize_bin(),
        });
        records.extend((self.index + 1..=index).map(|covered| deletion(command_key(covered))));
        (records, Snapshot { index, programs })
    }
}

fn deletion(key: Vec<u8>) -> KeyedRecord {
    KeyedRecord {
        key,
        value: Vec::new(),
    }
}

/// Puts a state together from the newest record of each key.
pub fn recover(records: &[KeyedRecord]) -> Recovered {
    let mut recovered = Recovered::default();
    let mut commands: BTreeMap<u64, TimedCommand> = BTreeMap::new();
    for record in records {
        match record.key.split_first() {
            Some((&PROGRAM_KEY, id)) => read_program(&mut recovered, id, &record.value),
            Some((&MARK_KEY, _)) => read_mark(&mut recovered, &record.value),
            Some((&COMMAND_KEY, index)) => read_command(&mut commands, index, &record.value),
            _ => {}
        }
    }
    recovered.index = recovered.snapshot.index;
    // A command that does not follow was written by nobody: appends are in order.
    for (index, command) in commands.split_off(&(recovered.index + 1)) {
        if index != recovered.index + 1 {
            tracing::error!(event = "command_missing", index, after = recovered.index);
            break;
        }
        recovered.state.apply(command);
        recovered.index = index;
    }
    recovered
}

fn read_program(recovered: &mut Recovered, id: &[u8], value: &[u8]) {
    let id = std::str::from_utf8(id).ok().and_then(|id| id.parse().ok());
    let program = Program::deserialize_bin(value).ok();
    if let (Some(id), Some(program)) = (id, program) {
        recovered.snapshot.programs.insert(id, xxh3_64(value));
        recovered.state.programs.insert(id, program);
    }
}

fn read_mark(recovered: &mut Recovered, value: &[u8]) {
    if let Ok(mark) = Mark::deserialize_bin(value) {
        recovered.snapshot.index = mark.index;
        recovered.state.clock_ms = mark.clock_ms;
    }
}

fn read_command(commands: &mut BTreeMap<u64, TimedCommand>, index: &[u8], value: &[u8]) {
    let index = index.try_into().ok().map(u64::from_be_bytes);
    let command = TimedCommand::deserialize_bin(value).ok();
    if let (Some(index), Some(command)) = (index, command) {
        commands.insert(index, command);
    }
}

//! Representation of a shard's state on the log: a snapshot of each program, and the commands after
//! the snapshot.
//!
//! The log keeps the newest record of each key. There is a record for each program (by identifier),
//! for each command (by index), and a mark with the index of the last command that the snapshot
//! covers. A snapshot is a single append with the changed programs, the mark, and deletions of the
//! commands that it covers.

use fieldhook_log::api::KeyedRecord;
use fieldhook_model::ids::ProgramId;
use fieldhook_program::{Program, ShardState, TimedCommand};
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Topic with the states of shards.
pub const SHARDS_TOPIC: &str = "keyed.shards";
/// Topic with the claims on shards.
pub const SHARD_OWNERS_TOPIC: &str = "keyed.shard-owners";
/// Number of commands after which a snapshot is appended. Limits the number of commands that a
/// recovery has to read.
pub const SNAPSHOT_COMMANDS: u64 = 400;

const COMMAND_KEY: u8 = b'c';
const PROGRAM_KEY: u8 = b'p';
const MARK_KEY: u8 = b'm';

/// The last command that the snapshot on the log covers.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
struct Mark {
    index: u64,
    clock_ms: u64,
}

/// State of a shard as recovered from the log.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Index of the last command.
    pub index: u64,
    /// State after the last command.
    pub state: ShardState,
    /// Content of the snapshot on the log.
    pub snapshot: Snapshot,
}

/// Content of the newest snapshot on the log: the index that it covers, and a digest of each
/// program.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Index of the last command that it covers.
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

/// Returns the record of a command.
pub fn command_record(index: u64, command: &TimedCommand) -> KeyedRecord {
    KeyedRecord {
        key: command_key(index),
        value: command.serialize_bin(),
    }
}

impl Snapshot {
    /// Returns the records that update the snapshot on the log to a state, and the content of the
    /// updated snapshot.
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

/// Recovers the state from the newest record of each key.
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
    // Owners append commands in order, so a gap should not occur. The commands after it are
    // ignored.
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

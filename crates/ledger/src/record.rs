//! Records of the compacted topic: the newest of each key is kept for good.

use nanoserde::{DeBin, SerBin};

const PROGRAM_KEY: u8 = b'p';
const TURN_KEY: u8 = b't';

/// A turn whose end is not known yet.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OpenReservation {
    /// Identity of the turn.
    pub turn: String,
    /// Tokens reserved for it.
    pub tokens: u64,
}

/// Budget of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ProgramRecord {
    /// Tokens of ended turns.
    pub settled: u64,
    /// Turns under way.
    pub open: Vec<OpenReservation>,
    /// Tokens reserved ahead of turns that were not yet asked for.
    pub ahead: u64,
    /// The latest ended turns, so that a repeated end counts once.
    pub ended: Vec<String>,
    /// Unix time of the last change, in milliseconds.
    pub changed_ms: u64,
}

/// A turn that ended whole.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TurnRecord {
    /// Program that it belongs to.
    pub program: String,
    /// Turn that it went on from.
    pub previous: Option<String>,
    /// New input.
    pub input: Vec<u8>,
    /// Output as the next turn's prompt holds it.
    pub output: Vec<u8>,
    /// Unix time of its end, in milliseconds.
    pub ended_ms: u64,
    /// How long it is kept, in milliseconds.
    pub retention_ms: u64,
}

/// What a record says; `None` deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Budget of a program.
    Program(String, Option<ProgramRecord>),
    /// Content of a turn.
    Turn(String, Option<TurnRecord>),
}

/// A record that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadableRecord;

impl Record {
    /// Key in the topic.
    pub fn key(&self) -> Vec<u8> {
        let (kind, name) = match self {
            Self::Program(name, _) => (PROGRAM_KEY, name),
            Self::Turn(name, _) => (TURN_KEY, name),
        };
        let mut key = Vec::with_capacity(name.len() + 1);
        key.push(kind);
        key.extend_from_slice(name.as_bytes());
        key
    }

    /// Value in the topic; empty where the key is deleted.
    pub fn value(&self) -> Vec<u8> {
        match self {
            Self::Program(_, Some(record)) => record.serialize_bin(),
            Self::Turn(_, Some(record)) => record.serialize_bin(),
            _ => Vec::new(),
        }
    }

    /// Reads a record.
    ///
    /// # Errors
    /// The key or the value is not one of this module's.
    pub fn read(key: &[u8], value: &[u8]) -> Result<Self, UnreadableRecord> {
        let (kind, name) = key.split_first().ok_or(UnreadableRecord)?;
        let name = String::from_utf8(name.to_vec()).map_err(|_| UnreadableRecord)?;
        match (*kind, value.is_empty()) {
            (PROGRAM_KEY, true) => Ok(Self::Program(name, None)),
            (TURN_KEY, true) => Ok(Self::Turn(name, None)),
            (PROGRAM_KEY, false) => ProgramRecord::deserialize_bin(value)
                .map(|record| Self::Program(name, Some(record)))
                .map_err(|_| UnreadableRecord),
            (TURN_KEY, false) => TurnRecord::deserialize_bin(value)
                .map(|record| Self::Turn(name, Some(record)))
                .map_err(|_| UnreadableRecord),
            _ => Err(UnreadableRecord),
        }
    }
}

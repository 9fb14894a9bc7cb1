//! Records of the compacted topic: the newest of each key is kept for good.

use crate::name::QualifiedName;
use nanoserde::{DeBin, SerBin};

/// Kinds of keys. Those of tenants' names have the tenant's length and name before the name.
const PROGRAM_KEY: u8 = b'p';
const TURN_KEY: u8 = b't';
const TENANT_PROGRAM_KEY: u8 = b'P';
const TENANT_TURN_KEY: u8 = b'T';
const DOUBT_KEY: u8 = b'd';

/// A turn whose end is not known yet.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OpenReservation {
    /// Its name: the number of the try that it is for, in hexadecimal.
    pub id: String,
    /// Tokens reserved for it.
    pub tokens: u64,
    /// Nobody may wait for it: see [`crate::open`]. A planned stop hands this on.
    pub in_doubt: bool,
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
    /// Reservations of ended turns, so that a repeated end counts once: see [`crate::ended`].
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
    Program(QualifiedName, Option<ProgramRecord>),
    /// Content of a turn.
    Turn(QualifiedName, Option<TurnRecord>),
    /// Successors in a row that may have handed out their part of programs without a record:
    /// see [`crate::uncertainty`].
    UnrecordedShares(u32),
}

/// A record that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadableRecord;

impl Record {
    /// Key in the topic, of a name that [fits](Name::fits).
    pub fn key(&self) -> Vec<u8> {
        let (kind, tenant_kind, name) = match self {
            Self::Program(name, _) => (PROGRAM_KEY, TENANT_PROGRAM_KEY, name),
            Self::Turn(name, _) => (TURN_KEY, TENANT_TURN_KEY, name),
            Self::UnrecordedShares(_) => return vec![DOUBT_KEY],
        };
        let mut key = Vec::with_capacity(name.text.len() + 1);
        match &name.tenant {
            None => key.push(kind),
            Some(tenant) => {
                key.push(tenant_kind);
                key.push(tenant.len() as u8);
                key.extend_from_slice(tenant.as_bytes());
            }
        }
        key.extend_from_slice(name.text.as_bytes());
        key
    }

    /// Value in the topic; empty where the key is deleted.
    pub fn value(&self) -> Vec<u8> {
        match self {
            Self::Program(_, Some(record)) => record.serialize_bin(),
            Self::Turn(_, Some(record)) => record.serialize_bin(),
            Self::UnrecordedShares(successors) => successors.serialize_bin(),
            _ => Vec::new(),
        }
    }

    /// Reads a record.
    ///
    /// # Errors
    /// The key or the value is not one of this module's.
    pub fn read(key: &[u8], value: &[u8]) -> Result<Self, UnreadableRecord> {
        let (kind, name) = key.split_first().ok_or(UnreadableRecord)?;
        if *kind == DOUBT_KEY && name.is_empty() {
            let successors = u32::deserialize_bin(value).map_err(|_| UnreadableRecord)?;
            return Ok(Self::UnrecordedShares(successors));
        }
        let (kind, name) = match *kind {
            TENANT_PROGRAM_KEY => (PROGRAM_KEY, tenants_name(name)?),
            TENANT_TURN_KEY => (TURN_KEY, tenants_name(name)?),
            kind => (kind, QualifiedName::new(None, text(name)?)),
        };
        match (kind, value.is_empty()) {
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

fn text(bytes: &[u8]) -> Result<&str, UnreadableRecord> {
    std::str::from_utf8(bytes).map_err(|_| UnreadableRecord)
}

/// The tenant's length, the tenant, and a name of its own.
fn tenants_name(key: &[u8]) -> Result<QualifiedName, UnreadableRecord> {
    let (length, rest) = key.split_first().ok_or(UnreadableRecord)?;
    let (tenant, name) = rest
        .split_at_checked(usize::from(*length))
        .ok_or(UnreadableRecord)?;
    Ok(QualifiedName::new(Some(text(tenant)?), text(name)?))
}

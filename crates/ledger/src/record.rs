//! Records of the compacted topic. The log keeps the newest record of each key.

use crate::crashes::CrashRecord;
use crate::name::QualifiedName;
use crate::software::ServiceSoftware;
use crate::streams::StreamRecord;
use nanoserde::{DeBin, SerBin};

/// Key prefixes. Keys of tenants' names continue with the length of the tenant name (one byte) and
/// the tenant name.
const PROGRAM_KEY: u8 = b'p';
const TURN_KEY: u8 = b't';
const TENANT_PROGRAM_KEY: u8 = b'P';
const TENANT_TURN_KEY: u8 = b'T';
const STREAM_KEY: u8 = b's';
const TENANT_STREAM_KEY: u8 = b'S';
const CRASH_KEY: u8 = b'c';
const TENANT_CRASH_KEY: u8 = b'C';
const SOFTWARE_KEY: u8 = b'v';
const UNRECORDED_SHARES_KEY: u8 = b'd';

/// Reservation of a turn whose end is not known yet.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OpenReservation {
    /// Id of the reservation: the attempt number in hexadecimal.
    pub id: String,
    /// Reserved tokens.
    pub tokens: u64,
    /// Whether the turn is in doubt: its client may no longer wait for it, see
    /// [`crate::open_turns`]. Only used after a planned handover; after a loss of the owner all
    /// open turns are in doubt.
    pub in_doubt: bool,
}

/// Budget state of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ProgramRecord {
    /// Tokens delivered by ended turns.
    pub settled_tokens: u64,
    /// Reservations of turns in progress.
    pub open_reservations: Vec<OpenReservation>,
    /// Tokens reserved ahead, for turns that were not requested yet.
    pub reserved_ahead: u64,
    /// Reservation ids of ended turns, used to count a repeated end only once: see
    /// [`crate::ended_turns`].
    pub ended_reservations: Vec<String>,
    /// Unix time of the last change, in milliseconds.
    pub changed_ms: u64,
}

/// Content of a turn that completed.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TurnRecord {
    /// Program of the turn.
    pub program: String,
    /// Turn that this one continues.
    pub previous: Option<String>,
    /// New input of the turn.
    pub input: Vec<u8>,
    /// Output, in the form in which the prompt of the next turn contains it.
    pub output: Vec<u8>,
    /// Unix time when the owner received the end, in milliseconds.
    pub ended_ms: u64,
    /// How long the turn is stored from then on, in milliseconds.
    pub retention_ms: u64,
}

/// Content of a record; `None` is a tombstone that deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Budget state of a program.
    Program(QualifiedName, Option<ProgramRecord>),
    /// Content of a turn.
    Turn(QualifiedName, Option<TurnRecord>),
    /// Number of consecutive successors that may have granted their share to programs without a
    /// record: see [`crate::uncertainty`].
    UnrecordedShares(u32),
    /// Origin of a stream.
    Stream(QualifiedName, Option<StreamRecord>),
    /// Servers that ended under a request, by its content.
    Crashes(QualifiedName, Option<CrashRecord>),
    /// Software that may have begun streams of a service.
    Software(String, Option<ServiceSoftware>),
}

/// A key or value that cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadableRecord;

impl Record {
    /// Key in the topic. The name must [fit](QualifiedName::fits_record_key).
    pub fn key(&self) -> Vec<u8> {
        let (kind, tenant_kind, name) = match self {
            Self::Program(name, _) => (PROGRAM_KEY, TENANT_PROGRAM_KEY, name),
            Self::Turn(name, _) => (TURN_KEY, TENANT_TURN_KEY, name),
            Self::Stream(name, _) => (STREAM_KEY, TENANT_STREAM_KEY, name),
            Self::Crashes(name, _) => (CRASH_KEY, TENANT_CRASH_KEY, name),
            Self::UnrecordedShares(_) => return vec![UNRECORDED_SHARES_KEY],
            Self::Software(service, _) => {
                return [&[SOFTWARE_KEY], service.as_bytes()].concat();
            }
        };
        let mut key = Vec::with_capacity(name.name.len() + 1);
        match &name.tenant {
            None => key.push(kind),
            Some(tenant) => {
                key.push(tenant_kind);
                key.push(tenant.len() as u8);
                key.extend_from_slice(tenant.as_bytes());
            }
        }
        key.extend_from_slice(name.name.as_bytes());
        key
    }

    /// Value in the topic; empty for a tombstone.
    pub fn value(&self) -> Vec<u8> {
        match self {
            Self::Program(_, Some(record)) => record.serialize_bin(),
            Self::Turn(_, Some(record)) => record.serialize_bin(),
            Self::Stream(_, Some(record)) => record.serialize_bin(),
            Self::Crashes(_, Some(record)) => record.serialize_bin(),
            Self::Software(_, Some(record)) => record.serialize_bin(),
            Self::UnrecordedShares(successors) => successors.serialize_bin(),
            _ => Vec::new(),
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// The key or the value was not written by this module.
    pub fn decode(key: &[u8], value: &[u8]) -> Result<Self, UnreadableRecord> {
        let (kind, name) = key.split_first().ok_or(UnreadableRecord)?;
        if *kind == UNRECORDED_SHARES_KEY && name.is_empty() {
            let successors = u32::deserialize_bin(value).map_err(|_| UnreadableRecord)?;
            return Ok(Self::UnrecordedShares(successors));
        }
        let (kind, name) = match *kind {
            TENANT_PROGRAM_KEY => (PROGRAM_KEY, decode_tenant_name(name)?),
            TENANT_TURN_KEY => (TURN_KEY, decode_tenant_name(name)?),
            TENANT_STREAM_KEY => (STREAM_KEY, decode_tenant_name(name)?),
            TENANT_CRASH_KEY => (CRASH_KEY, decode_tenant_name(name)?),
            kind => (kind, QualifiedName::new(None, decode_utf8(name)?)),
        };
        match (kind, value.is_empty()) {
            (PROGRAM_KEY, true) => Ok(Self::Program(name, None)),
            (TURN_KEY, true) => Ok(Self::Turn(name, None)),
            (STREAM_KEY, true) => Ok(Self::Stream(name, None)),
            (CRASH_KEY, true) => Ok(Self::Crashes(name, None)),
            (SOFTWARE_KEY, true) => Ok(Self::Software(name.name, None)),
            (PROGRAM_KEY, false) => ProgramRecord::deserialize_bin(value)
                .map(|record| Self::Program(name, Some(record)))
                .map_err(|_| UnreadableRecord),
            (TURN_KEY, false) => TurnRecord::deserialize_bin(value)
                .map(|record| Self::Turn(name, Some(record)))
                .map_err(|_| UnreadableRecord),
            (STREAM_KEY, false) => StreamRecord::deserialize_bin(value)
                .map(|record| Self::Stream(name, Some(record)))
                .map_err(|_| UnreadableRecord),
            (CRASH_KEY, false) => CrashRecord::deserialize_bin(value)
                .map(|record| Self::Crashes(name, Some(record)))
                .map_err(|_| UnreadableRecord),
            (SOFTWARE_KEY, false) => ServiceSoftware::deserialize_bin(value)
                .map(|record| Self::Software(name.name, Some(record)))
                .map_err(|_| UnreadableRecord),
            _ => Err(UnreadableRecord),
        }
    }
}

fn decode_utf8(bytes: &[u8]) -> Result<&str, UnreadableRecord> {
    std::str::from_utf8(bytes).map_err(|_| UnreadableRecord)
}

/// Decodes the tenant and the name from the part of a key that follows the prefix.
fn decode_tenant_name(key: &[u8]) -> Result<QualifiedName, UnreadableRecord> {
    let (length, rest) = key.split_first().ok_or(UnreadableRecord)?;
    let (tenant, name) = rest
        .split_at_checked(usize::from(*length))
        .ok_or(UnreadableRecord)?;
    Ok(QualifiedName::new(
        Some(decode_utf8(tenant)?),
        decode_utf8(name)?,
    ))
}

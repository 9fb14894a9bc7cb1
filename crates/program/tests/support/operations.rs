//! Random operations for the fuzz test of the shard's state machine.

use quickcheck::{Arbitrary, Gen};

/// Number of different programs that the operations use.
pub const PROGRAMS: u8 = 4;

/// One step of a fuzz case; most translate to a command.
#[derive(Clone, Copy, Debug)]
pub enum Operation {
    Open {
        program: u8,
        parent: u8,
    },
    Begin {
        program: u8,
        skip: u8,
        key: u8,
        repeatable: bool,
        tokens: u8,
    },
    Finish {
        program: u8,
        /// Whether the command names an attempt that does not exist yet.
        stale: bool,
        tokens: u8,
        failed: bool,
    },
    NextAttempt {
        program: u8,
        /// Whether the previous attempt ran.
        ran: bool,
        prefix: u8,
    },
    RefuseKey {
        program: u8,
        key: u8,
    },
    End {
        program: u8,
    },
    ReleaseCache {
        program: u8,
    },
    Advance {
        duration_ms: u16,
    },
    PurgeExpired,
    Repeat,
    Snapshot,
}

impl Arbitrary for Operation {
    fn arbitrary(generator: &mut Gen) -> Self {
        let program = u8::arbitrary(generator) % PROGRAMS;
        let key = u8::arbitrary(generator) % 12;
        let tokens = u8::arbitrary(generator) % 60;
        let flag = bool::arbitrary(generator);
        match u8::arbitrary(generator) % 20 {
            0..=1 => Self::Open {
                program,
                parent: u8::arbitrary(generator) % (2 * PROGRAMS),
            },
            2..=7 => {
                let skip = u8::arbitrary(generator) % 8;
                Self::Begin {
                    program,
                    skip,
                    key,
                    repeatable: flag,
                    tokens,
                }
            }
            8..=11 => {
                let stale = u8::arbitrary(generator).is_multiple_of(8);
                Self::Finish {
                    program,
                    stale,
                    tokens,
                    failed: flag && tokens < 20,
                }
            }
            12..=13 => Self::NextAttempt {
                program,
                ran: flag,
                prefix: tokens % 8,
            },
            14 => Self::RefuseKey { program, key },
            15 => Self::End { program },
            16 => Self::ReleaseCache { program },
            17 => Self::Advance {
                duration_ms: u16::arbitrary(generator),
            },
            18 => Self::PurgeExpired,
            _ if flag => Self::Repeat,
            _ => Self::Snapshot,
        }
    }
}

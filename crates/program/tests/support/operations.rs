//! What may happen to the program machine.

use quickcheck::{Arbitrary, Gen};

/// Programs that the operations choose from.
pub const PROGRAMS: u8 = 4;

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
        stale: bool,
        tokens: u8,
        failed: bool,
    },
    Next {
        program: u8,
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
    Release {
        program: u8,
    },
    Advance {
        span_ms: u16,
    },
    Forget,
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
            12..=13 => Self::Next {
                program,
                ran: flag,
                prefix: tokens % 8,
            },
            14 => Self::RefuseKey { program, key },
            15 => Self::End { program },
            16 => Self::Release { program },
            17 => Self::Advance {
                span_ms: u16::arbitrary(generator),
            },
            18 => Self::Forget,
            _ if flag => Self::Repeat,
            _ => Self::Snapshot,
        }
    }
}

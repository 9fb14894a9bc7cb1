//! Readers of the configuration log that skip and repeat records, restart and copy
//! state from each other always agree with one that applies the log in order.

use fieldhook_model::config_log::{ChangeOutcome, ConfigChange, ConfigState};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const READERS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Operation {
    /// An operator publishes a change based on the version that a reader has.
    Publish {
        reader: u8,
        valid: bool,
        twice: bool,
    },
    /// A reader applies some records, possibly some of them again.
    Read { reader: u8, records: u8, back: u8 },
    /// A reader adopts another's state if it is newer.
    Adopt { reader: u8, from: u8 },
    /// A reader restarts without state.
    Restart { reader: u8 },
}

impl Arbitrary for Operation {
    fn arbitrary(generator: &mut Gen) -> Self {
        let reader = u8::arbitrary(generator) % READERS as u8;
        let other = u8::arbitrary(generator) % READERS as u8;
        match u8::arbitrary(generator) % 8 {
            0..=2 => Self::Publish {
                reader,
                valid: !u8::arbitrary(generator).is_multiple_of(4),
                twice: u8::arbitrary(generator).is_multiple_of(4),
            },
            3..=5 => Self::Read {
                reader,
                records: other + 1,
                back: other % 3,
            },
            6 => Self::Adopt {
                reader,
                from: other,
            },
            _ => Self::Restart { reader },
        }
    }
}

#[derive(Default)]
struct Harness {
    log: Vec<String>,
    readers: Vec<ConfigState>,
    /// Highest version that each reader has had since its start.
    highest_version: Vec<u64>,
    published: u32,
}

impl Harness {
    fn new() -> Self {
        Self {
            readers: vec![ConfigState::default(); READERS],
            highest_version: vec![0; READERS],
            ..Self::default()
        }
    }

    fn perform(&mut self, operation: Operation) {
        match operation {
            Operation::Publish {
                reader,
                valid,
                twice,
            } => self.publish(reader, valid, twice),
            Operation::Read {
                reader,
                records,
                back,
            } => self.read(reader, records, back),
            Operation::Adopt { reader, from } => {
                let other = self.readers[usize::from(from)].clone();
                self.readers[usize::from(reader)].adopt_if_newer(other);
            }
            Operation::Restart { reader } => {
                self.readers[usize::from(reader)] = ConfigState::default();
                self.highest_version[usize::from(reader)] = 0;
            }
        }
        self.check();
    }

    fn publish(&mut self, reader: u8, valid: bool, twice: bool) {
        self.published += 1;
        let name = format!("rule-{}", self.published);
        let document = if valid {
            format!("[[rules]]\nname = {name:?}\n")
        } else {
            "colour = 1".to_owned()
        };
        let change = ConfigChange {
            based_on: self.readers[usize::from(reader)].version,
            change_key: name,
            author: "operator".to_owned(),
            document,
        };
        let text = serde_json::to_string(&change).expect("encodes");
        for _ in 0..1 + u8::from(twice) {
            self.log.push(text.clone());
        }
    }

    fn read(&mut self, reader: u8, records: u8, back: u8) {
        let state = &mut self.readers[usize::from(reader)];
        let from = state.next_offset.saturating_sub(u64::from(back));
        for offset in from..from + u64::from(records) {
            if let Some(data) = self.log.get(offset as usize) {
                state.apply_record(offset, data);
            }
        }
    }

    /// Reference model: returns the version and change key after a prefix of the log.
    /// A change is accepted if it is valid and based on the version in use.
    fn expected(&self, prefix: u64) -> (u64, String) {
        let mut version = 0;
        let mut key = String::new();
        for data in self.log.iter().take(prefix as usize) {
            let change: ConfigChange = serde_json::from_str(data).expect("decodes");
            if change.based_on == version && change.document.starts_with("[[rules]]") {
                version += 1;
                key = change.change_key;
            }
        }
        (version, key)
    }

    fn check(&mut self) {
        for (reader, state) in self.readers.iter().enumerate() {
            let expected = self.expected(state.next_offset);
            assert_eq!(
                (state.version, state.change_key.clone()),
                expected,
                "a reader differs from the reference model"
            );
            assert!(
                state.version >= self.highest_version[reader],
                "the version of a reader decreased"
            );
            self.highest_version[reader] = state.version;
        }
    }
}

fn run_operations(operations: Vec<Operation>) -> bool {
    let mut harness = Harness::new();
    for operation in operations {
        harness.perform(operation);
    }
    true
}

/// Reads a number from the environment.
fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn fuzz_config_readers_agree_with_the_reference_model() {
    let cases = env_or("FIELDHOOK_FUZZ_CASES", 500);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(
            60,
            env_or("FIELDHOOK_FUZZ_SEED", 3),
        ))
        .tests(cases)
        .max_tests(cases * 2)
        .quickcheck(run_operations as fn(Vec<Operation>) -> bool);
}

#[test]
fn only_one_of_two_concurrent_changes_is_accepted() {
    let change = |key: &str| ConfigChange {
        based_on: 0,
        change_key: key.to_owned(),
        author: String::new(),
        document: String::new(),
    };
    let mut state = ConfigState::default();
    let first = serde_json::to_string(&change("first")).expect("encodes");
    let second = serde_json::to_string(&change("second")).expect("encodes");
    assert_eq!(
        state.apply_record(0, &first),
        Some(ChangeOutcome::Accepted(1))
    );
    assert_eq!(
        state.apply_record(1, &second),
        Some(ChangeOutcome::OutOfDate(1))
    );
    assert_eq!(state.apply_record(1, &second), None);
}

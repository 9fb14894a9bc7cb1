//! Configuration: many readers that fold, miss, repeat, restart and learn from
//! each other, against one fold in order.

use fieldhook_model::config_log::{ChangeOutcome, ConfigChange, ConfigState};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const READERS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Operation {
    /// An operator publishes on the version that a reader shows.
    Publish {
        reader: u8,
        valid: bool,
        twice: bool,
    },
    /// A reader folds some records, perhaps some of them again.
    Read { reader: u8, records: u8, back: u8 },
    /// A reader takes another's state.
    Learn { reader: u8, from: u8 },
    /// A reader starts anew.
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
            6 => Self::Learn {
                reader,
                from: other,
            },
            _ => Self::Restart { reader },
        }
    }
}

#[derive(Default)]
struct Fuzz {
    log: Vec<String>,
    readers: Vec<ConfigState>,
    /// Highest version that each reader has shown since its start.
    shown: Vec<u64>,
    published: u32,
}

impl Fuzz {
    fn new() -> Self {
        Self {
            readers: vec![ConfigState::default(); READERS],
            shown: vec![0; READERS],
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
            Operation::Learn { reader, from } => {
                let other = self.readers[usize::from(from)].clone();
                self.readers[usize::from(reader)].adopt_if_newer(other);
            }
            Operation::Restart { reader } => {
                self.readers[usize::from(reader)] = ConfigState::default();
                self.shown[usize::from(reader)] = 0;
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

    /// The oracle: accepted is what is valid and based on the version before.
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
                "folds differ"
            );
            assert!(state.version >= self.shown[reader], "a reader went back");
            self.shown[reader] = state.version;
        }
    }
}

fn holds(operations: Vec<Operation>) -> bool {
    let mut fuzz = Fuzz::new();
    for operation in operations {
        fuzz.perform(operation);
    }
    true
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn fuzz_configuration_agrees_with_one_fold() {
    let cases = setting("FIELDHOOK_FUZZ_CASES", 500);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(
            60,
            setting("FIELDHOOK_FUZZ_SEED", 3),
        ))
        .tests(cases)
        .max_tests(cases * 2)
        .quickcheck(holds as fn(Vec<Operation>) -> bool);
}

#[test]
fn racing_changes_have_one_winner() {
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

//! Software that may have begun streams: what owners answer, compared with a simple oracle.

use fieldhook_ledger::partition::Partition;
use fieldhook_ledger::record::Record;
use fieldhook_ledger::software::{REMOVAL_MS, ServiceSoftware};
use fieldhook_ledger::streams::StreamOrigin;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeSet, HashMap};

const SERVICE: &str = "llm";
/// Unix time of the start of a simulation, in milliseconds.
const START_MS: u64 = 1_790_000_000_000;

/// Origin at a server whose version is the number, or unpublished for every fourth one.
fn origin(number: u8) -> StreamOrigin {
    StreamOrigin {
        service: SERVICE.to_owned(),
        server: format!("s{number}"),
        software_version: (!number.is_multiple_of(4)).then(|| format!("v{}", number / 2)),
    }
}

/// Software of a server as the oracle tells it apart.
fn key(number: u8) -> String {
    let origin = origin(number);
    origin.software_version.unwrap_or(origin.server)
}

#[derive(Clone, Debug)]
enum Step {
    /// A daemon begins a stream once the software is registered, unless the owner is lost before.
    Begin {
        server: u8,
        durable: bool,
    },
    ChangeOwner,
    Wait,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        match u8::arbitrary(source) % 6 {
            0 => Self::ChangeOwner,
            1 => Self::Wait,
            _ => Self::Begin {
                server: u8::arbitrary(source) % 8,
                durable: bool::arbitrary(source),
            },
        }
    }
}

struct Simulation {
    owner: Partition,
    log: HashMap<Vec<u8>, Vec<u8>>,
    /// Software that has begun a stream which may still be resumed.
    begun: BTreeSet<String>,
    now_ms: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            owner: Partition::first(START_MS),
            log: HashMap::new(),
            begun: BTreeSet::new(),
            now_ms: START_MS,
        }
    }

    fn append(&mut self, records: &[Record]) {
        for record in records {
            match record.value() {
                value if value.is_empty() => self.log.remove(&record.key()),
                value => self.log.insert(record.key(), value),
            };
            self.owner.record_appended(record);
        }
    }

    fn change_owner(&mut self) {
        self.owner = Partition::after_loss(self.now_ms, 0);
        for (key, value) in &self.log {
            self.owner
                .load(Record::decode(key, value).expect("a record"));
        }
        self.owner.finish_loading();
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Begin { server, durable } => {
                let records = self.owner.register_software(&origin(*server), self.now_ms);
                match records {
                    Some(_) if !durable => return self.change_owner(),
                    records => self.append(&records.unwrap_or_default()),
                }
                self.begun.insert(key(*server));
            }
            Step::ChangeOwner => self.change_owner(),
            Step::Wait => {
                self.now_ms += REMOVAL_MS;
                self.begun.clear();
                let records = self.owner.expire(self.now_ms);
                self.append(&records);
            }
        }
    }

    /// Whether an answer that names one software names the one that began all streams.
    fn is_proof(&self) -> bool {
        let answer: ServiceSoftware = self.owner.software_of(SERVICE);
        answer.only().is_none_or(|only| {
            let only = only.software_version.as_ref().unwrap_or(&only.server);
            self.begun.iter().all(|begun| begun == only)
        })
    }

    /// Whether the answer names a software, if there is just one.
    fn is_found(&self) -> bool {
        self.begun.len() != 1 || !self.owner.software_of(SERVICE).named.is_empty()
    }
}

fn answers_are_proofs(steps: Vec<Step>) -> bool {
    let mut simulation = Simulation::new();
    steps.iter().all(|step| {
        simulation.step(step);
        simulation.is_proof() && simulation.is_found()
    })
}

/// Guards against a single software that is named although a stream began at another one.
#[test]
fn one_software_is_named_only_if_no_stream_began_at_another() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 48))
        .tests(3_000)
        .quickcheck(answers_are_proofs as fn(Vec<Step>) -> bool);
}

/// Guards against servers without a version that fill the memory of an owner, one at each restart.
#[test]
fn software_is_bounded_and_the_unnamed_rest_still_counts() {
    let mut owner = Partition::first(START_MS);
    let unpublished = |number: usize| StreamOrigin {
        service: SERVICE.to_owned(),
        server: format!("s{number}"),
        software_version: None,
    };
    for number in 0..1_000 {
        let records = owner.register_software(&unpublished(number), START_MS);
        for record in records.unwrap_or_default() {
            owner.record_appended(&record);
        }
    }
    let software = owner.software_of(SERVICE);
    assert!(software.named.len() <= 16 && software.has_others);
    // Only one of the others is renewed. The first ones go, and it is not taken for one of them.
    let later_ms = START_MS + REMOVAL_MS - 1;
    assert_eq!(owner.register_software(&unpublished(999), later_ms), None);
    owner.register_software(&unpublished(0), later_ms);
    owner.expire(START_MS + REMOVAL_MS);
    let software = owner.software_of(SERVICE);
    assert_eq!((software.named.len(), software.has_others), (1, true));
    assert_eq!(software.only(), None);
}

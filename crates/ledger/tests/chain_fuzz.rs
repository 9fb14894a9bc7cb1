//! Chains of turns over changes of owner, against an oracle that keeps each turn's
//! prompt and output: a chain holds exactly its own inputs and outputs, and a turn
//! whose end was acknowledged is known within its retention. Tenants use the same names
//! for their turns; none ever goes on from a turn of another.

use fieldhook_ledger::message::{CloseTurn, OpenTurn, TurnContent};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

const RETENTION_MS: u64 = 60_000;
/// Nobody's requests, and those of two tenants.
const TENANTS: [Option<&str>; 3] = [None, Some("a"), Some("b")];

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A turn begins after one of the acknowledged ones, or anew.
    Turn {
        tenant: usize,
        after: Option<u8>,
        acknowledged: bool,
    },
    /// A turn names one that only other tenants have.
    Foreign { tenant: usize },
    /// A turn names one that never was.
    Unknown,
    /// A new owner begins from the log.
    ChangeOwner,
    /// Time passes, in seconds; what is over its time is deleted.
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let tenant = usize::arbitrary(g) % TENANTS.len();
        match u8::arbitrary(g) % 11 {
            0..=5 => Self::Turn {
                tenant,
                after: Option::arbitrary(g),
                acknowledged: u8::arbitrary(g) % 5 > 0,
            },
            6 => Self::Unknown,
            7..=8 => Self::ChangeOwner,
            9 => Self::Foreign { tenant },
            _ => Self::Wait(u8::arbitrary(g) % 30),
        }
    }
}

struct Known {
    turn: String,
    contents: Vec<u8>,
    ended_ms: u64,
}

#[derive(Default)]
struct World {
    owner: Partition,
    log: BTreeMap<Vec<u8>, Vec<u8>>,
    known: [Vec<Known>; TENANTS.len()],
    now_ms: u64,
    next: [u64; TENANTS.len()],
}

impl World {
    fn append(&mut self, records: &[Record]) {
        for record in records {
            let value = record.value();
            if value.is_empty() {
                self.log.remove(&record.key());
            } else {
                self.log.insert(record.key(), value);
            }
        }
    }

    fn open(&mut self, tenant: usize, turn: &str, previous: Option<String>) -> OpenOutcome {
        let request = OpenTurn {
            tenant: TENANTS[tenant].map(str::to_owned),
            turn: turn.to_owned(),
            attempt: 0,
            program: "p".to_owned(),
            session: None,
            previous,
            wants_chain: true,
            keeps_context: true,
            supplies_chain: false,
            budget: None,
            max_tokens: 10,
            placement: None,
            home_partition: None,
        };
        self.owner.open(&request, self.now_ms)
    }

    fn turn(&mut self, tenant: usize, after: Option<u8>, acknowledged: bool) -> bool {
        let turn = format!("t{}", self.next[tenant]);
        self.next[tenant] += 1;
        let known = &self.known[tenant];
        let previous = after
            .and_then(|index| usize::from(index).checked_rem(known.len()))
            .map(|index| &known[index]);
        let expected = previous
            .map(|known| known.contents.clone())
            .unwrap_or_default();
        let fresh = previous.is_none_or(|known| self.now_ms < known.ended_ms + RETENTION_MS);
        let name = previous.map(|known| known.turn.clone());
        let chain = match self.open(tenant, &turn, name.clone()) {
            OpenOutcome::Opened { chain, .. } => chain,
            // Over its retention a turn may be forgotten, never within it.
            _ => return !fresh,
        };
        if chain != expected {
            return false;
        }
        self.close(tenant, &turn, name, chain, acknowledged);
        true
    }

    fn close(
        &mut self,
        tenant: usize,
        turn: &str,
        previous: Option<String>,
        chain: Vec<u8>,
        acknowledged: bool,
    ) {
        let input = format!("in-{tenant}-{turn};").into_bytes();
        let output = format!("out-{tenant}-{turn}\n").into_bytes();
        let close = CloseTurn {
            tenant: TENANTS[tenant].map(str::to_owned),
            turn: turn.to_owned(),
            attempt: 0,
            program: "p".to_owned(),
            budget: None,
            max_tokens: 10,
            tokens: 1,
            content: Some(TurnContent {
                previous,
                input: input.clone(),
                output: output.clone(),
                retention_ms: RETENTION_MS,
            }),
            engine: None,
            home_partition: None,
            awaited: true,
        };
        let records = self.owner.close(&close, self.now_ms);
        if !acknowledged {
            // The owner is lost before the append: the client never gets the end.
            self.change_owner();
            return;
        }
        self.append(&records);
        let mut contents = chain;
        contents.extend_from_slice(&input);
        contents.extend_from_slice(&output);
        self.known[tenant].push(Known {
            turn: turn.to_owned(),
            contents,
            ended_ms: self.now_ms,
        });
    }

    /// Goes on from a turn of the tenant that has the most of them. One that this tenant has
    /// a turn of the same name for is passed over.
    fn foreign(&mut self, tenant: usize) -> bool {
        let other = (0..TENANTS.len()).max_by_key(|other| self.next[*other]);
        let Some(number) = other.and_then(|other| self.next[other].checked_sub(1)) else {
            return true;
        };
        if number < self.next[tenant] {
            return true;
        }
        self.open(tenant, "x", Some(format!("t{number}"))) == OpenOutcome::UnknownTurn
    }

    fn change_owner(&mut self) {
        self.owner = Partition::default();
        for (key, value) in &self.log {
            if let Ok(record) = Record::read(key, value) {
                self.owner.load(record);
            }
        }
        self.owner.finish_loading();
    }

    fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Turn {
                tenant,
                after,
                acknowledged,
            } => self.turn(tenant, after, acknowledged),
            Step::Foreign { tenant } => self.foreign(tenant),
            Step::Unknown => {
                self.open(0, "x", Some("never".to_owned())) == OpenOutcome::UnknownTurn
            }
            Step::ChangeOwner => {
                self.change_owner();
                true
            }
            Step::Wait(seconds) => {
                self.now_ms += u64::from(seconds) * 1_000;
                let records = self.owner.expire(self.now_ms);
                self.append(&records);
                true
            }
        }
    }
}

fn chains_hold(steps: Vec<Step>) -> bool {
    let mut world = World::default();
    steps.into_iter().all(|step| world.step(step))
}

#[test]
fn chains_hold_exactly_their_own_turns_over_changes_of_owner() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 31))
        .tests(3_000)
        .quickcheck(chains_hold as fn(Vec<Step>) -> bool);
}

#[test]
fn a_loop_in_a_damaged_chain_ends() {
    let mut owner = Partition::default();
    let mut world = World::default();
    world.turn(0, None, true);
    for (key, value) in &world.log {
        if let Ok(Record::Turn(name, Some(mut record))) = Record::read(key, value) {
            record.previous = Some(name.text.clone());
            owner.load(Record::Turn(name, Some(record)));
        }
    }
    owner.finish_loading();
    assert_eq!(owner.chain_contents(&QualifiedName::new(None, "t0")), None);
}

//! Chains of turns across changes of owner, checked against an oracle that keeps the prompt and
//! output of each turn. A chain contains exactly its own inputs and outputs, and a turn whose end
//! was acknowledged is known during its retention. Tenants use the same turn ids, and a turn never
//! continues a turn of another tenant.

use fieldhook_ledger::message::{CloseTurn, OpenTurn, TurnContent};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

const RETENTION_MS: u64 = 60_000;
/// Requests without a tenant, and those of two tenants.
const TENANTS: [Option<&str>; 3] = [None, Some("a"), Some("b")];

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A turn continues an acknowledged one, or starts a chain.
    Turn {
        tenant: usize,
        after: Option<u8>,
        acknowledged: bool,
    },
    /// A turn names a previous turn that only other tenants have.
    ContinueForeign { tenant: usize },
    /// A turn names a previous turn that does not exist.
    ContinueUnknown,
    /// A new owner loads the log.
    ChangeOwner,
    /// Time passes (in seconds), and expired state is deleted.
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
            6 => Self::ContinueUnknown,
            7..=8 => Self::ChangeOwner,
            9 => Self::ContinueForeign { tenant },
            _ => Self::Wait(u8::arbitrary(g) % 30),
        }
    }
}

struct KnownTurn {
    turn: String,
    contents: Vec<u8>,
    ended_ms: u64,
}

#[derive(Default)]
struct Simulation {
    owner: Partition,
    log: BTreeMap<Vec<u8>, Vec<u8>>,
    known: [Vec<KnownTurn>; TENANTS.len()],
    now_ms: u64,
    next_turn: [u64; TENANTS.len()],
}

impl Simulation {
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
            retains_context: true,
            supplies_chain: false,
            budget: None,
            max_tokens: 10,
            assignment: None,
            home_partition: None,
        };
        self.owner.open(&request, self.now_ms)
    }

    fn run_turn(&mut self, tenant: usize, after: Option<u8>, acknowledged: bool) -> bool {
        let turn = format!("t{}", self.next_turn[tenant]);
        self.next_turn[tenant] += 1;
        let known = &self.known[tenant];
        let previous = after
            .and_then(|index| usize::from(index).checked_rem(known.len()))
            .map(|index| &known[index]);
        let expected = previous
            .map(|known| known.contents.clone())
            .unwrap_or_default();
        let is_retained = previous.is_none_or(|known| self.now_ms < known.ended_ms + RETENTION_MS);
        let name = previous.map(|known| known.turn.clone());
        let chain = match self.open(tenant, &turn, name.clone()) {
            OpenOutcome::Opened { chain, .. } => chain,
            // A turn may be forgotten after its retention, but never before.
            _ => return !is_retained,
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
            delays_response: true,
        };
        let records = self.owner.close(&close, self.now_ms);
        if !acknowledged {
            // The owner is lost before the append, so the client never gets the end of the
            // response.
            self.change_owner();
            return;
        }
        self.append(&records);
        let mut contents = chain;
        contents.extend_from_slice(&input);
        contents.extend_from_slice(&output);
        self.known[tenant].push(KnownTurn {
            turn: turn.to_owned(),
            contents,
            ended_ms: self.now_ms,
        });
    }

    /// Tries to continue a turn of the tenant that has the most turns. Does nothing if this tenant
    /// has a turn with the same id.
    fn continue_foreign(&mut self, tenant: usize) -> bool {
        let other = (0..TENANTS.len()).max_by_key(|other| self.next_turn[*other]);
        let Some(number) = other.and_then(|other| self.next_turn[other].checked_sub(1)) else {
            return true;
        };
        if number < self.next_turn[tenant] {
            return true;
        }
        self.open(tenant, "x", Some(format!("t{number}"))) == OpenOutcome::UnknownTurn
    }

    fn change_owner(&mut self) {
        self.owner = Partition::default();
        for (key, value) in &self.log {
            if let Ok(record) = Record::decode(key, value) {
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
            } => self.run_turn(tenant, after, acknowledged),
            Step::ContinueForeign { tenant } => self.continue_foreign(tenant),
            Step::ContinueUnknown => {
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

fn chains_match(steps: Vec<Step>) -> bool {
    let mut simulation = Simulation::default();
    steps.into_iter().all(|step| simulation.step(step))
}

#[test]
fn chains_contain_exactly_their_own_turns_across_owner_changes() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 31))
        .tests(3_000)
        .quickcheck(chains_match as fn(Vec<Step>) -> bool);
}

#[test]
fn cycle_in_a_corrupt_chain_terminates() {
    let mut owner = Partition::default();
    let mut simulation = Simulation::default();
    simulation.run_turn(0, None, true);
    for (key, value) in &simulation.log {
        if let Ok(Record::Turn(name, Some(mut record))) = Record::decode(key, value) {
            record.previous = Some(name.name.clone());
            owner.load(Record::Turn(name, Some(record)));
        }
    }
    owner.finish_loading();
    assert_eq!(owner.chain_contents(&QualifiedName::new(None, "t0")), None);
}

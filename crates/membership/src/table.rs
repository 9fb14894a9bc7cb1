//! The newest known fact of each subject.

use crate::fact::{Fact, Member, MemberState, Subject};
use fieldhook_model::address::{Address, ProcessId};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of buckets into which subjects are hashed for the comparison of two tables.
const BUCKETS: usize = 64;

fn hash<T: Hash>(value: &T) -> u64 {
    // Must not be keyed: all daemons of one version have to compute the same hash.
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn bucket(subject: &Subject) -> usize {
    hash(subject) as usize % BUCKETS
}

/// The newest known fact of each subject.
#[derive(Debug, Default)]
pub struct FactTable {
    facts: BTreeMap<Subject, Fact>,
}

impl FactTable {
    /// Applies a fact. Returns whether it is newer than the known one.
    pub fn insert(&mut self, fact: Fact) -> bool {
        let subject = fact.subject();
        let is_newer = self
            .facts
            .get(&subject)
            .is_none_or(|known| fact.replaces(known));
        if is_newer {
            self.facts.insert(subject, fact);
        }
        is_newer
    }

    pub(crate) fn get(&self, subject: &Subject) -> Option<&Fact> {
        self.facts.get(subject)
    }

    /// Returns all facts, for a full exchange.
    pub fn all(&self) -> Vec<Fact> {
        self.facts.values().cloned().collect()
    }

    /// Digests of all facts by bucket of their subjects. Two tables differ only in buckets whose
    /// digests differ, which avoids a full exchange.
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0; BUCKETS];
        for (subject, fact) in &self.facts {
            // XOR does not depend on the order, so each fact is hashed only once.
            digests[bucket(subject)] ^= hash(fact);
        }
        digests
    }

    /// Returns the facts in buckets whose digests differ from another table's.
    pub fn differing(&self, other: &[u64]) -> Vec<Fact> {
        let own = self.digests();
        let differs = |bucket: usize| other.get(bucket) != Some(&own[bucket]);
        let facts = self
            .facts
            .iter()
            .filter(|(subject, _)| differs(bucket(subject)));
        facts.map(|(_, fact)| fact.clone()).collect()
    }

    /// All daemons, in any state.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.facts.values().filter_map(|fact| match fact {
            Fact::Member(member) => Some(member),
            _ => None,
        })
    }

    /// Returns what is known of the daemon at an address.
    pub fn member(&self, address: Address) -> Option<&Member> {
        match self.facts.get(&Subject::Member(address)) {
            Some(Fact::Member(member)) => Some(member),
            _ => None,
        }
    }

    /// Whether a process is known to have ended: it announced that it leaves, or a later process
    /// runs at its address. Missing answers are no proof.
    pub fn is_confirmed_gone(&self, id: ProcessId) -> bool {
        self.member(id.address).is_some_and(|member| {
            member.id.incarnation > id.incarnation
                || (member.id == id && member.state == MemberState::Left)
        })
    }

    /// Daemons that take part: alive or merely suspected.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| member.state <= MemberState::Suspect)
    }

    /// Largest offset up to which any daemon has applied the configuration log.
    pub fn config_offset(&self) -> u64 {
        match self.facts.get(&Subject::Config) {
            Some(Fact::ConfigOffset(offset)) => *offset,
            _ => 0,
        }
    }

    /// Whether the engine or server at an address is leaving, in the given incarnation.
    pub fn is_leaving(&self, address: &str, incarnation: u64) -> bool {
        match self.facts.get(&Subject::Leaving(address.to_owned())) {
            Some(Fact::Leaving(machine)) => {
                machine.incarnation == 0 || incarnation == 0 || machine.incarnation >= incarnation
            }
            _ => false,
        }
    }
}

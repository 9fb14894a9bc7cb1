//! All facts known here, newest per subject.

use crate::fact::{Fact, Member, MemberState, Subject};
use fieldhook_model::address::{Address, ProcessId};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

const BUCKETS: usize = 64;

fn hash<T: Hash>(value: &T) -> u64 {
    // Not keyed: all daemons of one version hash alike.
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn bucket(subject: &Subject) -> usize {
    hash(subject) as usize % BUCKETS
}

/// All facts known here, newest per subject.
#[derive(Debug, Default)]
pub struct FactTable {
    facts: BTreeMap<Subject, Fact>,
}

impl FactTable {
    /// Takes a fact in; true if it was news.
    pub fn insert(&mut self, fact: Fact) -> bool {
        let subject = fact.subject();
        let news = self
            .facts
            .get(&subject)
            .is_none_or(|known| fact.replaces(known));
        if news {
            self.facts.insert(subject, fact);
        }
        news
    }

    pub(crate) fn get(&self, subject: &Subject) -> Option<&Fact> {
        self.facts.get(subject)
    }

    /// Every fact, for a full exchange.
    pub fn all(&self) -> Vec<Fact> {
        self.facts.values().cloned().collect()
    }

    /// Digests of all facts by bucket of their subjects: two tables differ only
    /// in buckets whose digests differ, which spares a full exchange.
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0; BUCKETS];
        for (subject, fact) in &self.facts {
            // Order does not matter, so that each fact is hashed only once.
            digests[bucket(subject)] ^= hash(fact);
        }
        digests
    }

    /// Facts in buckets whose digests differ from another table's.
    pub fn differing(&self, other: &[u64]) -> Vec<Fact> {
        let own = self.digests();
        let differs = |place: usize| other.get(place) != Some(&own[place]);
        let facts = self
            .facts
            .iter()
            .filter(|(subject, _)| differs(bucket(subject)));
        facts.map(|(_, fact)| fact.clone()).collect()
    }

    /// All daemons, in whatever state.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.facts.values().filter_map(|fact| match fact {
            Fact::Member(member) => Some(member),
            _ => None,
        })
    }

    /// What is known of the daemon at an address.
    pub fn member(&self, address: Address) -> Option<&Member> {
        match self.facts.get(&Subject::Member(address)) {
            Some(Fact::Member(member)) => Some(member),
            _ => None,
        }
    }

    /// Whether a process is surely gone: another one runs at its address, or it
    /// left. Silence is no evidence.
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

    /// The longest folded prefix of the configuration log that anyone has.
    pub fn config_offset(&self) -> u64 {
        match self.facts.get(&Subject::Config) {
            Some(Fact::ConfigOffset(offset)) => *offset,
            _ => 0,
        }
    }

    /// Whether a machine of this incarnation is leaving.
    pub fn is_leaving(&self, address: &str, incarnation: u64) -> bool {
        match self.facts.get(&Subject::Leaving(address.to_owned())) {
            Some(Fact::Leaving(machine)) => {
                machine.incarnation == 0 || incarnation == 0 || machine.incarnation >= incarnation
            }
            _ => false,
        }
    }
}

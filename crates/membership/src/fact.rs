//! What daemons tell each other, and which of two statements is newer.

use fieldhook_model::address::{Address, ProcessId};
use nanoserde::{DeBin, SerBin};

/// State of a member, in the order in which equal claims override each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Did not answer lately; may object.
    Suspect,
    /// Did not object in time.
    Dead,
    /// Said itself that it goes.
    Left,
}

/// A statement about one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct Member {
    /// The process.
    pub id: ProcessId,
    /// Zone of its machine.
    pub zone: String,
    /// Its state.
    pub state: MemberState,
    /// Raised by the process itself to object to a suspicion.
    pub refutation: u32,
}

impl Member {
    fn rank(&self) -> (u64, u32, MemberState) {
        (self.id.incarnation, self.refutation, self.state)
    }
}

/// An engine or server that is going away. The mark holds for one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct LeavingMachine {
    /// Its address.
    pub address: String,
    /// Its incarnation, 0 if it has none.
    pub incarnation: u64,
}

/// A statement that spreads.
#[derive(Clone, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum Fact {
    /// About a daemon.
    Member(Member),
    /// Length of the configuration log's folded prefix, at the sender.
    ConfigOffset(u64),
    /// About a leaving machine.
    Leaving(LeavingMachine),
}

/// What a fact is about: a newer fact of the same subject replaces an older.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A daemon's address.
    Member(Address),
    /// The configuration.
    Config,
    /// A machine's address.
    Leaving(String),
}

impl Fact {
    /// What the fact is about.
    pub fn subject(&self) -> Subject {
        match self {
            Self::Member(member) => Subject::Member(member.id.address),
            Self::ConfigOffset(_) => Subject::Config,
            Self::Leaving(machine) => Subject::Leaving(machine.address.clone()),
        }
    }

    /// Whether this fact replaces another about the same subject.
    pub fn replaces(&self, other: &Fact) -> bool {
        match (self, other) {
            (Self::Member(new), Self::Member(old)) => new.rank() > old.rank(),
            (Self::ConfigOffset(new), Self::ConfigOffset(old)) => new > old,
            (Self::Leaving(new), Self::Leaving(old)) => new.incarnation > old.incarnation,
            _ => false,
        }
    }

    /// Rough size on the wire, in bytes.
    pub fn size(&self) -> usize {
        const PROCESS: usize = 14;
        match self {
            Self::Member(member) => 8 + PROCESS + 8 + member.zone.len() + 4,
            Self::ConfigOffset(_) => 9,
            Self::Leaving(machine) => 24 + machine.address.len(),
        }
    }
}

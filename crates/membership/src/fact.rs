//! Facts that daemons spread, and the rules by which a newer one replaces an older.

use fieldhook_model::address::{Address, ProcessId};
use nanoserde::{DeBin, SerBin};

/// State of a member. Of two statements with the same incarnation and refutation, the later state
/// in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer a probe; may refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced itself that it leaves.
    Left,
}

/// A statement about one daemon process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct Member {
    pub id: ProcessId,
    /// Zone of its machine.
    pub zone: String,
    pub state: MemberState,
    /// Raised by the process itself to refute a suspicion.
    pub refutation: u32,
}

impl Member {
    fn rank(&self) -> (u64, u32, MemberState) {
        (self.id.incarnation, self.refutation, self.state)
    }
}

/// An engine or server that is leaving. The mark holds for this incarnation and earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct LeavingMachine {
    pub address: String,
    /// Its incarnation, or 0 if it has none; 0 matches every incarnation.
    pub incarnation: u64,
}

/// A statement that is spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum Fact {
    /// State of a daemon.
    Member(Member),
    /// Offset up to which the sender has applied the configuration log.
    ConfigOffset(u64),
    /// An engine or server that is leaving.
    Leaving(LeavingMachine),
}

/// What a fact is about. A newer fact replaces an older one with the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// The daemon at an address.
    Member(Address),
    /// The configuration.
    Config,
    /// The engine or server at an address.
    Leaving(String),
}

impl Fact {
    pub fn subject(&self) -> Subject {
        match self {
            Self::Member(member) => Subject::Member(member.id.address),
            Self::ConfigOffset(_) => Subject::Config,
            Self::Leaving(machine) => Subject::Leaving(machine.address.clone()),
        }
    }

    /// Whether this fact replaces another fact with the same subject.
    pub fn replaces(&self, other: &Fact) -> bool {
        match (self, other) {
            (Self::Member(new), Self::Member(old)) => new.rank() > old.rank(),
            (Self::ConfigOffset(new), Self::ConfigOffset(old)) => new > old,
            (Self::Leaving(new), Self::Leaving(old)) => new.incarnation > old.incarnation,
            _ => false,
        }
    }

    /// Approximate size in a packet, in bytes.
    pub fn size(&self) -> usize {
        const PROCESS: usize = 14;
        match self {
            Self::Member(member) => 8 + PROCESS + 8 + member.zone.len() + 4,
            Self::ConfigOffset(_) => 9,
            Self::Leaving(machine) => 24 + machine.address.len(),
        }
    }
}

//! Messages between gateways and the owner of a partition.

use crate::name::QualifiedName;
use crate::open::Request;
use crate::partition_of;
use nanoserde::{DeBin, SerBin};

/// What the choice of an engine for a turn depends on.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PlacementRequest {
    /// Service whose engines may run it.
    pub service: String,
    /// Hash of the beginning of its prompt that other programs share.
    pub prefix_hash: u64,
    /// Zone that the turn comes through.
    pub zone: String,
    /// Regions that it may run in, where they are bounded.
    pub regions: Option<Vec<String>>,
}

/// A turn asks to begin.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OpenTurn {
    /// Tenant that the program and its turns belong to.
    pub tenant: Option<String>,
    /// Identity of the turn: of the client's attempt.
    pub turn: String,
    /// Drawn by the gateway for this try. What is reserved and ended goes by it: a client may
    /// try again under the same identity.
    pub attempt: u64,
    /// Program that it belongs to.
    pub program: String,
    /// Line of turns of its program that it belongs to: its client takes the turns of one line
    /// one after another, so it waits for none of them any more that it asked for earlier.
    pub session: Option<String>,
    /// Turn that it goes on from.
    pub previous: Option<String>,
    /// The gateway needs the contents of the chain.
    pub wants_chain: bool,
    /// The chain must be known for the turn to begin.
    pub keeps_context: bool,
    /// The gateway brings the chain itself: it belongs to another program.
    pub supplies_chain: bool,
    /// Tokens that all turns of the program may generate, where bounded.
    pub budget: Option<u64>,
    /// Most tokens that this turn may generate.
    pub max_tokens: u64,
    /// For the choice of its engine, where it needs one.
    pub placement: Option<PlacementRequest>,
    /// Home partition that keeps its chain apart from its order, where homes bound it.
    pub home_partition: Option<u32>,
}

impl OpenTurn {
    /// The part of it that needs what was said: for the partition that keeps the chain, which
    /// neither counts nor assigns.
    pub fn home_partition_request(&self) -> Self {
        Self {
            budget: None,
            placement: None,
            ..self.clone()
        }
    }

    /// The part of it that needs names alone: for the program's own partition, which orders,
    /// counts and assigns. All of it where one partition does both.
    pub fn program_partition_request(&self) -> Self {
        Self {
            wants_chain: self.wants_chain && self.home_partition.is_none(),
            keeps_context: self.keeps_context && self.home_partition.is_none(),
            home_partition: None,
            ..self.clone()
        }
    }

    /// A name within its tenant.
    pub fn qualified_name(&self, text: &str) -> QualifiedName {
        QualifiedName::new(self.tenant.as_deref(), text)
    }

    /// The name of what it reserves.
    pub fn reservation_id(&self) -> String {
        reservation(self.attempt)
    }

    /// What its program's budget is asked for, where this names what it reserves. A turn whose
    /// content this partition keeps ends, for its client, only with the record of it.
    pub fn of_budget<'a>(&'a self, reservation: &'a str) -> Request<'a> {
        Request {
            turn: reservation,
            most: self.max_tokens,
            line: self.session.as_deref(),
            ends_here: self.keeps_context,
        }
    }

    /// Its end where it was asked for and does not begin.
    pub fn cancellation(&self) -> CloseTurn {
        CloseTurn {
            tenant: self.tenant.clone(),
            turn: self.turn.clone(),
            attempt: self.attempt,
            program: self.program.clone(),
            budget: self.budget,
            max_tokens: self.max_tokens,
            tokens: 0,
            content: None,
            engine: None,
            home_partition: None,
            awaited: false,
        }
    }
}

/// What a finished turn read and made, kept for the turns after it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TurnContent {
    /// Turn that it went on from.
    pub previous: Option<String>,
    /// New input of the turn.
    pub input: Vec<u8>,
    /// Its output as the next turn's prompt holds it.
    pub output: Vec<u8>,
    /// How long it is kept after its end, in milliseconds.
    pub retention_ms: u64,
}

/// What a budget counts that does not hold a turn: without it nobody could tell a budget that
/// is used up from one that is reserved.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BudgetUsage {
    /// Tokens of ended turns.
    pub settled_tokens: u64,
    /// Turns under way.
    pub open_turns: u32,
    /// Tokens that they may hand out at their most.
    pub open_tokens: u64,
    /// Those of them that nobody may wait for: see [`crate::open`].
    pub in_doubt_turns: u32,
    /// Tokens that these may hand out at their most.
    pub in_doubt_tokens: u64,
    /// The reservation of the one that has been under way for longest.
    pub oldest_reservation: Option<String>,
    /// How long it has, in milliseconds.
    pub oldest_age_ms: Option<u64>,
    /// Reserved ahead by earlier owners.
    pub inherited_tokens: u64,
}

/// A turn has ended, whole or not.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct CloseTurn {
    /// Tenant that the program and its turns belong to.
    pub tenant: Option<String>,
    /// Identity of the turn.
    pub turn: String,
    /// The number that it was opened with.
    pub attempt: u64,
    /// Program that it belongs to.
    pub program: String,
    /// Budget of the program, where bounded.
    pub budget: Option<u64>,
    /// Most tokens that it might have generated.
    pub max_tokens: u64,
    /// Tokens handed to the client.
    pub tokens: u64,
    /// Its content, where it ended whole and is to be kept.
    pub content: Option<TurnContent>,
    /// Engine that it ran at last.
    pub engine: Option<String>,
    /// Home partition that keeps its content apart from its order, where homes bound it.
    pub home_partition: Option<u32>,
    /// Its client's answer ends only once this is durable.
    pub awaited: bool,
}

impl CloseTurn {
    /// A name within its tenant.
    pub fn qualified_name(&self, text: &str) -> QualifiedName {
        QualifiedName::new(self.tenant.as_deref(), text)
    }

    /// The name of what it had reserved.
    pub fn reservation_id(&self) -> String {
        reservation(self.attempt)
    }
}

/// The name of what a try reserves, as records and log lines have it.
fn reservation(attempt: u64) -> String {
    format!("{attempt:x}")
}

/// Asks one partition for the chain that ends with a turn, whatever its program.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FindChain {
    /// Partition that is asked.
    pub partition: u32,
    /// Last turn of the chain.
    pub turn: QualifiedName,
}

/// What the owner of a tenant's limit is told by a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum QuotaEvent {
    /// One request more is to be sent.
    Request,
    /// The client of the program's last request left in the middle of it, or got no whole answer.
    /// Nothing is taken, and the answer says what is used.
    Interrupted,
}

/// Asks the owner of a tenant's limit for a request.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct QuotaRequest {
    /// What it is about.
    pub event: QuotaEvent,
    /// Name of the tenant.
    pub tenant: String,
    /// Requests a second that it may send, as the asking daemon knows.
    pub rate_per_s: f64,
    /// Requests on top of that at one moment.
    pub burst: f64,
    /// Version of the configuration that says so.
    pub version: u64,
    /// Program of the request.
    pub program: Option<String>,
    /// Route of the request.
    pub route: String,
    /// It is the first request of its program.
    pub starts_program: bool,
    /// How long the request would wait for a place from now on, in milliseconds. A place that
    /// comes later is not kept for it.
    pub max_wait_ms: u64,
}

/// Asks the owner of a cold server's count whether a request may be sent there now.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ColdServerRequest {
    /// Identity of the server.
    pub server: String,
    /// Requests a second that it bears, as the asking daemon knows.
    pub rate_per_s: f64,
    /// Version of the configuration that says so.
    pub version: u64,
    /// Rank of the request, 0 is the most urgent.
    pub rank: u8,
}

/// The owner's answer to a question about a limit.
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub enum QuotaReply {
    /// The request may be sent.
    Granted {
        /// Part of the limit that is used up now, 0 to 1.
        used: f64,
    },
    /// None may be sent now.
    Refused {
        /// When one could be, in milliseconds from now.
        retry_after_ms: u64,
    },
}

/// A partition to be claimed for one that cannot.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ClaimPartition {
    /// Partition.
    pub partition: u32,
    /// Epoch of the owner that is to be replaced, or that gave it up; 0 where there was none,
    /// as epochs begin with 1.
    pub replaced_epoch: u64,
}

impl ClaimPartition {
    /// A partition whose newest claim known has this epoch.
    pub fn replacing(partition: u32, former_epoch: Option<u64>) -> Self {
        Self {
            partition,
            replaced_epoch: former_epoch.unwrap_or(0),
        }
    }

    /// Epoch of the newest claim that the sender knows.
    pub fn replaced_epoch(&self) -> Option<u64> {
        Some(self.replaced_epoch).filter(|epoch| *epoch > 0)
    }
}

/// Asks a reader of a followed topic for what stands behind an offset.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FollowTopic {
    /// Name of the topic.
    pub topic: String,
    /// Offset from which on records are wanted.
    pub from_offset: u64,
    /// How long to wait for one, in milliseconds.
    pub wait_ms: u64,
}

/// Asks a reader of a followed topic for the newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ListTopic {
    /// Name of the topic.
    pub topic: String,
    /// The page behind this key is wanted.
    pub after_key: Option<Vec<u8>>,
}

/// Records of a followed topic, as a reader knows them.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TopicRecords {
    /// The records, packed.
    pub packed: Vec<u8>,
    /// Where the topic ends.
    pub end_offset: u64,
    /// Where to read on, of records behind an offset.
    pub next_offset: u64,
    /// Behind which key the next page begins, of a listing.
    pub more_after: Option<Vec<u8>>,
    /// Time since the log confirmed that this is all, in milliseconds.
    pub age_ms: u64,
}

/// A request of a gateway to an owner.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum LedgerRequest {
    /// Begin a turn.
    Open(OpenTurn),
    /// End a turn.
    Close(CloseTurn),
    /// Find a chain of another program.
    Find(FindChain),
    /// Tell whether a tenant's limit lets a request through.
    Quota(QuotaRequest),
    /// Tell whether a request may be sent to a cold server now.
    Cold(ColdServerRequest),
    /// Tell who owns a partition, as far as known.
    FindOwner(u32),
    /// Tell whether the log answers you.
    HasRecentLogContact,
    /// Tell whether the log answers you, or was silent for a moment only: an owner with nothing
    /// to append need not have heard of it.
    HasLogContact,
    /// Tell the newest configuration, if it is newer than this version.
    Config(u64),
    /// Claim a partition from the owner of this epoch: the sender is cut off the log,
    /// so that it can neither append nor claim, or is of another region.
    Claim(ClaimPartition),
    /// Tell what stands behind an offset of a followed topic.
    Follow(FollowTopic),
    /// Tell the newest records of a followed topic.
    List(ListTopic),
}

impl LedgerRequest {
    /// Partition that the request is for, where so many are free.
    pub fn partition(&self, partitions: u32) -> u32 {
        match self {
            Self::Open(open) => open
                .home_partition
                .unwrap_or_else(|| partition_of(&open.program, partitions)),
            Self::Close(close) => close
                .home_partition
                .unwrap_or_else(|| partition_of(&close.program, partitions)),
            Self::Find(find) => find.partition,
            // A tenant has its limit where a program of that name would be.
            Self::Quota(question) => partition_of(&question.tenant, partitions),
            Self::Cold(question) => partition_of(&question.server, partitions),
            Self::FindOwner(partition) => *partition,
            Self::Claim(claim) => claim.partition,
            Self::HasRecentLogContact
            | Self::HasLogContact
            | Self::Config(_)
            | Self::Follow(_)
            | Self::List(_) => 0,
        }
    }
}

/// What a daemon knows of one zone: whether its servers get nothing for now.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct EvacuationStatus {
    /// The zone.
    pub zone: String,
    /// Whether its servers get nothing.
    pub is_evacuated: bool,
    /// Place of the record in the operator's topic; a higher one goes before.
    pub revision: u64,
}

/// What a daemon knows of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfigUpdate {
    /// The document, as the adapter reads it; `None` if it is not newer than the one asked about.
    pub document: Option<Vec<u8>>,
    /// Time since it was seen to be the newest, in milliseconds; `None` if it never was.
    pub age_ms: Option<u64>,
    /// All that is known of evacuations.
    pub evacuations: Vec<EvacuationStatus>,
}

/// An owner as another daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct KnownOwner {
    /// IP and port.
    pub address: String,
    /// Life of its process.
    pub incarnation: u64,
    /// Epoch of its claim.
    pub epoch: u64,
}

/// Answer of an owner.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum LedgerReply {
    /// The turn may be sent to an engine. Until `durable`, no more than `allowed` tokens may
    /// reach the client; a later [`LedgerReply::Durable`] lifts that.
    Opened {
        /// Inputs and outputs of the chain, oldest first, where wanted.
        chain: Vec<u8>,
        /// The reservation will survive the owner.
        durable: bool,
        /// Tokens that an owner after it will count in any case.
        allowed: u64,
        /// Engine that its program is assigned to.
        engine: Option<String>,
        /// It is the first turn of its program.
        is_first_turn: bool,
    },
    /// What the limit of the tenant, or of the cold server, lets through.
    Quota(QuotaReply),
    /// The reservation of an opened turn is durable now.
    Durable,
    /// Inputs and outputs of a chain that was asked for.
    Chain(Vec<u8>),
    /// The budget does not hold this turn.
    BudgetSpent(BudgetUsage),
    /// No such turn is kept.
    UnknownTurn,
    /// The end of the turn is known here, but not durable yet. [`LedgerReply::Closed`]
    /// follows: an owner whose appends wait for the log is not a silent one.
    Accepted,
    /// The end of the turn is durable.
    Closed,
    /// This daemon does not own the partition; who does, as far as it knows.
    NotOwner(Option<KnownOwner>),
    /// Whether the log answers the daemon that was asked.
    LogContact(bool),
    /// The configuration as the daemon that was asked knows it.
    Config(ConfigUpdate),
    /// The owner cannot tell now; nothing was done.
    Unavailable,
    /// The owner has not read the partition, and the log does not answer it: nothing was done,
    /// and another owner could do it sooner.
    NotLoaded,
    /// Records of a followed topic.
    Topic(TopicRecords),
    /// Records of a followed topic from there on are not kept here any more; the first that are
    /// have this offset.
    TopicGone(u64),
    /// This daemon does not read the topic for others, or not yet.
    NotReader,
}

impl LedgerReply {
    /// Whether another answer to the same request follows.
    pub fn is_interim(&self) -> bool {
        matches!(self, Self::Opened { durable: false, .. } | Self::Accepted)
    }
}

/// A request or answer between two daemons.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Envelope<T> {
    /// Number of the call on its connection.
    pub call_id: u64,
    /// What is said.
    pub body: T,
}

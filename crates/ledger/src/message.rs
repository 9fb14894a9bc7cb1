//! Messages between daemons, mainly requests of gateways to the owner of a partition.

use crate::crashes::SendDecision;
use crate::name::QualifiedName;
use crate::open_turns::TurnRequest;
use crate::partition_of;
use crate::software::ServiceSoftware;
use crate::streams::StreamOrigin;
use nanoserde::{DeBin, SerBin};

mod backup;
mod crash;
mod quota;
mod request_key;
mod stream;
mod topic;

pub use backup::{AttemptServer, BackUpAttempts, BackedUpAttempt, ClosedAttempt, StatedProcess};
pub use crash::{AttemptQuestion, ConfirmAttempt, CrashWatch, ReportAttempt, RequestSend};
pub use quota::{ColdServerRequest, QuotaEvent, QuotaReply, QuotaRequest};
pub use request_key::RequestKey;
pub use stream::{FoundStream, RecordStream};
pub use topic::{FollowTopic, ListTopic, TopicRecords};

/// Input for the assignment of an engine to the program of a turn.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AssignmentInput {
    /// Service whose engines may run the turn.
    pub service: String,
    /// Hash of the prompt prefix that the program shares with others.
    pub prefix_hash: u64,
    /// Zone of the gateway that received the turn.
    pub zone: String,
    /// Regions in which the turn may run; `None` for all.
    pub regions: Option<Vec<String>>,
}

/// Request to open a turn.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OpenTurn {
    /// Tenant that owns the program and its turns.
    pub tenant: Option<String>,
    /// Turn id, chosen by the client.
    pub turn: String,
    /// Random number that the gateway draws for each attempt. Reservations and ends are identified
    /// by it, because a client may retry under the same turn id.
    pub attempt: u64,
    /// Program of the turn.
    pub program: String,
    /// Session of the turn within its program. A client runs the turns of a session one after
    /// another, so a new turn shows that the client no longer waits for previous ones.
    pub session: Option<String>,
    /// Turn that this one continues.
    pub previous: Option<String>,
    /// Whether the gateway needs the contents of the chain.
    pub wants_chain: bool,
    /// Whether the turn may start only if its chain is known.
    pub retains_context: bool,
    /// Whether the gateway supplies the chain itself, because it belongs to another program.
    pub supplies_chain: bool,
    /// Total budget of the program in tokens, if it has one.
    pub budget: Option<u64>,
    /// Maximum number of tokens that this turn may generate.
    pub max_tokens: u64,
    /// Input for the assignment of an engine, if the turn needs one.
    pub assignment: Option<AssignmentInput>,
    /// Home partition that stores the chain, if it is not the program's own partition.
    pub home_partition: Option<u32>,
}

impl OpenTurn {
    /// The part of the request that concerns contents, for the home partition, which neither counts
    /// tokens nor assigns engines.
    pub fn home_partition_request(&self) -> Self {
        Self {
            budget: None,
            assignment: None,
            ..self.clone()
        }
    }

    /// The part of the request that concerns names only, for the program's own partition, which
    /// orders turns, counts tokens and assigns engines. Includes contents if no home partition is
    /// set.
    pub fn program_partition_request(&self) -> Self {
        Self {
            wants_chain: self.wants_chain && self.home_partition.is_none(),
            retains_context: self.retains_context && self.home_partition.is_none(),
            home_partition: None,
            ..self.clone()
        }
    }

    /// Request to open the turn again at a new owner while it is in progress. Its gateway has the
    /// chain, which may have expired meanwhile.
    pub fn reopen_request(&self) -> Self {
        Self {
            wants_chain: false,
            supplies_chain: true,
            ..self.program_partition_request()
        }
    }

    /// A name qualified by the tenant of the turn.
    pub fn qualified_name(&self, text: &str) -> QualifiedName {
        QualifiedName::new(self.tenant.as_deref(), text)
    }

    /// Id of the reservation.
    pub fn reservation_id(&self) -> String {
        format_reservation_id(self.attempt)
    }

    /// Request to reserve tokens from the program's budget. If this partition stores the content of
    /// the turn, its client gets the end of the response only with the record.
    pub fn budget_request<'a>(&'a self, reservation: &'a str) -> TurnRequest<'a> {
        TurnRequest {
            reservation_id: reservation,
            max_tokens: self.max_tokens,
            session: self.session.as_deref(),
            ends_with_record: self.retains_context,
        }
    }

    /// Message that ends the turn if it was requested but does not start.
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
            delays_response: false,
        }
    }
}

/// Input and output of a completed turn, stored for later turns of the chain.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TurnContent {
    /// Turn that this one continues.
    pub previous: Option<String>,
    /// New input of the turn.
    pub input: Vec<u8>,
    /// Output, in the form in which the prompt of the next turn contains it.
    pub output: Vec<u8>,
    /// How long the content is stored from the receipt of this message on, in milliseconds: the time
    /// that the client may wait for the end of the response, and the retention after that.
    pub retention_ms: u64,
}

/// Usage of a budget that has no room for a turn. It shows whether the budget is used up or only
/// reserved.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BudgetUsage {
    /// Tokens of ended turns.
    pub settled_tokens: u64,
    /// Number of open turns.
    pub open_turns: u32,
    /// Maximum number of tokens that open turns may deliver.
    pub open_tokens: u64,
    /// Number of open turns in doubt: see [`crate::open_turns`].
    pub in_doubt_turns: u32,
    /// Maximum number of tokens that the turns in doubt may deliver.
    pub in_doubt_tokens: u64,
    /// Reservation id of the oldest open turn.
    pub oldest_reservation: Option<String>,
    /// Age of the oldest open turn, in milliseconds.
    pub oldest_age_ms: Option<u64>,
    /// Tokens reserved ahead by earlier owners.
    pub inherited_tokens: u64,
}

/// Reports the end of a turn, complete or not.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct CloseTurn {
    /// Tenant that owns the program and its turns.
    pub tenant: Option<String>,
    /// Turn id, chosen by the client.
    pub turn: String,
    /// Attempt number with which the turn was opened.
    pub attempt: u64,
    /// Program of the turn.
    pub program: String,
    /// Total budget of the program in tokens, if it has one.
    pub budget: Option<u64>,
    /// Maximum number of tokens that the turn might have generated.
    pub max_tokens: u64,
    /// Tokens delivered to the client.
    pub tokens: u64,
    /// Content of the turn, if it completed and is to be stored.
    pub content: Option<TurnContent>,
    /// Engine that ran the turn last.
    pub engine: Option<String>,
    /// Home partition that stores the content, if it is not the program's own partition.
    pub home_partition: Option<u32>,
    /// Whether the response to the client waits until this is durable.
    pub delays_response: bool,
}

impl CloseTurn {
    /// A name qualified by the tenant of the turn.
    pub fn qualified_name(&self, text: &str) -> QualifiedName {
        QualifiedName::new(self.tenant.as_deref(), text)
    }

    /// Id of the reservation.
    pub fn reservation_id(&self) -> String {
        format_reservation_id(self.attempt)
    }
}

/// Reservation id of an attempt, as in records and log lines.
fn format_reservation_id(attempt: u64) -> String {
    format!("{attempt:x}")
}

/// Asks one partition for the chain that ends with a turn of any program.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FindChain {
    /// Partition to ask.
    pub partition: u32,
    /// Last turn of the chain.
    pub turn: QualifiedName,
}

/// Asks another daemon to claim a partition, for a sender that cannot claim it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ClaimPartition {
    /// Partition to claim.
    pub partition: u32,
    /// Epoch of the owner to replace, or of the owner that released the partition. 0 if there was
    /// none; epochs start at 1.
    pub replaced_epoch: u64,
}

impl ClaimPartition {
    /// Claim of a partition whose newest known claim has this epoch.
    pub fn replacing(partition: u32, replaced_epoch: Option<u64>) -> Self {
        Self {
            partition,
            replaced_epoch: replaced_epoch.unwrap_or(0),
        }
    }

    /// Epoch of the newest claim that the sender knows.
    pub fn replaced_epoch(&self) -> Option<u64> {
        Some(self.replaced_epoch).filter(|epoch| *epoch > 0)
    }
}

/// A request of one daemon to another, mostly to the owner of a partition.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum LedgerRequest {
    /// Opens a turn.
    Open(OpenTurn),
    /// Ends a turn.
    Close(CloseTurn),
    /// Finds a chain of another program.
    Find(FindChain),
    /// Asks whether a tenant's limit admits a request.
    Quota(QuotaRequest),
    /// Asks whether a request may be sent to a cold server now.
    Cold(ColdServerRequest),
    /// Asks for the owner of a partition, as far as known.
    FindOwner(u32),
    /// Asks whether the log has answered the receiver within the last 800 ms, and no call of the
    /// receiver has failed since.
    HasRecentLogContact,
    /// Asks whether the receiver still has contact with the log, that is, does not consider the log
    /// lost. This needs no recent answer, because an owner with nothing to append may not have
    /// received one.
    HasLogContact,
    /// Asks for the newest configuration, if it is newer than this version.
    Config(u64),
    /// Asks to claim a partition whose owner has this epoch. The sender cannot append or claim
    /// itself, because it cannot reach the log or is in another region.
    Claim(ClaimPartition),
    /// Asks for the records of a followed topic from an offset on.
    Follow(FollowTopic),
    /// Asks for the newest records of a followed topic.
    List(ListTopic),
    /// Records the origin of a stream.
    RecordStream(RecordStream),
    /// Asks for the origin of a stream.
    FindStream(RequestKey),
    /// Registers the software of a server before it begins a stream.
    RegisterSoftware(StreamOrigin),
    /// Asks for the software that may have begun streams of a service.
    FindSoftware(String),
    /// Asks whether a request may be sent to a server.
    RequestSend(RequestSend),
    /// Reports how an attempt at a server ended.
    ReportAttempt(ReportAttempt),
    /// Tells the receiver that servers end under requests of a partition.
    WatchCrashes(u32),
    /// Asks whether servers end under requests of a partition. The receiver reports on the same
    /// connection when they begin to.
    FindCrashWatch(u32),
    /// Reports that the process of a detached attempt lives.
    ConfirmAttempt(ConfirmAttempt),
    /// Tells the receiver which attempts the sender has begun and ended.
    BackUpAttempts(BackUpAttempts),
    /// Tells the receiver that a daemon was lost with attempts of these requests, by content, in progress,
    /// and that it owned their partitions too.
    SuspectRequests(Vec<QualifiedName>),
}

impl LedgerRequest {
    /// Partition that the request is for, with `partitions` global partitions.
    pub fn partition(&self, partitions: u32) -> u32 {
        match self {
            Self::Open(open) => open
                .home_partition
                .unwrap_or_else(|| partition_of(&open.program, partitions)),
            Self::Close(close) => close
                .home_partition
                .unwrap_or_else(|| partition_of(&close.program, partitions)),
            Self::Find(find) => find.partition,
            Self::RecordStream(request) => request.stream.partition(partitions),
            Self::FindStream(stream) => stream.partition(partitions),
            Self::RegisterSoftware(origin) => partition_of(&origin.service, partitions),
            Self::FindSoftware(service) => partition_of(service, partitions),
            Self::RequestSend(request) => request.request.partition(partitions),
            Self::ReportAttempt(report) => report.request.partition(partitions),
            Self::ConfirmAttempt(confirmed) => confirmed.request.partition(partitions),
            // The limit of a tenant is kept in the partition of a program with the same name.
            Self::Quota(request) => partition_of(&request.tenant, partitions),
            Self::Cold(request) => partition_of(&request.server, partitions),
            Self::FindOwner(partition)
            | Self::WatchCrashes(partition)
            | Self::FindCrashWatch(partition) => *partition,
            Self::Claim(claim) => claim.partition,
            Self::HasRecentLogContact
            | Self::HasLogContact
            | Self::Config(_)
            | Self::Follow(_)
            | Self::List(_)
            | Self::BackUpAttempts(_)
            | Self::SuspectRequests(_) => 0,
        }
    }
}

/// Evacuation status of one zone, as known to a daemon.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct EvacuationStatus {
    /// Name of the zone.
    pub zone: String,
    /// Whether the servers of the zone get no requests.
    pub is_evacuated: bool,
    /// Offset of the record in the operator's topic. The higher revision wins.
    pub revision: u64,
}

/// Configuration as known to a daemon.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfigUpdate {
    /// The configuration document in the form that the adapter reads; `None` if it is not newer
    /// than the requested version.
    pub document: Option<Vec<u8>>,
    /// Time since the document was confirmed as the newest, in milliseconds; `None` if it never
    /// was.
    pub age_ms: Option<u64>,
    /// Status of all known evacuations.
    pub evacuations: Vec<EvacuationStatus>,
}

/// Owner of a partition as known to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct KnownOwner {
    /// IP address and port.
    pub address: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Epoch of its claim.
    pub epoch: u64,
}

/// Reply to a [`LedgerRequest`].
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum LedgerReply {
    /// The turn may be sent to an engine. Unless `durable`, at most `allowed` tokens may reach the
    /// client until a [`LedgerReply::Durable`] follows.
    Opened {
        /// Inputs and outputs of the chain, oldest first, if requested.
        chain: Vec<u8>,
        /// Whether the reservation survives the loss of the owner.
        durable: bool,
        /// Tokens that every later owner will count.
        allowed: u64,
        /// Engine assigned to the program.
        engine: Option<String>,
        /// Whether this is the first turn of its program.
        is_first_turn: bool,
    },
    /// Reply to a request about a tenant's limit or a cold server.
    Quota(QuotaReply),
    /// The reservation of an opened turn is now durable.
    Durable,
    /// Inputs and outputs of the requested chain.
    Chain(Vec<u8>),
    /// The budget has no room for this turn.
    BudgetSpent(BudgetUsage),
    /// The turn is not stored. In reply to [`LedgerRequest::Close`], the chain that the turn
    /// continues is not stored, and nothing was recorded.
    UnknownTurn,
    /// The owner knows the end of the turn, but it is not durable yet. [`LedgerReply::Closed`]
    /// follows. This shows that an owner whose appends wait for the log is still alive. In reply to
    /// [`LedgerRequest::RequestSend`], the owner asks others first, and [`LedgerReply::Send`] follows.
    Accepted,
    /// The end of the turn is durable.
    Closed,
    /// This daemon does not own the partition. Contains the owner as far as known.
    NotOwner(Option<KnownOwner>),
    /// Whether the receiver has contact with the log.
    LogContact(bool),
    /// The configuration as known to the receiver.
    Config(ConfigUpdate),
    /// The owner cannot answer now; nothing was done.
    Unavailable,
    /// The owner has not loaded the partition, because the log does not answer it. Nothing was
    /// done, and another owner could act sooner.
    NotLoaded,
    /// Records of a followed topic.
    Topic(TopicRecords),
    /// Records from the requested offset on are no longer stored here. Contains the offset of the
    /// oldest stored record.
    TopicGone(u64),
    /// This daemon does not serve the topic, or does not serve it yet.
    NotReader,
    /// Origin of a stream; `None` if none is recorded.
    Stream(Option<FoundStream>),
    /// Software that may have begun streams of the service.
    Software(ServiceSoftware),
    /// Whether the request may be sent.
    Send(SendDecision),
    /// Whether servers end under requests of a partition. Also sent without a request, see
    /// [`UNSOLICITED_CALL_ID`].
    CrashWatch(CrashWatch),
    /// Asks whether the processes of detached attempts live. Sent without a request.
    ConfirmAttempts(AttemptQuestion),
    /// The sender backs up the attempts of the receiver. Contains the zone of the sender.
    BackedUp(String),
}

/// Call id of replies that are sent without a request, and of requests without a reply. Calls are
/// numbered from 0.
pub const UNSOLICITED_CALL_ID: u64 = u64::MAX;

impl LedgerReply {
    /// Whether another reply to the same request follows.
    pub fn is_interim(&self) -> bool {
        matches!(self, Self::Opened { durable: false, .. } | Self::Accepted)
    }
}

/// A request or reply between two daemons.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Envelope<T> {
    /// Number of the call on its connection.
    pub call_id: u64,
    /// The request or reply.
    pub body: T,
}

//! Opening and closing turns through owners that may change meanwhile.

use super::exchange::{Doubt, Exchange};
use super::owner::Owner;
use super::peer::Peers;
use super::region::{SILENCE_LIMIT, Signs};
use fieldhook_ledger::message::{
    BudgetUsage, CloseTurn, FindChain, LedgerReply, LedgerRequest, OpenTurn,
};
use fieldhook_log::log_health::LogHealth;
use fieldhook_log::reach::Reach;
use fieldhook_topology::region::Set;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, mpsc};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// An owner that does not answer a question in this time is suspected.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// An owner that noted an end and has not appended it in this time is asked again: it
/// may be frozen or cut off.
const APPEND_LIMIT: Duration = Duration::from_millis(900);
/// Pause before an end is told again while the others are out of reach.
const MINORITY_PAUSE: Duration = Duration::from_millis(200);
/// How often it is looked whether they are.
const MINORITY_PERIOD: Duration = Duration::from_millis(50);
/// Longest wait for news of the owners before looking again.
pub(super) const CHANGE_WAIT: Duration = Duration::from_millis(40);
/// Least time that another question needs.
pub(super) const PAUSE: Duration = Duration::from_millis(10);

/// Why a turn does not begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenFailure {
    /// The budget does not hold it.
    BudgetSpent(BudgetUsage),
    /// No such turn is kept.
    UnknownTurn,
    /// No owner answered in time.
    Unavailable,
    /// No owner in its homes answered in time.
    HomeUnavailable,
}

impl OpenFailure {
    /// The name of the cause in log lines.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::BudgetSpent(_) => "BudgetSpent",
            Self::UnknownTurn => "UnknownTurn",
            Self::Unavailable => "Unavailable",
            Self::HomeUnavailable => "HomeUnavailable",
        }
    }

    /// What the budget counts that does not hold the turn.
    pub fn shortage(&self) -> Option<&BudgetUsage> {
        match self {
            Self::BudgetSpent(shortage) => Some(shortage),
            _ => None,
        }
    }
}

/// A turn that may begin.
pub struct OpenedTurn {
    /// Contents of its chain.
    pub chain: Vec<u8>,
    /// Engine that its program is assigned to.
    pub engine: Option<String>,
    /// It is the first turn of its program.
    pub begins: bool,
    durable: bool,
    allowed: u64,
    replies: mpsc::UnboundedReceiver<LedgerReply>,
}

impl OpenedTurn {
    /// Whether output may reach the client at once.
    pub fn is_durable(&self) -> bool {
        self.durable
    }

    /// Tokens that may reach the client before the reservation is durable.
    pub fn allowed(&self) -> u64 {
        self.allowed
    }

    /// Whether so many tokens may reach the client at once.
    pub fn allows(&self, tokens: u64) -> bool {
        self.durable || tokens <= self.allowed
    }
}

/// Asks owners.
pub struct LedgerClient {
    /// The partitions owned here.
    pub owner: Rc<Owner>,
    /// Contact with the log.
    pub log_health: Rc<LogHealth>,
    /// What this daemon reaches, kept by [`super::reach`].
    pub reach: Rc<Cell<Reach>>,
    pub(super) peers: Peers,
    pub(super) claiming: RefCell<HashSet<u32>>,
    /// Held while one of them is claimed.
    pub(super) claim_turn: Mutex<()>,
    /// Partitions whose owners are looked for beside the requests that need them.
    pub(super) searching: RefCell<HashSet<u32>>,
    /// An owner was silent since [`super::reach`] looked last.
    pub(super) silent_owner: Cell<bool>,
    /// Ends of turns that are being told. A planned stop waits for them: nobody else can.
    pub pending_closes: Cell<usize>,
    /// Doubts that were said, by partition: each is said once.
    pub(super) doubts: RefCell<HashMap<u32, Doubt>>,
    pub(super) signs: RefCell<Signs>,
}

impl LedgerClient {
    /// A client beside this daemon's own partitions.
    pub fn new(owner: Rc<Owner>, log_health: Rc<LogHealth>) -> Self {
        Self {
            reach: owner.reach.clone(),
            owner,
            log_health,
            peers: Peers::default(),
            claiming: RefCell::default(),
            claim_turn: Mutex::default(),
            searching: RefCell::default(),
            silent_owner: Cell::default(),
            pending_closes: Cell::default(),
            doubts: RefCell::default(),
            signs: RefCell::default(),
        }
    }

    /// Opens a turn. A previous turn that the program's own partition does not know
    /// may belong to another program: the other partitions are asked then, and
    /// `request` says from there on that its chain is brought along. `in_doubt` says, also if
    /// this is given up midway, whether an owner may have opened it without having answered.
    ///
    /// # Errors
    /// The turn may not begin, or nobody could tell by the deadline.
    pub async fn open(
        &self,
        request: &mut OpenTurn,
        in_doubt: &Cell<bool>,
        deadline: Instant,
    ) -> Result<OpenedTurn, OpenFailure> {
        if request.home_partition.is_none() {
            return self.open_whole(request, in_doubt, deadline).await;
        }
        // Asked also where a program begins: without an owner that keeps what it says, it
        // must not run.
        let mut contents = request.home_partition_request();
        // The partition that keeps what is said reserves nothing.
        let nothing = Cell::default();
        let kept = match self.open_whole(&mut contents, &nothing, deadline).await {
            Err(OpenFailure::Unavailable) => return Err(OpenFailure::HomeUnavailable),
            kept => kept?,
        };
        request.supplies_chain = contents.supplies_chain;
        let order = request.program_partition_request();
        let opened = self.open_at_home(&order, in_doubt, deadline).await?;
        Ok(OpenedTurn {
            chain: kept.chain,
            ..opened
        })
    }

    /// Opens a turn where one partition orders it and keeps its chain.
    async fn open_whole(
        &self,
        request: &mut OpenTurn,
        in_doubt: &Cell<bool>,
        deadline: Instant,
    ) -> Result<OpenedTurn, OpenFailure> {
        match self.open_at_home(request, in_doubt, deadline).await {
            Err(OpenFailure::UnknownTurn) => {}
            outcome => return outcome,
        }
        let chain = self.find_elsewhere(request, deadline).await?;
        request.supplies_chain = true;
        let opened = self.open_at_home(request, in_doubt, deadline).await?;
        Ok(OpenedTurn { chain, ..opened })
    }

    /// Asks the partitions of other programs for a chain, all at once. It may also be kept in
    /// a place that homes allowed when it was: read here, it lives on where they do now.
    async fn find_elsewhere(
        &self,
        request: &OpenTurn,
        deadline: Instant,
    ) -> Result<Vec<u8>, OpenFailure> {
        let layout = &self.owner.zone_state.layout;
        let home = request
            .home_partition
            .unwrap_or_else(|| layout.program_partition(&request.program));
        let was_claimed = |partition: &u32| self.owner.claims.claim(*partition).is_some();
        let turn = request.qualified_name(request.previous.as_deref().unwrap_or_default());
        let questions: Vec<LedgerRequest> = (0..layout.global_count())
            .chain(layout.home_partitions().filter(was_claimed))
            .filter(|partition| *partition != home)
            .map(|partition| {
                LedgerRequest::Find(FindChain {
                    partition,
                    turn: turn.clone(),
                })
            })
            .collect();
        let until = deadline.min(Instant::now() + SILENCE_LIMIT);
        let asked = questions.iter().map(|question| {
            let is_home = question.partition(layout.global_count()) >= layout.global_count();
            self.ask(question, if is_home { until } else { deadline })
        });
        let mut answers: FuturesUnordered<_> = asked.collect();
        let mut failure = OpenFailure::UnknownTurn;
        while let Some(answer) = answers.next().await {
            match answer {
                Some((LedgerReply::Chain(chain), _)) => return Ok(chain),
                Some((LedgerReply::UnknownTurn, _)) => {}
                // Without its answer nobody can say that the turn is not kept.
                _ => failure = OpenFailure::Unavailable,
            }
        }
        Err(failure)
    }

    async fn open_at_home(
        &self,
        request: &OpenTurn,
        in_doubt: &Cell<bool>,
        deadline: Instant,
    ) -> Result<OpenedTurn, OpenFailure> {
        let request = LedgerRequest::Open(request.clone());
        let partition = request.partition(self.owner.zone_state.layout.global_count());
        let answer = tokio::select! {
            biased;
            answer = self.ask_for(&request, in_doubt, deadline) => answer,
            () = self.region_is_silent(partition) => None,
        };
        match answer {
            Some((opened, replies)) => match opened {
                LedgerReply::Opened {
                    chain,
                    durable,
                    allowed,
                    engine,
                    is_first_turn: begins,
                } => Ok(OpenedTurn {
                    chain,
                    engine,
                    begins,
                    durable,
                    allowed,
                    replies,
                }),
                LedgerReply::BudgetSpent(shortage) => Err(OpenFailure::BudgetSpent(shortage)),
                LedgerReply::UnknownTurn => Err(OpenFailure::UnknownTurn),
                _ => Err(OpenFailure::Unavailable),
            },
            None => Err(OpenFailure::Unavailable),
        }
    }

    /// Waits until so many tokens of an opened turn may reach the client; opens it again
    /// where the owner was lost meanwhile.
    pub async fn wait_allowed(
        &self,
        opened: &mut OpenedTurn,
        tokens: u64,
        request: &OpenTurn,
        deadline: Instant,
    ) -> bool {
        while !opened.allows(tokens) {
            match timeout_at(deadline, opened.replies.recv()).await {
                Err(_) => return false,
                Ok(Some(LedgerReply::Durable)) => opened.durable = true,
                Ok(_) => {
                    // Its end is told in any case.
                    let in_doubt = Cell::default();
                    let order = request.program_partition_request();
                    match self.open_at_home(&order, &in_doubt, deadline).await {
                        Ok(again) => *opened = again,
                        Err(_) => return false,
                    }
                }
            }
        }
        true
    }

    /// The partition that orders a program.
    pub fn partition_of(&self, program: &str) -> u32 {
        self.owner.zone_state.layout.program_partition(program)
    }

    /// The home partition that keeps the contents of a program, where homes bind these.
    pub fn home_partition(&self, program: &str, homes: &Set) -> Option<u32> {
        self.owner.zone_state.layout.home_partition(program, homes)
    }

    /// Ends once this daemon is cut off from the log with the minority: nothing can be recorded
    /// from here then.
    pub async fn wait_until_cut_off(&self) {
        while self.reach.get() != Reach::Minority || !self.log_health.is_failing() {
            sleep(MINORITY_PERIOD).await;
        }
    }

    /// Records the end of a turn. True once it is durable.
    pub async fn close(&self, request: &CloseTurn, deadline: Instant) -> bool {
        let request = LedgerRequest::Close(request.clone());
        let partition = request.partition(self.owner.zone_state.layout.global_count());
        while Instant::now() < deadline {
            let answer = self.ask(&request, deadline).await;
            let Some((LedgerReply::Accepted, mut replies)) = answer else {
                if self.reach.get() != Reach::Minority {
                    return false;
                }
                sleep(MINORITY_PAUSE).await;
                continue;
            };
            let until = deadline.min(Instant::now() + APPEND_LIMIT);
            match timeout_at(until, replies.recv()).await {
                Ok(Some(LedgerReply::Closed)) => return true,
                Ok(_) => {}
                Err(_) => self.replace_stuck(partition).await,
            }
        }
        false
    }

    /// Asks whoever owns the partition until it answers.
    pub(super) async fn ask(
        &self,
        request: &LedgerRequest,
        deadline: Instant,
    ) -> Option<(LedgerReply, mpsc::UnboundedReceiver<LedgerReply>)> {
        self.ask_for(request, &Cell::default(), deadline).await
    }

    /// The same; `in_doubt` says, also if this is given up midway, whether an owner was asked
    /// that may have done something and did not answer.
    async fn ask_for(
        &self,
        request: &LedgerRequest,
        in_doubt: &Cell<bool>,
        deadline: Instant,
    ) -> Option<(LedgerReply, mpsc::UnboundedReceiver<LedgerReply>)> {
        let partition = request.partition(self.owner.zone_state.layout.global_count());
        loop {
            let exchange = self.exchange_for(partition, request, in_doubt, ANSWER_LIMIT);
            let exchange = timeout_at(deadline, exchange).await;
            self.note(partition, exchange.as_ref().ok());
            match exchange {
                Err(_) => return None,
                Ok(Exchange::Answered(reply, replies)) => return Some((reply, replies)),
                // Nobody takes its place from here, and what is left of the request's time is
                // better spent elsewhere.
                Ok(Exchange::Suspect(_) | Exchange::Silent(_))
                    if self.reach.get() == Reach::Minority =>
                {
                    return None;
                }
                Ok(Exchange::Moved) => {}
                Ok(Exchange::Again | Exchange::Loading(_)) => {
                    let _ = timeout(CHANGE_WAIT, self.owner.claims.changed.notified()).await;
                }
                Ok(doubtful) => self.act_on_doubt(partition, &doubtful).await,
            }
            if Instant::now() + PAUSE >= deadline {
                return None;
            }
        }
    }

    /// Replaces an owner that is gone or silent.
    pub(super) async fn act_on_doubt(&self, partition: u32, exchange: &Exchange) {
        match exchange {
            Exchange::Suspect(epoch) => self.replace(partition, *epoch).await,
            Exchange::Silent(epoch) => self.replace_silent(partition, *epoch).await,
            Exchange::Answered(..) | Exchange::Loading(_) | Exchange::Moved | Exchange::Again => {}
        }
    }
}

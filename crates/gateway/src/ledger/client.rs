//! Opens and closes turns at the owners of their partitions, which may change in the meantime.

use super::exchange::{Exchange, Suspicion, WaitEnd};
use super::owner::Owner;
use super::peer::Peers;
use super::region::{RegionActivity, SILENCE_TIMEOUT};
use fieldhook_ledger::message::{
    BudgetUsage, CloseTurn, FindChain, LedgerReply, LedgerRequest, OpenTurn, RequestKey,
};
use fieldhook_log::log_health::LogHealth;
use fieldhook_log::reach::Reach;
use fieldhook_topology::region::RegionSet;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// An owner that does not answer a request in this time is suspected.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that an owner has to append the end of a turn after accepting it. After that the request is
/// sent again, because the owner may be paused or cut off.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a turn's end is sent again while this daemon is in [`Reach::Minority`].
const MINORITY_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How often [`LedgerClient::wait_until_in_minority`] checks whether this daemon is in a minority.
const MINORITY_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Longest wait for an ownership change before a request is retried.
pub(super) const OWNER_CHANGE_WAIT: Duration = Duration::from_millis(40);
/// Pause before a retry. No retry starts when less time than this is left.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Outcome of a request that appends a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recording {
    /// The record is durable.
    Durable,
    /// The chain that an ended turn continues is not stored. Nothing was appended; the turn can be
    /// stored together with its chain.
    UnknownChain,
    /// The record was not known to be durable by the deadline.
    NotDurable,
}

impl Recording {
    /// Whether the record is durable.
    pub fn is_durable(self) -> bool {
        self == Self::Durable
    }
}

/// Why a turn could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenFailure {
    /// The program's budget does not cover the turn.
    BudgetSpent(BudgetUsage),
    /// The previous turn is not stored.
    UnknownTurn,
    /// No owner answered in time.
    Unavailable,
    /// No owner in the home regions answered in time.
    HomeUnavailable,
}

impl OpenFailure {
    /// Returns the value of the log field `cause`.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::BudgetSpent(_) => "BudgetSpent",
            Self::UnknownTurn => "UnknownTurn",
            Self::Unavailable => "Unavailable",
            Self::HomeUnavailable => "HomeUnavailable",
        }
    }

    /// Returns the usage of a budget that does not cover the turn.
    pub fn budget_usage(&self) -> Option<&BudgetUsage> {
        match self {
            Self::BudgetSpent(usage) => Some(usage),
            _ => None,
        }
    }
}

/// A turn that was opened.
pub struct OpenedTurn {
    /// Contents of the chain of turns that it continues.
    pub chain: Vec<u8>,
    /// Engine that the program is assigned to.
    pub engine: Option<String>,
    /// Whether it is the first turn of its program.
    pub is_first_turn: bool,
    durable: bool,
    allowed: u64,
    replies: mpsc::UnboundedReceiver<LedgerReply>,
}

impl OpenedTurn {
    /// Whether the reservation is durable, so that any output may be sent to the client.
    pub fn is_durable(&self) -> bool {
        self.durable
    }

    /// Number of tokens that may be sent to the client before the reservation is durable.
    pub fn allowed(&self) -> u64 {
        self.allowed
    }

    /// Whether this number of tokens may be sent to the client now.
    pub fn allows(&self, tokens: u64) -> bool {
        self.durable || tokens <= self.allowed
    }
}

/// Sends requests to the owners of ledger partitions, and replaces owners that are lost.
pub struct LedgerClient {
    /// The partitions that this daemon owns itself.
    pub owner: Rc<Owner>,
    /// Whether and when the log last answered this daemon.
    pub log_health: Rc<LogHealth>,
    /// What this daemon can reach, updated by [`super::reach`].
    pub reach: Rc<Cell<Reach>>,
    pub(super) peers: Peers,
    /// Partitions that are being claimed or wait for that.
    pub(super) claiming: RefCell<HashSet<u32>>,
    /// Held while a partition is claimed, so that one at a time is.
    pub(super) claim_lock: Mutex<()>,
    /// Partitions whose owner is searched for in the background, for requests to cold servers.
    pub(super) owner_searches: RefCell<HashSet<u32>>,
    /// Partitions for whose newer owner other daemons are asked, for reports that are not durable.
    pub(super) report_searches: RefCell<HashSet<u32>>,
    /// Whether an owner did not answer since [`super::reach`] last checked.
    pub(super) owner_timed_out: Cell<bool>,
    /// Number of turns that are being closed in the background. A planned stop waits for them,
    /// because no other daemon knows of them.
    pub pending_closes: Cell<usize>,
    /// Current suspicion about the owner of each partition; each is logged once.
    pub(super) suspicions: RefCell<HashMap<u32, Suspicion>>,
    /// When the regions of home partitions last answered.
    pub(super) region_activity: RefCell<RegionActivity>,
    /// When owners did not answer whether their partition is watched.
    pub(super) unconfirmed_watches: RefCell<HashMap<u32, Instant>>,
}

/// Returns a function that notifies a receiver when it is called first.
pub(super) fn notify_once(sender: oneshot::Sender<()>) -> impl Fn() {
    let sender = Cell::new(Some(sender));
    move || {
        if let Some(sender) = sender.take() {
            let _ = sender.send(());
        }
    }
}

impl LedgerClient {
    /// Creates a client; requests for partitions of `owner` do not leave the process.
    pub fn new(owner: Rc<Owner>, log_health: Rc<LogHealth>) -> Self {
        let relay = owner.relay.clone();
        let questions = owner.attempt_questions.clone();
        Self {
            reach: owner.reach.clone(),
            owner,
            log_health,
            peers: Peers::new(move |message| match message {
                LedgerReply::CrashWatch(watch) => relay.watch_crashes(watch.partition, watch.level),
                LedgerReply::ConfirmAttempts(asked) => questions.ask(&asked),
                _ => {}
            }),
            claiming: RefCell::default(),
            claim_lock: Mutex::default(),
            owner_searches: RefCell::default(),
            report_searches: RefCell::default(),
            owner_timed_out: Cell::default(),
            pending_closes: Cell::default(),
            suspicions: RefCell::default(),
            region_activity: RefCell::default(),
            unconfirmed_watches: RefCell::default(),
        }
    }

    /// Opens a turn. If the program's own partition does not know the previous turn, the other
    /// partitions are queried, since the turn may belong to another program;
    /// `request.supplies_chain` is then set, because the owner does not have the chain. `in_doubt`
    /// tells whether an owner may have opened the turn without having replied, even if this future
    /// is dropped.
    ///
    /// # Errors
    /// The turn may not be opened, or no owner replied by the deadline.
    pub async fn open(
        &self,
        request: &mut OpenTurn,
        in_doubt: &Cell<bool>,
        deadline: Instant,
    ) -> Result<OpenedTurn, OpenFailure> {
        if request.home_partition.is_none() {
            return self.open_with_chain(request, in_doubt, deadline).await;
        }
        // Requested for the first turn of a program as well: without an owner that stores its
        // contents, the turn must not run.
        let mut home_request = request.home_partition_request();
        // The home partition that stores the contents reserves no tokens.
        let nothing_in_doubt = Cell::default();
        let stored = match self
            .open_with_chain(&mut home_request, &nothing_in_doubt, deadline)
            .await
        {
            Err(OpenFailure::Unavailable) => return Err(OpenFailure::HomeUnavailable),
            stored => stored?,
        };
        request.supplies_chain = home_request.supplies_chain;
        let program_request = request.program_partition_request();
        let opened = self
            .open_at_partition(&program_request, in_doubt, deadline)
            .await?;
        Ok(OpenedTurn {
            chain: stored.chain,
            ..opened
        })
    }

    /// Opens a turn at a partition and finds its chain, in other partitions if necessary.
    async fn open_with_chain(
        &self,
        request: &mut OpenTurn,
        in_doubt: &Cell<bool>,
        deadline: Instant,
    ) -> Result<OpenedTurn, OpenFailure> {
        match self.open_at_partition(request, in_doubt, deadline).await {
            Err(OpenFailure::UnknownTurn) => {}
            outcome => return outcome,
        }
        let chain = self.find_chain(request, deadline).await?;
        request.supplies_chain = true;
        let opened = self.open_at_partition(request, in_doubt, deadline).await?;
        Ok(OpenedTurn { chain, ..opened })
    }

    /// Queries all other partitions for a chain at once. These include the home partitions of all
    /// regions: the chain may have been stored in a region that the home regions no longer
    /// include, and is then continued in one that they do.
    async fn find_chain(
        &self,
        request: &OpenTurn,
        deadline: Instant,
    ) -> Result<Vec<u8>, OpenFailure> {
        let layout = &self.owner.zone_state.layout;
        let own_partition = request
            .home_partition
            .unwrap_or_else(|| layout.program_partition(&request.program));
        let was_claimed = |partition: &u32| self.owner.claims.claim(*partition).is_some();
        let turn = request.qualified_name(request.previous.as_deref().unwrap_or_default());
        let requests: Vec<LedgerRequest> = (0..layout.global_count())
            .chain(layout.home_partitions().filter(was_claimed))
            .filter(|partition| *partition != own_partition)
            .map(|partition| {
                LedgerRequest::Find(FindChain {
                    partition,
                    turn: turn.clone(),
                })
            })
            .collect();
        let until = deadline.min(Instant::now() + SILENCE_TIMEOUT);
        let queries = requests.iter().map(|request| {
            let is_home = request.partition(layout.global_count()) >= layout.global_count();
            self.request_until_answered(request, if is_home { until } else { deadline })
        });
        let mut answers: FuturesUnordered<_> = queries.collect();
        let mut failure = OpenFailure::UnknownTurn;
        while let Some(answer) = answers.next().await {
            match answer {
                Some((LedgerReply::Chain(chain), _)) => return Ok(chain),
                Some((LedgerReply::UnknownTurn, _)) => {}
                // Without a reply of every partition, the turn may still be stored somewhere.
                _ => failure = OpenFailure::Unavailable,
            }
        }
        Err(failure)
    }

    /// Opens a turn at the partition that the request is for.
    async fn open_at_partition(
        &self,
        request: &OpenTurn,
        in_doubt: &Cell<bool>,
        deadline: Instant,
    ) -> Result<OpenedTurn, OpenFailure> {
        let request = LedgerRequest::Open(request.clone());
        let partition = request.partition(self.owner.zone_state.layout.global_count());
        let answer = tokio::select! {
            biased;
            answer = self.request_until_answered_tracked(&request, in_doubt, deadline) => answer,
            () = self.wait_for_region_silence(partition) => None,
        };
        match answer {
            Some((opened, replies)) => match opened {
                LedgerReply::Opened {
                    chain,
                    durable,
                    allowed,
                    engine,
                    is_first_turn,
                } => Ok(OpenedTurn {
                    chain,
                    engine,
                    is_first_turn,
                    durable,
                    allowed,
                    replies,
                }),
                LedgerReply::BudgetSpent(usage) => Err(OpenFailure::BudgetSpent(usage)),
                LedgerReply::UnknownTurn => Err(OpenFailure::UnknownTurn),
                _ => Err(OpenFailure::Unavailable),
            },
            None => Err(OpenFailure::Unavailable),
        }
    }

    /// Waits until this number of tokens of an opened turn may be sent to the client. Opens the
    /// turn again if its owner is lost in the meantime.
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
                    // The turn will be closed in any case, so it does not matter whether an owner
                    // acted on this request.
                    let in_doubt = Cell::default();
                    let reopen_request = request.reopen_request();
                    match self
                        .open_at_partition(&reopen_request, &in_doubt, deadline)
                        .await
                    {
                        Ok(again) => *opened = again,
                        Err(_) => return false,
                    }
                }
            }
        }
        true
    }

    /// Returns the global partition that the name of a program or tenant hashes to. Its owner
    /// orders the turns of the program, or counts the requests of the tenant.
    pub fn partition_of(&self, name: &str) -> u32 {
        self.owner.zone_state.layout.program_partition(name)
    }

    /// Returns the partition that counts the servers which ended under a request.
    pub fn partition_of_request(&self, request: &RequestKey) -> u32 {
        request.partition(self.owner.zone_state.layout.global_count())
    }

    /// Returns the home partition that stores the contents of a program, if the program is
    /// restricted to home regions.
    pub fn home_partition(&self, program: &str, homes: &RegionSet) -> Option<u32> {
        self.owner.zone_state.layout.home_partition(program, homes)
    }

    /// Completes once this daemon is in [`Reach::Minority`] and its log calls fail, so that it
    /// cannot have anything recorded.
    pub async fn wait_until_in_minority(&self) {
        while self.reach.get() != Reach::Minority || !self.log_health.is_failing() {
            sleep(MINORITY_CHECK_PERIOD).await;
        }
    }

    /// Records the end of a turn.
    pub async fn close(&self, request: &CloseTurn, deadline: Instant) -> Recording {
        let request = LedgerRequest::Close(request.clone());
        self.record(&request, || {}, deadline).await
    }

    /// Sends a request that appends a record until the record is durable. `on_accepted` is called
    /// whenever an owner has accepted the request.
    pub(super) async fn record(
        &self,
        request: &LedgerRequest,
        on_accepted: impl Fn(),
        deadline: Instant,
    ) -> Recording {
        let partition = request.partition(self.owner.zone_state.layout.global_count());
        while Instant::now() < deadline {
            let answer = self.request_until_answered(request, deadline).await;
            let mut replies = match answer {
                Some((LedgerReply::Accepted, replies)) => replies,
                Some((LedgerReply::UnknownTurn, _)) => return Recording::UnknownChain,
                _ if self.reach.get() != Reach::Minority => return Recording::NotDurable,
                _ => {
                    sleep(MINORITY_RETRY_PAUSE).await;
                    continue;
                }
            };
            on_accepted();
            let until = deadline.min(Instant::now() + APPEND_TIMEOUT);
            let claim = self.owner.claims.claim(partition);
            let epoch = claim.map(|claim| claim.epoch);
            let closed = self.wait_for_reply(partition, epoch, &mut replies);
            match timeout_at(until, closed).await {
                Ok(WaitEnd::Reply(Some(LedgerReply::Closed))) => return Recording::Durable,
                Ok(_) => {}
                Err(_) => self.replace_stuck(partition).await,
            }
        }
        Recording::NotDurable
    }

    /// Records a request in the background, until it is durable or the deadline has passed. The
    /// receiver is notified once an owner has accepted it. `on_failure` is called with the partition
    /// if the record is not durable by the deadline.
    pub(super) fn record_in_background(
        self: &Rc<Self>,
        request: LedgerRequest,
        deadline: Instant,
        on_failure: impl FnOnce(u32) + 'static,
    ) -> oneshot::Receiver<()> {
        let (sender, accepted) = oneshot::channel();
        let notify = notify_once(sender);
        let ledger = self.clone();
        ntex::rt::spawn(async move {
            if !ledger.record(&request, notify, deadline).await.is_durable() {
                on_failure(request.partition(ledger.owner.zone_state.layout.global_count()));
            }
        });
        accepted
    }

    /// Sends a request to the owner of its partition until an owner answers; replaces owners that
    /// do not. [`Self::exchange`] sends a request only once.
    pub(super) async fn request_until_answered(
        &self,
        request: &LedgerRequest,
        deadline: Instant,
    ) -> Option<(LedgerReply, mpsc::UnboundedReceiver<LedgerReply>)> {
        self.request_until_answered_tracked(request, &Cell::default(), deadline)
            .await
    }

    /// Like [`Self::request_until_answered`]; `in_doubt` tells whether an owner may have acted on
    /// the request without having replied, even if this future is dropped.
    async fn request_until_answered_tracked(
        &self,
        request: &LedgerRequest,
        in_doubt: &Cell<bool>,
        deadline: Instant,
    ) -> Option<(LedgerReply, mpsc::UnboundedReceiver<LedgerReply>)> {
        let partition = request.partition(self.owner.zone_state.layout.global_count());
        loop {
            let exchange = self.exchange_tracked(partition, request, in_doubt, REPLY_TIMEOUT);
            let exchange = timeout_at(deadline, exchange).await;
            self.note_outcome(partition, exchange.as_ref().ok());
            match exchange {
                Err(_) => return None,
                Ok(Exchange::Answered(reply, replies)) => return Some((reply, replies)),
                // A daemon in a minority replaces no owners, and another daemon is more likely to
                // serve the request in the time that is left.
                Ok(Exchange::OwnerGone(_) | Exchange::OwnerSilent(_))
                    if self.reach.get() == Reach::Minority =>
                {
                    return None;
                }
                Ok(Exchange::RetryNow) => {}
                Ok(Exchange::RetryAfterChange | Exchange::OwnerLoading(_)) => {
                    let _ = timeout(OWNER_CHANGE_WAIT, self.owner.claims.changed.notified()).await;
                }
                Ok(suspect) => self.handle_suspicion(partition, &suspect).await,
            }
            if Instant::now() + RETRY_PAUSE >= deadline {
                return None;
            }
        }
    }

    /// Replaces an owner that is gone or does not answer.
    pub(super) async fn handle_suspicion(&self, partition: u32, exchange: &Exchange) {
        match exchange {
            Exchange::OwnerGone(epoch) => self.replace(partition, *epoch).await,
            Exchange::OwnerSilent(epoch) => self.replace_silent(partition, *epoch).await,
            Exchange::Answered(..)
            | Exchange::OwnerLoading(_)
            | Exchange::RetryNow
            | Exchange::RetryAfterChange => {}
        }
    }
}

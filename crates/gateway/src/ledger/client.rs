//! Opening and closing turns through owners that may change meanwhile.

use super::owner::Owner;
use super::peer::Peers;
use fieldhook_ledger::message::{
    ClaimPartition, CloseTurn, FindChain, KnownOwner, LedgerReply, LedgerRequest, OpenTurn,
};
use fieldhook_ledger::partition_of;
use fieldhook_log::contact::Contact;
use fieldhook_log::ownership::Claim;
use fieldhook_log::reach::{Reach, Round};
use futures_util::future::join_all;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// An owner that does not answer a question in this time is suspected.
const OPEN_ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// The same for an end, which waits for an append.
const CLOSE_ANSWER_LIMIT: Duration = Duration::from_millis(900);
/// Daemons that are asked who owns a partition.
const PEERS_ASKED: usize = 3;
/// Time that they have to answer.
const PEER_ANSWER_LIMIT: Duration = Duration::from_millis(120);
/// Time that they have to claim a partition.
const CLAIM_ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Longest wait for news of the owners before looking again.
const CHANGE_WAIT: Duration = Duration::from_millis(40);
/// A time-out that fires this much late shows that the process did not run.
const WOKEN_AFTER: Duration = Duration::from_millis(150);
/// Time without a failed call of the log after which a silent owner is suspected.
const STEADY: Duration = Duration::from_millis(800);
const PAUSE: Duration = Duration::from_millis(10);

/// Why a turn does not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenFailure {
    /// The budget does not hold it.
    BudgetSpent,
    /// No such turn is kept.
    UnknownTurn,
    /// No owner answered in time.
    Unavailable,
}

/// A turn that may begin.
pub struct OpenedTurn {
    /// Contents of its chain.
    pub chain: Vec<u8>,
    durable: bool,
    replies: mpsc::UnboundedReceiver<LedgerReply>,
}

impl OpenedTurn {
    /// Whether output may reach the client at once.
    pub fn is_durable(&self) -> bool {
        self.durable
    }
}

/// Asks owners.
pub struct LedgerClient {
    /// The partitions owned here.
    pub owner: Rc<Owner>,
    /// Contact with the log.
    pub contact: Rc<Contact>,
    /// What this daemon reaches, kept by [`super::reach`].
    pub reach: Cell<Reach>,
    peers: Peers,
    claiming: RefCell<HashSet<u32>>,
    /// Doubts that were said, by partition: each is said once.
    doubts: RefCell<HashMap<u32, Doubt>>,
}

struct ClaimGuard<'a> {
    claiming: &'a RefCell<HashSet<u32>>,
    partition: u32,
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        self.claiming.borrow_mut().remove(&self.partition);
    }
}

/// One exchange with whoever owns the partition.
enum Exchange {
    Answered(LedgerReply, mpsc::UnboundedReceiver<LedgerReply>),
    /// The owner is gone, or does not hold the partition; its claim had this epoch.
    Suspect(Option<u64>),
    /// The owner does not answer; its claim had this epoch.
    Silent(u64),
    /// The owner has claimed the partition and reads it; its claim has this epoch.
    Loading(u64),
    /// Ask again after news.
    Again,
}

impl Exchange {
    /// What the exchange showed about the owner, if that is doubtful.
    fn doubt(&self) -> Option<Doubt> {
        match self {
            Self::Suspect(epoch) => Some((*epoch, "gone")),
            Self::Silent(epoch) => Some((Some(*epoch), "silent")),
            Self::Loading(epoch) => Some((Some(*epoch), "reading")),
            Self::Answered(..) | Self::Again => None,
        }
    }
}

/// Epoch of an owner and what is wrong with it.
type Doubt = (Option<u64>, &'static str);

impl LedgerClient {
    /// A client beside this daemon's own partitions.
    pub fn new(owner: Rc<Owner>, contact: Rc<Contact>) -> Self {
        Self {
            owner,
            contact,
            reach: Cell::default(),
            peers: Peers::default(),
            claiming: RefCell::default(),
            doubts: RefCell::default(),
        }
    }

    /// Opens a turn. A previous turn that the program's own partition does not know
    /// may belong to another program: the other partitions are asked then, and
    /// `request` says from there on that its chain is brought along.
    ///
    /// # Errors
    /// The turn may not begin, or nobody could tell by the deadline.
    pub async fn open(
        &self,
        request: &mut OpenTurn,
        deadline: Instant,
    ) -> Result<OpenedTurn, OpenFailure> {
        match self.open_at_home(request, deadline).await {
            Err(OpenFailure::UnknownTurn) => {}
            outcome => return outcome,
        }
        let chain = self.find_elsewhere(request, deadline).await?;
        request.brings_chain = true;
        let opened = self.open_at_home(request, deadline).await?;
        Ok(OpenedTurn { chain, ..opened })
    }

    /// Asks the partitions of other programs for a chain, all at once.
    async fn find_elsewhere(
        &self,
        request: &OpenTurn,
        deadline: Instant,
    ) -> Result<Vec<u8>, OpenFailure> {
        let home = partition_of(&request.program, self.owner.claims.partitions());
        let turn = request.previous.clone().unwrap_or_default();
        let questions: Vec<LedgerRequest> = (0..self.owner.claims.partitions())
            .filter(|partition| *partition != home)
            .map(|partition| {
                LedgerRequest::Find(FindChain {
                    partition,
                    turn: turn.clone(),
                })
            })
            .collect();
        let asked = questions
            .iter()
            .map(|question| self.ask(question, OPEN_ANSWER_LIMIT, deadline));
        let mut failure = OpenFailure::UnknownTurn;
        for answer in join_all(asked).await {
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
        deadline: Instant,
    ) -> Result<OpenedTurn, OpenFailure> {
        let request = LedgerRequest::Open(request.clone());
        match self.ask(&request, OPEN_ANSWER_LIMIT, deadline).await {
            Some((LedgerReply::Opened { chain, durable }, replies)) => Ok(OpenedTurn {
                chain,
                durable,
                replies,
            }),
            Some((LedgerReply::BudgetSpent, _)) => Err(OpenFailure::BudgetSpent),
            Some((LedgerReply::UnknownTurn, _)) => Err(OpenFailure::UnknownTurn),
            _ => Err(OpenFailure::Unavailable),
        }
    }

    /// Waits until an opened turn's reservation is durable; opens it again where
    /// the owner was lost meanwhile.
    pub async fn wait_durable(
        &self,
        opened: &mut OpenedTurn,
        request: &OpenTurn,
        deadline: Instant,
    ) -> bool {
        while !opened.durable {
            match timeout_at(deadline, opened.replies.recv()).await {
                Err(_) => return false,
                Ok(Some(LedgerReply::Durable)) => opened.durable = true,
                Ok(_) => match self.open_at_home(request, deadline).await {
                    Ok(again) => *opened = again,
                    Err(_) => return false,
                },
            }
        }
        true
    }

    /// The partition of a program, for logs.
    pub fn partition_of(&self, program: &str) -> u32 {
        partition_of(program, self.owner.claims.partitions())
    }

    /// Records the end of a turn. True once it is durable.
    pub async fn close(&self, request: &CloseTurn, deadline: Instant) -> bool {
        let request = LedgerRequest::Close(request.clone());
        let answer = self.ask(&request, CLOSE_ANSWER_LIMIT, deadline).await;
        matches!(answer, Some((LedgerReply::Closed, _)))
    }

    async fn ask(
        &self,
        request: &LedgerRequest,
        answer_limit: Duration,
        deadline: Instant,
    ) -> Option<(LedgerReply, mpsc::UnboundedReceiver<LedgerReply>)> {
        let partition = request.partition(self.owner.claims.partitions());
        loop {
            let exchange = self.exchange(partition, request, answer_limit);
            let exchange = timeout_at(deadline, exchange).await;
            self.note(partition, exchange.as_ref().ok());
            match exchange {
                Err(_) => return None,
                Ok(Exchange::Answered(reply, replies)) => return Some((reply, replies)),
                Ok(Exchange::Again | Exchange::Loading(_)) => {
                    let _ = timeout(CHANGE_WAIT, self.owner.claims.changed.notified()).await;
                }
                Ok(Exchange::Suspect(epoch)) => self.replace(partition, epoch).await,
                Ok(Exchange::Silent(epoch)) => self.replace_silent(partition, epoch).await,
            }
            if Instant::now() + PAUSE >= deadline {
                return None;
            }
        }
    }

    /// Says a new doubt about the owner of a partition.
    fn note(&self, partition: u32, exchange: Option<&Exchange>) {
        let Some(exchange) = exchange else {
            return;
        };
        let mut doubts = self.doubts.borrow_mut();
        let Some(doubt) = exchange.doubt() else {
            doubts.remove(&partition);
            return;
        };
        if doubts.insert(partition, doubt) != Some(doubt) {
            let (epoch, state) = doubt;
            let log_age_ms = self.contact.age_ms();
            tracing::info!(event = "owner_doubted", partition, epoch, state, log_age_ms);
        }
    }

    async fn exchange(
        &self,
        partition: u32,
        request: &LedgerRequest,
        answer_limit: Duration,
    ) -> Exchange {
        let claim = self.owner.claims.claim(partition);
        let Some(claim) = claim else {
            return Exchange::Suspect(None);
        };
        let Some(address) = claim.address else {
            return Exchange::Suspect(Some(claim.epoch));
        };
        let mine = self.owner.claims.is_mine(&claim);
        if mine && self.reach.get() == Reach::CutOff {
            // Nothing can be appended from here, but others can.
            return Exchange::Suspect(Some(claim.epoch));
        }
        let mut replies = if mine {
            let (sender, replies) = mpsc::unbounded_channel();
            self.owner.handle(request.clone(), sender);
            replies
        } else if address == self.owner.claims.address {
            return Exchange::Suspect(Some(claim.epoch));
        } else {
            match self.peers.connection(address).await {
                Ok(connection) => connection.call(request.clone()),
                Err(_) => return Exchange::Suspect(Some(claim.epoch)),
            }
        };
        let asked = Instant::now();
        let reply = match timeout(answer_limit, replies.recv()).await {
            Ok(Some(reply)) => reply,
            Ok(None) => {
                self.peers.forget(address);
                return Exchange::Suspect(Some(claim.epoch));
            }
            // Woken from a freeze, this process is what was late.
            Err(_) if asked.elapsed() > answer_limit + WOKEN_AFTER => return Exchange::Again,
            Err(_) => return Exchange::Silent(claim.epoch),
        };
        match reply {
            LedgerReply::Unavailable => Exchange::Loading(claim.epoch),
            LedgerReply::NotOwner(Some(known)) if self.learn(partition, &known) => Exchange::Again,
            LedgerReply::NotOwner(_) if self.owner.claims.is_mine(&claim) => Exchange::Again,
            LedgerReply::NotOwner(_) => Exchange::Suspect(Some(claim.epoch)),
            reply => Exchange::Answered(reply, replies),
        }
    }

    /// Takes in what another daemon knows of an owner. True if it was news.
    fn learn(&self, partition: u32, known: &KnownOwner) -> bool {
        let Ok(address) = known.address.parse() else {
            return false;
        };
        let claim = Claim {
            address: Some(address),
            incarnation: known.incarnation,
            epoch: known.epoch,
            has_former: true,
        };
        self.owner.claims.learn(partition, claim)
    }

    /// Asks some other owners who owns a partition: a daemon that is cut off the log
    /// does not hear of claims. True if one knew a newer owner.
    async fn learn_from_peers(&self, partition: u32, epoch: Option<u64>) -> bool {
        let suspected = self
            .owner
            .claims
            .claim(partition)
            .and_then(|claim| claim.address);
        let question = LedgerRequest::WhoOwns(partition);
        let answers = self
            .ask_peers(suspected, &question, PEER_ANSWER_LIMIT)
            .await;
        let mut news = false;
        for answer in answers.into_iter().flatten() {
            if let LedgerReply::NotOwner(Some(known)) = answer {
                news |= Some(known.epoch) > epoch && self.learn(partition, &known);
            }
        }
        news
    }

    /// Asks some daemons, chosen at random, the same question at once; `None` stands for
    /// one that did not answer.
    async fn ask_peers(
        &self,
        except: Option<SocketAddr>,
        question: &LedgerRequest,
        limit: Duration,
    ) -> Vec<Option<LedgerReply>> {
        let mut others = self.owner.claims.addresses();
        others.retain(|other| *other != self.owner.claims.address && Some(*other) != except);
        fastrand::shuffle(&mut others);
        let asked = others
            .into_iter()
            .take(PEERS_ASKED)
            .map(|other| async move {
                let exchange = async {
                    let connection = self.peers.connection(other).await.ok()?;
                    connection.call(question.clone()).recv().await
                };
                timeout(limit, exchange).await.ok().flatten()
            });
        join_all(asked).await
    }

    /// Asks some daemons whether the log answers them.
    pub async fn ask_who_reaches_log(&self) -> Round {
        let answers = self
            .ask_peers(None, &LedgerRequest::HasLog, PEER_ANSWER_LIMIT)
            .await;
        let reach_log = |answer: &&LedgerReply| matches!(answer, LedgerReply::HasLog(true));
        Round::Asked {
            asked: answers.len(),
            answered: answers.iter().flatten().count(),
            reach_log: answers.iter().flatten().filter(reach_log).count(),
        }
    }

    /// Asks daemons that reach the log to claim a partition. True if there is a newer
    /// owner.
    async fn have_it_claimed(&self, partition: u32, epoch: u64) -> bool {
        let question = LedgerRequest::Claim(ClaimPartition { partition, epoch });
        let answers = self.ask_peers(None, &question, CLAIM_ANSWER_LIMIT).await;
        let mut news = false;
        for answer in answers.into_iter().flatten() {
            if let LedgerReply::NotOwner(Some(known)) = answer {
                news |= self.learn(partition, &known);
            }
        }
        news
    }

    /// Takes a partition from an owner that does not answer, unless the log itself was
    /// in trouble a moment ago: the owner may be about to append what waits.
    async fn replace_silent(&self, partition: u32, epoch: u64) {
        if self.contact.steady_for(STEADY) {
            self.replace(partition, Some(epoch)).await;
        } else if !self.learn_from_peers(partition, Some(epoch)).await {
            let _ = timeout(CHANGE_WAIT, self.owner.claims.changed.notified()).await;
        }
    }

    /// Takes a partition from an owner that is gone or silent. Without contact to
    /// the log service nobody can; the owner's own appends wait as well then. One
    /// request claims for all that wait for the partition.
    async fn replace(&self, partition: u32, epoch: Option<u64>) {
        if self.contact.failing() && self.learn_from_peers(partition, epoch).await {
            return;
        }
        if self.reach.get() == Reach::CutOff
            && let Some(epoch) = epoch
            && self.have_it_claimed(partition, epoch).await
        {
            return;
        }
        if self.contact.failing() || !self.claiming.borrow_mut().insert(partition) {
            let _ = timeout(CHANGE_WAIT, self.owner.claims.changed.notified()).await;
            return;
        }
        // The guard ends the claim also where its request is given up.
        let _guard = ClaimGuard {
            claiming: &self.claiming,
            partition,
        };
        sleep(self.owner.patience()).await;
        if self.owner.claims.take_over(partition, epoch).await.is_err() {
            sleep(PAUSE).await;
        }
    }
}

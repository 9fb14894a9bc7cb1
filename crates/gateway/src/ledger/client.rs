//! Opening and closing turns through owners that may change meanwhile.

use super::exchange::{Doubt, Exchange};
use super::owner::Owner;
use super::peer::Peers;
use fieldhook_ledger::message::{CloseTurn, FindChain, LedgerReply, LedgerRequest, OpenTurn};
use fieldhook_ledger::partition_of;
use fieldhook_log::contact::Contact;
use fieldhook_log::reach::Reach;
use futures_util::future::join_all;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
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
    /// Engine that its program is assigned to.
    pub engine: Option<String>,
    /// It is the first turn of its program.
    pub begins: bool,
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
    pub(super) peers: Peers,
    pub(super) claiming: RefCell<HashSet<u32>>,
    /// An owner was silent since [`super::reach`] looked last.
    pub(super) silent_owner: Cell<bool>,
    /// Doubts that were said, by partition: each is said once.
    pub(super) doubts: RefCell<HashMap<u32, Doubt>>,
}

impl LedgerClient {
    /// A client beside this daemon's own partitions.
    pub fn new(owner: Rc<Owner>, contact: Rc<Contact>) -> Self {
        Self {
            owner,
            contact,
            reach: Cell::default(),
            peers: Peers::default(),
            claiming: RefCell::default(),
            silent_owner: Cell::default(),
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
        let turn = request.name(request.previous.as_deref().unwrap_or_default());
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
            .map(|question| self.ask(question, deadline));
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
        match self.ask(&request, deadline).await {
            Some((opened, replies)) => match opened {
                LedgerReply::Opened {
                    chain,
                    durable,
                    engine,
                    begins,
                } => Ok(OpenedTurn {
                    chain,
                    engine,
                    begins,
                    durable,
                    replies,
                }),
                LedgerReply::BudgetSpent => Err(OpenFailure::BudgetSpent),
                LedgerReply::UnknownTurn => Err(OpenFailure::UnknownTurn),
                _ => Err(OpenFailure::Unavailable),
            },
            None => Err(OpenFailure::Unavailable),
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

    /// Ends once this daemon is cut off from the log with the minority: nothing can be recorded
    /// from here then.
    pub async fn wait_cut_off(&self) {
        while self.reach.get() != Reach::Minority || !self.contact.failing() {
            sleep(MINORITY_PERIOD).await;
        }
    }

    /// Records the end of a turn. True once it is durable.
    pub async fn close(&self, request: &CloseTurn, deadline: Instant) -> bool {
        let program = &request.program;
        let request = LedgerRequest::Close(request.clone());
        while Instant::now() < deadline {
            let answer = self.ask(&request, deadline).await;
            let Some((LedgerReply::Noted, mut replies)) = answer else {
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
                Err(_) => self.replace_stuck(self.partition_of(program)).await,
            }
        }
        false
    }

    pub(super) async fn ask(
        &self,
        request: &LedgerRequest,
        deadline: Instant,
    ) -> Option<(LedgerReply, mpsc::UnboundedReceiver<LedgerReply>)> {
        let partition = request.partition(self.owner.claims.partitions());
        loop {
            let exchange = self.exchange(partition, request, ANSWER_LIMIT);
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
                Ok(Exchange::Suspect(epoch)) => self.replace(partition, epoch).await,
                Ok(Exchange::Silent(epoch)) => self.replace_silent(partition, epoch).await,
            }
            if Instant::now() + PAUSE >= deadline {
                return None;
            }
        }
    }
}

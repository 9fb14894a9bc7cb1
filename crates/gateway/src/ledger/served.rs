//! A partition that this daemon owns and has read: answers from memory, appends in
//! groups.

use super::assigner::Assigner;
use crate::daemon::unix_ms;
use fieldhook_ledger::message::{CloseTurn, LedgerReply, LedgerRequest, OpenTurn};
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;
use fieldhook_ledger::scope::Name;
use fieldhook_log::api::KeyedRecord;
use fieldhook_log::appender::{Appender, Outcome, Urgency};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// An answer that is due once what is queued before it is durable.
struct Waiter {
    sender: mpsc::UnboundedSender<LedgerReply>,
    reply: LedgerReply,
}

/// A partition that this daemon owns and has read.
pub(super) struct Owned {
    pub(super) epoch: u64,
    pub(super) state: Rc<RefCell<Partition>>,
    pub(super) appender: Rc<Appender>,
    pub(super) assigner: Rc<Assigner>,
}

impl Owned {
    /// Answers a request of a gateway.
    pub(super) fn handle(
        &self,
        request: LedgerRequest,
        sender: mpsc::UnboundedSender<LedgerReply>,
    ) {
        match request {
            LedgerRequest::Open(open) => self.open(&open, sender),
            LedgerRequest::Close(close) => self.close(&close, sender),
            LedgerRequest::Find(find) => self.find(&find.turn, sender),
            LedgerRequest::WhoOwns(_)
            | LedgerRequest::HasLog
            | LedgerRequest::KeepsLog
            | LedgerRequest::Config(_)
            | LedgerRequest::Quota(_)
            | LedgerRequest::Cold(_)
            | LedgerRequest::Claim(_)
            | LedgerRequest::Follow(_)
            | LedgerRequest::List(_) => {}
        }
    }

    fn open(&self, open: &OpenTurn, sender: mpsc::UnboundedSender<LedgerReply>) {
        let outcome = self.state.borrow_mut().open(open, unix_ms());
        match outcome {
            OpenOutcome::Opened {
                chain,
                durable,
                allowed,
                begins,
                records,
            } => {
                let engine = self.assigner.assign(open);
                let _ = sender.send(LedgerReply::Opened {
                    chain,
                    durable,
                    allowed,
                    engine,
                    begins,
                });
                let waiter = (!durable).then_some(Waiter {
                    sender,
                    reply: LedgerReply::Durable,
                });
                let urgency = if durable { Urgency::Soon } else { Urgency::Now };
                if waiter.is_some() || !records.is_empty() {
                    self.push(records, waiter, urgency);
                }
            }
            // A refusal has to be true: it goes out once the fence is seen to hold.
            OpenOutcome::BudgetSpent(shortage) => {
                self.answer_fenced(sender, LedgerReply::BudgetSpent(shortage));
            }
            // Whoever asked has left: the answer is for nobody.
            OpenOutcome::Ended => {
                tracing::info!(
                    event = "turn_asked_late",
                    request = open.turn,
                    program = open.program,
                    reservation = open.reservation(),
                    epoch = self.epoch
                );
                let _ = sender.send(LedgerReply::Unavailable);
            }
            OpenOutcome::UnknownTurn => self.answer_fenced(sender, LedgerReply::UnknownTurn),
        }
    }

    fn close(&self, close: &CloseTurn, sender: mpsc::UnboundedSender<LedgerReply>) {
        self.assigner.end(close);
        let records = self.state.borrow_mut().close(close, unix_ms());
        let _ = sender.send(LedgerReply::Noted);
        let reply = LedgerReply::Closed;
        let urgency = match close.awaited {
            true => Urgency::Now,
            false => Urgency::Soon,
        };
        self.push(records, Some(Waiter { sender, reply }), urgency);
    }

    /// Appends what the next owner could not know otherwise. Tells, once that and all
    /// before is durable, how long the next owner has to doubt programs without a record,
    /// in milliseconds; `None` if another owner is in force.
    pub(super) fn settle(&self) -> oneshot::Receiver<Option<u64>> {
        let (sender, settled) = oneshot::channel();
        let records = self.state.borrow_mut().hand_over();
        let keyed = records.iter().map(keyed_record).collect();
        let doubt_ms = self.state.borrow().doubt_ms(unix_ms());
        let done = move |outcome| {
            let _ = sender.send((outcome == Outcome::Durable).then_some(doubt_ms));
        };
        self.appender.push(keyed, Urgency::Now, Box::new(done));
        settled
    }

    /// Appends what lets programs begin without the log while unknown ones are in doubt.
    pub(super) fn claim_part(&self) {
        let records = self.state.borrow().claim_part(unix_ms());
        if !records.is_empty() {
            self.push(records, None, Urgency::Now);
        }
    }

    /// Deletes what need not be kept any longer.
    pub(super) fn expire(&self) {
        let records = self.state.borrow_mut().expire(unix_ms());
        if !records.is_empty() {
            self.push(records, None, Urgency::Soon);
        }
    }

    fn find(&self, turn: &Name, sender: mpsc::UnboundedSender<LedgerReply>) {
        match self.state.borrow().contents(turn) {
            Some(chain) => {
                let _ = sender.send(LedgerReply::Chain(chain));
            }
            None => self.answer_fenced(sender, LedgerReply::UnknownTurn),
        }
    }

    fn answer_fenced(&self, sender: mpsc::UnboundedSender<LedgerReply>, reply: LedgerReply) {
        self.push(Vec::new(), Some(Waiter { sender, reply }), Urgency::Now);
    }

    /// Queues records; the waiter is answered once they are durable.
    fn push(&self, records: Vec<Record>, waiter: Option<Waiter>, urgency: Urgency) {
        let keyed = records.iter().map(keyed_record).collect();
        let state = self.state.clone();
        let done = move |outcome| {
            if outcome == Outcome::Durable {
                let mut state = state.borrow_mut();
                records.iter().for_each(|record| state.appended(record));
            }
            if let Some(waiter) = waiter {
                let reply = match outcome {
                    Outcome::Durable => waiter.reply,
                    Outcome::Lost => LedgerReply::NotOwner(None),
                };
                let _ = waiter.sender.send(reply);
            }
        };
        self.appender.push(keyed, urgency, Box::new(done));
    }
}

fn keyed_record(record: &Record) -> KeyedRecord {
    KeyedRecord {
        key: record.key(),
        value: record.value(),
    }
}

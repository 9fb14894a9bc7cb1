//! A loaded partition that this daemon owns: requests are answered from memory, and records are
//! appended in batches.

use super::assigner::Assigner;
use super::followers::Followers;
use crate::daemon::unix_ms;
use fieldhook_ledger::crashes::CrashTable;
use fieldhook_ledger::message::{
    CloseTurn, FoundStream, LedgerReply, LedgerRequest, OpenTurn, RecordStream,
};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;
use fieldhook_ledger::software::MAX_CONTACT_AGE_MS;
use fieldhook_ledger::streams::StreamOrigin;
use fieldhook_log::api::KeyedRecord;
use fieldhook_log::appender::{Appender, Outcome, Urgency};
use fieldhook_log::log_health::LogHealth;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// A reply that is sent once everything queued before it is durable.
pub(super) struct PendingReply {
    pub(super) sender: mpsc::UnboundedSender<LedgerReply>,
    pub(super) reply: LedgerReply,
}

/// Number of expired turns that one log line names.
const MAX_LOGGED_TURNS: usize = 16;

/// A loaded partition that this daemon owns.
#[derive(Clone)]
pub(super) struct ServedPartition {
    pub(super) epoch: u64,
    pub(super) state: Rc<RefCell<Partition>>,
    pub(super) appender: Rc<Appender>,
    pub(super) assigner: Rc<Assigner>,
    pub(super) log_health: Rc<LogHealth>,
    /// Servers that ended under requests, as far as this daemon has seen or was told.
    pub(super) known_crashes: Rc<RefCell<CrashTable>>,
    /// Asks those who follow detached attempts.
    pub(super) followers: Rc<Followers>,
}

impl ServedPartition {
    /// Handles a request about a turn of this partition.
    pub(super) fn handle(
        &self,
        request: LedgerRequest,
        sender: mpsc::UnboundedSender<LedgerReply>,
    ) {
        match request {
            LedgerRequest::Open(open) => self.open(&open, sender),
            LedgerRequest::Close(close) => self.close(&close, sender),
            LedgerRequest::Find(find) => self.find(&find.turn, sender),
            LedgerRequest::RecordStream(request) => self.record_stream(&request, sender),
            LedgerRequest::FindStream(stream) => self.find_stream(&stream.name, sender),
            LedgerRequest::RegisterSoftware(origin) => self.register_software(&origin, sender),
            LedgerRequest::FindSoftware(service) => {
                let software = self.state.borrow().software_of(&service);
                self.reply_after_fence_check(sender, LedgerReply::Software(software));
            }
            LedgerRequest::RequestSend(request) => self.request_send(request, sender),
            LedgerRequest::ConfirmAttempt(confirmed) => self.confirm_attempt(&confirmed, &sender),
            // Answered by `Owner::handle`, which passes on only requests about a partition's state.
            LedgerRequest::FindOwner(_)
            | LedgerRequest::HasRecentLogContact
            | LedgerRequest::HasLogContact
            | LedgerRequest::Config(_)
            | LedgerRequest::Quota(_)
            | LedgerRequest::Cold(_)
            | LedgerRequest::Claim(_)
            | LedgerRequest::WatchCrashes(_)
            | LedgerRequest::FindCrashWatch(_)
            | LedgerRequest::ReportAttempt(_)
            | LedgerRequest::Follow(_)
            | LedgerRequest::List(_)
            | LedgerRequest::BackUpAttempts(_)
            | LedgerRequest::SuspectRequests(_) => {}
        }
    }

    fn open(&self, open: &OpenTurn, sender: mpsc::UnboundedSender<LedgerReply>) {
        let outcome = self.state.borrow_mut().open(open, unix_ms());
        match outcome {
            OpenOutcome::Opened {
                chain,
                durable,
                allowed,
                is_first_turn,
                records,
            } => {
                let engine = self.assigner.assign(open);
                let _ = sender.send(LedgerReply::Opened {
                    chain,
                    durable,
                    allowed,
                    engine,
                    is_first_turn,
                });
                let pending = (!durable).then_some(PendingReply {
                    sender,
                    reply: LedgerReply::Durable,
                });
                let urgency = if durable { Urgency::Soon } else { Urgency::Now };
                if pending.is_some() || !records.is_empty() {
                    self.push(records, pending, urgency);
                }
            }
            // A refusal by an owner that has been replaced could be wrong, so it is sent only once
            // an append has shown that no later owner has fenced this one.
            OpenOutcome::BudgetSpent(shortage) => {
                self.reply_after_fence_check(sender, LedgerReply::BudgetSpent(shortage));
            }
            // The turn was closed before this request arrived: no one waits for the reply.
            OpenOutcome::AlreadyEnded => {
                tracing::info!(
                    event = "turn_asked_late",
                    request = open.turn,
                    program = open.program,
                    reservation = open.reservation_id(),
                    epoch = self.epoch
                );
                let _ = sender.send(LedgerReply::Unavailable);
            }
            OpenOutcome::UnknownTurn => {
                let previous = open.previous.as_deref().unwrap_or_default();
                self.log_unknown_chain(&open.qualified_name(previous), Some(&open.turn));
                self.reply_after_fence_check(sender, LedgerReply::UnknownTurn)
            }
        }
    }

    fn close(&self, close: &CloseTurn, sender: mpsc::UnboundedSender<LedgerReply>) {
        let closed = self.state.borrow_mut().close(close, unix_ms());
        let Ok(records) = closed else {
            // Even if this owner was replaced: content may always be stored with its chain.
            let _ = sender.send(LedgerReply::UnknownTurn);
            return;
        };
        self.assigner.end_turn(close);
        let _ = sender.send(LedgerReply::Accepted);
        let reply = LedgerReply::Closed;
        let urgency = match close.delays_response {
            true => Urgency::Now,
            false => Urgency::Soon,
        };
        self.push(records, Some(PendingReply { sender, reply }), urgency);
    }

    /// Appends the program records that the next owner needs. Once these and everything before
    /// them are durable, the receiver gets how long programs without a record stay uncertain for
    /// the next owner, in milliseconds; `None` if this owner was fenced.
    ///
    /// A program without a record is uncertain while an earlier owner may have granted it tokens
    /// that were not recorded.
    pub(super) fn append_handover(&self) -> oneshot::Receiver<Option<u64>> {
        let (sender, receiver) = oneshot::channel();
        let records = self.state.borrow_mut().handover_records();
        let keyed = records.iter().map(keyed_record).collect();
        let uncertainty_ms = self.state.borrow().uncertainty_ms(unix_ms());
        let done = move |outcome| {
            let _ = sender.send((outcome == Outcome::Durable).then_some(uncertainty_ms));
        };
        self.appender.push(keyed, Urgency::Now, Box::new(done));
        receiver
    }

    /// While programs without a record are uncertain (see [`Self::append_handover`]), appends the
    /// record that lets new programs start during an outage of the log.
    pub(super) fn append_unrecorded_share(&self) {
        let records = self.state.borrow().unrecorded_share_records(unix_ms());
        if !records.is_empty() {
            self.push(records, None, Urgency::Now);
        }
    }

    /// Deletes expired turns and programs.
    pub(super) fn expire(&self, program_retention_ms: u64) {
        let mut state = self.state.borrow_mut();
        state.set_program_retention(program_retention_ms);
        let records = state.expire(unix_ms());
        drop(state);
        self.log_expiry(&records);
        if !records.is_empty() {
            self.push(records, None, Urgency::Soon);
        }
    }

    fn find(&self, turn: &QualifiedName, sender: mpsc::UnboundedSender<LedgerReply>) {
        match self.state.borrow().chain_contents(turn) {
            Some(chain) => {
                let _ = sender.send(LedgerReply::Chain(chain));
            }
            None => {
                self.log_unknown_chain(turn, None);
                self.reply_after_fence_check(sender, LedgerReply::UnknownTurn)
            }
        }
    }

    /// Logs which turn of a chain is not stored. Every partition is asked for a turn that its own
    /// partition does not store, so those lines are left out.
    fn log_unknown_chain(&self, last: &QualifiedName, request: Option<&str>) {
        let state = self.state.borrow();
        let missing = state.chains().missing_turn(last);
        if request.is_none() && missing.as_ref() == Some(last) {
            return;
        }
        tracing::info!(
            event = "chain_unknown",
            request,
            previous = last.name,
            missing = missing.map(|turn| turn.name),
            turns = state.turn_count(),
            epoch = self.epoch
        );
    }

    fn log_expiry(&self, records: &[Record]) {
        let turns = records.iter().filter_map(|record| match record {
            Record::Turn(name, None) => Some(name.name.as_str()),
            _ => None,
        });
        let turns: Vec<&str> = turns.collect();
        if turns.is_empty() {
            return;
        }
        let logged = &turns[..turns.len().min(MAX_LOGGED_TURNS)];
        tracing::info!(
            event = "turns_expired",
            count = turns.len(),
            turns = logged.join(" "),
            epoch = self.epoch
        );
    }

    fn record_stream(&self, request: &RecordStream, sender: mpsc::UnboundedSender<LedgerReply>) {
        let records = self.state.borrow_mut().record_stream(request, unix_ms());
        let _ = sender.send(LedgerReply::Accepted);
        let reply = LedgerReply::Closed;
        self.push(records, Some(PendingReply { sender, reply }), Urgency::Now);
    }

    /// Registers a software. One that is durable is confirmed at once, so that streams begin during
    /// an outage of the log, unless this owner may have been replaced meanwhile.
    fn register_software(&self, origin: &StreamOrigin, sender: mpsc::UnboundedSender<LedgerReply>) {
        let records = self.state.borrow_mut().register_software(origin, unix_ms());
        let _ = sender.send(LedgerReply::Accepted);
        let reply = LedgerReply::Closed;
        let contact_age_ms = self.log_health.ms_since_answer();
        match records {
            None if contact_age_ms < MAX_CONTACT_AGE_MS => {
                let _ = sender.send(reply);
            }
            records => {
                let records = records.unwrap_or_default();
                self.push(records, Some(PendingReply { sender, reply }), Urgency::Now);
            }
        }
    }

    /// Replies with the origin of a stream. That none is recorded is certain only for an owner that
    /// was not replaced.
    fn find_stream(&self, name: &QualifiedName, sender: mpsc::UnboundedSender<LedgerReply>) {
        let now_ms = unix_ms();
        let found = self.state.borrow().find_stream(name, now_ms).map(|stream| {
            let record = &stream.record;
            FoundStream {
                origin: record.origin.clone(),
                age_ms: now_ms.saturating_sub(record.began_ms),
                is_restored: stream.is_restored,
            }
        });
        let reply = LedgerReply::Stream(found);
        match reply {
            LedgerReply::Stream(None) => self.reply_after_fence_check(sender, reply),
            reply => {
                let _ = sender.send(reply);
            }
        }
    }

    /// Sends a reply once an append shows that this owner is not fenced.
    pub(super) fn reply_after_fence_check(
        &self,
        sender: mpsc::UnboundedSender<LedgerReply>,
        reply: LedgerReply,
    ) {
        self.push(
            Vec::new(),
            Some(PendingReply { sender, reply }),
            Urgency::Now,
        );
    }

    /// Queues records to be appended; `pending` is sent once they are durable.
    pub(super) fn push(
        &self,
        records: Vec<Record>,
        pending: Option<PendingReply>,
        urgency: Urgency,
    ) {
        let keyed = records.iter().map(keyed_record).collect();
        let state = self.state.clone();
        let done = move |outcome| {
            if outcome == Outcome::Durable {
                let mut state = state.borrow_mut();
                records
                    .iter()
                    .for_each(|record| state.record_appended(record));
            }
            if let Some(pending) = pending {
                let reply = match outcome {
                    Outcome::Durable => pending.reply,
                    Outcome::Lost => LedgerReply::NotOwner(None),
                };
                let _ = pending.sender.send(reply);
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

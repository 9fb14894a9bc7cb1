//! Requests that are delayed in the network: their senders may give up, and they may reach owners
//! late, repeatedly or never. The end of a turn that never ran must not release tokens that others
//! delivered.

use super::{NOW_MS, RunningTurn, Simulation};
use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::partition::OpenOutcome;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Sends a request to open a turn.
    Send,
    /// A client retries under the same turn id.
    Retry(u8),
    /// A request reaches the current owner, possibly again.
    Arrive(u8),
    /// A request reaches a replaced owner that is still running.
    ArriveAtReplaced(u8, u8),
    /// The sender gives up, and the end of the turn is reported, possibly again.
    Cancel(u8),
    /// The sender gives up, and the end reaches a replaced owner that is still running.
    CancelAtReplaced(u8, u8),
    /// The owner deletes expired state.
    Expire,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requester {
    Waiting,
    /// The turn has started.
    Started,
    Gone,
}

#[derive(Clone)]
pub struct DelayedRequest {
    request: OpenTurn,
    requester: Requester,
}

impl Simulation {
    pub(super) fn step_request(&mut self, step: Step) {
        match step {
            Step::Send => {
                let request = self.next_request();
                self.send(request);
            }
            Step::Retry(which) => self.retry(which),
            Step::Arrive(which) => self.arrive(which),
            Step::ArriveAtReplaced(which, replaced) => self.arrive_at_replaced(which, replaced),
            Step::Cancel(which) => self.cancel(which),
            Step::CancelAtReplaced(which, replaced) => self.cancel_at_replaced(which, replaced),
            Step::Expire => {
                let records = self.owner.expire(NOW_MS);
                self.push(records);
            }
        }
    }

    fn send(&mut self, request: OpenTurn) {
        self.requests.push(DelayedRequest {
            request,
            requester: Requester::Waiting,
        });
    }

    fn retry(&mut self, which: u8) {
        let Some(index) = self.request_index(which) else {
            return;
        };
        let OpenTurn { turn, session, .. } = self.requests[index].request.clone();
        let request = OpenTurn {
            turn,
            session,
            ..self.next_request()
        };
        self.send(request);
    }

    fn request_index(&self, which: u8) -> Option<usize> {
        usize::from(which).checked_rem(self.requests.len())
    }

    fn arrive(&mut self, which: u8) {
        let Some(index) = self.request_index(which) else {
            return;
        };
        let DelayedRequest { request, requester } = self.requests[index].clone();
        let outcome = self.owner.open(&request, NOW_MS);
        let OpenOutcome::Opened {
            durable, records, ..
        } = outcome
        else {
            return;
        };
        self.push(records);
        if requester == Requester::Waiting {
            self.requests[index].requester = Requester::Started;
            self.start_turn(&request, durable);
        }
    }

    /// A replaced owner cannot append, so its grants start at once or never.
    fn arrive_at_replaced(&mut self, which: u8, replaced: u8) {
        let Some(index) = self.request_index(which) else {
            return;
        };
        let Some(replaced) = usize::from(replaced).checked_rem(self.replaced_owners.len()) else {
            return;
        };
        let DelayedRequest { request, requester } = self.requests[index].clone();
        let outcome = self.replaced_owners[replaced].open(&request, NOW_MS);
        if let OpenOutcome::Opened { durable: true, .. } = outcome
            && requester == Requester::Waiting
        {
            self.requests[index].requester = Requester::Started;
            self.start_turn(&request, true);
        }
    }

    fn give_up(&mut self, which: u8) -> Option<OpenTurn> {
        let index = self.request_index(which)?;
        let delayed = &mut self.requests[index];
        if delayed.requester == Requester::Started {
            return None;
        }
        delayed.requester = Requester::Gone;
        Some(delayed.request.clone())
    }

    fn cancel(&mut self, which: u8) {
        if let Some(request) = self.give_up(which) {
            let records = self
                .owner
                .close(&request.cancellation(), NOW_MS)
                .expect("a known chain");
            self.push(records);
        }
    }

    fn cancel_at_replaced(&mut self, which: u8, replaced: u8) {
        let request = self.give_up(which);
        let replaced = usize::from(replaced).checked_rem(self.replaced_owners.len());
        if let (Some(request), Some(replaced)) = (request, replaced) {
            self.replaced_owners[replaced]
                .close(&request.cancellation(), NOW_MS)
                .expect("a known chain");
        }
    }

    /// Turns that never started, and so delivered nothing, are requested again.
    pub(super) fn reset_never_started(&mut self, never_started: &[RunningTurn]) {
        for delayed in &mut self.requests {
            let attempt = delayed.request.attempt;
            if never_started.iter().any(|turn| turn.attempt == attempt) {
                delayed.requester = Requester::Waiting;
            }
        }
    }
}

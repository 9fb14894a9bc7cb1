//! Requests under which servers ended: asking and informing the owner of their partition, and
//! announcing to all daemons that they have to ask.

use super::client::{LedgerClient, OWNER_CHANGE_WAIT, notify_once};
use super::exchange::Exchange;
use super::followers;
use super::held::HeldPartition;
use super::owner::{OWNERS_TOPIC, Owner};
use super::peer::PeerConnection;
use super::replace::PartitionGuard;
use crate::daemon::unix_ms;
use fieldhook_ledger::crashes::{SendDecision, WatchLevel};
use fieldhook_ledger::message::{
    ConfirmAttempt, CrashWatch, LedgerReply, LedgerRequest, ReportAttempt, RequestSend,
};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_log::api::{Append, LogStore, Partition};
use fieldhook_log::crash_watch::{CrashWatches, RENEWAL_MS};
use fieldhook_log::ownership::Claim;
use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long an owner is asked while its partition is watched or suspected: a lost owner is replaced within 300
/// to 700 ms.
const WATCHED_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the question to an owner while the log is unavailable: watches cannot be announced then.
const UNWATCHED_TIMEOUT: Duration = Duration::from_millis(60);
/// How long the owner of a watched partition may wait until the place of an attempt is durable, in
/// milliseconds. After that its reply holds only while it lives.
const DURABLE_WAIT_MS: u64 = 150;
/// Age of the newest message up to which a connection to an owner counts as alive. Owners report
/// watches without delay, so a live connection without a report means that there is no watch.
const HEARD_WITHIN: Duration = Duration::from_millis(500);
/// How long requests wait, after the start of the process, until the claims are known.
const CLAIMS_WAIT: Duration = Duration::from_millis(300);
/// Interval at which a suspicion is reported again. Daemons act on it for twice as long, and an
/// abandoned attempt holds its place for one interval.
const SUSPICION_RENEWAL: Duration = Duration::from_secs(1);
/// Time in which a report becomes durable while the log answers. After that, other daemons are asked
/// for a newer owner, and again after each further such time.
const OWNER_SEARCH_PAUSE: Duration = Duration::from_millis(100);
/// How long a report is repeated until it is durable.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of an append that announces a watch: an answer that takes longer is probably lost.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of such appends in a row, and the pause between them. The announcement is repeated
/// when the partition expires its state.
const MAX_ANNOUNCEMENTS: u32 = 8;
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(50);

/// Answer to the question whether a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendAnswer {
    /// Nothing suggests that a server has ended under any request of the partition.
    NotAsked,
    /// The decision of the owner.
    Decided(SendDecision),
    /// No owner replied although the partition is watched.
    NoOwner,
}

impl LedgerClient {
    /// Asks whether a request may be sent, if servers have ended under requests of its partition, or
    /// under this one as far as known. Otherwise it may, as long as it is certain that the owner of
    /// the partition would have said so.
    pub async fn ask_to_send(&self, mut request: RequestSend, deadline: Instant) -> SendAnswer {
        let partition = self.partition_of_request(&request.request);
        let knows_end = !request.known.is_empty();
        if !knows_end && !self.confirm_crash_watch(partition).await {
            return SendAnswer::NoOwner;
        }
        let relay = &self.owner.relay;
        let is_watched = knows_end || relay.is_crash_watched(partition);
        let is_suspected = relay.is_crash_suspected(partition)
            || self
                .owner
                .suspected_requests
                .contains(&request.request.name);
        request.max_durable_wait_ms = if is_watched { DURABLE_WAIT_MS } else { 0 };
        let request = LedgerRequest::RequestSend(request);
        if is_watched || is_suspected {
            let deadline = deadline.min(Instant::now() + WATCHED_TIMEOUT);
            let decision = self.request_decision(&request, deadline).await;
            return decision.map_or(SendAnswer::NoOwner, SendAnswer::Decided);
        }
        // No watch can be announced while the log is unavailable.
        if !self.log_health.is_failing() {
            return SendAnswer::NotAsked;
        }
        let deadline = deadline.min(Instant::now() + UNWATCHED_TIMEOUT);
        match self.ask_known_owner(partition, &request, deadline).await {
            Some(LedgerReply::Send(decision)) => SendAnswer::Decided(decision),
            // The owner asks others first, so the request is one that may not be sent unasked.
            Some(LedgerReply::Accepted) => SendAnswer::NoOwner,
            _ => SendAnswer::NotAsked,
        }
    }

    /// Asks the owner of a request's partition for its decision, replacing owners that do not answer.
    async fn request_decision(
        &self,
        request: &LedgerRequest,
        deadline: Instant,
    ) -> Option<SendDecision> {
        loop {
            let (mut reply, mut replies) = self.request_until_answered(request, deadline).await?;
            if reply == LedgerReply::Accepted {
                let next = timeout_at(deadline, replies.recv()).await.ok()?;
                // Without a further reply the owner was lost.
                let Some(next) = next else {
                    continue;
                };
                reply = next;
            }
            match reply {
                LedgerReply::Send(decision) => return Some(decision),
                // The owner has been replaced meanwhile.
                LedgerReply::NotOwner(_) => {}
                _ => return None,
            }
        }
    }

    /// Makes sure that this daemon knows whether a partition is watched. An owner reports watches on
    /// the connections to it, so one that was heard recently has none to report; otherwise it is asked.
    /// Returns false if nothing is known about watches at all.
    async fn confirm_crash_watch(&self, partition: u32) -> bool {
        let relay = &self.owner.relay;
        if relay.is_crash_watched(partition) || self.hears_of_crash_watch(partition) {
            return true;
        }
        let until = Instant::now() + CLAIMS_WAIT;
        if !relay.wait_for_claims(until).await && !self.log_health.is_failing() {
            return false;
        }
        let unanswered = self.unconfirmed_watches.borrow().get(&partition).copied();
        if unanswered.is_none_or(|at| at.elapsed() >= HEARD_WITHIN) {
            self.ask_for_crash_watch(partition).await;
        }
        true
    }

    /// Asks the owner of a partition whether it is watched.
    async fn ask_for_crash_watch(&self, partition: u32) {
        let request = LedgerRequest::FindCrashWatch(partition);
        let until = Instant::now() + UNWATCHED_TIMEOUT;
        let claim = self.owner.claims.claim(partition);
        let connection = self.connection_to(claim.as_ref());
        let reply = self.ask_known_owner(partition, &request, until).await;
        let Some(LedgerReply::CrashWatch(watch)) = reply else {
            return self.note_unconfirmed_watch(partition);
        };
        self.owner.relay.watch_crashes(partition, watch.level);
        let Some(claim) = claim.filter(|claim| !self.owner.claims.is_mine(claim)) else {
            return;
        };
        let checks = &self.owner.metrics.watch_checks;
        checks.with_label_values(&[watch.level.name()]).inc();
        // A report on another connection may have been lost with it.
        let is_same = |connection: &Rc<PeerConnection>| {
            let current = self.connection_to(Some(&claim));
            current.is_some_and(|current| Rc::ptr_eq(&current, connection))
        };
        if let Some(connection) = connection.filter(is_same) {
            connection.set_reported(partition, claim.epoch);
        }
    }

    /// Remembers that an owner did not answer, so that not every request waits for it.
    fn note_unconfirmed_watch(&self, partition: u32) {
        let mut unconfirmed = self.unconfirmed_watches.borrow_mut();
        unconfirmed.insert(partition, Instant::now());
        let checks = &self.owner.metrics.watch_checks;
        checks.with_label_values(&["no_owner"]).inc();
        tracing::info!(
            event = "crash_watch_unconfirmed",
            partition,
            log_age_ms = self.log_health.ms_since_answer()
        );
    }

    /// Returns the connection to the owner by this claim, if one is open.
    fn connection_to(&self, claim: Option<&Claim>) -> Option<Rc<PeerConnection>> {
        self.peers.open_connection(claim?.address?)
    }

    /// Whether the owner of a partition would have reported a watch to this daemon.
    fn hears_of_crash_watch(&self, partition: u32) -> bool {
        let Some(claim) = self.owner.claims.claim(partition) else {
            return false;
        };
        let connection = self.connection_to(Some(&claim));
        connection
            .is_some_and(|connection| connection.reports(partition, claim.epoch, HEARD_WITHIN))
    }

    /// Sends a request to the owner as far as known, without replacing it.
    async fn ask_known_owner(
        &self,
        partition: u32,
        request: &LedgerRequest,
        deadline: Instant,
    ) -> Option<LedgerReply> {
        loop {
            let exchange = self.exchange(partition, request, UNWATCHED_TIMEOUT);
            match timeout_at(deadline, exchange).await.ok()? {
                Exchange::Answered(reply, _) => return Some(reply),
                Exchange::RetryNow => {}
                Exchange::RetryAfterChange => {
                    let changed = self.owner.claims.changed.notified();
                    let _ = timeout(OWNER_CHANGE_WAIT, changed).await;
                }
                Exchange::OwnerGone(_) | Exchange::OwnerSilent(_) | Exchange::OwnerLoading(_) => {
                    return None;
                }
            }
        }
    }

    /// Tells the owner of a request's partition in the background that the process of a detached
    /// attempt lives.
    pub fn confirm_attempt(self: &Rc<Self>, confirmed: ConfirmAttempt) {
        let ledger = self.clone();
        ntex::rt::spawn(async move {
            let until = Instant::now() + followers::ANSWER_TIMEOUT;
            let request = LedgerRequest::ConfirmAttempt(confirmed);
            // Without an answer the attempt holds a place.
            let _ = ledger.request_until_answered(&request, until).await;
        });
    }

    /// Reports the end of an attempt in the background, until that is durable. The receiver is
    /// notified once an owner has accepted it. This daemon may have been replaced without knowing, so
    /// a report to itself is accepted once it is durable.
    pub fn report_attempt(self: &Rc<Self>, report: ReportAttempt) -> oneshot::Receiver<()> {
        let content = report.request.name.name.clone();
        let partition = self.partition_of_request(&report.request);
        let deadline = Instant::now() + REPORT_TIMEOUT;
        let request = LedgerRequest::ReportAttempt(report);
        let (sender, accepted) = oneshot::channel();
        let notify = notify_once(sender);
        let ledger = self.clone();
        ntex::rt::spawn(async move {
            let notify_of_other = || {
                if ledger.owner.own_claim(partition).is_none() {
                    notify();
                }
            };
            let recording = tokio::select! {
                recording = ledger.record(&request, notify_of_other, deadline) => recording,
                never = ledger.search_newer_owners(partition) => match never {},
            };
            notify();
            if !recording.is_durable() {
                tracing::info!(
                    event = "crash_not_durable",
                    content,
                    partition,
                    log_age_ms = ledger.log_health.ms_since_answer()
                );
            }
        });
        accepted
    }

    /// Asks other daemons for a newer owner, again and again: an owner to which the log is silent does
    /// not hear that it was replaced, and neither does a daemon that is cut off with it.
    async fn search_newer_owners(&self, partition: u32) -> Infallible {
        loop {
            sleep(OWNER_SEARCH_PAUSE).await;
            // Of the reports that wait, one searches for all.
            if !self.report_searches.borrow_mut().insert(partition) {
                continue;
            }
            let _guard = PartitionGuard::new(&self.report_searches, partition);
            let claim = self.owner.claims.claim(partition);
            let epoch = claim.map(|claim| claim.epoch);
            self.learn_owner_from_peers(partition, epoch).await;
        }
    }
}

impl Owner {
    /// Reports to the connected daemons what they have to do before they send requests of a partition,
    /// unless that has not changed. If servers have ended, all other daemons are notified as well, see
    /// [`Self::announce_crash_watch`].
    pub(super) fn report_crash_watch(
        self: &Rc<Self>,
        partition: u32,
        level: WatchLevel,
    ) -> Option<oneshot::Receiver<()>> {
        if level > self.reported_crash_watch(partition) {
            let watch = CrashWatch { partition, level };
            self.subscribers.notify(LedgerReply::CrashWatch(watch));
        }
        if level == WatchLevel::Watched {
            return self.announce_crash_watch(partition);
        }
        self.relay.watch_crashes(partition, level);
        let mut suspected = self.suspected_partitions.borrow_mut();
        let reported = suspected.entry(partition).or_insert_with(Instant::now);
        if reported.elapsed() >= SUSPICION_RENEWAL {
            *reported = Instant::now();
        }
        None
    }

    /// The level that was last reported to the connected daemons and is still in effect.
    pub(super) fn reported_crash_watch(&self, partition: u32) -> WatchLevel {
        let is_within = |reported: &RefCell<HashMap<u32, Instant>>, time: Duration| {
            let reported = reported.borrow().get(&partition).copied();
            reported.is_some_and(|at| at.elapsed() < time)
        };
        if is_within(&self.announced_watches, Duration::from_millis(RENEWAL_MS)) {
            WatchLevel::Watched
        } else if is_within(&self.suspected_partitions, SUSPICION_RENEWAL) {
            WatchLevel::Suspected
        } else {
            WatchLevel::None
        }
    }

    /// Announces that daemons have to ask before they send requests of a partition, unless that was
    /// announced recently. The receiver is notified when the announcement is in the log; `None` if
    /// none is needed.
    pub(super) fn announce_crash_watch(
        self: &Rc<Self>,
        partition: u32,
    ) -> Option<oneshot::Receiver<()>> {
        self.relay.watch_crashes(partition, WatchLevel::Watched);
        let renewal = Duration::from_millis(RENEWAL_MS);
        let mut announced = self.announced_watches.borrow_mut();
        if announced
            .get(&partition)
            .is_some_and(|at| at.elapsed() < renewal)
        {
            return None;
        }
        announced.insert(partition, Instant::now());
        drop(announced);
        let (sender, receiver) = oneshot::channel();
        let owner = self.clone();
        ntex::rt::spawn(async move {
            if owner.append_crash_watch(partition).await {
                let _ = sender.send(());
            } else {
                owner.announced_watches.borrow_mut().remove(&partition);
            }
        });
        Some(receiver)
    }

    /// Appends the announcement of a watch, repeatedly if the log does not confirm it. The known
    /// owners are told directly as well, in case the log is unavailable.
    async fn append_crash_watch(self: &Rc<Self>, partition: u32) -> bool {
        for address in self.claims.addresses() {
            let owner = self.clone();
            ntex::rt::spawn(async move {
                let request = LedgerRequest::WatchCrashes(partition);
                let peers = &owner.crash_watch_peers;
                let _ = peers.request(address, &request, ANNOUNCE_TIMEOUT).await;
            });
        }
        for _ in 0..MAX_ANNOUNCEMENTS {
            let append = Append {
                partition: Partition {
                    topic: OWNERS_TOPIC.to_owned(),
                    number: 0,
                },
                records: vec![CrashWatches::record(partition)],
                producer: None,
                expected_end: None,
                timeout: ANNOUNCE_TIMEOUT,
            };
            match self.relay.append(append).await {
                Ok(_) => return true,
                Err(error) => {
                    tracing::info!(event = "crash_watch_not_announced", partition, %error);
                    sleep(ANNOUNCE_PAUSE).await;
                }
            }
        }
        false
    }

    /// Has all known daemons, and this one, ask before they send these requests, whose owner at this
    /// address was lost.
    pub fn suspect_requests(self: &Rc<Self>, requests: Vec<QualifiedName>, lost: SocketAddr) {
        let others = self.known_daemons();
        for address in others.into_iter().filter(|address| *address != lost) {
            let owner = self.clone();
            let request = LedgerRequest::SuspectRequests(requests.clone());
            ntex::rt::spawn(async move {
                let peers = &owner.crash_watch_peers;
                // A daemon that is not reached asks the owner or its successor.
                let _ = peers.request(address, &request, ANNOUNCE_TIMEOUT).await;
            });
        }
        self.suspected_requests.add(requests);
    }

    /// Renews the watches of partitions in which servers have ended under requests.
    pub(super) fn renew_crash_watches(self: &Rc<Self>) {
        let held = self.held.borrow();
        let now_ms = unix_ms();
        let watched = held.iter().filter_map(|(partition, held)| match held {
            HeldPartition::Serving(served) => {
                let level = served.state.borrow().crashes().watch_level(now_ms);
                (level == WatchLevel::Watched).then_some(*partition)
            }
            _ => None,
        });
        let watched: Vec<u32> = watched.collect();
        drop(held);
        for partition in watched {
            let _ = self.announce_crash_watch(partition);
        }
    }
}

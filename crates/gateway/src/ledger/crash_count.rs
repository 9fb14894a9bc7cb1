//! Requests under which servers ended, at the owner of their partition: decides whether they may be
//! sent again, and counts how attempts ended.

use super::followers;
use super::owner::RECENT_LOG_REPLY;
use super::served::{PendingReply, ServedPartition};
use crate::daemon::unix_ms;
use fieldhook_ledger::crashes::{MAX_ENDED_SERVERS, WatchLevel};
use fieldhook_ledger::message::{
    ConfirmAttempt, CrashWatch, LedgerReply, ReportAttempt, RequestSend,
};
use fieldhook_log::appender::Urgency;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long the answer to a report waits until the watch of its partition is announced, so that the
/// next attempt of the client finds a daemon that knows of it.
const ANNOUNCE_WAIT: Duration = Duration::from_millis(50);

impl ServedPartition {
    /// Decides whether a request may be sent to a server. Waits until the count has settled, and
    /// until those who follow detached attempts have answered if the decision depends on that.
    pub(super) fn request_send(
        &self,
        request: RequestSend,
        sender: mpsc::UnboundedSender<LedgerReply>,
    ) {
        let name = &request.request.name;
        let now_ms = unix_ms();
        let state = self.state.borrow();
        let is_settled = state.crashes().settling_ms(name, now_ms) == 0;
        let is_undecided = state.crashes().is_undecided(name, None, now_ms);
        drop(state);
        if is_settled && !is_undecided {
            return self.decide(request, None, sender);
        }
        let served = self.clone();
        ntex::rt::spawn(async move {
            // Shows that this owner lives.
            let _ = sender.send(LedgerReply::Accepted);
            let question = served.ask_followers(&request).await;
            served.settle(&request).await;
            served.decide(request, question, sender);
        });
    }

    /// Waits until the count of a request has settled.
    async fn settle(&self, request: &RequestSend) {
        let name = &request.request.name;
        let settling_ms = || {
            let state = self.state.borrow();
            state.crashes().settling_ms(name, unix_ms())
        };
        let mut left_ms = settling_ms();
        while left_ms > 0 {
            sleep(Duration::from_millis(left_ms)).await;
            left_ms = settling_ms();
        }
    }

    /// Asks those who follow the detached attempts of a request whether their processes live, if a
    /// decision depends on it. Returns the number of the question once enough have answered, or after
    /// a short time.
    async fn ask_followers(&self, request: &RequestSend) -> Option<u64> {
        let name = &request.request.name;
        let is_undecided = |question| {
            let state = self.state.borrow();
            state.crashes().is_undecided(name, question, unix_ms())
        };
        if !is_undecided(None) {
            return None;
        }
        let asked = Instant::now();
        let until = asked + followers::ANSWER_TIMEOUT;
        let question = self.followers.ask(name, self.epoch);
        let mut is_open = true;
        while is_open {
            let answered = self.followers.answered.notified();
            is_open = is_undecided(Some(question));
            if is_open && timeout_at(until, answered).await.is_err() {
                break;
            }
        }
        tracing::info!(
            event = "followers_asked",
            content = name.name,
            question,
            decided = !is_open,
            took_ms = asked.elapsed().as_millis() as u64,
            epoch = self.epoch
        );
        Some(question)
    }

    /// Records that the process of a detached attempt lives.
    pub(super) fn confirm_attempt(
        &self,
        confirmed: &ConfirmAttempt,
        sender: &mpsc::UnboundedSender<LedgerReply>,
    ) {
        let mut state = self.state.borrow_mut();
        state.confirm_attempt(confirmed, unix_ms());
        drop(state);
        self.followers.answered.notify_waiters();
        let _ = sender.send(LedgerReply::Closed);
    }

    /// Decides whether a request may be sent to a server. Counts of an earlier owner that were not
    /// durable are taken over from this daemon and from the one that asks. The next owner has to know
    /// the places of attempts in progress, so they are durable before the reply unless the log is
    /// slow. That nothing is known of a request counts only for an owner that was not replaced; while
    /// the log fails, no owner can be certain of that.
    fn decide(
        &self,
        mut request: RequestSend,
        question: Option<u64>,
        sender: mpsc::UnboundedSender<LedgerReply>,
    ) {
        let now_ms = unix_ms();
        let known = self.known_crashes.borrow();
        let own = known.servers_to_tell(&request.request, now_ms);
        drop(known);
        request.known.extend(own);
        let mut state = self.state.borrow_mut();
        let (decision, record) = state.request_send(&request, question, now_ms);
        drop(state);
        let reply = LedgerReply::Send(decision);
        let Some(record) = record else {
            let health = &self.log_health;
            match health.is_failing() || health.confirmed_within(RECENT_LOG_REPLY) {
                true => {
                    let _ = sender.send(reply);
                }
                false => self.reply_after_fence_check(sender, reply),
            }
            return;
        };
        let (durable, mut is_durable) = mpsc::unbounded_channel();
        let pending = PendingReply {
            sender: durable,
            reply: reply.clone(),
        };
        self.push(vec![record], Some(pending), Urgency::Now);
        if self.log_health.is_failing() {
            let _ = sender.send(reply);
            return;
        }
        let wait = Duration::from_millis(request.max_durable_wait_ms);
        ntex::rt::spawn(async move {
            let confirmed = timeout(wait, is_durable.recv()).await.ok().flatten();
            let _ = sender.send(confirmed.unwrap_or(reply));
        });
    }

    /// Replies what daemons have to do before they send requests of this partition, at least `reported`. An
    /// owner without recent contact with the log may have been replaced, so it replies only once an
    /// append shows that it was not.
    pub(super) fn find_crash_watch(
        &self,
        partition: u32,
        reported: WatchLevel,
        sender: mpsc::UnboundedSender<LedgerReply>,
    ) {
        let level = self.state.borrow().crashes().watch_level(unix_ms());
        let level = level.max(reported);
        let reply = LedgerReply::CrashWatch(CrashWatch { partition, level });
        match self.log_health.confirmed_within(RECENT_LOG_REPLY) {
            true => {
                let _ = sender.send(reply);
            }
            false => self.reply_after_fence_check(sender, reply),
        }
    }

    /// Records how an attempt at a server ended. `announce` tells all daemons what they have to do
    /// before they send requests of this partition; the receiver that it returns is notified when
    /// they are told.
    pub(super) fn end_attempt(
        &self,
        report: ReportAttempt,
        announce: impl FnOnce(WatchLevel) -> Option<oneshot::Receiver<()>>,
        sender: mpsc::UnboundedSender<LedgerReply>,
    ) {
        let now_ms = unix_ms();
        let records = self.state.borrow_mut().end_attempt(&report, now_ms);
        self.followers.answered.notify_waiters();
        self.log_attempt_end(&report, now_ms);
        let announced = self.level_after(&report, now_ms).and_then(announce);
        let served = self.clone();
        // An owner that may have been replaced holds no place that its successor knows of.
        let is_certain = self.log_health.confirmed_within(RECENT_LOG_REPLY);
        let is_done = records.is_empty() && (is_certain || !report.end.is_open());
        let confirm = move || {
            let _ = sender.send(LedgerReply::Accepted);
            let reply = LedgerReply::Closed;
            if is_done {
                let _ = sender.send(reply);
                return;
            }
            served.push(records, Some(PendingReply { sender, reply }), Urgency::Now);
        };
        match announced {
            None => confirm(),
            Some(announced) => {
                ntex::rt::spawn(async move {
                    let _ = timeout(ANNOUNCE_WAIT, announced).await;
                    confirm();
                });
            }
        }
    }

    /// What daemons have to do after a report; `None` if nothing has changed for them.
    fn level_after(&self, report: &ReportAttempt, now_ms: u64) -> Option<WatchLevel> {
        let state = self.state.borrow();
        let level = state.crashes().watch_level_of(&report.request.name, now_ms);
        let is_suspected = report.end.is_open() && level == WatchLevel::Suspected;
        report.watch_level().or(is_suspected.then_some(level))
    }

    fn log_attempt_end(&self, report: &ReportAttempt, now_ms: u64) {
        let state = self.state.borrow();
        let servers = state.crashes().servers(&report.request.name, now_ms);
        tracing::info!(
            event = "crash_count",
            content = report.request.name.name,
            program = report.request.program,
            server = report.server,
            end = report.end.name(),
            ended = servers.len(),
            blocked = servers.len() >= MAX_ENDED_SERVERS,
            requests = state.crashes().len(),
            epoch = self.epoch
        );
    }
}

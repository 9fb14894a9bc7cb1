//! Determines whether a server ended while it handled a request.
//!
//! A request may itself end the servers that run it, so this is checked for every attempt that
//! breaks off or is abandoned. That ends an attempt for its client, not for the server, which may go
//! on until the deadline that it was given: a server that lives is followed for as long.

use super::request::RequestContext;
use super::send_permit::{CountedAttempt, SendPermit};
use super::server_check::{JUDGE_PERIOD, ServerCheck};
use crate::daemon::Daemon;
use crate::ledger::attempt_questions::Asked;
use crate::ledger::own_attempts::AttemptGuard;
use crate::upstream::connection::ExchangeError;
use fieldhook_ledger::crashes::{AttemptEnd, DETACHED_RENEWAL_MS};
use fieldhook_ledger::message::{AttemptServer, BackedUpAttempt, ClosedAttempt};
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::process_identity::ProcessIdentity;
use fieldhook_traffic::server_fate::{Contact, Fate};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long the next step of a request waits for the check and for its record.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(160);
/// How long the fate of a server is followed. After that the attempt keeps its place for as long as
/// ended servers count: that nothing was heard does not show that the server lives.
const FOLLOW_TIME: Duration = Duration::from_secs(20);
/// Minimum time for which a server is followed that accepts connections and whose successor would
/// have another name: entries are written about once a second, and appear with some delay.
const FOLLOW_CONNECTED_TIME: Duration = Duration::from_secs(3);
/// Time after the deadline of an attempt within which the end of its server may still be due to it:
/// servers read requests late, and ends take time to show.
const LATE_END_MARGIN: Duration = Duration::from_secs(1);
/// Time after which an abandoned attempt whose server lives no longer holds a place.
const ABANDONED_CHECK_TIME: Duration = Duration::from_millis(200);
/// How long the owner holds a place for an abandoned attempt: the time above, a check of the server
/// and the report.
const ABANDONED_HOLD: Duration = Duration::from_secs(1);
/// Time after the break for which the next step of a request waits although the server lives: it may
/// still run the request, and end under it.
const ALIVE_RECHECK_AFTER: Duration = Duration::from_millis(20);
/// Time after the break of the second check of a server; the time of each further one is doubled.
const SECOND_CHECK_AFTER: Duration = Duration::from_millis(500);
/// Minimum time between two checks of a server that keeps no connection open by which it could be
/// followed, doubled each time up to the maximum.
const MIN_CHECK_PAUSE: Duration = Duration::from_millis(50);
const MAX_CHECK_PAUSE: Duration = Duration::from_secs(1);
/// Interval at which the report of a detached attempt is renewed.
const RENEWAL: Duration = Duration::from_millis(DETACHED_RENEWAL_MS);
/// Maximum number of attempts that are followed at the same time.
const MAX_FOLLOWED: i64 = 2_048;

/// Follows one attempt from the send until it is known what became of the server. An attempt that
/// is dropped was abandoned, for example because its client left.
pub struct AttemptMonitor(Option<Subject>);

/// The attempt that is followed.
struct Subject {
    counted: CountedAttempt,
    check: ServerCheck,
    request: String,
    program: Option<String>,
    /// How long the server may work on the request, as it was told.
    time_limit: Duration,
    /// Whether the attempt holds a place while its outcome is open.
    holds_open: bool,
    /// Epoch of the owner to which it was reported as detached.
    owner_epoch: Option<u64>,
    /// Keeps the attempt backed up at another daemon until this is dropped.
    backup: Option<AttemptGuard>,
}

impl AttemptMonitor {
    /// Starts to follow an attempt that is about to be sent on a connection whose process has stated
    /// this, if it was asked.
    pub(super) fn new(
        context: &RequestContext,
        server: &ServerEntry,
        stated: Option<ProcessIdentity>,
        permit: Option<SendPermit>,
    ) -> Self {
        let counted = permit.and_then(SendPermit::into_attempt);
        Self(counted.map(|counted| {
            let check = ServerCheck::new(counted.daemon.clone(), server, stated, &counted.known);
            let time_limit = Duration::from_millis(context.remaining_ms());
            Subject::new(counted, check, context.meta.id.clone(), time_limit)
        }))
    }

    /// Ends an attempt that the server did not run. Returns the permit for the next one.
    pub(super) fn into_permit(mut self) -> Option<SendPermit> {
        let subject = self.0.take()?;
        Some(SendPermit::of(subject.counted))
    }

    /// Ends an attempt that its server has completed.
    pub fn complete(mut self) {
        if let Some(mut subject) = self.0.take() {
            subject.release(AttemptEnd::Completed);
        }
    }

    /// Ends an attempt that broke off. Returns once what is known about the server is recorded, or
    /// after a short time.
    pub async fn break_off(mut self, error: ExchangeError) {
        let Some(mut subject) = self.0.take() else {
            return;
        };
        subject.check.mark_broken();
        let checks = &subject.counted.daemon.open_checks;
        let guard = checks.begin(&subject.counted.content.name.name);
        let (sender, recorded) = oneshot::channel();
        ntex::rt::spawn(async move {
            let mut fate = subject.check_break(error).await;
            if fate == Fate::Ended {
                fate = subject.follow_successor().await;
            }
            if lives(fate) {
                fate = subject.check_again(fate, ALIVE_RECHECK_AFTER).await;
            }
            subject.report(fate).await;
            drop(guard);
            let _ = sender.send(());
            subject.follow(fate).await;
        });
        let _ = timeout(MAX_WAIT, recorded).await;
    }
}

/// Follows the server of an attempt whose daemon was lost, until its fate is known or `cancelled`
/// tells that the daemon lives and has ended the attempt.
pub(super) async fn take_over(
    daemon: Rc<Daemon>,
    attempt: BackedUpAttempt,
    server: ServerEntry,
    cancelled: oneshot::Receiver<ClosedAttempt>,
) {
    let counted = CountedAttempt::taken_over(daemon.clone(), &attempt);
    let check = ServerCheck::taken_over(daemon, server, &attempt);
    let time_limit = Duration::from_millis(attempt.limit_ms);
    let mut subject = Subject::new(counted, check, attempt.request, time_limit);
    subject.check.mark_broken();
    let closed = tokio::select! {
        () = subject.follow_abandoned() => return,
        Ok(closed) = cancelled => closed,
    };
    // The daemon has reported what is open itself.
    if !closed.is_open {
        subject.release(AttemptEnd::ServerAlive);
    }
}

impl Drop for AttemptMonitor {
    fn drop(&mut self) {
        if let Some(mut subject) = self.0.take() {
            subject.check.mark_broken();
            ntex::rt::spawn(async move { subject.follow_abandoned().await });
        }
    }
}

/// What ended a wait while a server is followed.
enum Wake {
    /// The owner asks whether the process lives.
    Question(Asked),
    /// The attempt is counted by another owner.
    OwnerChanged,
    /// The server's fate may have changed.
    Sign,
    /// The time has come.
    Time,
}

/// Whether a server is alive, as far as its contact shows.
fn lives(fate: Fate) -> bool {
    matches!(fate, Fate::Alive | Fate::PresumedAlive)
}

/// Counts an attempt as followed until dropped.
struct FollowGuard(Rc<Daemon>);

impl FollowGuard {
    /// Returns `None` if too many attempts are followed already.
    fn new(daemon: &Rc<Daemon>) -> Option<Self> {
        let followed = &daemon.metrics.followed_attempts;
        if followed.get() >= MAX_FOLLOWED {
            return None;
        }
        followed.inc();
        Some(Self(daemon.clone()))
    }
}

impl Drop for FollowGuard {
    fn drop(&mut self) {
        self.0.metrics.followed_attempts.dec();
    }
}

impl Subject {
    fn new(
        counted: CountedAttempt,
        check: ServerCheck,
        request: String,
        time_limit: Duration,
    ) -> Self {
        let mut subject = Self {
            program: counted.content.program.clone(),
            check,
            counted,
            request,
            time_limit,
            holds_open: true,
            owner_epoch: None,
            backup: None,
        };
        let own = &subject.counted.daemon.own_attempts;
        subject.backup = Some(own.begin(subject.backed_up()));
        subject
    }

    /// What another daemon needs to take the attempt over.
    fn backed_up(&self) -> BackedUpAttempt {
        let (counted, check) = (&self.counted, &self.check);
        let server = &check.server;
        BackedUpAttempt {
            attempt: counted.attempt,
            content: counted.content.clone(),
            request: self.request.clone(),
            known: counted.known.clone(),
            retention_ms: counted.retention_ms,
            server: AttemptServer {
                name: server.name.clone(),
                started_ms: server.started_ms(),
                service: server.service.clone(),
                address: server.address.to_string(),
            },
            stated: check.stated_process(),
            process_started_ms: check.process_start,
            limit_ms: self.time_limit.as_millis() as u64,
            age_ms: check.sent.elapsed().as_millis() as u64,
        }
    }

    /// Checks the server at once.
    async fn check_break(&mut self, error: ExchangeError) -> Fate {
        let broke = self.check.broke;
        if error == ExchangeError::ServerSilent {
            let pools = &self.counted.daemon.pools;
            pools.record_contact(&self.check.server.id, Instant::now(), Contact::Silent);
        } else {
            self.check.contact(broke).await;
        }
        let (fate, known_by) = self.check.judge();
        self.count(fate);
        self.log("attempt_broke", fate, known_by, Some(error));
        fate
    }

    /// Returns the fate of a server this long after the break. One that has stated nothing may have
    /// ended while it was asked.
    async fn check_again(&mut self, fate: Fate, after: Duration) -> Fate {
        let until = self.check.broke + after;
        if !self.check.wait_for_sign(fate, until).await && fate == Fate::Alive {
            return fate;
        }
        self.ask_process().await
    }

    /// Reports the fate of the server. Waits until an owner has accepted that if it may keep the
    /// request from being sent again.
    async fn report(&mut self, fate: Fate) {
        if let Some(backup) = &mut self.backup {
            backup.is_open = fate == Fate::Unresolved;
        }
        let id = &self.check.server.id;
        let accepted = match fate {
            Fate::Ended => {
                let end = self.check.identity_of_end();
                self.counted.report(&end, AttemptEnd::ServerEnded)
            }
            Fate::Unresolved if !self.holds_open => return,
            Fate::Unresolved => self.counted.report(id, AttemptEnd::Unresolved),
            Fate::PresumedAlive | Fate::Alive => return self.report_detached(),
        };
        let _ = accepted.await;
    }

    /// Reports that the server lives and may still run the request. Of content that unrelated
    /// requests share only ends count, since many clients may leave at the same time.
    fn report_detached(&mut self) {
        self.owner_epoch = self.counted.owner_epoch();
        if self.counted.content.is_shared() {
            return self.release(AttemptEnd::ServerAlive);
        }
        let id = &self.check.server.id;
        drop(self.counted.report(id, AttemptEnd::Detached));
    }

    fn release(&mut self, end: AttemptEnd) {
        self.counted.release(&self.check.server.id, end);
    }

    /// Reports the end of the process that the entry names and follows the next one, if the request may
    /// run there as well. Returns the fate of the process that is followed.
    async fn follow_successor(&mut self) -> Fate {
        let end = self.check.identity_of_end();
        if !self.check.follow_successor() {
            return Fate::Ended;
        }
        let (_, known_by) = self.check.judge();
        self.log("attempt_successor", Fate::Ended, known_by, None);
        let _ = self.counted.report(&end, AttemptEnd::ServerEnded).await;
        self.check.judge().0
    }

    /// Follows a server whose attempt was abandoned. The attempt holds a place at first, because its
    /// client may send the request again before the server ends.
    async fn follow_abandoned(&mut self) {
        self.holds_open = !self.counted.content.is_shared();
        if self.holds_open {
            let id = &self.check.server.id;
            drop(self.counted.report_abandoned(id, ABANDONED_HOLD));
        }
        if !self.check.share_connection() {
            self.check.contact(self.check.broke).await;
        }
        let mut fate = self.check.judge().0;
        if fate == Fate::Ended {
            fate = self.follow_successor().await;
        }
        if lives(fate) {
            fate = self.check_again(fate, ABANDONED_CHECK_TIME).await;
        }
        let known_by = self.check.judge().1;
        self.count(fate);
        self.log("attempt_abandoned", fate, known_by, None);
        self.report(fate).await;
        self.follow(fate).await;
    }

    /// Follows the server until its fate is known and the request can no longer run there, or until
    /// nothing more can be expected.
    async fn follow(&mut self, mut fate: Fate) {
        let Some(_guard) = FollowGuard::new(&self.counted.daemon) else {
            return self.give_up(fate);
        };
        loop {
            let next = match fate {
                Fate::Ended => return,
                Fate::Alive | Fate::PresumedAlive => self.follow_alive(fate).await,
                Fate::Unresolved => self.follow_unresolved().await,
            };
            let (_, known_by) = self.check.judge();
            self.log("attempt_fate", next, known_by, None);
            if lives(fate) && lives(next) {
                return self.release(AttemptEnd::ServerAlive);
            }
            if (fate, next) == (Fate::Unresolved, Fate::Unresolved) {
                return;
            }
            self.count(next);
            self.report(next).await;
            fate = next;
        }
    }

    /// Leaves an attempt because too many are followed. An open outcome keeps its place.
    fn give_up(&mut self, fate: Fate) {
        tracing::info!(
            event = "attempt_not_followed",
            request = self.request,
            program = self.program,
            server = self.check.server.id,
            fate = fate.name()
        );
        if lives(fate) {
            self.release(AttemptEnd::ServerAlive);
        }
    }

    /// Follows a server that lives for as long as it may run the request. Returns its fate then, or
    /// once it is another one.
    async fn follow_alive(&mut self, fate: Fate) -> Fate {
        let mut until = self.check.sent + self.time_limit + LATE_END_MARGIN;
        if fate == Fate::PresumedAlive {
            until = until.max(self.check.broke + FOLLOW_CONNECTED_TIME);
        }
        let mut renewal = Instant::now() + RENEWAL;
        let mut checked = self.check.broke;
        let mut answered = Instant::now();
        let mut pause = MIN_CHECK_PAUSE;
        while Instant::now() < until {
            let next_check = checked + pause;
            let wake = match self.check.is_connected() {
                true => until.min(renewal),
                false => until.min(renewal).min(next_check),
            };
            let mut next = fate;
            match self.wait(fate, answered, wake).await {
                Wake::OwnerChanged => self.report_detached(),
                Wake::Question(asked) => {
                    answered = asked.at;
                    next = self.answer(asked).await;
                }
                Wake::Time if self.check.is_connected() || Instant::now() < next_check => {}
                Wake::Sign | Wake::Time => {
                    sleep_until(next_check).await;
                    pause = MAX_CHECK_PAUSE.min(pause * 2);
                    checked = Instant::now();
                    next = self.ask_process().await;
                }
            }
            if next == fate && Instant::now() >= renewal {
                renewal = Instant::now() + RENEWAL;
                next = self.renew(fate).await;
            }
            if next != fate {
                return next;
            }
        }
        self.ask_process().await
    }

    /// Waits until something has to be done while a server is followed, or until a time.
    async fn wait(&self, fate: Fate, answered: Instant, until: Instant) -> Wake {
        let owner = &self.counted.daemon.owner;
        let name = &self.counted.content.name;
        let owner_changed = async {
            while self.counted.owner_epoch() == self.owner_epoch {
                owner.claims.changed.notified().await;
            }
        };
        tokio::select! {
            biased;
            () = owner_changed => Wake::OwnerChanged,
            asked = owner.attempt_questions.wait(name, answered) => Wake::Question(asked),
            is_sign = self.check.wait_for_sign(fate, until) => match is_sign {
                true => Wake::Sign,
                false => Wake::Time,
            },
        }
    }

    /// Connects to the server anew. Returns its fate.
    async fn ask_process(&mut self) -> Fate {
        self.check.contact(Instant::now()).await;
        self.check.judge().0
    }

    /// Renews the report of the attempt. The owner asks about no content that unrelated requests
    /// share, so the process is asked here. Returns the fate of the server.
    async fn renew(&mut self, fate: Fate) -> Fate {
        if self.counted.content.is_shared() && self.ask_process().await == Fate::Ended {
            return Fate::Ended;
        }
        self.report_detached();
        fate
    }

    /// Answers a question of the owner: asks the process, and reports that it lives if it has shown that
    /// since. Returns the fate of the server.
    async fn answer(&mut self, asked: Asked) -> Fate {
        self.check.contact(asked.at).await;
        let (fate, _) = self.check.judge();
        if lives(fate) && self.check.is_proven_since(asked.at) {
            self.counted.confirm(asked.question);
        }
        fate
    }

    /// Judges the evidence until the fate of the server is known, for a limited time.
    async fn follow_unresolved(&mut self) -> Fate {
        let started = Instant::now();
        let mut next_check = SECOND_CHECK_AFTER;
        while started.elapsed() < FOLLOW_TIME {
            sleep(JUDGE_PERIOD).await;
            if started.elapsed() >= next_check {
                next_check *= 2;
                self.check.contact(Instant::now()).await;
            }
            let (fate, _) = self.check.judge();
            if fate != Fate::Unresolved {
                return fate;
            }
        }
        Fate::Unresolved
    }

    /// Counts what is newly known about a server.
    fn count(&self, fate: Fate) {
        let broken = &self.counted.daemon.metrics.broken_attempts;
        broken.with_label_values(&[fate.name()]).inc();
    }

    fn log(&self, event: &str, fate: Fate, known_by: &str, error: Option<ExchangeError>) {
        let daemon = &self.counted.daemon;
        let check = &self.check;
        let server = &check.server;
        let status = daemon
            .pools
            .status(&server.id, &server.zone, daemon.now_ms());
        tracing::info!(
            event,
            request = self.request,
            program = self.program,
            content = self.counted.content.name.name,
            server = server.id,
            zone = server.zone,
            outcome = error.map(ExchangeError::name),
            fate = fate.name(),
            known_by,
            contact_age_ms = daemon.pools.contact_age_ms(&server.id),
            others_in_flight = status.in_flight.saturating_sub(1),
            sent_ms = check.broke.duration_since(check.sent).as_millis() as u64,
            limit_ms = self.time_limit.as_millis() as u64,
            known_age_ms = check.broke.elapsed().as_millis() as u64,
            log_age_ms = daemon.log_health.ms_since_answer()
        );
    }
}

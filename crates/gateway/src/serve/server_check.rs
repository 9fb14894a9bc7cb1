//! Checks what became of a server since an attempt there was over.

use crate::daemon::Daemon;
use crate::upstream::connection::ServerConnection;
use crate::upstream::{identity, probe};
use fieldhook_ledger::crashes;
use fieldhook_ledger::message::{BackedUpAttempt, StatedProcess};
use fieldhook_traffic::directory::{self, ServerEntry};
use fieldhook_traffic::process_identity::ProcessIdentity;
use fieldhook_traffic::server_fate::{Contact, EntryState, Evidence, Fate};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Timeout of the connection by which a server is checked, and of its answer which process it is:
/// several times the round trip to the farthest region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Entries are current if no call of the log has failed for this long: those that lapsed in an
/// outage are written again soon after it.
const DISCOVERY_SETTLED: Duration = Duration::from_secs(5);
/// Pause while another request checks the same server.
const SHARED_CHECK_PAUSE: Duration = Duration::from_millis(5);
/// How often the evidence that others have found is judged again.
pub(super) const JUDGE_PERIOD: Duration = Duration::from_millis(100);

/// Returns what an error of a connection attempt shows about the server.
pub(super) fn contact_of(error: &io::Error) -> Option<Contact> {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Some(Contact::Refused),
        kind if probe::is_unreachable(kind) => Some(Contact::Silent),
        _ => None,
    }
}

/// What a process has stated about itself, if it was asked.
fn identity_of(stated: StatedProcess) -> Option<ProcessIdentity> {
    match stated {
        StatedProcess::NotAsked => None,
        StatedProcess::Nothing => Some(ProcessIdentity::Unknown),
        StatedProcess::Same => Some(ProcessIdentity::Same),
        StatedProcess::Other => Some(ProcessIdentity::Other),
    }
}

/// The server of an attempt, and what shows whether it lives.
pub(super) struct ServerCheck {
    daemon: Rc<Daemon>,
    /// Server that the request was sent to.
    pub server: ServerEntry,
    /// When the request was sent.
    pub sent: Instant,
    /// When the attempt was over.
    pub broke: Instant,
    /// Whether the server accepted no new work any more then.
    was_leaving: bool,
    /// Starts of processes that were known to listen at its address when the request was sent.
    known_starts: Vec<u64>,
    /// Start of the process of the attempt, once that has stated it.
    pub process_start: Option<u64>,
    /// What the process had stated on the connection of the attempt, if it was asked.
    stated: Option<ProcessIdentity>,
    /// Open connection to the process of the attempt.
    process: Option<Rc<ServerConnection>>,
}

impl ServerCheck {
    /// Creates a check for a request that is about to be sent on a connection whose process has stated
    /// this, and under which these servers have ended.
    pub fn new(
        daemon: Rc<Daemon>,
        server: &ServerEntry,
        stated: Option<ProcessIdentity>,
        ended: &[String],
    ) -> Self {
        let now = Instant::now();
        let is_other = stated == Some(ProcessIdentity::Other);
        let other_start = daemon.pools.stated_start(&server.id);
        Self {
            known_starts: crashes::successors(ended, &server.id).collect(),
            process_start: other_start.filter(|_| is_other),
            daemon,
            server: server.clone(),
            sent: now,
            broke: now,
            was_leaving: false,
            stated,
            process: None,
        }
    }

    /// Creates a check for an attempt that another daemon sent to this server some time ago.
    pub fn taken_over(daemon: Rc<Daemon>, server: ServerEntry, attempt: &BackedUpAttempt) -> Self {
        let now = Instant::now();
        let age = Duration::from_millis(attempt.age_ms);
        Self {
            known_starts: crashes::successors(&attempt.known, &server.id).collect(),
            process_start: attempt.process_started_ms,
            daemon,
            server,
            sent: now.checked_sub(age).unwrap_or(now),
            broke: now,
            was_leaving: false,
            stated: identity_of(attempt.stated),
            process: None,
        }
    }

    /// What the process on the connection of the attempt had stated.
    pub fn stated_process(&self) -> StatedProcess {
        match self.stated {
            None => StatedProcess::NotAsked,
            Some(ProcessIdentity::Unknown) => StatedProcess::Nothing,
            Some(ProcessIdentity::Same) => StatedProcess::Same,
            Some(ProcessIdentity::Other) => StatedProcess::Other,
        }
    }

    /// The attempt is over from now on.
    pub fn mark_broken(&mut self) {
        self.broke = Instant::now();
        let directory = self.daemon.directory.borrow();
        self.was_leaving = !directory.accepts_work(&self.server.id);
    }

    /// Connects to the server and asks which process it is, unless another request does so or has
    /// done so since the given time.
    pub async fn contact(&mut self, since: Instant) {
        let daemon = self.daemon.clone();
        let id = self.server.id.clone();
        let started = Instant::now();
        while daemon.pools.contact_since(&id, since).is_none()
            && started.elapsed() < CONNECT_TIMEOUT
        {
            let Some(_guard) = daemon.pools.begin_probe(&id) else {
                sleep(SHARED_CHECK_PAUSE).await;
                continue;
            };
            let began = Instant::now();
            let contact = self.connect().await;
            daemon.pools.record_contact(&id, began, contact);
        }
        self.share_connection();
        if self.server.reports_start() && self.contact_shown() == Some(Contact::Confirmed) {
            self.process_start = daemon.pools.stated_start(&id);
        }
    }

    /// Follows the next process at the address from now on, if the request may run there: it was sent
    /// on a connection whose process was not known. Returns whether the next process is followed.
    pub fn follow_successor(&mut self) -> bool {
        let is_uncertain = match self.stated {
            Some(ProcessIdentity::Unknown) | None => true,
            Some(ProcessIdentity::Same | ProcessIdentity::Other) => false,
        };
        let pools = &self.daemon.pools;
        let id = &self.server.id;
        let is_other = pools.contact_since(id, self.broke) == Some(Contact::OtherProcess);
        let successor = pools.stated_start(id).filter(|_| is_other && is_uncertain);
        if successor.is_some() && self.process_start.is_none() {
            self.process_start = successor;
            return true;
        }
        false
    }

    /// Uses the connection that another request keeps open to the process. Returns whether one is
    /// open.
    pub fn share_connection(&mut self) -> bool {
        if !self.is_connected() {
            let watched = self.daemon.pools.watched(&self.server.id);
            self.process = watched.filter(|connection| self.leads_to_process(connection.identity));
        }
        self.process.is_some()
    }

    /// Whether a connection to a process with this statement leads to the process of the attempt.
    fn leads_to_process(&self, identity: Option<ProcessIdentity>) -> bool {
        identity == Some(ProcessIdentity::Same) || self.is_same_process_since_sent()
    }

    /// Whether the process at the address has been there since before the request was sent, although
    /// the entry names one before: it is late.
    fn is_same_process_since_sent(&self) -> bool {
        let pools = &self.daemon.pools;
        let id = &self.server.id;
        let is_known = |start| match self.process_start {
            Some(known) => start == known,
            None => self.known_starts.contains(&start),
        };
        pools.stated_start(id).is_some_and(is_known) || pools.is_same_process_since(id, self.sent)
    }

    /// Whether a connection to the process of the attempt is open.
    pub fn is_connected(&self) -> bool {
        let process = self.process.as_ref();
        process.is_some_and(|connection| connection.has_no_input())
    }

    async fn connect(&mut self) -> Contact {
        let daemon = &self.daemon;
        let id = &self.server.id;
        let started = Instant::now();
        daemon.metrics.connections.inc();
        let connected = ServerConnection::connect(self.server.address, CONNECT_TIMEOUT).await;
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(error) => return contact_of(&error).unwrap_or(Contact::Silent),
        };
        let left = CONNECT_TIMEOUT.saturating_sub(started.elapsed());
        let identity = identity::ask(daemon, &self.server, &mut connection, left).await;
        if identity == ProcessIdentity::Unknown {
            daemon.pools.release(id, connection, None);
            return Contact::Established;
        }
        if connection.is_reusable() && self.leads_to_process(Some(identity)) {
            self.process = Some(daemon.pools.watch(id, connection));
        }
        match identity {
            ProcessIdentity::Same => Contact::Confirmed,
            _ => Contact::OtherProcess,
        }
    }

    /// Waits until something suggests that the server's fate is no longer the given one: the
    /// connection to its process closes, or others have found out. Returns false if nothing does
    /// until then.
    pub async fn wait_for_sign(&self, fate: Fate, until: Instant) -> bool {
        let mut process = self.process.as_deref();
        while Instant::now() < until {
            let period = sleep_until(until.min(Instant::now() + JUDGE_PERIOD));
            match process {
                Some(connection) => tokio::select! {
                    () = connection.wait_for_input() => return true,
                    () = period => {}
                },
                None => period.await,
            }
            process = process.filter(|_| self.is_connected());
            if self.judge().0 != fate {
                return true;
            }
        }
        false
    }

    /// Whether the process of the attempt has shown that it lives by a contact since this time. An open
    /// connection does not show that.
    pub fn is_proven_since(&self, time: Instant) -> bool {
        let pools = &self.daemon.pools;
        pools.contact_since(&self.server.id, time).is_some()
            && match self.contact_shown() {
                Some(Contact::Confirmed) => true,
                Some(Contact::Established) => !self.server.reports_start(),
                _ => false,
            }
    }

    /// Judges the evidence. Returns the fate of the server with the value of the log field
    /// `known_by`.
    pub fn judge(&self) -> (Fate, &'static str) {
        self.evidence().judge()
    }

    fn evidence(&self) -> Evidence {
        let daemon = &self.daemon;
        let directory = daemon.directory.borrow();
        let id = &self.server.id;
        let process = self.identity_of_process();
        let is_other = |current: Option<&str>| {
            current.is_some_and(|current| current != id && current != process)
        };
        let is_replaced = is_other(directory.current_identity(&self.server.name))
            || is_other(directory.identity_at(self.server.address));
        Evidence {
            entry: match directory.entry(id) {
                _ if is_replaced => EntryState::Replaced,
                Some(_) => EntryState::Listed,
                None => EntryState::Removed,
            },
            reports_start: self.server.reports_start(),
            was_leaving: self.was_leaving,
            is_discovery_current: daemon.log_health.no_failure_for(DISCOVERY_SETTLED),
            contact: self.contact_shown(),
            has_answered: daemon.pools.has_answered_since(id, self.broke),
            is_connected: self.is_connected(),
        }
    }

    /// Returns what the newest contact since the break shows about the process that ran the attempt,
    /// which may be a later one than the entry names.
    fn contact_shown(&self) -> Option<Contact> {
        let pools = &self.daemon.pools;
        let id = &self.server.id;
        match pools.contact_since(id, self.broke) {
            Some(Contact::OtherProcess) if self.is_same_process_since_sent() => {
                Some(Contact::Confirmed)
            }
            contact => contact,
        }
    }

    /// Returns the identity of the server that ended, with its successor if that has stated its
    /// start.
    pub fn identity_of_end(&self) -> String {
        let pools = &self.daemon.pools;
        let id = &self.server.id;
        let is_stated = pools.contact_since(id, self.broke) == Some(Contact::OtherProcess);
        let successor = pools.stated_start(id).filter(|_| is_stated);
        crashes::identity_of_end(&self.identity_of_process(), successor)
    }

    /// Returns the identity of the process of the attempt: the one that the entry names, unless another
    /// one was at the address already.
    fn identity_of_process(&self) -> String {
        match self.process_start {
            Some(start) => directory::identity(&self.server.name, Some(start)),
            None => self.server.id.clone(),
        }
    }
}

impl Drop for ServerCheck {
    fn drop(&mut self) {
        if let Some(Ok(connection)) = self.process.take().map(Rc::try_unwrap) {
            self.daemon.pools.release(&self.server.id, connection, None);
        }
    }
}

//! Backs up the attempts in progress of this daemon at another one.

use super::owner::Owner;
use super::peer::{PeerConnection, Peers};
use fieldhook_ledger::backup::{AttemptsInProgress, BackupChoice, HEARTBEAT_MS, IDLE_HEARTBEAT_MS};
use fieldhook_ledger::message::{
    BackUpAttempts, BackedUpAttempt, ClosedAttempt, LedgerReply, LedgerRequest,
};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout_at};

/// A backup that does not answer a heartbeat within this time is replaced.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2 * HEARTBEAT_MS);

/// The attempts in progress of this daemon.
pub struct OwnAttempts {
    attempts: RefCell<AttemptsInProgress>,
    begun: Notify,
    started: Instant,
}

impl Default for OwnAttempts {
    fn default() -> Self {
        Self {
            attempts: RefCell::default(),
            begun: Notify::new(),
            started: Instant::now(),
        }
    }
}

/// An attempt in progress, which ends when this is dropped.
pub struct AttemptGuard {
    own: Rc<OwnAttempts>,
    attempt: u64,
    /// Whether it is open what became of the server.
    pub is_open: bool,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut attempts = self.own.attempts.borrow_mut();
        attempts.end(self.attempt, self.is_open);
    }
}

impl OwnAttempts {
    /// An attempt begins, and the backup is told of it at once.
    pub fn begin(self: &Rc<Self>, attempt: BackedUpAttempt) -> AttemptGuard {
        let number = attempt.attempt;
        let now_ms = self.now_ms();
        self.attempts.borrow_mut().begin(attempt, now_ms);
        self.begun.notify_one();
        AttemptGuard {
            own: self.clone(),
            attempt: number,
            is_open: false,
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn heartbeat_period(&self) -> Duration {
        Duration::from_millis(match self.attempts.borrow().is_empty() {
            true => IDLE_HEARTBEAT_MS,
            false => HEARTBEAT_MS,
        })
    }
}

/// The daemon that backs up the attempts of this one.
struct Backup {
    address: SocketAddr,
    connection: Rc<PeerConnection>,
    /// Reply to the newest heartbeat.
    reply: mpsc::UnboundedReceiver<LedgerReply>,
}

/// Keeps the attempts of this daemon backed up.
struct Link {
    owner: Rc<Owner>,
    own: Rc<OwnAttempts>,
    /// Connections for this alone: the end of one shows the backup that this daemon is lost.
    peers: Peers,
    choice: BackupChoice,
    backup: Option<Backup>,
    next_heartbeat: Instant,
}

/// Keeps the attempts of this daemon backed up until it exits.
pub async fn run(owner: Rc<Owner>, own: Rc<OwnAttempts>, zone: &str) {
    let mut link = Link {
        owner,
        own,
        peers: Peers::default(),
        choice: BackupChoice::new(zone),
        backup: None,
        next_heartbeat: Instant::now(),
    };
    loop {
        let _ = timeout_at(link.next_heartbeat, link.own.begun.notified()).await;
        let next = Instant::now() + link.own.heartbeat_period();
        link.next_heartbeat = link.next_heartbeat.min(next);
        link.step().await;
    }
}

impl Link {
    /// Tells the backup what has changed, or chooses another one.
    async fn step(&mut self) {
        self.read_reply();
        if let Some(cause) = self.failure() {
            self.give_up_backup(cause);
        }
        let is_due = Instant::now() >= self.next_heartbeat;
        if is_due && self.is_improvable() {
            self.leave_backup();
        }
        match self.backup {
            None => self.choose_backup().await,
            Some(_) => self.send_changes(is_due),
        }
    }

    /// Learns the zone of the backup.
    fn read_reply(&mut self) {
        if let Some(backup) = &mut self.backup
            && let Ok(LedgerReply::BackedUp(zone)) = backup.reply.try_recv()
        {
            self.choice.set_zone(backup.address, zone);
        }
    }

    /// Why the backup has to be replaced, if so.
    fn failure(&self) -> Option<&'static str> {
        let connection = &self.backup.as_ref()?.connection;
        if connection.is_closed() {
            Some("closed")
        } else if connection.waits_longer_than(ANSWER_TIMEOUT) {
            Some("silent")
        } else {
            None
        }
    }

    fn give_up_backup(&mut self, cause: &'static str) {
        if let Some(backup) = self.backup.take() {
            self.choice.set_failed(backup.address, self.own.now_ms());
            self.peers.discard(backup.address);
            self.log(backup.address, cause);
        }
    }

    /// Tells a backup that works that it is not needed any more.
    fn leave_backup(&mut self) {
        if let Some(backup) = self.backup.take() {
            let nothing = self.message(true, Vec::new(), Vec::new());
            backup.connection.send(nothing);
            self.peers.discard(backup.address);
        }
    }

    /// The daemons that may become the backup, in random order.
    fn candidates(&self) -> Vec<SocketAddr> {
        let mut candidates = self.owner.known_daemons();
        fastrand::shuffle(&mut candidates);
        candidates
    }

    /// Whether another daemon is more suitable than the backup.
    fn is_improvable(&mut self) -> bool {
        let Some(backup) = &self.backup else {
            return false;
        };
        let current = backup.address;
        let candidates = self.candidates();
        let now_ms = self.own.now_ms();
        self.choice.is_improvable(current, &candidates, now_ms)
    }

    /// Connects to another daemon and sends it all attempts in progress. Without one, this is tried
    /// again at the next heartbeat.
    async fn choose_backup(&mut self) {
        let candidates = self.candidates();
        while let Some(address) = self.choice.choose(&candidates, self.own.now_ms()) {
            let Ok(connection) = self.peers.connection(address).await else {
                self.choice.set_failed(address, self.own.now_ms());
                continue;
            };
            let now_ms = self.own.now_ms();
            let all = self.own.attempts.borrow_mut().take_all(now_ms);
            let message = self.message(true, Vec::new(), all);
            self.backup = Some(Backup {
                address,
                reply: connection.call(message),
                connection,
            });
            self.log(address, "chosen");
            break;
        }
        self.next_heartbeat = Instant::now() + self.own.heartbeat_period();
    }

    /// Sends what the backup was not told yet. A heartbeat is answered.
    fn send_changes(&mut self, is_heartbeat: bool) {
        if !is_heartbeat && !self.own.attempts.borrow().has_untold() {
            return;
        }
        let now_ms = self.own.now_ms();
        let (closed, begun) = self.own.attempts.borrow_mut().take_changes(now_ms);
        let message = self.message(false, closed, begun);
        let Some(backup) = &mut self.backup else {
            return;
        };
        match is_heartbeat {
            true => {
                backup.reply = backup.connection.call(message);
                self.next_heartbeat = Instant::now() + self.own.heartbeat_period();
            }
            false => backup.connection.send(message),
        }
    }

    fn message(
        &self,
        is_complete: bool,
        closed: Vec<ClosedAttempt>,
        begun: Vec<BackedUpAttempt>,
    ) -> LedgerRequest {
        LedgerRequest::BackUpAttempts(BackUpAttempts {
            address: self.owner.claims.address.to_string(),
            incarnation: self.owner.claims.incarnation,
            is_complete,
            closed,
            begun,
        })
    }

    fn log(&self, address: SocketAddr, outcome: &'static str) {
        let changes = &self.owner.metrics.backup_changes;
        changes.with_label_values(&[outcome]).inc();
        tracing::info!(
            event = "attempt_backup",
            %address,
            outcome,
            attempts = self.own.attempts.borrow().len()
        );
    }
}

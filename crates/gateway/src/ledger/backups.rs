//! Attempts of other daemons that are backed up here: receives them, and notices when a daemon is lost.

use fieldhook_ledger::backup::{CHECK_PERIOD_MS, LostSender, Senders};
use fieldhook_ledger::message::{BackUpAttempts, ClosedAttempt, LedgerReply};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// What happened to attempts that were backed up here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackupEvent {
    /// The daemon that made them is lost.
    Lost(LostSender),
    /// A daemon has ended an attempt that is not kept here, since the daemon was taken for lost.
    Ended(ClosedAttempt),
}

/// Attempts of other daemons.
pub struct Backups {
    senders: RefCell<Senders>,
    connections: Cell<u64>,
    zone: String,
    started: Instant,
    events: mpsc::UnboundedSender<BackupEvent>,
}

impl Backups {
    /// Creates the backups at a daemon in this zone, and returns the channel of their events.
    pub fn new(zone: &str) -> (Rc<Self>, mpsc::UnboundedReceiver<BackupEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let backups = Rc::new(Self {
            senders: RefCell::default(),
            connections: Cell::new(0),
            zone: zone.to_owned(),
            started: Instant::now(),
            events,
        });
        (backups, receiver)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns a number for a connection of another daemon.
    pub fn number_connection(&self) -> u64 {
        self.connections.set(self.connections.get() + 1);
        self.connections.get()
    }

    /// Number of attempts that are kept.
    pub fn attempt_count(&self) -> usize {
        self.senders.borrow().attempt_count()
    }

    /// Addresses of the daemons whose attempts are backed up here.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let senders = self.senders.borrow();
        let addresses = senders.addresses();
        addresses
            .filter_map(|address| address.parse().ok())
            .collect()
    }

    /// Records a message that arrived on a connection. Returns the reply to it.
    pub fn receive(&self, connection: u64, message: BackUpAttempts) -> LedgerReply {
        let now_ms = self.now_ms();
        let change = self
            .senders
            .borrow_mut()
            .receive(connection, message, now_ms);
        if change.dropped > 0 {
            tracing::warn!(event = "attempts_not_kept", count = change.dropped);
        }
        for ended in change.ended {
            self.send(BackupEvent::Ended(ended));
        }
        LedgerReply::BackedUp(self.zone.clone())
    }

    /// A connection of another daemon has closed.
    pub fn close(&self, connection: u64) {
        let now_ms = self.now_ms();
        let lost = self.senders.borrow_mut().close(connection, now_ms);
        if let Some(lost) = lost {
            self.send(BackupEvent::Lost(lost));
        }
    }

    /// Looks for silent daemons until this one exits.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(CHECK_PERIOD_MS)).await;
            let now_ms = self.now_ms();
            let silent = self.senders.borrow_mut().find_silent(now_ms);
            for lost in silent {
                self.send(BackupEvent::Lost(lost));
            }
        }
    }

    /// The receiver lives as long as the daemon.
    fn send(&self, event: BackupEvent) {
        let _ = self.events.send(event);
    }
}

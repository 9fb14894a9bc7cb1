//! The process of a stand-in server, which a request may end.

use super::server::Seen;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Request that ends the process which serves it.
#[derive(Clone, Debug)]
struct Deadly {
    /// Text in the target or the body of the request.
    mark: String,
    /// Time from reading the request to the end.
    after: Duration,
}

/// Called with the number of the next process when one ends.
type OnRestart = Box<dyn Fn(u64)>;

/// The process of a stand-in server. When it ends, its connections are reset. New ones are refused,
/// unless the next process starts at the same address at once.
#[derive(Default)]
pub struct Process {
    deadly: RefCell<Option<Deadly>>,
    pub has_ended: Cell<bool>,
    /// When this process and those before it ended.
    pub ends: RefCell<Vec<Instant>>,
    ended: Notify,
    /// Number of the process, counted from 0.
    pub number: Cell<u64>,
    on_restart: RefCell<Option<OnRestart>>,
    /// Name of the server.
    name: String,
    pub states_identity: Cell<bool>,
    /// Whether the process closes the connection after it has stated which one it is.
    pub closes_after_statement: Cell<bool>,
    /// Whether the process states its start, which is one more than its number.
    pub states_start: Cell<bool>,
    /// How long the output on other connections than that of the request that ended the process is
    /// still under way after the end.
    pub output_delay: Cell<Duration>,
    /// How long the next process accepts no connections after its predecessor has ended.
    pub start_delay: Cell<Duration>,
}

impl Process {
    /// Creates the first process of a server.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            states_identity: Cell::new(true),
            ..Self::default()
        }
    }

    /// Makes the process end this long after it reads a request whose target or body contains
    /// `mark`.
    pub fn end_on(&self, mark: &str, after: Duration) {
        let mark = mark.to_owned();
        self.deadly.replace(Some(Deadly { mark, after }));
    }

    /// Makes the next process start at once when one ends. `on_restart` is called with its number.
    pub fn restart_when_ended(&self, on_restart: impl Fn(u64) + 'static) {
        let on_restart: OnRestart = Box::new(on_restart);
        self.on_restart.replace(Some(on_restart));
    }

    /// Ends the process with this number, if it still runs.
    pub fn end(&self, number: u64) {
        if number != self.number.get() {
            return;
        }
        self.ends.borrow_mut().push(Instant::now());
        match &*self.on_restart.borrow() {
            Some(on_restart) => {
                self.number.set(number + 1);
                on_restart(number + 1);
            }
            None => self.has_ended.set(true),
        }
        self.ended.notify_waiters();
    }

    /// Whether the process accepts no connections yet.
    pub fn is_starting(&self) -> bool {
        let ended = self.ends.borrow().last().copied();
        ended.is_some_and(|ended| ended.elapsed() < self.start_delay.get())
    }

    /// What the process states about itself.
    pub fn statement(&self) -> String {
        let name = &self.name;
        let born = match self.states_start.get() {
            true => format!("Born: {}\r\n", self.number.get() + 1),
            false => String::new(),
        };
        format!("HTTP/1.1 200 Fine\r\nName: {name}\r\n{born}Content-Length: 0\r\n\r\n")
    }

    /// Waits until no process listens at the address.
    pub async fn wait_ended(&self) {
        while !self.has_ended.get() {
            self.ended.notified().await;
        }
    }

    /// Whether the process with this number has ended.
    pub fn has_ended_since(&self, number: u64) -> bool {
        self.has_ended.get() || self.number.get() != number
    }

    /// Waits until the process with this number has ended.
    pub async fn wait_ended_after(&self, number: u64) {
        while !self.has_ended_since(number) {
            self.ended.notified().await;
        }
    }

    /// Time until a request ends the process, if it does.
    pub fn ends_after(&self, request: &Seen) -> Option<Duration> {
        let deadly = self.deadly.borrow();
        let deadly = deadly.as_ref()?;
        let body = String::from_utf8_lossy(&request.body);
        let is_deadly = body.contains(&deadly.mark) || request.head.target.contains(&deadly.mark);
        is_deadly.then_some(deadly.after)
    }
}

//! Judges whether a server ended while it handled a request.
//!
//! A broken connection alone shows nothing: a server may reset one connection and live on. That a
//! server has ended is known once its address refuses connections, once another process states that
//! it listens there, or once its entry is replaced or removed. Until then its fate is open, also if
//! its address accepts connections: the next process may have started there. An open connection is a
//! sign of life only until a newer contact gets no answer.

/// State of the server's entry in service discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The entry is there.
    Listed,
    /// There is an entry of another incarnation under the same name or at the same address.
    Replaced,
    /// There is no entry.
    Removed,
}

/// Result of the newest attempt to connect to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// The connection was established, possibly by a later process at the same address.
    Established,
    /// The process at the address stated that it is the one that the entry names.
    Confirmed,
    /// Another process stated that it listens at the address.
    OtherProcess,
    /// Nothing came back from the machine.
    Silent,
}

/// What is known about a server since an attempt there broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Current state of its entry.
    pub entry: EntryState,
    /// Whether the entry tells when the process started. Otherwise a later process has another name,
    /// and its address is not used again at once.
    pub reports_start: bool,
    /// Whether it did not accept new work any more when the attempt broke.
    pub was_leaving: bool,
    /// Whether the known entries are current. Entries also vanish while the log is unavailable.
    pub is_discovery_current: bool,
    /// Result of the newest attempt to connect since then.
    pub contact: Option<Contact>,
    /// Whether it has answered a request after that, on a connection from before the break.
    pub has_answered: bool,
    /// Whether a connection is open that leads to the process of the attempt. It stays open if the
    /// machine falls silent.
    pub is_connected: bool,
}

/// What became of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It ended.
    Ended,
    /// It lives on.
    Alive,
    /// It accepts connections, so it lives on unless its entry shows otherwise later.
    PresumedAlive,
    /// Not known yet.
    Unresolved,
}

impl Fate {
    /// Returns the value of the log field `fate` and of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::PresumedAlive => "presumed_alive",
            Self::Unresolved => "unresolved",
        }
    }
}

impl Evidence {
    /// Judges the fate of the server. Returns it with the value of the log field `known_by`. Signs of
    /// an end come first, because signs of life hold for their moment only.
    pub fn judge(&self) -> (Fate, &'static str) {
        match (self.entry, self.contact) {
            (EntryState::Replaced, _) => (Fate::Ended, "entry_replaced"),
            (_, Some(Contact::Refused)) => (Fate::Ended, "refused"),
            (_, Some(Contact::OtherProcess)) => (Fate::Ended, "stated"),
            (_, Some(Contact::Confirmed)) => (Fate::Alive, "stated"),
            _ if self.has_answered => (Fate::Alive, "answer"),
            _ if self.is_connected && !self.is_unanswered() => (Fate::Alive, "open_connection"),
            // The entry of a leaving server goes while it still serves.
            (EntryState::Removed, _) if self.is_discovery_current && !self.was_leaving => {
                (Fate::Ended, "entry_removed")
            }
            (_, Some(Contact::Established)) if self.reports_start => {
                (Fate::Unresolved, "connected")
            }
            (_, Some(Contact::Established)) => (Fate::PresumedAlive, "connected"),
            (_, Some(Contact::Silent)) => (Fate::Unresolved, "silent"),
            (_, None) => (Fate::Unresolved, "nothing"),
        }
    }

    /// Whether the newest contact got no answer that a process which lives would have given.
    fn is_unanswered(&self) -> bool {
        match self.contact {
            Some(Contact::Silent) => true,
            Some(Contact::Established) => self.reports_start,
            _ => false,
        }
    }
}

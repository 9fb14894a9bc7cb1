//! Requests under which servers ended.
//!
//! A request may itself end the servers that run it, and each repetition then takes another one
//! away. Its attempts reach different daemons under different ids, so the servers that ended are
//! counted here, by the content of the request. The count includes attempts that are in progress or
//! whose outcome is open: they hold a place until it is known.

mod attempt_order;
mod detached;
mod record;

pub use detached::{DETACHED_HOLD_MS, DETACHED_LEASE_MS, DETACHED_RENEWAL_MS};
pub use record::{CrashRecord, OpenAttempt, identity_of_end, successors};

use crate::message::RequestKey;
use crate::name::QualifiedName;
use crate::tenant_map::{Bounds, TenantMap};
use nanoserde::{DeBin, SerBin};
use record::{Proof, Request};
use std::collections::BTreeSet;

/// Number of servers that may end under a request before it is blocked.
pub const MAX_ENDED_SERVERS: usize = 3;
/// How long a request stays blocked after the last server ended, in milliseconds.
pub const BLOCK_MS: u64 = 600_000;
/// Longest time that a record is kept or a place is held, in milliseconds.
const MAX_RETENTION_MS: u64 = 600_000;
/// Minimum time for which a place is held that was restored from a record, in milliseconds.
pub const RESTORED_HOLD_MS: u64 = 60_000;
/// Maximum number of requests of one partition.
pub const MAX_REQUESTS: usize = 4_096;
/// Maximum number of requests of one tenant in a partition.
pub const MAX_REQUESTS_PER_TENANT: usize = 1_024;
/// Maximum number of attempts in a record whose outcome is open, and of detached ones. More than
/// [`MAX_ENDED_SERVERS`] change no decision.
pub const MAX_OPEN_ATTEMPTS: usize = 8;
/// How long the count of a request settles after a server has ended, in milliseconds: copies side by
/// side may end several at once, and each end takes a moment to be found and reported.
pub const SETTLE_MS: u64 = 25;
/// Places that are held for a shorter time than this, in milliseconds, are not recorded: attempts
/// that were abandoned and are most likely given back soon.
pub const MIN_RECORDED_HOLD_MS: u64 = 2_000;

/// What daemons have to do before they send requests of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum WatchLevel {
    /// Nothing.
    None,
    /// Get the permission of the owner: an attempt was abandoned, or as many attempts of a request may
    /// end servers as are allowed.
    Suspected,
    /// Get the permission of the owner, which is known to the next owner as well: servers have ended
    /// under requests, or may have.
    Watched,
}

impl WatchLevel {
    /// Returns the value of the log field `level` and of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Suspected => "suspected",
            Self::Watched => "watched",
        }
    }
}

/// Whether a request may be sent to a server.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum SendDecision {
    /// It may.
    Granted {
        /// The servers that have ended under it.
        servers: Vec<String>,
        /// Whether the attempt holds a place until its end is reported.
        holds_place: bool,
    },
    /// Not while other attempts are in progress or their outcome is open.
    Busy {
        /// The servers that have ended under it.
        servers: Vec<String>,
    },
    /// It may not be sent again.
    Blocked {
        /// The servers that have ended under it.
        servers: Vec<String>,
    },
}

impl SendDecision {
    /// Decision about a request of which nothing is known.
    pub const UNCOUNTED: Self = Self::Granted {
        servers: Vec::new(),
        holds_place: false,
    };
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum AttemptEnd {
    /// The server ended.
    ServerEnded,
    /// It is not known yet what became of the server. The attempt holds a place until it is.
    Unresolved,
    /// The server lives on, or the request was not sent.
    ServerAlive,
    /// The response was complete.
    Completed,
    /// The attempt is over, and its server lives and may still run the request.
    Detached,
}

impl AttemptEnd {
    /// Whether the attempt or the server's end counts from now on.
    fn counts(self) -> bool {
        matches!(self, Self::ServerEnded | Self::Unresolved | Self::Detached)
    }

    /// Whether the attempt may still end its server.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Unresolved | Self::Detached)
    }

    /// What other daemons have to do before they send the request again, if the attempt holds a
    /// place for `hold_ms`. `None` if nothing has changed for them.
    pub fn watch_level(self, hold_ms: u64) -> Option<WatchLevel> {
        match self {
            Self::Unresolved if hold_ms < MIN_RECORDED_HOLD_MS => Some(WatchLevel::Suspected),
            Self::ServerEnded | Self::Unresolved => Some(WatchLevel::Watched),
            Self::ServerAlive | Self::Completed | Self::Detached => None,
        }
    }

    /// Returns the value of the log field `end`.
    pub fn name(self) -> &'static str {
        match self {
            Self::ServerEnded => "server_ended",
            Self::Unresolved => "unresolved",
            Self::ServerAlive => "server_alive",
            Self::Completed => "completed",
            Self::Detached => "detached",
        }
    }
}

/// End of an attempt, as reported by the daemon that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedAttempt<'a> {
    /// Number of the attempt.
    pub attempt: u64,
    /// Identity of the server.
    pub server: &'a str,
    /// How it ended.
    pub end: AttemptEnd,
    /// Servers that were known to have ended under the request when the attempt was sent.
    pub known: &'a [String],
    /// How long a place is held if the outcome is open, in milliseconds.
    pub hold_ms: u64,
    /// How long clients may send the request again, in milliseconds.
    pub retention_ms: u64,
}

impl EndedAttempt<'_> {
    /// Whether the attempt was abandoned, and its server is not checked yet.
    fn is_abandoned(&self) -> bool {
        self.end == AttemptEnd::Unresolved && self.hold_ms < MIN_RECORDED_HOLD_MS
    }
}

/// Changes that the end of an attempt makes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashChange {
    /// The new record, if it has changed; `Some(None)` if there is none any more.
    pub record: Option<Option<CrashRecord>>,
    /// Requests that were forgotten for lack of space.
    pub forgotten: Vec<QualifiedName>,
}

/// What daemons have to do before they send a request. Once as many attempts may end servers as are
/// allowed, they ask, since the next one depends on what has become of those.
fn watch_level_of(request: &Request, now_ms: u64) -> WatchLevel {
    if request.is_recorded(now_ms) {
        WatchLevel::Watched
    } else if request.places(Proof::Assumed, now_ms) > 0 || request.is_busy(Proof::Missing, now_ms)
    {
        WatchLevel::Suspected
    } else {
        WatchLevel::None
    }
}

/// Requests under which servers ended, or may have.
#[derive(Clone, Debug)]
pub struct CrashTable {
    requests: TenantMap<Request>,
}

impl Default for CrashTable {
    fn default() -> Self {
        Self {
            requests: TenantMap::new(Bounds {
                per_tenant: MAX_REQUESTS_PER_TENANT,
                total: MAX_REQUESTS,
            }),
        }
    }
}

impl CrashTable {
    /// Number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no server has ended, as far as known.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The servers that have ended under a request.
    pub fn servers(&self, name: &QualifiedName, now_ms: u64) -> &[String] {
        let request = self.requests.get(name);
        request.map_or(&[], |request| request.record.servers(now_ms))
    }

    /// What is recorded durably about a request.
    pub fn recorded(&self, name: &QualifiedName, now_ms: u64) -> Option<&CrashRecord> {
        let request = self.requests.get(name);
        let request = request.filter(|request| request.is_recorded(now_ms));
        request.map(|request| &request.record)
    }

    /// What daemons have to do before they send a request of the partition.
    pub fn watch_level(&self, now_ms: u64) -> WatchLevel {
        let requests = self.requests.values();
        let levels = requests.map(|request| watch_level_of(request, now_ms));
        levels.max().unwrap_or(WatchLevel::None)
    }

    /// What daemons have to do because of one request before they send requests of the partition.
    pub fn watch_level_of(&self, name: &QualifiedName, now_ms: u64) -> WatchLevel {
        let request = self.requests.get(name);
        request.map_or(WatchLevel::None, |request| watch_level_of(request, now_ms))
    }

    /// The servers that have ended under a request, as a daemon may tell others. The count of shared
    /// content is cleared by any complete response, which this daemon may not have seen, so it is
    /// told only once the request is blocked.
    pub fn servers_to_tell(&self, request: &RequestKey, now_ms: u64) -> Vec<String> {
        let servers = self.servers(&request.name, now_ms);
        match request.is_shared() && servers.len() < MAX_ENDED_SERVERS {
            true => Vec::new(),
            false => servers.to_vec(),
        }
    }

    /// Adds servers that a daemon knows to have ended under a request. An earlier owner may have
    /// counted them without a durable record. Returns the new record, if it has changed.
    pub fn merge(
        &mut self,
        name: &QualifiedName,
        known: &[String],
        retention_ms: u64,
        now_ms: u64,
    ) -> Option<CrashRecord> {
        let servers = self.servers(name, now_ms);
        let missing: BTreeSet<&String> = known.iter().filter(|id| !servers.contains(id)).collect();
        if missing.is_empty() {
            return None;
        }
        if self.requests.get(name).is_none() {
            self.requests.insert(name, Request::default());
            self.requests.remove_excess(&name.tenant);
        }
        let request = self.requests.get_mut(name)?;
        for server in missing {
            let ended = EndedAttempt {
                attempt: 0,
                server,
                end: AttemptEnd::ServerEnded,
                known: &[],
                hold_ms: 0,
                retention_ms,
            };
            request.add_server(&ended, 0, None, now_ms);
        }
        Some(request.record.clone())
    }

    /// Returns how long a decision about a request has to wait until its count has settled, in
    /// milliseconds.
    pub fn settling_ms(&self, name: &QualifiedName, now_ms: u64) -> u64 {
        let ended = self.servers(name, now_ms).len();
        let is_decided = ended == 0 || ended >= MAX_ENDED_SERVERS;
        let Some(request) = self.requests.get(name).filter(|_| !is_decided) else {
            return 0;
        };
        let settled_ms = request.record.last_ms + SETTLE_MS;
        settled_ms.saturating_sub(now_ms).min(SETTLE_MS)
    }

    /// Whether a decision about a request depends on whether the processes of its detached attempts
    /// live, which they have not shown yet after the question with this number.
    pub fn is_undecided(&self, name: &QualifiedName, question: Option<u64>, now_ms: u64) -> bool {
        let request = self.requests.get(name);
        request.is_some_and(|request| {
            let proof = question.map_or(Proof::Missing, Proof::Question);
            request.is_busy(proof, now_ms) && !request.is_busy(Proof::Assumed, now_ms)
        })
    }

    /// Records that the process of a detached attempt has shown that it lives after the question with
    /// this number. Numbers start at 1 and rise.
    pub fn confirm(&mut self, name: &QualifiedName, attempt: u64, question: u64, now_ms: u64) {
        if let Some(request) = self.requests.get_mut(name) {
            request.close_expired(now_ms);
            request.detached.confirm(attempt, question, now_ms);
        }
    }

    /// Decides whether a request may be sent to a server. If servers have ended under it, or may
    /// have, the attempt holds a place for `hold_ms` at most. The processes of detached attempts live
    /// as far as they have shown that after the question with this number.
    pub fn request_send(
        &mut self,
        name: &QualifiedName,
        attempt: u64,
        hold_ms: u64,
        question: Option<u64>,
        now_ms: u64,
    ) -> SendDecision {
        let Some(request) = self.requests.get_mut(name) else {
            return SendDecision::UNCOUNTED;
        };
        request.close_expired(now_ms);
        request.record.take_place(attempt);
        let servers = request.record.servers(now_ms).to_vec();
        if servers.len() >= MAX_ENDED_SERVERS {
            return SendDecision::Blocked { servers };
        }
        let proof = question.map_or(Proof::Missing, Proof::Question);
        if request.is_busy(proof, now_ms) {
            return SendDecision::Busy { servers };
        }
        request.order.grant(attempt);
        request.record.open.push(OpenAttempt {
            attempt,
            until_ms: now_ms + hold_ms.min(MAX_RETENTION_MS),
            ended_before: servers.len() as u64,
        });
        SendDecision::Granted {
            servers,
            holds_place: true,
        }
    }

    /// Records the end of an attempt. A complete response shows that the request does not end
    /// servers, unless it is blocked already.
    pub fn end_attempt(
        &mut self,
        name: &QualifiedName,
        ended: &EndedAttempt<'_>,
        now_ms: u64,
    ) -> CrashChange {
        let before = self.recorded(name, now_ms).cloned();
        if ended.end == AttemptEnd::ServerEnded {
            self.merge(name, ended.known, ended.retention_ms, now_ms);
        }
        if self.requests.get(name).is_none() {
            let is_dropped = ended.end.is_open() && self.requests.is_full_for(&name.tenant);
            if !ended.end.counts() || is_dropped {
                return CrashChange::default();
            }
            self.requests.insert(name, Request::default());
        }
        let Some(request) = self.requests.get_mut(name) else {
            return CrashChange::default();
        };
        request.close_expired(now_ms);
        // An attempt that has broken may be abandoned by the daemon that took it over. It keeps its
        // place, and has not gone on meanwhile.
        if ended.is_abandoned() && request.order.has_broken(ended.attempt) {
            return CrashChange::default();
        }
        // The place was held by an earlier owner if there is none. A detached attempt keeps it.
        let place = match ended.end {
            AttemptEnd::Detached => None,
            _ => request.record.take_place(ended.attempt),
        };
        let ended_before = place.map_or(ended.known.len() as u64, |place| place.ended_before);
        let is_restored = place.is_some() && !request.order.knows(ended.attempt);
        if ended.end != AttemptEnd::Detached {
            request.detached.remove(ended.attempt);
        }
        match ended.end {
            // The previous owner's order of attempts is not recorded.
            AttemptEnd::ServerEnded if is_restored => {
                request.add_server(ended, u64::MAX, None, now_ms);
            }
            AttemptEnd::ServerEnded => {
                let span = request.order.take(ended.attempt);
                request.add_server(ended, ended_before, Some(span), now_ms);
            }
            AttemptEnd::Unresolved if request.is_full() => {}
            AttemptEnd::Unresolved if ended.is_abandoned() => {
                request.abandon(ended, place, ended_before, now_ms);
            }
            AttemptEnd::Unresolved => {
                if !is_restored {
                    request.order.break_off(ended.attempt);
                }
                request.hold(ended, ended_before, now_ms);
            }
            AttemptEnd::Completed if request.record.servers(now_ms).len() < MAX_ENDED_SERVERS => {
                request.order.take(ended.attempt);
                request.clear_servers();
            }
            AttemptEnd::Completed | AttemptEnd::ServerAlive => {
                request.order.take(ended.attempt);
            }
            AttemptEnd::Detached => request.detach(ended, ended_before, now_ms),
        }
        if request.record.open.is_empty() && !request.record.has_ends() {
            self.requests.remove(name);
        }
        let forgotten = self.requests.remove_excess(&name.tenant);
        let after = self.recorded(name, now_ms);
        CrashChange {
            record: (after != before.as_ref()).then(|| after.cloned()),
            forgotten: forgotten.into_iter().collect(),
        }
    }

    /// Restores a request from its record. The clock of the earlier owner may differ from this one's
    /// by any time, so what counts is counted from now on: that the record is there shows that no
    /// owner has forgotten it.
    pub fn restore(&mut self, name: &QualifiedName, mut record: CrashRecord, now_ms: u64) {
        record.last_ms = now_ms;
        for open in &mut record.open {
            let left_ms = open.until_ms.saturating_sub(now_ms);
            open.until_ms = now_ms + left_ms.clamp(RESTORED_HOLD_MS, MAX_RETENTION_MS);
        }
        let request = Request {
            record,
            ..Request::default()
        };
        self.requests.insert(name, request);
    }

    /// Removes a request.
    pub fn remove(&mut self, name: &QualifiedName) {
        self.requests.remove(name);
    }

    /// Removes what has expired, and returns the names of requests whose record is not needed any
    /// more.
    pub fn expire(&mut self, now_ms: u64) -> Vec<QualifiedName> {
        let expired = self.requests.retain(|request| {
            request.close_expired(now_ms);
            let record = &request.record;
            !record.open.is_empty() || record.has_ends() && !record.is_expired(now_ms)
        });
        expired.into_iter().map(|(name, _)| name).collect()
    }
}

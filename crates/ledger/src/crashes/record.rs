//! What is known about one request.

use super::attempt_order::{AttemptOrder, Span};
use super::detached::{DETACHED_LEASE_MS, DetachedAttempts};
use super::{
    BLOCK_MS, EndedAttempt, MAX_ENDED_SERVERS, MAX_OPEN_ATTEMPTS, MAX_RETENTION_MS,
    MIN_RECORDED_HOLD_MS,
};
use nanoserde::{DeBin, SerBin};

/// Maximum number of servers in a record. More than [`MAX_ENDED_SERVERS`] end only if attempts were
/// sent before the first end was known.
const MAX_RECORDED_SERVERS: usize = 8;

/// A place held by an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OpenAttempt {
    /// Number of the attempt.
    pub attempt: u64,
    /// Unix time when the place is given up, in milliseconds.
    pub until_ms: u64,
    /// Number of ended servers that were known when it was granted.
    pub ended_before: u64,
}

/// Separates the identity of a server that ended from the start of the process that was found at its
/// address, if that is known.
const SUCCESSOR_MARK: char = '>';

/// Identity of a server that ended, with the start of the next process at its address. Two reports
/// that name the same successor tell of one end.
pub fn identity_of_end(server: &str, successor_started_ms: Option<u64>) -> String {
    match successor_started_ms {
        Some(started_ms) => format!("{server}{SUCCESSOR_MARK}{started_ms}"),
        None => server.to_owned(),
    }
}

/// Starts of the processes that were found at the address of a server after one that ended.
pub fn successors<'a>(ends: &'a [String], server: &'a str) -> impl Iterator<Item = u64> + 'a {
    let successors = ends
        .iter()
        .filter_map(|end| end.split_once(SUCCESSOR_MARK))
        .filter(move |(ended, _)| *ended == server);
    successors.filter_map(|(_, successor)| successor.parse().ok())
}

fn names_successor(end: &str) -> bool {
    end.contains(SUCCESSOR_MARK)
}

/// Identity of a server, without a successor.
fn process_of(end: &str) -> &str {
    end.split(SUCCESSOR_MARK).next().unwrap_or(end)
}

/// What is known about a request under which servers ended, or may have. It is recorded durably
/// once a server has ended or the outcome of an attempt stays open.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct CrashRecord {
    /// Identities of the servers.
    pub servers: Vec<String>,
    /// Unix time when the last of them ended, in milliseconds.
    pub last_ms: u64,
    /// How long the servers count after that, in milliseconds.
    pub retention_ms: u64,
    /// Attempts that are in progress or whose outcome is open.
    pub open: Vec<OpenAttempt>,
}

impl CrashRecord {
    pub(super) fn has_ends(&self) -> bool {
        !self.servers.is_empty()
    }

    pub(super) fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.last_ms.saturating_add(self.retention_ms)
    }

    /// The servers that ended, unless they no longer count.
    pub(super) fn servers(&self, now_ms: u64) -> &[String] {
        match self.is_expired(now_ms) {
            true => &[],
            false => &self.servers,
        }
    }

    /// Removes the place of an attempt, if it holds one.
    pub(super) fn take_place(&mut self, attempt: u64) -> Option<OpenAttempt> {
        let position = self.open.iter().position(|open| open.attempt == attempt)?;
        Some(self.open.remove(position))
    }
}

/// What shows that the processes of detached attempts live.
#[derive(Clone, Copy, Debug)]
pub(super) enum Proof {
    /// Nothing.
    Missing,
    /// What they have stated after the question with this number.
    Question(u64),
    /// Taken for granted.
    Assumed,
}

/// A request in the table.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    pub(super) record: CrashRecord,
    pub(super) order: AttemptOrder,
    pub(super) detached: DetachedAttempts,
}

impl Request {
    pub(super) fn close_expired(&mut self, now_ms: u64) {
        let open = &mut self.record.open;
        open.retain(|open| now_ms < open.until_ms);
        let holds_place = |attempt| open.iter().any(|open| open.attempt == attempt);
        self.order.retain(holds_place);
        self.detached.retain(now_ms, holds_place);
    }

    /// Attempts in progress and those whose outcome is open, without the detached ones.
    fn held(&self, now_ms: u64) -> impl Iterator<Item = &OpenAttempt> {
        let open = self.record.open.iter();
        open.filter(move |open| !self.detached.is_followed(open.attempt, now_ms))
    }

    /// Number of places that are taken. Detached attempts whose process lives take none while all
    /// servers live, take one for a short time after the first end, and all once the next end reaches
    /// the limit.
    pub(super) fn places(&self, proof: Proof, now_ms: u64) -> usize {
        let ended = self.record.servers(now_ms).len();
        let is_free = |open: &&OpenAttempt| {
            let attempt = open.attempt;
            let is_alive = match proof {
                Proof::Missing => false,
                Proof::Question(number) => self.detached.is_confirmed(attempt, number, now_ms),
                Proof::Assumed => self.detached.is_followed(attempt, now_ms),
            };
            is_alive
                && ended + 1 < MAX_ENDED_SERVERS
                && (ended == 0 || self.detached.is_settled(attempt, now_ms))
        };
        let open = &self.record.open;
        open.len() - open.iter().filter(is_free).count()
    }

    /// Whether there is no room for another attempt.
    pub(super) fn is_busy(&self, proof: Proof, now_ms: u64) -> bool {
        let ended = self.record.servers(now_ms).len();
        ended + self.places(proof, now_ms) >= MAX_ENDED_SERVERS
    }

    /// Whether the next owner has to know of it.
    pub(super) fn is_recorded(&self, now_ms: u64) -> bool {
        let min_until_ms = now_ms.saturating_add(MIN_RECORDED_HOLD_MS);
        let has_ends = self.record.has_ends();
        has_ends || self.held(now_ms).any(|open| open.until_ms >= min_until_ms)
    }

    /// Whether as many attempts with an open outcome are recorded as may be.
    pub(super) fn is_full(&self) -> bool {
        self.record.open.len() >= MAX_OPEN_ATTEMPTS + self.detached.len()
    }

    /// Holds a place for an attempt whose outcome is open.
    pub(super) fn hold(&mut self, ended: &EndedAttempt<'_>, ended_before: u64, now_ms: u64) {
        self.record.open.push(OpenAttempt {
            attempt: ended.attempt,
            until_ms: now_ms + ended.hold_ms.min(MAX_RETENTION_MS),
            ended_before,
        });
    }

    /// Holds a place for an attempt that was abandoned, for as long as it held one before: what its
    /// daemon finds out may have been reported already.
    pub(super) fn abandon(
        &mut self,
        ended: &EndedAttempt<'_>,
        place: Option<OpenAttempt>,
        ended_before: u64,
        now_ms: u64,
    ) {
        let ended_before = self.goes_on(ended.attempt, ended_before, now_ms);
        let until_ms = now_ms + ended.hold_ms;
        self.record.open.push(OpenAttempt {
            attempt: ended.attempt,
            until_ms: place.map_or(until_ms, |place| place.until_ms.max(until_ms)),
            ended_before,
        });
    }

    /// The process of an attempt lived when it was over for the client, so servers that have ended
    /// since an earlier owner granted the attempt were others, and an end from now on may be its own.
    /// Returns how many had ended before the attempt.
    pub(super) fn goes_on(&mut self, attempt: u64, ended_before: u64, now_ms: u64) -> u64 {
        let ended_before = match self.order.knows(attempt) {
            true => ended_before,
            false => self.record.servers(now_ms).len() as u64,
        };
        self.order.detach(attempt);
        ended_before
    }

    /// Records that an attempt is detached, or that it still is.
    pub(super) fn detach(&mut self, ended: &EndedAttempt<'_>, ended_before: u64, now_ms: u64) {
        let open = &self.record.open;
        let place = open.iter().position(|open| open.attempt == ended.attempt);
        if place.is_none() && self.detached.len() >= MAX_OPEN_ATTEMPTS {
            return;
        }
        let ended_before = place.map_or(ended_before, |place| open[place].ended_before);
        let ended_before = self.goes_on(ended.attempt, ended_before, now_ms);
        self.detached.renew(ended.attempt, now_ms);
        let Some(place) = place.and_then(|place| self.record.open.get_mut(place)) else {
            return self.hold(ended, ended_before, now_ms);
        };
        place.ended_before = ended_before;
        // The record of a place changes no more often than necessary.
        if place.until_ms < now_ms + DETACHED_LEASE_MS {
            place.until_ms = now_ms + ended.hold_ms.min(MAX_RETENTION_MS);
        }
    }

    /// Adds a server that ended under an attempt with this span. Copies of the request that ran
    /// there side by side count once, and so do reports that name the same successor. Where the span
    /// is not known, the attempt may have run beside those after which no more than `ended_before`
    /// servers had ended.
    pub(super) fn add_server(
        &mut self,
        ended: &EndedAttempt<'_>,
        ended_before: u64,
        span: Option<Span>,
        now_ms: u64,
    ) {
        if self.record.is_expired(now_ms) {
            self.clear_servers();
        }
        let is_same = |(index, server): (usize, &String)| {
            if server == ended.server && names_successor(server) {
                return true;
            }
            let is_beside = match (self.order.ended(index), span) {
                (Some(other), Some(span)) => span.overlaps(other),
                _ => index as u64 >= ended_before,
            };
            is_beside && process_of(server) == process_of(ended.server)
        };
        let is_known = self.record.servers.iter().enumerate().any(is_same);
        let count = self.record.servers.len();
        if !is_known && count < MAX_RECORDED_SERVERS {
            self.record.servers.push(ended.server.to_owned());
            if let Some(span) = span {
                self.order.set_ended(count, span);
            }
        }
        self.record.retention_ms = match self.record.servers.len() >= MAX_ENDED_SERVERS {
            true => BLOCK_MS,
            false => ended.retention_ms.min(MAX_RETENTION_MS),
        };
        self.record.last_ms = now_ms;
    }

    pub(super) fn clear_servers(&mut self) {
        self.record.servers.clear();
        self.order.clear_ended();
        for open in &mut self.record.open {
            open.ended_before = 0;
        }
    }
}

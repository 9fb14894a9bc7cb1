//! Cache of the newest configuration document, from which daemons that cannot read the log get
//! the configuration.
//!
//! Without it, a daemon that gets no answers from the log while others do would keep accepting
//! revoked API keys and reject new ones (docs/design/tenants.md).

use crate::zone_state::ZoneState;
use fieldhook_ledger::message::ConfigUpdate;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use tokio::time::Instant;

/// A configuration document and its version.
struct Document {
    version: u64,
    bytes: Rc<[u8]>,
}

/// Number of rejected records that are remembered. Listings and other daemons deliver the same
/// record again; each is logged once. When the limit is reached the set is cleared, and a record
/// may be logged a second time.
const MAX_REJECTED: usize = 1_024;

/// Identifies a record that could not be parsed: its offset, if it was read from the log, and a
/// hash of its bytes.
type RejectedRecord = (Option<u64>, u64);

/// The newest configuration document and when it was last confirmed to be the newest.
#[derive(Default)]
pub struct ConfigCache {
    rejected: RefCell<HashSet<RejectedRecord>>,
    newest: RefCell<Option<Document>>,
    /// When the cached version was last confirmed to be the newest.
    confirmed: Cell<Option<Instant>>,
}

impl ConfigCache {
    /// Replaces the cached document.
    pub fn set(&self, version: u64, bytes: &[u8]) {
        let bytes = Rc::from(bytes);
        self.newest.replace(Some(Document { version, bytes }));
    }

    /// Remembers a record that cannot be parsed; returns whether it was not remembered yet.
    pub fn is_first_rejection(&self, offset: Option<u64>, bytes: &[u8]) -> bool {
        let mut hasher = DefaultHasher::new();
        bytes.hash(&mut hasher);
        let mut rejected = self.rejected.borrow_mut();
        if rejected.len() >= MAX_REJECTED {
            rejected.clear();
        }
        rejected.insert((offset, hasher.finish()))
    }

    /// Records that the cached version was the newest one `age_ms` ago.
    pub fn confirm(&self, age_ms: u64) {
        let Some(at) = Instant::now().checked_sub(std::time::Duration::from_millis(age_ms)) else {
            return;
        };
        if self.confirmed.get().is_none_or(|confirmed| confirmed < at) {
            self.confirmed.set(Some(at));
        }
    }

    /// Milliseconds since the cached version was last confirmed to be the newest; `None` if it
    /// never was.
    pub fn age_ms(&self) -> Option<u64> {
        let at = self.confirmed.get()?;
        Some(at.elapsed().as_millis() as u64)
    }

    /// Version of the cached document, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.newest
            .borrow()
            .as_ref()
            .map_or(0, |document| document.version)
    }

    /// Returns what a daemon that knows `version` has missed.
    pub fn changes_since(&self, version: u64, zone_state: &ZoneState) -> ConfigUpdate {
        let newest = self.newest.borrow();
        let newer = newest
            .as_ref()
            .filter(|document| document.version > version);
        ConfigUpdate {
            document: newer.map(|document| document.bytes.to_vec()),
            age_ms: self.age_ms(),
            evacuations: zone_state.statuses(),
        }
    }
}

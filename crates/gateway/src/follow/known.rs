//! The newest configuration as it was read, for daemons that cannot read it themselves.
//!
//! A daemon that the log refuses while it serves others would go on with keys that were
//! taken away, and would turn away those of new ones (docs/design/tenants.md).

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

/// Records that could not be read and are remembered, so that each is said once although
/// listings and other daemons bring it again. Beyond that one may be said twice.
const MOST_REFUSED: usize = 1_024;

/// A record that could not be read: its place in the log, where it was read there, and a hash
/// of its bytes.
type Refused = (Option<u64>, u64);

/// What this daemon knows of the configuration.
#[derive(Default)]
pub struct Known {
    refused: RefCell<HashSet<Refused>>,
    newest: RefCell<Option<Document>>,
    /// When the newest version was last seen to be that.
    confirmed: Cell<Option<Instant>>,
}

impl Known {
    /// This is the newest document.
    pub fn set(&self, version: u64, bytes: &[u8]) {
        let bytes = Rc::from(bytes);
        self.newest.replace(Some(Document { version, bytes }));
    }

    /// Whether a record that can't be read comes for the first time.
    pub fn is_first_refusal(&self, offset: Option<u64>, bytes: &[u8]) -> bool {
        let mut hasher = DefaultHasher::new();
        bytes.hash(&mut hasher);
        let mut refused = self.refused.borrow_mut();
        if refused.len() >= MOST_REFUSED {
            refused.clear();
        }
        refused.insert((offset, hasher.finish()))
    }

    /// What is known was the newest `age_ms` ago.
    pub fn confirm(&self, age_ms: u64) {
        let Some(at) = Instant::now().checked_sub(std::time::Duration::from_millis(age_ms)) else {
            return;
        };
        if self.confirmed.get().is_none_or(|known| known < at) {
            self.confirmed.set(Some(at));
        }
    }

    /// Time since the newest version was seen to be that, in milliseconds.
    pub fn age_ms(&self) -> Option<u64> {
        let at = self.confirmed.get()?;
        Some(at.elapsed().as_millis() as u64)
    }

    /// Version of the newest document, 0 where none is known.
    pub fn version(&self) -> u64 {
        self.newest
            .borrow()
            .as_ref()
            .map_or(0, |known| known.version)
    }

    /// What a daemon that knows a version has missed.
    pub fn news_after(&self, version: u64, zone_state: &ZoneState) -> ConfigUpdate {
        let newest = self.newest.borrow();
        let newer = newest.as_ref().filter(|known| known.version > version);
        ConfigUpdate {
            document: newer.map(|known| known.bytes.to_vec()),
            age_ms: self.age_ms(),
            evacuations: zone_state.statuses(),
        }
    }
}

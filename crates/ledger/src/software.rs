//! Software that may have begun streams, by service.
//!
//! Before a daemon begins a stream at a software that it has not registered, it waits until the
//! owner's record of that software is durable. If the record of a service names one software only,
//! every stream of the service began there, whatever else is known of the stream.
//!
//! Daemons renew their registrations. A software that is not renewed is removed, long after its
//! last stream can be resumed. Renewals are kept in memory: a new owner counts the time from its
//! start.

use crate::streams::StreamOrigin;
use nanoserde::{DeBin, SerBin};
use std::collections::HashMap;

/// Time for which a registration is valid at the daemon that made it, in milliseconds.
pub const VALIDITY_MS: u64 = 600_000;
/// An owner confirms registrations until this long after its last contact with the log, in
/// milliseconds: it may have been replaced without knowing.
pub const MAX_CONTACT_AGE_MS: u64 = 600_000;
/// Time without a renewal after which a software is removed, in milliseconds. It covers the
/// validity, a replaced owner that still confirms, and clients that resume after a long time.
pub const REMOVAL_MS: u64 = 24 * 3_600_000;
/// Maximum number of software of a service that are named. More than one already shows that a
/// stream may have begun at any of them.
const MAX_NAMED: usize = 16;
/// Maximum length of a service's name: it has to fit into a record key.
pub const MAX_SERVICE_BYTES: usize = 250;

/// Recorded software of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ServiceSoftware {
    /// For each software, the first server that began a stream.
    pub named: Vec<StreamOrigin>,
    /// Whether there are others that are not named.
    pub has_others: bool,
}

impl ServiceSoftware {
    /// Returns the software at which all streams of the service began, if there is just one.
    pub fn only(&self) -> Option<&StreamOrigin> {
        match (self.named.as_slice(), self.has_others) {
            ([only], false) => Some(only),
            _ => None,
        }
    }
}

/// A software of a service.
#[derive(Clone, Debug)]
struct Entry {
    /// `None` for all that are not named.
    origin: Option<StreamOrigin>,
    is_durable: bool,
    renewed_ms: u64,
}

/// What registering a software requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// It is durable already.
    Durable,
    /// The record of the service has to be appended first.
    Pending,
}

/// Registered software of all services of a partition.
#[derive(Clone, Debug, Default)]
pub struct SoftwareRegister {
    services: HashMap<String, Vec<Entry>>,
}

fn record_of(entries: &[Entry]) -> ServiceSoftware {
    let named = entries.iter().filter_map(|entry| entry.origin.clone());
    ServiceSoftware {
        named: named.collect(),
        has_others: entries.iter().any(|entry| entry.origin.is_none()),
    }
}

impl SoftwareRegister {
    /// Registers the software of a server, or renews its registration.
    pub fn register(&mut self, origin: &StreamOrigin, now_ms: u64) -> Registration {
        let entries = self.services.entry(origin.service.clone()).or_default();
        let is_full = entries.len() > MAX_NAMED;
        let matching = entries.iter_mut().find(|entry| match &entry.origin {
            Some(known) => known.is_compatible_with(origin),
            None => is_full,
        });
        if let Some(entry) = matching {
            entry.renewed_ms = now_ms;
            return match entry.is_durable {
                true => Registration::Durable,
                false => Registration::Pending,
            };
        }
        entries.push(Entry {
            origin: (entries.len() < MAX_NAMED).then(|| origin.clone()),
            is_durable: false,
            renewed_ms: now_ms,
        });
        Registration::Pending
    }

    /// Returns the registered software of a service.
    pub fn service(&self, service: &str) -> ServiceSoftware {
        let entries = self.services.get(service);
        record_of(entries.map_or(&[], Vec::as_slice))
    }

    /// Restores the record of a service.
    pub fn restore(&mut self, service: &str, record: &ServiceSoftware, now_ms: u64) {
        let named = record.named.iter().cloned().map(Some);
        let others = record.has_others.then_some(None);
        let entries = named.chain(others).map(|origin| Entry {
            origin,
            is_durable: true,
            renewed_ms: now_ms,
        });
        self.services.insert(service.to_owned(), entries.collect());
    }

    /// Removes a service.
    pub fn remove(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// The record of a service was appended.
    pub fn record_appended(&mut self, service: &str, record: &ServiceSoftware) {
        for entry in self.services.get_mut(service).into_iter().flatten() {
            entry.is_durable |= match &entry.origin {
                Some(origin) => record.named.contains(origin),
                None => record.has_others,
            };
        }
    }

    /// Removes software that was not renewed for long. Returns the services that changed, without
    /// a record if nothing is left.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(String, Option<ServiceSoftware>)> {
        let mut changed = Vec::new();
        self.services.retain(|service, entries| {
            let before = entries.len();
            entries.retain(|entry| now_ms < entry.renewed_ms + REMOVAL_MS);
            if entries.len() < before {
                let record = (!entries.is_empty()).then(|| record_of(entries));
                changed.push((service.clone(), record));
            }
            !entries.is_empty()
        });
        changed
    }
}

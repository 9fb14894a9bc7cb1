//! Partitions in which servers have ended under requests.
//!
//! Daemons ask the owner of a partition before they send a request only while this partition is
//! watched, so that nothing is asked as long as no server ends. An owner announces a watch by a
//! record in the topic of claims, which every daemon follows, and renews it as long as it knows of
//! such requests.

use crate::api::KeyedRecord;
use std::collections::HashMap;

/// How long a partition is watched after the record was read, in milliseconds.
pub const WATCH_MS: u64 = 60_000;
/// How long a partition is suspected after a report, in milliseconds: twice as long as an
/// abandoned attempt holds a place.
const SUSPECTED_MS: u64 = 2_000;
/// Age of an announcement after which it is renewed, in milliseconds. The log may be away for the
/// difference.
pub const RENEWAL_MS: u64 = 20_000;

/// Prefix of the keys of watches, followed by the partition. These keys are longer than four bytes,
/// which is the length of the keys of partition claims.
const KEY_PREFIX: &[u8] = b"crashes/";

/// The watched partitions, as far as the topic of claims was read.
#[derive(Clone, Debug, Default)]
pub struct CrashWatches {
    /// Offset of the newest record of each partition.
    offsets: HashMap<u32, u64>,
    until_ms: HashMap<u32, u64>,
    /// Partitions whose owner is asked because attempts that are over may end servers, and until when.
    suspected_until_ms: HashMap<u32, u64>,
}

impl CrashWatches {
    /// Creates the record that announces or renews a watch.
    pub fn record(partition: u32) -> KeyedRecord {
        KeyedRecord {
            key: [KEY_PREFIX, &partition.to_be_bytes()].concat(),
            // Compacted topics delete keys with an empty value.
            value: vec![1],
        }
    }

    /// Applies a record of the topic of claims. Returns the partition if the record is a newer watch.
    pub fn apply(&mut self, offset: u64, record: &KeyedRecord, now_ms: u64) -> Option<u32> {
        let partition = record.key.strip_prefix(KEY_PREFIX)?;
        let partition = u32::from_be_bytes(partition.try_into().ok()?);
        if self
            .offsets
            .get(&partition)
            .is_some_and(|known| offset <= *known)
        {
            return None;
        }
        self.offsets.insert(partition, offset);
        self.watch(partition, now_ms);
        Some(partition)
    }

    /// Watches a partition, because of a server that ended.
    pub fn watch(&mut self, partition: u32, now_ms: u64) {
        self.until_ms.insert(partition, now_ms + WATCH_MS);
    }

    /// Suspects a partition, because of attempts that are over and may end servers.
    pub fn suspect(&mut self, partition: u32, now_ms: u64) {
        let until_ms = now_ms + SUSPECTED_MS;
        self.suspected_until_ms.insert(partition, until_ms);
    }

    /// Whether a partition is suspected.
    pub fn is_suspected(&self, partition: u32, now_ms: u64) -> bool {
        let until_ms = self.suspected_until_ms.get(&partition);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Whether a partition is watched.
    pub fn is_watched(&self, partition: u32, now_ms: u64) -> bool {
        let until_ms = self.until_ms.get(&partition);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }
}

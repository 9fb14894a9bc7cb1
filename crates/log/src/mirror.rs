//! Copy of a followed topic that a reader serves to other daemons: the newest record of each key,
//! and the most recent records in order.

use crate::api::{KeyedRecord, NewestPage, ReadBatch};
use std::collections::{BTreeMap, VecDeque};

/// Number of recent records kept in order. A daemon that lists the topic continues reading from the
/// start of its listing, so these cover ten seconds at the highest change rate of the largest
/// specified deployment, in about one megabyte.
const MAX_RECENT_RECORDS: usize = 4_096;
/// Records in one page of a listing.
pub const PAGE_RECORDS: usize = 500;

/// Result of a read from an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Records from the offset on.
    Records(Vec<(u64, KeyedRecord)>),
    /// No records yet: the offset is the end.
    Empty,
    /// The records are no longer kept. The topic has to be listed again.
    Truncated,
    /// The offset is beyond the end of this mirror, or the topic was not listed completely yet.
    Ahead,
}

/// State of a followed topic, as far as it was read.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    recent: VecDeque<(u64, KeyedRecord)>,
    /// Offset after the last record read.
    end: u64,
    /// First offset from which records are kept in order.
    first_recent: u64,
    is_complete: bool,
    listing: Option<Listing>,
}

/// A listing in progress.
#[derive(Clone, Debug, Default)]
struct Listing {
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    end: u64,
}

impl Mirror {
    /// Whether the topic was listed completely.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Offset after the last record read.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// First offset from which records are kept in order.
    pub fn first_recent(&self) -> u64 {
        self.first_recent
    }

    /// Applies one page of a listing. `after` is the key it was requested after, `None` for the
    /// first page.
    pub fn apply_page(&mut self, after: Option<&[u8]>, page: &NewestPage) {
        let mut listing = match (after, self.listing.take()) {
            (None, _) => Listing {
                end: page.end,
                ..Listing::default()
            },
            (Some(_), Some(listing)) => listing,
            // The beginning of the listing was not read.
            (Some(_), None) => return,
        };
        for (offset, record) in &page.records {
            let newest = (*offset, record.value.clone());
            listing.newest.insert(record.key.clone(), newest);
        }
        // Pages are not a snapshot: reading continues from the lowest end, so that no change is
        // missed.
        listing.end = listing.end.min(page.end);
        if page.more_after.is_some() {
            self.listing = Some(listing);
            return;
        }
        self.newest = listing.newest;
        self.recent.clear();
        self.end = listing.end;
        self.first_recent = listing.end;
        self.is_complete = true;
    }

    /// Applies the result of a read from `from`. A batch that leaves a gap resets the mirror, so
    /// that the topic has to be listed again.
    pub fn apply_batch(&mut self, from: u64, batch: &ReadBatch) {
        if !self.is_complete {
            return;
        }
        if from > self.end {
            *self = Self::default();
            return;
        }
        for (offset, record) in &batch.records {
            if *offset >= self.end {
                self.push(*offset, record);
            }
        }
    }

    fn push(&mut self, offset: u64, record: &KeyedRecord) {
        self.end = offset + 1;
        match record.value.is_empty() {
            true => {
                self.newest.remove(&record.key);
            }
            false => {
                let newest = (offset, record.value.clone());
                self.newest.insert(record.key.clone(), newest);
            }
        }
        self.recent.push_back((offset, record.clone()));
        if self.recent.len() > MAX_RECENT_RECORDS {
            self.recent.pop_front();
            self.first_recent = self.recent.front().map_or(self.end, |(first, _)| *first);
        }
    }

    /// Returns a page of the newest records by key, or `None` before the topic was listed.
    pub fn page(&self, after: Option<&[u8]>) -> Option<NewestPage> {
        use std::ops::Bound::{Excluded, Unbounded};
        if !self.is_complete {
            return None;
        }
        let from = after.map_or(Unbounded, Excluded);
        let mut rest = self.newest.range::<[u8], _>((from, Unbounded));
        let records: Vec<(u64, KeyedRecord)> = rest
            .by_ref()
            .take(PAGE_RECORDS)
            .map(|(key, (offset, value))| {
                let record = KeyedRecord {
                    key: key.clone(),
                    value: value.clone(),
                };
                (*offset, record)
            })
            .collect();
        let last = records.last().map(|(_, record)| record.key.clone());
        Some(NewestPage {
            more_after: last.filter(|_| rest.next().is_some()),
            records,
            end: self.end,
            age_ms: 0,
        })
    }

    /// Reads records from an offset on.
    pub fn read(&self, from: u64) -> ReadResult {
        if !self.is_complete || from > self.end {
            return ReadResult::Ahead;
        }
        if from < self.first_recent {
            return ReadResult::Truncated;
        }
        let skipped = (from - self.first_recent) as usize;
        let records: Vec<(u64, KeyedRecord)> = self.recent.iter().skip(skipped).cloned().collect();
        match records.is_empty() {
            true => ReadResult::Empty,
            false => ReadResult::Records(records),
        }
    }
}

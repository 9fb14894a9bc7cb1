//! What a reader keeps of a followed topic for those who ask it: the newest record of each key,
//! and the last records in order.

use crate::api::{KeyedRecord, NewestPage, ReadBatch};
use std::collections::{BTreeMap, VecDeque};

/// Records that are kept in order. A daemon that lists reads on from where its listing began:
/// ten seconds of the most changes that the largest sheet allows, and a megabyte of them.
const MOST_RECENT: usize = 4_096;
/// Records of a page of a listing.
pub const PAGE_RECORDS: usize = 500;

/// What is known behind an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// These records.
    Records(Vec<(u64, KeyedRecord)>),
    /// Nothing yet.
    Empty,
    /// The records are not kept any more; the topic has to be listed.
    Truncated,
    /// The offset lies behind all that was read: whoever asks knows more.
    Ahead,
}

/// A followed topic as it was read.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    recent: VecDeque<(u64, KeyedRecord)>,
    /// Offset behind the last record read.
    end: u64,
    /// Offset of the first record that is kept in order, or would be.
    first: u64,
    is_complete: bool,
    listing: Option<Listing>,
}

/// A listing that is being read.
#[derive(Clone, Debug, Default)]
struct Listing {
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    end: u64,
}

impl Mirror {
    /// Whether all of the topic was read.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Offset behind the last record read.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Offset from which on records are kept in order.
    pub fn first_offset(&self) -> u64 {
        self.first
    }

    /// Takes in a page of a listing that was read behind a key, or is the first.
    pub fn apply_page(&mut self, after: Option<&[u8]>, page: &NewestPage) {
        let mut listing = match (after, self.listing.take()) {
            (None, _) => Listing {
                end: page.end,
                ..Listing::default()
            },
            (Some(_), Some(listing)) => listing,
            // Its beginning was never read.
            (Some(_), None) => return,
        };
        for (offset, record) in &page.records {
            let newest = (*offset, record.value.clone());
            listing.newest.insert(record.key.clone(), newest);
        }
        // Pages are no snapshot: what came since the first one is read again.
        listing.end = listing.end.min(page.end);
        if page.more_after.is_some() {
            self.listing = Some(listing);
            return;
        }
        self.newest = listing.newest;
        self.recent.clear();
        self.end = listing.end;
        self.first = listing.end;
        self.is_complete = true;
    }

    /// Takes in what was read from an offset on. What leaves a gap makes it useless until it is
    /// listed anew.
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
        if self.recent.len() > MOST_RECENT {
            self.recent.pop_front();
            self.first = self.recent.front().map_or(self.end, |(first, _)| *first);
        }
    }

    /// A page of the newest records by key; none before all was read.
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

    /// What is known behind an offset.
    pub fn read(&self, from: u64) -> ReadResult {
        if !self.is_complete || from > self.end {
            return ReadResult::Ahead;
        }
        if from < self.first {
            return ReadResult::Truncated;
        }
        let skipped = (from - self.first) as usize;
        let records: Vec<(u64, KeyedRecord)> = self.recent.iter().skip(skipped).cloned().collect();
        match records.is_empty() {
            true => ReadResult::Empty,
            false => ReadResult::Records(records),
        }
    }
}

//! Which published changes count: a pure function of the log's prefix.
//!
//! Every reader folds the same records in the same order and so accepts the
//! same ones; racing operators get exactly one winner without a coordinator.

use crate::config::ConfigDocument;
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// Name of the stream that carries the changes.
pub const CONFIG_STREAM: &str = "config";

/// One record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Version that the operator saw when editing.
    pub based_on: u64,
    /// Unique key of this attempt, by which a lost answer is settled.
    pub change_key: String,
    /// Who published it.
    pub author: String,
    /// The whole new document, TOML.
    pub document: String,
}

/// What became of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// In force as this version.
    Accepted(u64),
    /// Another change came first; the version now in force.
    OutOfDate(u64),
    /// Not a valid change.
    Invalid(String),
}

/// State after folding a prefix of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfigState {
    /// Number of accepted changes.
    pub version: u64,
    /// Offset of the next record to fold.
    pub next_offset: u64,
    /// Key of the change in force.
    pub change_key: String,
    /// The document's text, as published.
    pub text: String,
    /// The document in force.
    pub document: ConfigDocument,
}

impl ConfigState {
    /// Folds the record at `offset`. Records out of sequence are ignored,
    /// which makes repeated delivery harmless.
    pub fn apply_record(&mut self, offset: u64, data: &str) -> Option<ChangeOutcome> {
        if offset != self.next_offset {
            return None;
        }
        self.next_offset += 1;
        Some(self.apply_change(data))
    }

    fn apply_change(&mut self, data: &str) -> ChangeOutcome {
        let change: ConfigChange = match serde_json::from_str(data) {
            Ok(change) => change,
            Err(error) => return ChangeOutcome::Invalid(error.to_string()),
        };
        if change.based_on != self.version {
            return ChangeOutcome::OutOfDate(self.version);
        }
        match ConfigDocument::parse(&change.document) {
            Err(error) => ChangeOutcome::Invalid(error.to_string()),
            Ok(document) => {
                self.version += 1;
                self.change_key = change.change_key;
                self.text = change.document;
                self.document = document;
                ChangeOutcome::Accepted(self.version)
            }
        }
    }

    /// Takes over a peer's state if it folds a longer prefix. Prefixes of one
    /// log cannot disagree, so the longer one is the newer one.
    pub fn adopt_if_newer(&mut self, other: ConfigState) -> bool {
        let newer = other.next_offset > self.next_offset;
        if newer {
            *self = other;
        }
        newer
    }
}

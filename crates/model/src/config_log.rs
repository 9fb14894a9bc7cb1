//! The log of configuration changes, and which of them are accepted.
//!
//! Acceptance is a pure function of the log's prefix. All readers apply the same
//! records in the same order and so accept the same ones. If operators publish
//! concurrently, exactly one of them wins, without a coordinator.

use crate::config::ConfigDocument;
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// Name of the log stream that holds the configuration changes.
pub const CONFIG_STREAM: &str = "config";

/// A record of the stream: a new version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Version that the operator edited. The change is accepted only if this is
    /// still the version in use.
    pub based_on: u64,
    /// Unique key of the change, by which its publisher finds the outcome if the
    /// answer to the append was lost.
    pub change_key: String,
    /// Author of the change.
    pub author: String,
    /// The whole new document in TOML.
    pub document: String,
}

/// Outcome of a record of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was accepted as this version.
    Accepted(u64),
    /// The change is based on another version than the one in use, which is
    /// given here.
    OutOfDate(u64),
    /// The record or its document is not valid, for the given reason.
    Invalid(String),
}

/// State after applying a prefix of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfigState {
    /// Number of accepted changes.
    pub version: u64,
    /// Offset of the next record to apply.
    pub next_offset: u64,
    /// Key of the change that made the version in use.
    pub change_key: String,
    /// Text of the document in use, as published.
    pub text: String,
    /// The document in use, parsed.
    pub document: ConfigDocument,
}

impl ConfigState {
    /// Applies the record at `offset`. Records out of sequence are ignored and
    /// return `None`, which makes repeated delivery harmless.
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

    /// Replaces this state by a peer's if the peer's covers a longer prefix of the
    /// log. Prefixes of one log cannot disagree, so the longer one is newer. Returns
    /// whether the state was replaced.
    pub fn adopt_if_newer(&mut self, other: ConfigState) -> bool {
        let is_newer = other.next_offset > self.next_offset;
        if is_newer {
            *self = other;
        }
        is_newer
    }
}

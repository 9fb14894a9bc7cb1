//! Labels and the selectors that match them.

use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Labels of an engine, a machine or a program: name to value.
pub type Labels = BTreeMap<String, String>;

/// How one requirement compares a label, as operators know it from label
/// selectors elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(rename_all = "snake_case")]
pub enum Operator {
    /// The label is present and its value is listed.
    In,
    /// The label is absent or its value is not listed.
    NotIn,
    /// The label is present; no values may be listed.
    Exists,
    /// The label is absent; no values may be listed.
    DoesNotExist,
}

/// One condition on one label.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// Name of the label.
    pub key: String,
    /// The comparison.
    pub operator: Operator,
    /// Values for `in` and `not_in`.
    #[serde(default)]
    pub values: Vec<String>,
}

impl Requirement {
    /// Whether the labels meet this condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.key);
        let listed = value.is_some_and(|value| self.values.contains(value));
        match self.operator {
            Operator::In => listed,
            Operator::NotIn => !listed,
            Operator::Exists => value.is_some(),
            Operator::DoesNotExist => value.is_none(),
        }
    }

    /// What is wrong with this condition, if anything.
    pub fn validation_error(&self) -> Option<String> {
        let needs_values = matches!(self.operator, Operator::In | Operator::NotIn);
        if self.key.is_empty() {
            return Some("a requirement has an empty key".to_owned());
        }
        if needs_values == self.values.is_empty() {
            let wanted = if needs_values {
                "at least one value"
            } else {
                "no values"
            };
            return Some(format!(
                "the operator on label {:?} takes {wanted}",
                self.key
            ));
        }
        None
    }
}

/// A selector: all requirements must hold; an empty selector matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(transparent)]
pub struct Selector(pub Vec<Requirement>);

impl Selector {
    /// Whether the labels meet every requirement.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.0.iter().all(|requirement| requirement.matches(labels))
    }
}

//! Labels, and selectors that match them.

use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Labels of a machine or a program, from name to value.
pub type Labels = BTreeMap<String, String>;

/// How a requirement compares a label. The operators are those of Kubernetes label
/// selectors.
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

/// A condition on a label.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// Name of the label.
    pub key: String,
    /// How the label is compared.
    pub operator: Operator,
    /// Values for `in` and `not_in`; empty for the other operators.
    #[serde(default)]
    pub values: Vec<String>,
}

impl Requirement {
    /// Returns whether the labels meet this condition.
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

    /// Returns why this requirement is not valid, or `None` if it is.
    pub fn validation_error(&self) -> Option<String> {
        let needs_values = matches!(self.operator, Operator::In | Operator::NotIn);
        if self.key.is_empty() {
            return Some("a requirement has an empty key".to_owned());
        }
        if needs_values == self.values.is_empty() {
            let expected = if needs_values {
                "at least one value"
            } else {
                "no values"
            };
            return Some(format!(
                "the operator on label {:?} takes {expected}",
                self.key
            ));
        }
        None
    }
}

/// Requirements, all of which the labels have to meet. An empty selector matches
/// everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(transparent)]
pub struct Selector(pub Vec<Requirement>);

impl Selector {
    /// Returns whether the labels meet every requirement.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.0.iter().all(|requirement| requirement.matches(labels))
    }
}

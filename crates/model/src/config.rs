//! The configuration document that operators publish: labels and rules.

use crate::labels::{Labels, Operator, Requirement, Selector};
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Highest priority a rule may give; 0 is the lowest.
pub const MAX_PRIORITY: u8 = 100;
/// Priority of work that no rule matches.
pub const DEFAULT_PRIORITY: u8 = 50;

/// Extra labels for machines by name, on top of the platform's own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct MachineLabels {
    /// Names of machines.
    pub machines: Vec<String>,
    /// Labels to add; they replace equal names.
    pub labels: Labels,
}

/// What a rule does with engines that it selects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Matching programs may go to matching engines, with the rule's priority.
    #[default]
    Allow,
    /// Matching programs may not go to matching engines.
    Deny,
    /// Matching engines get no new work.
    Drain,
}

/// Which programs may go to which machines, and how urgently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name, shown by `fieldhook explain`.
    pub name: String,
    /// What the rule does.
    #[serde(default)]
    pub effect: Effect,
    /// Programs that the rule applies to (labels of the program and `tenant`).
    #[serde(default)]
    pub programs: Selector,
    /// Engines or servers that the rule applies to.
    #[serde(default)]
    pub machines: Selector,
    /// Priority of the work, 0 to 100; the highest of the matching rules counts.
    #[serde(default)]
    pub priority: Option<u8>,
}

/// The whole document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Labels of machines.
    #[serde(default)]
    pub labels: Vec<MachineLabels>,
    /// Rules. Without any `allow` rule for a machine, everything may go there.
    #[serde(default)]
    pub rules: Vec<Rule>,
}

/// Why a document is not valid; the message names the place and the remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// Not TOML, or unknown or missing keys. Carries the parser's message with
    /// line and column.
    Syntax(String),
    /// Two rules share a name.
    DuplicateRule(String),
    /// A requirement cannot be evaluated.
    Requirement {
        /// Name of the rule.
        rule: String,
        /// What is wrong.
        problem: String,
    },
    /// A priority is outside 0 to 100.
    Priority {
        /// Name of the rule.
        rule: String,
        /// The value found.
        value: u8,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(message) => write!(
                formatter,
                "{message}\nremedy: correct the line; docs/OPERATIONS.md lists every key"
            ),
            Self::DuplicateRule(rule) => write!(
                formatter,
                "two rules are named {rule:?}; remedy: give each rule its own name"
            ),
            Self::Requirement { rule, problem } => write!(
                formatter,
                "rule {rule:?}: {problem}; remedy: correct the requirement of this rule"
            ),
            Self::Priority { rule, value } => write!(
                formatter,
                "rule {rule:?}: priority {value} is not allowed; remedy: use 0 to {MAX_PRIORITY}"
            ),
        }
    }
}

impl std::error::Error for ConfigError {}

impl ConfigDocument {
    /// Parses and validates a TOML document.
    ///
    /// # Errors
    /// The first problem found, with its place and the remedy.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let document: Self =
            toml::from_str(text).map_err(|error| ConfigError::Syntax(error.to_string()))?;
        document.validate()?;
        Ok(document)
    }

    /// Checks what the syntax alone does not.
    ///
    /// # Errors
    /// The first problem found.
    pub fn validate(&self) -> Result<(), ConfigError> {
        for (index, rule) in self.rules.iter().enumerate() {
            if self.rules[..index]
                .iter()
                .any(|earlier| earlier.name == rule.name)
            {
                return Err(ConfigError::DuplicateRule(rule.name.clone()));
            }
            rule.validate()?;
        }
        Ok(())
    }

    /// Adds a rule in place of one of the same name.
    pub fn upsert_rule(&mut self, rule: Rule) {
        self.remove_rule(&rule.name);
        self.rules.push(rule);
    }

    /// Removes the rule of a name, if there is one.
    pub fn remove_rule(&mut self, name: &str) {
        self.rules.retain(|rule| rule.name != name);
    }

    /// Labels of a machine: the platform's own, its name and zone, and the
    /// document's.
    pub fn machine_labels(&self, name: &str, zone: &str, own: &Labels) -> Labels {
        let mut labels = own.clone();
        labels.insert("name".to_owned(), name.to_owned());
        labels.insert("zone".to_owned(), zone.to_owned());
        for entry in &self.labels {
            if entry.machines.iter().any(|machine| machine == name) {
                labels.extend(entry.labels.clone());
            }
        }
        labels
    }
}

impl Rule {
    /// A rule that gives no new work to machines with this label.
    pub fn drain(name: &str, label: &str, value: &str) -> Self {
        let requirement = Requirement {
            key: label.to_owned(),
            operator: Operator::In,
            values: vec![value.to_owned()],
        };
        Self {
            name: name.to_owned(),
            effect: Effect::Drain,
            programs: Selector::default(),
            machines: Selector(vec![requirement]),
            priority: None,
        }
    }

    fn validate(&self) -> Result<(), ConfigError> {
        let requirements = self.programs.0.iter().chain(&self.machines.0);
        if let Some(problem) = requirements
            .filter_map(|item| item.validation_error())
            .next()
        {
            return Err(ConfigError::Requirement {
                rule: self.name.clone(),
                problem,
            });
        }
        match self.priority {
            Some(value) if value > MAX_PRIORITY => Err(ConfigError::Priority {
                rule: self.name.clone(),
                value,
            }),
            _ => Ok(()),
        }
    }
}

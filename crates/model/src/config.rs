//! The configuration document that operators publish: labels and placement rules.

use crate::labels::{Labels, Operator, Requirement, Selector};
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Highest priority that a rule may set; 0 is the lowest. In the platform's
/// headers the order is the opposite: there, 0 is the most urgent.
pub const MAX_PRIORITY: u8 = 100;
/// Priority of calls for which no rule sets one.
pub const DEFAULT_PRIORITY: u8 = 50;

/// Additional labels for machines, selected by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct MachineLabels {
    /// Names of machines.
    pub machines: Vec<String>,
    /// Labels to add; they override the platform's labels of the same name.
    pub labels: Labels,
}

/// Effect of a rule on the programs and machines that it selects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Selected programs may run on selected machines, with the rule's priority.
    #[default]
    Allow,
    /// Selected programs may not run on selected machines.
    Deny,
    /// Selected machines get no new work from any program.
    Drain,
}

/// A placement rule: which programs may run on which machines, and with which
/// priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name, shown by `fieldhook explain`.
    pub name: String,
    /// Effect of the rule.
    #[serde(default)]
    pub effect: Effect,
    /// Programs that the rule selects, by the program's labels and `tenant`.
    #[serde(default)]
    pub programs: Selector,
    /// Engines and servers that the rule selects, by their labels.
    #[serde(default)]
    pub machines: Selector,
    /// Priority of the calls, 0 to 100; the highest of all matching rules applies.
    #[serde(default)]
    pub priority: Option<u8>,
}

/// The configuration document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Additional labels of machines.
    #[serde(default)]
    pub labels: Vec<MachineLabels>,
    /// Placement rules. A program that no `allow` rule selects may run on every
    /// machine that no other rule denies or drains.
    #[serde(default)]
    pub rules: Vec<Rule>,
}

/// Why a document is not valid. The message names the location and the remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// The document is not TOML, or keys are unknown or missing. Carries the
    /// parser's message with line and column.
    Syntax(String),
    /// Two rules have the same name, which is given here.
    DuplicateRule(String),
    /// A requirement is not valid.
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
    /// The first problem found, with its location and the remedy.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let document: Self =
            toml::from_str(text).map_err(|error| ConfigError::Syntax(error.to_string()))?;
        document.validate()?;
        Ok(document)
    }

    /// Checks what parsing alone doesn't: names, requirements and priorities.
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

    /// Adds a rule, replacing any rule of the same name.
    pub fn upsert_rule(&mut self, rule: Rule) {
        self.remove_rule(&rule.name);
        self.rules.push(rule);
    }

    /// Removes the rule with a name, if there is one.
    pub fn remove_rule(&mut self, name: &str) {
        self.rules.retain(|rule| rule.name != name);
    }

    /// Returns the labels of a machine: those of the platform, its name and zone,
    /// and those of this document.
    pub fn machine_labels(&self, name: &str, zone: &str, platform_labels: &Labels) -> Labels {
        let mut labels = platform_labels.clone();
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
    /// Creates a rule that drains the machines with a label.
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

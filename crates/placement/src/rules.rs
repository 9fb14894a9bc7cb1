//! Evaluation of the configuration's rules for a program and a machine.

use fieldhook_model::config::{ConfigDocument, DEFAULT_PRIORITY, Effect, Rule};
use fieldhook_model::labels::Labels;

/// Result of evaluating the rules for a program and a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleEvaluation {
    /// Whether the machine may serve the program.
    pub allowed: bool,
    /// Priority of the program's calls on the machine.
    pub priority: u8,
    /// Names of the rules that matched, in the order of the document.
    pub matched: Vec<String>,
}

/// Evaluates all rules for a program and a machine, given by their labels.
///
/// `deny` and `drain` take precedence over `allow`. A program that is selected by
/// any `allow` rule may only run on machines that one of these rules selects.
pub fn evaluate_rules(
    document: &ConfigDocument,
    program: &Labels,
    machine: &Labels,
) -> RuleEvaluation {
    let mut matched = Vec::new();
    let mut denied = false;
    let mut restricted = false;
    let mut priority = None;
    for rule in &document.rules {
        let selects_program = rule.programs.matches(program);
        restricted |= selects_program && rule.effect == Effect::Allow;
        if !applies(rule, selects_program, machine) {
            continue;
        }
        matched.push(rule.name.clone());
        match rule.effect {
            Effect::Allow => {
                priority = priority.max(Some(rule.priority.unwrap_or(DEFAULT_PRIORITY)))
            }
            Effect::Deny | Effect::Drain => denied = true,
        }
    }
    RuleEvaluation {
        allowed: !denied && (!restricted || priority.is_some()),
        priority: priority.unwrap_or(DEFAULT_PRIORITY),
        matched,
    }
}

/// Whether a rule applies; a `drain` rule applies to a machine for all programs.
fn applies(rule: &Rule, selects_program: bool, machine: &Labels) -> bool {
    let program_matches = selects_program || rule.effect == Effect::Drain;
    program_matches && rule.machines.matches(machine)
}

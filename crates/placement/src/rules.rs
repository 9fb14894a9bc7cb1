//! What the configuration says of one program and one machine.

use fieldhook_model::config::{ConfigDocument, DEFAULT_PRIORITY, Effect, Rule};
use fieldhook_model::labels::Labels;

/// What the configuration says of one program and one machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleEvaluation {
    /// Whether the work may go there.
    pub allowed: bool,
    /// Priority of the work there.
    pub priority: u8,
    /// Names of the rules that matched, in the document's order.
    pub matched: Vec<String>,
}

/// Evaluates all rules. `deny` and `drain` win over `allow`. A program that
/// some `allow` rule selects may only go where one of these rules points.
pub fn evaluate_rules(
    document: &ConfigDocument,
    program: &Labels,
    machine: &Labels,
) -> RuleEvaluation {
    let mut matched = Vec::new();
    let mut barred = false;
    let mut confined = false;
    let mut priority = None;
    for rule in &document.rules {
        let for_program = rule.programs.matches(program);
        confined |= for_program && rule.effect == Effect::Allow;
        if !applies(rule, for_program, machine) {
            continue;
        }
        matched.push(rule.name.clone());
        match rule.effect {
            Effect::Allow => {
                priority = priority.max(Some(rule.priority.unwrap_or(DEFAULT_PRIORITY)))
            }
            Effect::Deny | Effect::Drain => barred = true,
        }
    }
    RuleEvaluation {
        allowed: !barred && (!confined || priority.is_some()),
        priority: priority.unwrap_or(DEFAULT_PRIORITY),
        matched,
    }
}

/// Draining concerns the machine alone, whoever asks.
fn applies(rule: &Rule, for_program: bool, machine: &Labels) -> bool {
    let program_fits = for_program || rule.effect == Effect::Drain;
    program_fits && rule.machines.matches(machine)
}

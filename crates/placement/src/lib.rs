//! Which engine serves a call: rules bound the choice, expected finish time
//! decides it. Pure.

mod choice;
mod cost;
mod rotation;
mod rules;

pub use choice::{Choice, EngineView, Refusal, Work, choose};
pub use cost::{Estimate, Need, estimate};
pub use rotation::Rotation;
pub use rules::{RuleEvaluation, evaluate_rules};

//! Which engine serves a call: rules bound the choice, expected finish time
//! decides it. Pure.

mod cost;
mod rotation;
mod rules;
mod selection;

pub use cost::{CallDemand, Estimate, estimate};
pub use rotation::Rotation;
pub use rules::{RuleEvaluation, evaluate_rules};
pub use selection::{EngineView, PlacementError, PlacementRequest, Selection, select_engine};

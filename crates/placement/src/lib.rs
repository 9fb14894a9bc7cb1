//! Placement of calls on engines: rules decide which engines are allowed, the
//! expected finish time decides among them. Performs no I/O.

mod cost;
mod rotation;
mod rules;
mod selection;

pub use cost::{CallDemand, Estimate, estimate};
pub use rotation::Rotation;
pub use rules::{RuleEvaluation, evaluate_rules};
pub use selection::{EngineView, PlacementError, PlacementRequest, Selection, select_engine};

//! Selection of an engine among those that the rules allow.

use crate::cost::{CallDemand, Estimate, estimate};
use crate::rules::{RuleEvaluation, evaluate_rules};
use fieldhook_model::config::ConfigDocument;
use fieldhook_model::labels::Labels;
use fieldhook_model::platform::EngineLoad;
use std::collections::BTreeMap;

/// Label with which the platform names the model that an engine has loaded.
const MODEL_LABEL: &str = "model";

/// An engine as this daemon knows it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// IP and port.
    pub address: String,
    /// Labels of the platform and of the configuration.
    pub labels: Labels,
    /// Last reported load.
    pub load: EngineLoad,
    /// Calls that this daemon has running on the engine.
    pub assigned: u32,
    /// Whether the platform announced that the engine is leaving.
    pub leaving: bool,
    /// Whether the engine answered recently.
    pub reachable: bool,
}

/// A call to place.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Labels of the program, including its tenant.
    pub labels: Labels,
    /// Requested model.
    pub model: String,
    /// Estimated tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub new_tokens: u64,
    /// Tokens of the program that each engine is expected to have cached, by
    /// address.
    pub cached_tokens: BTreeMap<String, u64>,
    /// Addresses of engines on which this call already failed.
    pub excluded: Vec<String>,
}

/// The selected engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selection {
    /// IP and port.
    pub address: String,
    /// Priority given by the rules.
    pub priority: u8,
    /// Cost estimate that decided the selection.
    pub estimate: Estimate,
}

/// Why no engine could be selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No available engine has the model and is allowed by the rules.
    NoEngine,
    /// The queues of all allowed engines are full. Carries the time after which
    /// to retry, in milliseconds.
    Overloaded(u64),
}

/// Limit of running and waiting calls on an engine, in full batches.
const QUEUE_LIMIT_BATCHES: u32 = 4;

/// Selects the engine with the earliest expected finish time.
///
/// # Errors
/// No engine is allowed, or all are overloaded.
pub fn select_engine(
    document: &ConfigDocument,
    engines: &[EngineView],
    request: &PlacementRequest,
) -> Result<Selection, PlacementError> {
    let capable = engines.iter().filter(|engine| can_serve(engine, request));
    let evaluated = capable.map(|engine| {
        (
            engine,
            evaluate_rules(document, &request.labels, &engine.labels),
        )
    });
    let allowed: Vec<(&EngineView, RuleEvaluation)> = evaluated
        .filter(|(_, evaluation)| evaluation.allowed)
        .collect();
    if allowed.is_empty() {
        return Err(PlacementError::NoEngine);
    }
    let candidates: Vec<&(&EngineView, RuleEvaluation)> = allowed
        .iter()
        .filter(|(engine, _)| has_capacity(engine))
        .collect();
    let best = candidates
        .into_iter()
        .map(|(engine, evaluation)| candidate(engine, evaluation, request))
        .min_by_key(|selection| (selection.estimate.total_us(), selection.address.clone()));
    best.ok_or_else(|| PlacementError::Overloaded(shortest_wait_ms(&allowed)))
}

fn can_serve(engine: &EngineView, request: &PlacementRequest) -> bool {
    engine.reachable
        && !engine.leaving
        && !engine.load.leaving
        && !request.excluded.contains(&engine.address)
        && engine.labels.get(MODEL_LABEL) == Some(&request.model)
}

fn has_capacity(engine: &EngineView) -> bool {
    let slots = engine.load.max_running.max(1);
    let present = (engine.load.running + engine.load.waiting).max(engine.assigned);
    present < slots * QUEUE_LIMIT_BATCHES
}

fn candidate(
    engine: &EngineView,
    evaluation: &RuleEvaluation,
    request: &PlacementRequest,
) -> Selection {
    let cached_tokens = request
        .cached_tokens
        .get(&engine.address)
        .copied()
        .unwrap_or(0);
    let demand = CallDemand {
        uncached_tokens: request.prompt_tokens.saturating_sub(cached_tokens),
        new_tokens: request.new_tokens,
        migrates: cached_tokens == 0 && request.cached_tokens.values().any(|tokens| *tokens > 0),
    };
    Selection {
        address: engine.address.clone(),
        priority: evaluation.priority,
        estimate: estimate(&engine.load, engine.assigned, demand),
    }
}

fn shortest_wait_ms(engines: &[(&EngineView, RuleEvaluation)]) -> u64 {
    let waits = engines.iter().map(|(engine, _)| {
        let estimate = estimate(&engine.load, engine.assigned, CallDemand::default());
        estimate.wait_us / 1_000
    });
    waits.min().unwrap_or(0).max(50)
}

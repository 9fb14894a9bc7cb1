//! The choice among the engines that the rules leave.

use crate::cost::{CallDemand, Estimate, estimate};
use crate::rules::{RuleEvaluation, evaluate_rules};
use fieldhook_model::config::ConfigDocument;
use fieldhook_model::labels::Labels;
use fieldhook_model::platform::EngineLoad;
use std::collections::BTreeMap;

/// Label by which the platform says what an engine has loaded.
const MODEL_LABEL: &str = "model";

/// What is known here of an engine.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// IP and port.
    pub address: String,
    /// All its labels.
    pub labels: Labels,
    /// Its last report.
    pub load: EngineLoad,
    /// Calls that this daemon has running there.
    pub assigned: u32,
    /// Whether it goes away.
    pub leaving: bool,
    /// Whether it answered lately.
    pub reachable: bool,
}

/// What is to be placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Labels of the program, with its tenant.
    pub labels: Labels,
    /// Model asked for.
    pub model: String,
    /// Tokens of the whole prompt, as far as known.
    pub prompt_tokens: u64,
    /// Tokens to generate at most.
    pub new_tokens: u64,
    /// Tokens of this program that engines are thought to hold.
    pub cached_tokens: BTreeMap<String, u64>,
    /// Engines that failed this call already.
    pub excluded: Vec<String>,
}

/// The engine chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selection {
    /// IP and port.
    pub address: String,
    /// Priority by the rules.
    pub priority: u8,
    /// The expectation that decided.
    pub estimate: Estimate,
}

/// Why there is no choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No live engine has the model and is allowed.
    NoEngine,
    /// All allowed engines have long queues; when to come back, in milliseconds.
    Overloaded(u64),
}

/// Batches that may wait at an engine before work is refused.
const QUEUE_LIMIT_BATCHES: u32 = 4;

/// Chooses the engine with the earliest expected finish.
///
/// # Errors
/// No engine may or can take the work.
pub fn select_engine(
    document: &ConfigDocument,
    engines: &[EngineView],
    work: &PlacementRequest,
) -> Result<Selection, PlacementError> {
    let able = engines.iter().filter(|engine| can_serve(engine, work));
    let judged = able.map(|engine| {
        (
            engine,
            evaluate_rules(document, &work.labels, &engine.labels),
        )
    });
    let allowed: Vec<(&EngineView, RuleEvaluation)> =
        judged.filter(|(_, verdict)| verdict.allowed).collect();
    if allowed.is_empty() {
        return Err(PlacementError::NoEngine);
    }
    let open: Vec<&(&EngineView, RuleEvaluation)> = allowed
        .iter()
        .filter(|(engine, _)| has_room(engine))
        .collect();
    let best = open
        .into_iter()
        .map(|(engine, verdict)| candidate(engine, verdict, work))
        .min_by_key(|choice| (choice.estimate.total_us(), choice.address.clone()));
    best.ok_or_else(|| PlacementError::Overloaded(shortest_wait_ms(&allowed)))
}

fn can_serve(engine: &EngineView, work: &PlacementRequest) -> bool {
    engine.reachable
        && !engine.leaving
        && !engine.load.leaving
        && !work.excluded.contains(&engine.address)
        && engine.labels.get(MODEL_LABEL) == Some(&work.model)
}

fn has_room(engine: &EngineView) -> bool {
    let slots = engine.load.max_running.max(1);
    let queued = (engine.load.running + engine.load.waiting).max(engine.assigned);
    queued < slots * QUEUE_LIMIT_BATCHES
}

fn candidate(engine: &EngineView, verdict: &RuleEvaluation, work: &PlacementRequest) -> Selection {
    let held = work
        .cached_tokens
        .get(&engine.address)
        .copied()
        .unwrap_or(0);
    let demand = CallDemand {
        uncached_tokens: work.prompt_tokens.saturating_sub(held),
        new_tokens: work.new_tokens,
        migrates: held == 0 && work.cached_tokens.values().any(|tokens| *tokens > 0),
    };
    Selection {
        address: engine.address.clone(),
        priority: verdict.priority,
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

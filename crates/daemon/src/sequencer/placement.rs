//! Chooses the engine or server for an attempt.

use crate::node::Node;
use crate::platform::fleet::{engine_views, servers_for};
use crate::shard::ShardHost;
use fieldhook_model::api::{CallSpec, ModelCall, ServerCall};
use fieldhook_model::error::{CallError, ErrorKind};
use fieldhook_model::ids::ProgramId;
use fieldhook_model::labels::Labels;
use fieldhook_placement::{PlacementError, PlacementRequest, evaluate_rules, select_engine};

/// Retry delay suggested to the caller if no engine or server is available.
const NO_TARGET_RETRY_MS: u64 = 1_000;

/// The engine or server chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// IP address and port.
    pub address: String,
    /// Priority according to the rules.
    pub priority: u8,
}

/// Returns the labels of a program, including its tenant.
fn program_labels(host: &ShardHost, program: ProgramId) -> Labels {
    let state = host.state.borrow();
    let Some(program) = state.programs.get(&program) else {
        return Labels::new();
    };
    let mut labels = program.labels.clone();
    labels.insert("tenant".to_owned(), program.tenant.clone());
    labels
}

/// Chooses the engine or server for an attempt of a call.
///
/// # Errors
/// No engine or server is allowed and available. The error says that the call was not run.
pub fn choose_target(
    node: &Node,
    host: &ShardHost,
    program: ProgramId,
    spec: &CallSpec,
    excluded: &[String],
) -> Result<Target, CallError> {
    match spec {
        CallSpec::Model(model) => choose_engine(node, host, program, model, excluded),
        CallSpec::Server(server) => choose_server(node, host, program, server, excluded),
    }
}

fn choose_engine(
    node: &Node,
    host: &ShardHost,
    program: ProgramId,
    model: &ModelCall,
    excluded: &[String],
) -> Result<Target, CallError> {
    let request = {
        let labels = program_labels(host, program);
        let state = host.state.borrow();
        let record = state.programs.get(&program);
        let counted = record.and_then(|record| record.counted_prompt.as_ref());
        let new_bytes: usize = model
            .messages
            .iter()
            .map(|message| message.content.len())
            .sum();
        PlacementRequest {
            labels,
            model: model.model.clone(),
            prompt_tokens: counted.map_or(0, |counted| counted.tokens) + new_bytes as u64 / 4,
            new_tokens: u64::from(model.max_tokens),
            cached_tokens: record
                .map(|record| record.held_by.clone())
                .unwrap_or_default(),
            excluded: excluded.to_vec(),
        }
    };
    let config = node.config.borrow();
    let selection = select_engine(&config.document, &engine_views(node), &request);
    match selection {
        Ok(selection) => Ok(Target {
            address: selection.address,
            priority: selection.priority,
        }),
        Err(PlacementError::NoEngine) => Err(CallError::not_run(
            ErrorKind::NoTarget,
            format!(
                "no live engine allowed by the rules has model {:?}",
                model.model
            ),
        )
        .retry_after(NO_TARGET_RETRY_MS)),
        Err(PlacementError::Overloaded(wait_ms)) => Err(CallError::not_run(
            ErrorKind::Overloaded,
            "retry after retry_after_ms; all allowed engines have long queues",
        )
        .retry_after(wait_ms)),
    }
}

fn choose_server(
    node: &Node,
    host: &ShardHost,
    program: ProgramId,
    server: &ServerCall,
    excluded: &[String],
) -> Result<Target, CallError> {
    let labels = program_labels(host, program);
    let config = node.config.borrow();
    for machine in servers_for(node, &server.service) {
        let machine_labels =
            config
                .document
                .machine_labels(&machine.name, &machine.zone, &machine.labels);
        let evaluation = evaluate_rules(&config.document, &labels, &machine_labels);
        if evaluation.allowed && !excluded.contains(&machine.address) {
            return Ok(Target {
                address: machine.address,
                priority: evaluation.priority,
            });
        }
    }
    Err(CallError::not_run(
        ErrorKind::NoTarget,
        format!(
            "no live server allowed by the rules offers service {:?}",
            server.service
        ),
    )
    .retry_after(NO_TARGET_RETRY_MS))
}

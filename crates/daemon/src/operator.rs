//! Routes for the operators' client.

use crate::gateway::{error_response, parse_program, send_command};
use crate::node::Node;
use crate::platform::fleet::engine_views;
use crate::sequencer::CommandMessage;
use fieldhook_http::json;
use fieldhook_membership::MemberState;
use fieldhook_model::api::ProgramView;
use fieldhook_model::error::CallError;
use fieldhook_model::operator::{
    ConfigStatus, DaemonStatus, EngineStatus, OwnedShardStatus, PlacementExplanation,
    ProgramSummary, ShardStatus, Status,
};
use fieldhook_placement::{CallDemand, EngineView, estimate, evaluate_rules};
use fieldhook_program::EndReason;
use ntex::web::{self, HttpResponse, ServiceConfig, types};
use std::rc::Rc;

/// Number of output tokens that [`explain`] assumes for a call.
const ASSUMED_OUTPUT_TOKENS: u64 = 64;

/// Registers the routes for operators.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/status", web::get().to(show_status))
        .route("/v1/config", web::get().to(show_config))
        .route("/v1/operator/shards", web::get().to(list_owned))
        .route("/v1/operator/programs", web::get().to(list_programs))
        .route(
            "/v1/operator/programs/{id}",
            web::delete().to(cancel_program),
        )
        .route("/v1/operator/explain/{id}", web::get().to(explain_program));
}

async fn show_config(node: types::State<Rc<Node>>) -> HttpResponse {
    let config = node.config.borrow();
    json(
        200,
        &ConfigStatus {
            version: config.version,
            change_key: config.change_key.clone(),
            next_offset: config.next_offset,
            document: config.text.clone(),
        },
    )
}

async fn show_status(node: types::State<Rc<Node>>) -> HttpResponse {
    json(
        200,
        &Status {
            address: node.id.address.to_string(),
            process: node.id.to_string(),
            config_version: node.config.borrow().version,
            commands_waiting: node.metrics.commands_waiting.get(),
            daemons: daemons(&node),
            shards: shards(&node),
            engines: engines(&node),
        },
    )
}

fn daemons(node: &Node) -> Vec<DaemonStatus> {
    let detector = node.detector.borrow();
    let members = detector.table().members();
    members
        .map(|member| DaemonStatus {
            address: member.id.address.to_string(),
            zone: member.zone.clone(),
            state: state_name(member.state).to_owned(),
        })
        .collect()
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

fn shards(node: &Node) -> Vec<ShardStatus> {
    let claims = (0..node.settings.shards).filter_map(|shard| {
        let claim = node.claims.claim(u32::from(shard))?;
        Some((shard, claim))
    });
    claims
        .map(|(shard, claim)| ShardStatus {
            shard,
            epoch: claim.epoch,
            owner: claim.address.map(|address| address.to_string()),
        })
        .collect()
}

fn engines(node: &Node) -> Vec<EngineStatus> {
    let views = engine_views(node).into_iter();
    views
        .map(|view| EngineStatus {
            address: view.address,
            labels: view.labels,
            running: view.load.running,
            waiting: view.load.waiting,
            cached_tokens: view.load.cached_tokens,
            reachable: view.reachable,
            leaving: view.leaving || view.load.leaving,
        })
        .collect()
}

/// Lists the programs in the shards that this daemon owns.
async fn list_programs(node: types::State<Rc<Node>>) -> HttpResponse {
    let mut lines = Vec::new();
    for host in node.hosts() {
        let state = host.state.borrow();
        lines.extend(state.programs.iter().map(|(id, program)| ProgramSummary {
            program: id.to_string(),
            tenant: program.tenant.clone(),
            phase: if program.is_open() { "open" } else { "ended" }.to_owned(),
            calls: program.calls.len() as u64,
            running_call: program.running_call(),
        }));
    }
    json(200, &lines)
}

async fn cancel_program(node: types::State<Rc<Node>>, id: types::Path<String>) -> HttpResponse {
    let ended = match parse_program(&node, &id) {
        Ok(program) => {
            let message = CommandMessage::End {
                program,
                reason: EndReason::Operator,
            };
            send_command(&node, message).await
        }
        Err(error) => Err(error),
    };
    match ended {
        Ok(_) => json(200, &"ended"),
        Err(error) => error_response(&node, &error),
    }
}

async fn explain_program(node: types::State<Rc<Node>>, id: types::Path<String>) -> HttpResponse {
    match find_program(&node, &id).await {
        Ok(view) => json(200, &explain(&node, &view)),
        Err(error) => error_response(&node, &error),
    }
}

async fn find_program(node: &Rc<Node>, id: &str) -> Result<ProgramView, CallError> {
    let program = parse_program(node, id)?;
    let view = send_command(node, CommandMessage::View(program)).await?;
    view.ok_or_else(|| {
        CallError::not_run(
            fieldhook_model::error::ErrorKind::ProgramUnknown,
            "open the program first",
        )
    })
}

/// Explains, for each engine, whether the rules allow a program to use it and how long a call would
/// take there.
fn explain(node: &Node, program: &ProgramView) -> Vec<PlacementExplanation> {
    let mut labels = program.labels.clone();
    labels.insert("tenant".to_owned(), program.tenant.clone());
    let config = node.config.borrow();
    let bytes: usize = program
        .history
        .iter()
        .map(|message| message.content.len())
        .sum();
    let explain_engine = |engine: EngineView| {
        let evaluation = evaluate_rules(&config.document, &labels, &engine.labels);
        let is_cached = program.held_by.contains(&engine.address);
        let cached_tokens = if is_cached { bytes as u64 / 4 } else { 0 };
        let demand = CallDemand {
            uncached_tokens: bytes as u64 / 4 - cached_tokens,
            new_tokens: ASSUMED_OUTPUT_TOKENS,
            migrates: !is_cached && !program.held_by.is_empty(),
        };
        let expected = estimate(&engine.load, engine.assigned, demand);
        PlacementExplanation {
            allowed: evaluation.allowed,
            rules: evaluation.matched,
            priority: evaluation.priority,
            available: engine.reachable && !engine.leaving && !engine.load.leaving,
            expected_ms: expected.total_us() / 1_000,
            held_tokens: cached_tokens,
            machine: engine.address,
            labels: engine.labels,
        }
    };
    engine_views(node).into_iter().map(explain_engine).collect()
}

/// Lists the shards that this daemon owns.
async fn list_owned(node: types::State<Rc<Node>>) -> HttpResponse {
    let owned: Vec<OwnedShardStatus> = node
        .hosts()
        .iter()
        .map(|host| OwnedShardStatus {
            shard: host.shard,
            epoch: host.epoch,
            applied: host.applied(),
            waiting: host.pending_commands(),
        })
        .collect();
    json(200, &owned)
}

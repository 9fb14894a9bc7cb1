//! Route handlers that open, show and end programs.

use crate::gateway::commands::send_command;
use crate::gateway::input::{
    check_admission, check_key, error_response, invalid_request, parse_program, read_json,
};
use crate::node::Node;
use crate::sequencer::CommandMessage;
use fieldhook_http::json;
use fieldhook_model::api::{OpenProgramRequest, OpenProgramResponse};
use fieldhook_model::error::CallError;
use fieldhook_model::ids::ProgramId;
use fieldhook_program::{EndReason, OpenProgram};
use ntex::web::{HttpResponse, types};
use serde::Serialize;
use std::rc::Rc;

/// Maximum deadline: one week.
const MAX_DEADLINE_MS: u64 = 7 * 24 * 3_600_000;

#[derive(Serialize)]
struct ProgramEnded {
    program: String,
    phase: &'static str,
}

/// Handles `POST /v1/programs`.
pub async fn post_program(node: types::State<Rc<Node>>, payload: types::Payload) -> HttpResponse {
    node.metrics.requests.inc();
    match open_program(&node, payload).await {
        Ok(program) => json(
            201,
            &OpenProgramResponse {
                program: program.to_string(),
            },
        ),
        Err(error) => error_response(&node, &error),
    }
}

async fn open_program(node: &Rc<Node>, payload: types::Payload) -> Result<ProgramId, CallError> {
    check_admission(node)?;
    let request: OpenProgramRequest = read_json(node, payload).await?;
    let open = validate_open(node, request)?;
    let program = open.program;
    send_command(node, CommandMessage::Open(open)).await?;
    Ok(program)
}

fn validate_open(node: &Node, request: OpenProgramRequest) -> Result<OpenProgram, CallError> {
    check_key(&request.request_key)?;
    if request.tenant.is_empty() {
        return Err(invalid_request("name the tenant"));
    }
    let budget =
        u64::try_from(request.budget).map_err(|_| invalid_request("use a budget of 0 or more"))?;
    if !(1..=MAX_DEADLINE_MS).contains(&request.deadline_ms) {
        return Err(invalid_request(format!(
            "use a deadline_ms of 1 to {MAX_DEADLINE_MS}"
        )));
    }
    let parent = match &request.parent {
        Some(text) => Some(parse_program(node, text)?),
        None => None,
    };
    let program = match parent {
        Some(parent) => ProgramId::child(parent, &request.request_key),
        None => ProgramId::root(&request.tenant, &request.request_key, node.settings.shards),
    };
    Ok(OpenProgram {
        program,
        parent,
        tenant: request.tenant,
        labels: request.labels,
        budget,
        deadline_ms: request.deadline_ms,
        max_turns: request.max_turns.unwrap_or(node.settings.limits.max_turns),
    })
}

/// Handles `GET /v1/programs/{id}`.
pub async fn show_program(node: types::State<Rc<Node>>, id: types::Path<String>) -> HttpResponse {
    let result = match parse_program(&node, &id) {
        Ok(program) => send_command(&node, CommandMessage::View(program)).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(view) => json(200, &view),
        Err(error) => error_response(&node, &error),
    }
}

/// Handles `DELETE /v1/programs/{id}`.
pub async fn delete_program(node: types::State<Rc<Node>>, id: types::Path<String>) -> HttpResponse {
    node.metrics.requests.inc();
    let result = match parse_program(&node, &id) {
        Ok(program) => {
            let message = CommandMessage::End {
                program,
                reason: EndReason::Caller,
            };
            send_command(&node, message).await
        }
        Err(error) => Err(error),
    };
    match result {
        Ok(_) => json(
            200,
            &ProgramEnded {
                program: id.into_inner(),
                phase: "ended",
            },
        ),
        Err(error) => error_response(&node, &error),
    }
}

//! Routes to open, show and end programs.

use crate::gateway::commands::ask_owner;
use crate::gateway::input::{
    check_admission, check_key, failure, invalid, parse_program, read_json,
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

/// Longest deadline: a week, in milliseconds.
const LONGEST_DEADLINE_MS: u64 = 7 * 24 * 3_600_000;

#[derive(Serialize)]
struct ProgramEnded {
    program: String,
    phase: &'static str,
}

/// `POST /v1/programs`.
pub async fn post_program(node: types::State<Rc<Node>>, payload: types::Payload) -> HttpResponse {
    node.metrics.requests.inc();
    match open_program(&node, payload).await {
        Ok(program) => json(
            201,
            &OpenProgramResponse {
                program: program.to_string(),
            },
        ),
        Err(error) => failure(&node, &error),
    }
}

async fn open_program(node: &Rc<Node>, payload: types::Payload) -> Result<ProgramId, CallError> {
    check_admission(node)?;
    let request: OpenProgramRequest = read_json(node, payload).await?;
    let open = checked_open(node, request)?;
    let program = open.program;
    ask_owner(node, CommandMessage::Open(open)).await?;
    Ok(program)
}

fn checked_open(node: &Node, request: OpenProgramRequest) -> Result<OpenProgram, CallError> {
    check_key(&request.request_key)?;
    if request.tenant.is_empty() {
        return Err(invalid("name the tenant"));
    }
    let budget = u64::try_from(request.budget).map_err(|_| invalid("use a budget of 0 or more"))?;
    if !(1..=LONGEST_DEADLINE_MS).contains(&request.deadline_ms) {
        return Err(invalid(format!(
            "use a deadline_ms of 1 to {LONGEST_DEADLINE_MS}"
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

/// `GET /v1/programs/{id}`.
pub async fn show_program(node: types::State<Rc<Node>>, id: types::Path<String>) -> HttpResponse {
    let asked = match parse_program(&node, &id) {
        Ok(program) => ask_owner(&node, CommandMessage::View(program)).await,
        Err(error) => Err(error),
    };
    match asked {
        Ok(view) => json(200, &view),
        Err(error) => failure(&node, &error),
    }
}

/// `DELETE /v1/programs/{id}`.
pub async fn delete_program(node: types::State<Rc<Node>>, id: types::Path<String>) -> HttpResponse {
    node.metrics.requests.inc();
    let asked = match parse_program(&node, &id) {
        Ok(program) => {
            let message = CommandMessage::End {
                program,
                reason: EndReason::Caller,
            };
            ask_owner(&node, message).await
        }
        Err(error) => Err(error),
    };
    match asked {
        Ok(_) => json(
            200,
            &ProgramEnded {
                program: id.into_inner(),
                phase: "ended",
            },
        ),
        Err(error) => failure(&node, &error),
    }
}

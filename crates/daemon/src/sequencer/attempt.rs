//! Runs a recorded call, with further attempts until it has an outcome.

use crate::node::Node;
use crate::sequencer::model_attempt::{self, AttemptStart};
use crate::sequencer::placement::choose_target;
use crate::sequencer::server_attempt;
use crate::shard::{LiveCall, ShardHost};
use fieldhook_model::api::{Answer, CallSpec, StreamEvent, Usage};
use fieldhook_model::config::DEFAULT_PRIORITY;
use fieldhook_model::error::{CallError, ErrorKind, Executed};
use fieldhook_model::ids::ProgramId;
use fieldhook_program::{
    Attempt, AttemptCost, Command, FinishCall, NextAttempt, Outcome, Phase, Reply,
};
use ntex::time::{Millis, sleep};
use std::rc::Rc;

const PLACEMENT_RETRY_DELAY: Millis = Millis(100);
const MAX_PLACEMENT_TRIES: u32 = 20;
/// Retry delay suggested to the caller after all attempts failed.
const RETRY_AFTER_FAILURE_MS: u64 = 1_000;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine or server responded.
    Answered {
        /// HTTP status of the server, or 200 for engines.
        status: u16,
        /// The complete output or response body.
        content: String,
        /// Tokens used.
        usage: Usage,
    },
    /// It definitely did not run.
    NotRun,
    /// It may have run, and the call may be repeated.
    MayHaveRun,
    /// A request that is not retryable may have run, and this cannot be determined.
    OutcomeUnknown,
    /// The output is longer than an answer may be.
    TooLong,
    /// This daemon no longer owns the shard. The next owner continues the call.
    OwnershipLost,
}

/// Context of a running call, shared by its attempts.
pub struct RunningCall {
    /// State of the daemon.
    pub node: Rc<Node>,
    /// The owned shard.
    pub host: Rc<ShardHost>,
    /// Output of the call, followed by readers.
    pub live: Rc<LiveCall>,
    /// The program.
    pub program: ProgramId,
    /// Number of the call in its program.
    pub number: u64,
    /// Request key of the caller.
    pub request_key: String,
    /// The request.
    pub spec: CallSpec,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Priority for the engine.
    pub priority: u8,
}

impl RunningCall {
    /// Confirms that this daemon still owns the shard and that the call still runs here. After a
    /// pause of the process this asks the log, because the shard may have got another owner.
    pub async fn confirm_running(&self) -> bool {
        let runs_here = || self.host.live_call(self.program, self.number).is_some();
        runs_here() && self.host.confirm_ownership().await && runs_here()
    }
}

/// Starts the first attempt of a call that has just been recorded.
pub fn start_call(
    node: &Rc<Node>,
    host: &Rc<ShardHost>,
    program: ProgramId,
    number: u64,
    attempt: Attempt,
    priority: u8,
) {
    if let Some(call) = prepare_call(node, host, program, number, priority) {
        ntex::rt::spawn(run(call, attempt, AttemptStart::New));
    }
}

/// Resumes the calls that the previous owner left running.
pub fn resume_calls(node: &Rc<Node>, host: &Rc<ShardHost>) {
    let running: Vec<(ProgramId, u64, Attempt)> = {
        let state = host.state.borrow();
        let open = state
            .programs
            .iter()
            .filter(|(_, program)| program.phase == Phase::Open);
        open.filter_map(|(id, program)| {
            let number = program.running_call()?;
            let attempt = program.call(number)?.attempt.clone();
            Some((*id, number, attempt))
        })
        .collect()
    };
    for (program, number, attempt) in running {
        // The priority that the rules gave the call is not recorded.
        if let Some(call) = prepare_call(node, host, program, number, DEFAULT_PRIORITY) {
            ntex::rt::spawn(run(call, attempt, AttemptStart::TakenOver));
        }
    }
}

fn prepare_call(
    node: &Rc<Node>,
    host: &Rc<ShardHost>,
    program: ProgramId,
    number: u64,
    priority: u8,
) -> Option<RunningCall> {
    let record = host
        .state
        .borrow()
        .programs
        .get(&program)?
        .call(number)?
        .clone();
    Some(RunningCall {
        node: node.clone(),
        host: host.clone(),
        live: host.add_live_call(program, number),
        program,
        number,
        request_key: record.request_key,
        spec: record.spec,
        repeatable: record.repeatable,
        priority,
    })
}

/// Runs attempts until the call has an outcome or ownership is lost.
async fn run(call: RunningCall, mut attempt: Attempt, mut start: AttemptStart) {
    let mut avoid: Vec<String> = Vec::new();
    loop {
        call.node.fleet.borrow_mut().assign(&attempt.target);
        let end = run_attempt(&call, &attempt, start).await;
        call.node.fleet.borrow_mut().unassign(&attempt.target);
        let cost = match end {
            AttemptEnd::Answered {
                status,
                content,
                usage,
            } => {
                let answer = Answer {
                    call_number: call.number,
                    content,
                    status,
                    served_by: attempt.target.clone(),
                    attempts: attempt.number,
                    usage,
                };
                return record_outcome(&call, &attempt, Outcome::Answered(answer)).await;
            }
            AttemptEnd::OutcomeUnknown => {
                return record_outcome(&call, &attempt, Outcome::Failed(unknown_outcome())).await;
            }
            AttemptEnd::TooLong => return fail_call(&call, &attempt, AttemptCost::Full).await,
            AttemptEnd::OwnershipLost => return call.live.wake(),
            AttemptEnd::NotRun => AttemptCost::NotRun,
            AttemptEnd::MayHaveRun => AttemptCost::Full,
        };
        call.node.fleet.borrow_mut().record_failure(&attempt.target);
        avoid.push(attempt.target.clone());
        match next_attempt(&call, &attempt, cost, &avoid).await {
            Some(next) => attempt = next,
            None => return,
        }
        start = AttemptStart::New;
    }
}

async fn run_attempt(call: &RunningCall, attempt: &Attempt, start: AttemptStart) -> AttemptEnd {
    match &call.spec {
        CallSpec::Model(model) => model_attempt::run(call, model, attempt, start).await,
        CallSpec::Server(server) => server_attempt::run(call, server, attempt, start).await,
    }
}

fn unknown_outcome() -> CallError {
    CallError::not_run(
        ErrorKind::OutcomeUnknown,
        "the server did not answer and offers no look-up; check there whether it ran",
    )
    .executed(Executed::Unknown)
}

/// Records the next attempt and returns it. Returns `None` if the call ended or ownership was lost.
async fn next_attempt(
    call: &RunningCall,
    previous: &Attempt,
    cost: AttemptCost,
    avoid: &[String],
) -> Option<Attempt> {
    if previous.number >= call.node.settings.limits.attempts {
        fail_call(call, previous, cost).await;
        return None;
    }
    let Some(target) = find_target(call, avoid).await else {
        fail_call(call, previous, cost).await;
        return None;
    };
    call.node.metrics.further_attempts.inc();
    let prefix = delivered_text(call, previous);
    let command = Command::NextAttempt(NextAttempt {
        program: call.program,
        call_number: call.number,
        abandoned_attempt: previous.number,
        cost,
        target,
        prefix,
    });
    match call.host.propose(command).await {
        Ok(Reply::Dispatch(attempt)) => Some(attempt),
        Ok(Reply::Refused(error)) => {
            finish_call(call, StreamEvent::Failed(error));
            None
        }
        Ok(_) => {
            // The program ended in the meantime; readers get the outcome from the record.
            call.host.remove_live_call(call.program, call.number);
            call.live.wake();
            None
        }
        Err(_) => {
            call.live.wake();
            None
        }
    }
}

/// Returns the longest text that readers may already have: the output of this owner, or what
/// gateways report as delivered under a previous owner.
fn delivered_text(call: &RunningCall, previous: &Attempt) -> String {
    let own = call.live.text().clone();
    let relayed = call.live.delivered().unwrap_or_default();
    let longest = if relayed.len() > own.len() {
        relayed
    } else {
        own
    };
    if longest.len() > previous.prefix.len() {
        longest
    } else {
        previous.prefix.clone()
    }
}

/// Chooses a target for the next attempt, if possible not one of `avoid`. Retries for a while if
/// there is none.
async fn find_target(call: &RunningCall, avoid: &[String]) -> Option<String> {
    for _ in 0..MAX_PLACEMENT_TRIES {
        let preferred = choose_target(&call.node, &call.host, call.program, &call.spec, avoid);
        let target = preferred
            .or_else(|_| choose_target(&call.node, &call.host, call.program, &call.spec, &[]));
        if let Ok(target) = target {
            return Some(target.address);
        }
        if !call.confirm_running().await {
            return None;
        }
        sleep(PLACEMENT_RETRY_DELAY).await;
    }
    None
}

/// Records that the call failed after its last attempt.
async fn fail_call(call: &RunningCall, attempt: &Attempt, cost: AttemptCost) {
    let executed = match cost {
        AttemptCost::NotRun if attempt.number == 1 => Executed::No,
        _ => Executed::Unknown,
    };
    let error = CallError::not_run(
        ErrorKind::TargetFailed,
        "issue the next call number with the same messages; engines or servers failed",
    );
    let error = error.executed(executed).retry_after(RETRY_AFTER_FAILURE_MS);
    record_outcome(call, attempt, Outcome::Failed(error)).await;
}

/// Records the outcome. Readers get it only once it is durable.
async fn record_outcome(call: &RunningCall, attempt: &Attempt, outcome: Outcome) {
    let event = match &outcome {
        Outcome::Answered(answer) => StreamEvent::Done(answer.clone()),
        Outcome::Failed(error) => StreamEvent::Failed(error.clone()),
    };
    let command = Command::FinishCall(FinishCall {
        program: call.program,
        call_number: call.number,
        attempt: attempt.number,
        outcome,
    });
    match call.host.propose(command).await {
        Ok(Reply::Done) => finish_call(call, event),
        Ok(_) => {
            call.host.remove_live_call(call.program, call.number);
            call.live.wake();
        }
        Err(_) => call.live.wake(),
    }
}

fn finish_call(call: &RunningCall, event: StreamEvent) {
    call.live.finish(event);
    call.host.remove_live_call(call.program, call.number);
}

//! Load generation: many concurrent programs, each checked by its caller.

use crate::caller::{CallOutcome, Caller, Violation};
use fieldhook_http::HttpClient;
use fieldhook_model::api::OpenProgramRequest;
use fieldhook_model::error::{CallError, Executed};
use hdrhistogram::Histogram;
use ntex::time::{Millis, sleep};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Programs of one kind that run concurrently.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Tenant of the programs.
    pub tenant: String,
    /// Labels of the programs.
    pub labels: BTreeMap<String, String>,
    /// Model that is called.
    pub model: String,
    /// Service that receives the requests that are not repeatable; empty if there are none.
    pub service: String,
    /// Number of concurrent programs.
    pub programs: usize,
    /// Number of calls of each program.
    pub calls: u32,
    /// Every n-th call goes to the service; 0 for none.
    pub service_every: u32,
    /// Minimum size of each user message.
    pub message_bytes: usize,
    /// Number of tokens of each answer.
    pub max_tokens: u32,
    /// Upper bound of the random pause after each call, in milliseconds.
    pub pause_ms: u32,
    /// Budget of each program.
    pub budget: i64,
    /// Prefix of the request keys; distinguishes several loads on one cluster.
    pub key_prefix: String,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            tenant: "tambak".to_owned(),
            labels: BTreeMap::new(),
            model: "chat".to_owned(),
            service: "instalments".to_owned(),
            programs: 12,
            calls: 8,
            service_every: 3,
            message_bytes: 40,
            max_tokens: 20,
            pause_ms: 60,
            budget: 1_000_000,
            key_prefix: "run".to_owned(),
        }
    }
}

/// Outcome of a request that is not repeatable, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// Answered, so it ran.
    Answered,
    /// Refused, and reported as not run.
    NotRun,
    /// Not known whether it ran.
    Unknown,
}

/// Results of a load, as seen by the callers.
pub struct LoadStats {
    /// Number of calls that were answered.
    pub answered: u64,
    /// Errors of the calls that were refused or failed.
    pub refused: Vec<CallError>,
    /// Causes of calls and requests that never got a final response.
    pub unanswered: Vec<String>,
    /// Incorrect answers.
    pub violations: Vec<Violation>,
    /// Ids of programs whose history in the system differs from the caller's copy.
    pub history_mismatches: Vec<String>,
    /// Ids of programs that spent or reserved more than their budget.
    pub over_budget: Vec<String>,
    /// Number of programs whose end was acknowledged.
    pub finished: u64,
    /// Ids of all programs.
    pub programs: Vec<String>,
    /// Outcomes of requests that are not repeatable, by the request key at the server.
    pub server_outcomes: BTreeMap<String, ServerOutcome>,
    /// Number of retries.
    pub retries: u64,
    /// Number of streams that were interrupted or timed out.
    pub interruptions: u64,
    /// Time to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Longest pause within each streamed answer, in microseconds.
    pub pauses: Histogram<u64>,
    /// Duration of whole programs, in microseconds.
    pub program_time: Histogram<u64>,
    /// Prompt tokens of all answers.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engines had cached.
    pub cached_tokens: u64,
}

const MAX_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

fn histogram() -> Histogram<u64> {
    // Cannot fail: the bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|error| panic!("{error}"))
}

impl Default for LoadStats {
    fn default() -> Self {
        Self {
            answered: 0,
            refused: Vec::new(),
            unanswered: Vec::new(),
            violations: Vec::new(),
            history_mismatches: Vec::new(),
            over_budget: Vec::new(),
            finished: 0,
            programs: Vec::new(),
            server_outcomes: BTreeMap::new(),
            retries: 0,
            interruptions: 0,
            first_token: histogram(),
            pauses: histogram(),
            program_time: histogram(),
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }
}

fn micros(span: Duration) -> u64 {
    (span.as_micros() as u64).clamp(1, MAX_US)
}

impl LoadStats {
    fn record_call(&mut self, caller: &Caller, outcome: &CallOutcome) {
        self.retries += u64::from(caller.times.retries);
        self.interruptions += u64::from(caller.times.interruptions);
        if let Some(first) = caller.times.first_token {
            self.first_token.saturating_record(micros(first));
            self.pauses
                .saturating_record(micros(caller.times.longest_pause));
        }
        match outcome {
            CallOutcome::Answered(answer) => {
                self.answered += 1;
                self.prompt_tokens += answer.usage.prompt_tokens;
                self.cached_tokens += answer.usage.cached_tokens;
            }
            CallOutcome::Refused(error) => self.refused.push(error.clone()),
            CallOutcome::NoAnswer(cause) => self.unanswered.push(cause.clone()),
        }
    }

    fn record_server_call(&mut self, caller: &Caller, number: u64, outcome: &CallOutcome) {
        let outcome = match outcome {
            CallOutcome::Answered(_) => ServerOutcome::Answered,
            CallOutcome::Refused(error) if error.executed == Executed::No => ServerOutcome::NotRun,
            _ => ServerOutcome::Unknown,
        };
        let key = format!("{}.{}", caller.program, caller.request_key(number));
        self.server_outcomes.insert(key, outcome);
    }
}

/// A running load and its results so far.
#[derive(Clone)]
pub struct Load {
    /// Results so far.
    pub stats: Rc<RefCell<LoadStats>>,
    running: Rc<RefCell<usize>>,
}

impl Load {
    /// Starts all programs of a workload in the background.
    pub fn start(client: &HttpClient, daemons: &[String], workload: &Workload) -> Self {
        let load = Self {
            stats: Rc::default(),
            running: Rc::new(RefCell::new(workload.programs)),
        };
        for index in 0..workload.programs {
            let (load, client) = (load.clone(), client.clone());
            let (daemons, workload) = (daemons.to_vec(), workload.clone());
            ntex::rt::spawn(async move {
                load.run_program(&client, &daemons, &workload, index).await;
                *load.running.borrow_mut() -= 1;
            });
        }
        load
    }

    /// Takes the results out, leaving empty ones; called after the load has finished.
    pub fn take_stats(&self) -> LoadStats {
        self.stats.take()
    }

    /// Returns whether all programs have ended.
    pub fn is_finished(&self) -> bool {
        *self.running.borrow() == 0
    }

    /// Waits up to `limit` until all programs have ended; returns whether they have.
    pub async fn wait(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while !self.is_finished() && started.elapsed() < limit {
            sleep(Millis(20)).await;
        }
        self.is_finished()
    }

    async fn run_program(
        &self,
        client: &HttpClient,
        daemons: &[String],
        workload: &Workload,
        index: usize,
    ) {
        let started = Instant::now();
        let body = OpenProgramRequest {
            tenant: workload.tenant.clone(),
            labels: workload.labels.clone(),
            budget: workload.budget,
            deadline_ms: 600_000,
            request_key: format!("{}-{index}", workload.key_prefix),
            max_turns: None,
            parent: None,
        };
        let mut caller = match Caller::open_with(client, daemons, &body).await {
            Ok(caller) => caller,
            Err(error) => {
                self.stats
                    .borrow_mut()
                    .unanswered
                    .push(format!("open: {error}"));
                return;
            }
        };
        self.stats
            .borrow_mut()
            .programs
            .push(caller.program.clone());
        for call_index in 1..=workload.calls {
            self.make_call(&mut caller, workload, call_index).await;
            sleep(Millis(fastrand::u32(..=workload.pause_ms))).await;
        }
        self.finish_program(&mut caller, workload, started).await;
    }

    async fn make_call(&self, caller: &mut Caller, workload: &Workload, call_index: u32) {
        let is_service_call =
            workload.service_every > 0 && call_index.is_multiple_of(workload.service_every);
        if is_service_call {
            let number = caller.calls + 1;
            let outcome = caller.call_server(&workload.service, "create", false).await;
            let mut stats = self.stats.borrow_mut();
            stats.record_server_call(caller, number, &outcome);
            stats.record_call(caller, &outcome);
            return;
        }
        let mut content = format!("turn {call_index} of {}: ", caller.program);
        while content.len() < workload.message_bytes {
            content.push_str("lorem ");
        }
        let outcome = caller
            .call_model(&workload.model, &content, workload.max_tokens)
            .await;
        self.stats.borrow_mut().record_call(caller, &outcome);
    }

    async fn finish_program(&self, caller: &mut Caller, workload: &Workload, started: Instant) {
        let view = caller.view().await;
        let ended = caller.end_program().await;
        let mut stats = self.stats.borrow_mut();
        stats.violations.append(&mut caller.violations);
        match view {
            Ok(view) => {
                if view.history != caller.history {
                    stats.history_mismatches.push(caller.program.clone());
                }
                if view.spent + view.reserved > workload.budget as u64 {
                    stats.over_budget.push(caller.program.clone());
                }
            }
            Err(error) => stats.unanswered.push(format!("view: {error}")),
        }
        if ended {
            stats.finished += 1;
        } else {
            stats.unanswered.push(format!("end of {}", caller.program));
        }
        stats
            .program_time
            .saturating_record(micros(started.elapsed()));
    }
}

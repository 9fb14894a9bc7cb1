//! Client for the caller API. Keeps its own copy of the conversation and checks every answer
//! against it.

mod attempt;
mod outcome;

pub use outcome::{CallOutcome, Violation};

use attempt::StreamState;
use fieldhook_emulator::engine::expected_answer;
use fieldhook_http::{HttpClient, SendError};
use fieldhook_model::api::{
    Answer, CallRequest, CallSpec, Message, ModelCall, OpenProgramRequest, OpenProgramResponse,
    ProgramView, ServerCall,
};
use fieldhook_model::error::Executed;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use std::time::{Duration, Instant};

const OPEN_TIMEOUT: Duration = Duration::from_secs(15);
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
const RETRY_PAUSE: Millis = Millis(50);

/// Timings and retries of one call, measured by the caller.
#[derive(Clone, Debug, Default)]
pub struct CallTimes {
    /// Time to the first token of a streamed answer.
    pub first_token: Option<Duration>,
    /// Longest pause between two consecutive deltas of a stream.
    pub longest_pause: Duration,
    /// Time until the call had a final outcome.
    pub total: Duration,
    /// Number of times that the request was sent again.
    pub retries: u32,
    /// Number of times that an open stream was interrupted or timed out.
    pub interruptions: u32,
}

/// Client of one program.
pub struct Caller {
    client: HttpClient,
    daemons: Vec<String>,
    current_daemon: usize,
    /// Id of the program.
    pub program: String,
    /// Number of the last call that was made.
    pub calls: u64,
    /// The caller's own copy of the conversation.
    pub history: Vec<Message>,
    /// Violations found so far.
    pub violations: Vec<Violation>,
    /// Timings of the last call.
    pub times: CallTimes,
}

/// Returns a message with the role `user`.
pub fn user_message(content: impl Into<String>) -> Message {
    Message {
        role: "user".to_owned(),
        content: content.into(),
    }
}

fn open_request(tenant: &str, key: &str, budget: i64) -> OpenProgramRequest {
    OpenProgramRequest {
        tenant: tenant.to_owned(),
        labels: Default::default(),
        budget,
        deadline_ms: 600_000,
        request_key: key.to_owned(),
        max_turns: None,
        parent: None,
    }
}

/// Result of sending a call's request once.
enum AttemptOutcome {
    Final(CallOutcome),
    /// The request has to be sent again; holds the cause.
    Retry(String),
}

impl Caller {
    /// Opens a program; retries with the same request key, each time at the next daemon.
    ///
    /// # Errors
    /// No daemon answered in time, or the request was refused with a 4xx status.
    pub async fn open(
        client: &HttpClient,
        daemons: &[String],
        tenant: &str,
        key: &str,
        budget: i64,
    ) -> Result<Self, SendError> {
        Self::open_with(client, daemons, &open_request(tenant, key, budget)).await
    }

    /// Opens a program with the given request body; retries as [`Caller::open`] does.
    ///
    /// # Errors
    /// No daemon answered in time, or the request was refused with a 4xx status.
    pub async fn open_with(
        client: &HttpClient,
        daemons: &[String],
        body: &OpenProgramRequest,
    ) -> Result<Self, SendError> {
        let mut current_daemon = fastrand::usize(..daemons.len());
        let started = Instant::now();
        loop {
            let url = format!("http://{}/v1/programs", daemons[current_daemon]);
            let opened: Result<OpenProgramResponse, SendError> =
                client.post_json(&url, body, OPEN_TIMEOUT).await;
            match opened {
                Ok(opened) => {
                    return Ok(Self {
                        client: client.clone(),
                        daemons: daemons.to_vec(),
                        current_daemon,
                        program: opened.program,
                        calls: 0,
                        history: Vec::new(),
                        violations: Vec::new(),
                        times: CallTimes::default(),
                    });
                }
                Err(
                    error @ SendError::Status {
                        status: 400..=499, ..
                    },
                ) => return Err(error),
                Err(error) if started.elapsed() > CALL_TIMEOUT => return Err(error),
                Err(_) => current_daemon = (current_daemon + 1) % daemons.len(),
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Calls a model with a user message, and checks the answer against the caller's own copy of
    /// the conversation.
    pub async fn call_model(&mut self, model: &str, content: &str, max_tokens: u32) -> CallOutcome {
        let messages = vec![user_message(content)];
        let call = ModelCall {
            model: model.to_owned(),
            messages: messages.clone(),
            max_tokens,
        };
        let outcome = self.call(CallSpec::Model(call), None, true).await;
        if let CallOutcome::Answered(answer) = &outcome {
            self.history.extend(messages);
            self.check_answer(answer, max_tokens);
            self.history.push(Message {
                role: "assistant".to_owned(),
                content: answer.content.clone(),
            });
        }
        outcome
    }

    fn check_answer(&mut self, answer: &Answer, max_tokens: u32) {
        let wanted = expected_answer(&self.history, u64::from(max_tokens));
        if answer.content != wanted {
            self.violations.push(Violation::WrongAnswer {
                program: self.program.clone(),
                call: answer.call_number,
                got: answer.content.clone(),
                wanted,
            });
        }
    }

    /// Calls a server of a service.
    pub async fn call_server(
        &mut self,
        service: &str,
        path: &str,
        repeatable: bool,
    ) -> CallOutcome {
        let call = ServerCall {
            service: service.to_owned(),
            path: path.to_owned(),
            body: "{}".to_owned(),
        };
        self.call(CallSpec::Server(call), Some(repeatable), false)
            .await
    }

    /// Returns the request key of a call. All retries of the call use the same key, by which the
    /// system recognizes them.
    pub fn request_key(&self, number: u64) -> String {
        format!("call-{number}")
    }

    /// Makes the next call and retries it, each time at the next daemon, until it has a final
    /// outcome or times out.
    pub async fn call(
        &mut self,
        spec: CallSpec,
        repeatable: Option<bool>,
        stream: bool,
    ) -> CallOutcome {
        let number = self.calls + 1;
        let request = CallRequest {
            call_number: number,
            request_key: self.request_key(number),
            call: spec,
            repeatable,
            stream,
        };
        let outcome = self.retry_until_final(&request).await;
        // The number of a call that was refused and did not run is used again.
        if !matches!(&outcome, CallOutcome::Refused(error) if error.executed == Executed::No) {
            self.calls = number;
        }
        outcome
    }

    async fn retry_until_final(&mut self, request: &CallRequest) -> CallOutcome {
        let started = Instant::now();
        self.times = CallTimes::default();
        let mut state = StreamState::default();
        loop {
            let outcome = if request.stream {
                self.attempt_stream(request, &mut state, started).await
            } else {
                self.attempt_plain(request).await
            };
            match outcome {
                AttemptOutcome::Final(outcome) => {
                    self.times.total = started.elapsed();
                    return outcome;
                }
                AttemptOutcome::Retry(cause) if started.elapsed() > CALL_TIMEOUT => {
                    return CallOutcome::NoAnswer(cause);
                }
                AttemptOutcome::Retry(_) => {}
            }
            self.times.retries += 1;
            self.current_daemon = (self.current_daemon + 1) % self.daemons.len();
            sleep(RETRY_PAUSE).await;
        }
    }

    fn url(&self) -> String {
        format!(
            "http://{}/v1/programs/{}/calls",
            self.daemons[self.current_daemon], self.program
        )
    }

    /// Reads the state of the program; retries at the other daemons.
    ///
    /// # Errors
    /// All attempts failed.
    pub async fn view(&mut self) -> Result<ProgramView, SendError> {
        let mut last = SendError::NotSent("no daemon".to_owned());
        for _ in 0..self.daemons.len() * 4 {
            let url = format!(
                "http://{}/v1/programs/{}",
                self.daemons[self.current_daemon], self.program
            );
            match self.client.get_json(&url, OPEN_TIMEOUT).await {
                Ok(view) => return Ok(view),
                Err(error) => last = error,
            }
            self.current_daemon = (self.current_daemon + 1) % self.daemons.len();
            sleep(RETRY_PAUSE).await;
        }
        Err(last)
    }

    /// Ends the program; retries at the other daemons. Returns whether the end was acknowledged.
    pub async fn end_program(&mut self) -> bool {
        for _ in 0..self.daemons.len() * 8 {
            let url = format!(
                "http://{}/v1/programs/{}",
                self.daemons[self.current_daemon], self.program
            );
            let response = self
                .client
                .fetch(Method::DELETE, &url, &[], Vec::new(), OPEN_TIMEOUT)
                .await;
            if response.is_ok_and(|response| response.status == 200) {
                return true;
            }
            self.current_daemon = (self.current_daemon + 1) % self.daemons.len();
            sleep(RETRY_PAUSE).await;
        }
        false
    }
}

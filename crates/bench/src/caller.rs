//! An agent program's side of the caller interface, with its own account of
//! the conversation, by which every answer is checked.

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

/// Times of one call as the caller saw it.
#[derive(Clone, Debug, Default)]
pub struct CallTimes {
    /// Until the first piece of text.
    pub first_token: Option<Duration>,
    /// Longest pause between two pieces.
    pub longest_pause: Duration,
    /// Until the end.
    pub total: Duration,
    /// Times the caller had to ask again.
    pub retries: u32,
    /// Times an answer broke off after it had begun.
    pub interruptions: u32,
}

/// One program as its caller sees it.
pub struct Caller {
    client: HttpClient,
    gateways: Vec<String>,
    gateway: usize,
    /// Identifier of the program.
    pub program: String,
    /// Calls issued so far.
    pub calls: u64,
    /// The conversation, by the caller's own account.
    pub history: Vec<Message>,
    /// What was wrong so far.
    pub violations: Vec<Violation>,
    /// Times of the last call.
    pub times: CallTimes,
}

/// A user's message.
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

enum AttemptOutcome {
    Final(CallOutcome),
    Retry(String),
}

impl Caller {
    /// Opens a program; asks again under the same key until it is answered.
    ///
    /// # Errors
    /// No daemon answered in time, or the request is refused for good.
    pub async fn open(
        client: &HttpClient,
        gateways: &[String],
        tenant: &str,
        key: &str,
        budget: i64,
    ) -> Result<Self, SendError> {
        Self::open_with(client, gateways, &open_request(tenant, key, budget)).await
    }

    /// Opens a program as described.
    ///
    /// # Errors
    /// No daemon answered in time, or the request is refused for good.
    pub async fn open_with(
        client: &HttpClient,
        gateways: &[String],
        body: &OpenProgramRequest,
    ) -> Result<Self, SendError> {
        let mut gateway = fastrand::usize(..gateways.len());
        let started = Instant::now();
        loop {
            let url = format!("http://{}/v1/programs", gateways[gateway]);
            let opened: Result<OpenProgramResponse, SendError> =
                client.post_json(&url, body, OPEN_TIMEOUT).await;
            match opened {
                Ok(opened) => {
                    return Ok(Self {
                        client: client.clone(),
                        gateways: gateways.to_vec(),
                        gateway,
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
                Err(_) => gateway = (gateway + 1) % gateways.len(),
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Asks a model; the history is kept by the system and, apart from it, here.
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

    /// Asks a server.
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

    /// Key of a call number; stable, so that asking again is recognised.
    pub fn request_key(&self, number: u64) -> String {
        format!("call-{number}")
    }

    /// Issues the next call and asks again, elsewhere, until it has an end.
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
        // A refused call that did not run leaves its number free.
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
                self.attempt_whole(request).await
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
            self.gateway = (self.gateway + 1) % self.gateways.len();
            sleep(RETRY_PAUSE).await;
        }
    }

    fn url(&self) -> String {
        format!(
            "http://{}/v1/programs/{}/calls",
            self.gateways[self.gateway], self.program
        )
    }

    /// The program as the system shows it.
    ///
    /// # Errors
    /// No answer from any daemon.
    pub async fn view(&mut self) -> Result<ProgramView, SendError> {
        let mut last = SendError::NotSent("no daemon".to_owned());
        for _ in 0..self.gateways.len() * 4 {
            let url = format!(
                "http://{}/v1/programs/{}",
                self.gateways[self.gateway], self.program
            );
            match self.client.get_json(&url, OPEN_TIMEOUT).await {
                Ok(view) => return Ok(view),
                Err(error) => last = error,
            }
            self.gateway = (self.gateway + 1) % self.gateways.len();
            sleep(RETRY_PAUSE).await;
        }
        Err(last)
    }

    /// Ends the program; asks again until it is acknowledged. False if it never was.
    pub async fn end_program(&mut self) -> bool {
        for _ in 0..self.gateways.len() * 8 {
            let url = format!(
                "http://{}/v1/programs/{}",
                self.gateways[self.gateway], self.program
            );
            let response = self
                .client
                .fetch(Method::DELETE, &url, &[], Vec::new(), OPEN_TIMEOUT)
                .await;
            if response.is_ok_and(|response| response.status == 200) {
                return true;
            }
            self.gateway = (self.gateway + 1) % self.gateways.len();
            sleep(RETRY_PAUSE).await;
        }
        false
    }
}

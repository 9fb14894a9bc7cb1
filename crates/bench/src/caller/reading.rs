//! Asking for one answer, whole or as a stream, and checking the pieces of a stream.

use super::{Asked, CALL_TIMEOUT, CallEnd, Caller, Violation};
use fieldhook_http::{SseDecoder, SseEvent};
use fieldhook_model::api::{Answer, CallRequest};
use fieldhook_model::error::{CallError, ErrorKind};
use futures_util::StreamExt;
use ntex::client::ClientResponse;
use ntex::http::Method;
use ntex::time::timeout;
use std::time::{Duration, Instant};

/// Longest silence of a stream before the caller asks another daemon.
const SILENCE: Duration = Duration::from_secs(5);

impl Caller {
    pub(super) async fn ask_whole(&self, request: &CallRequest) -> Asked {
        let body = serde_json::to_vec(request).unwrap_or_default();
        let headers = [("content-type", "application/json")];
        let reply = self
            .client
            .fetch(Method::POST, &self.url(), &headers, body, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(reply) if reply.status == 200 => match serde_json::from_str(&reply.body) {
                Ok(answer) => Asked::End(CallEnd::Answered(answer)),
                Err(error) => Asked::Again(error.to_string()),
            },
            Ok(reply) => refused(&reply.body),
            Err(error) => Asked::Again(error.to_string()),
        }
    }

    pub(super) async fn ask_stream(
        &mut self,
        request: &CallRequest,
        reading: &mut Reading,
        begun: Instant,
    ) -> Asked {
        let body = serde_json::to_vec(request).unwrap_or_default();
        let mut headers = vec![("content-type", "application/json")];
        let last_event = reading.last_event.clone();
        if !last_event.is_empty() {
            headers.push(("last-event-id", &last_event));
        }
        let opened = self
            .client
            .send(Method::POST, &self.url(), &headers, body, CALL_TIMEOUT)
            .await;
        let mut response = match opened {
            Ok(response) => response,
            Err(error) => return Asked::Again(error.to_string()),
        };
        if !response.status().is_success() {
            let body = response
                .body()
                .await
                .map(|bytes| bytes.to_vec())
                .unwrap_or_default();
            return refused(&String::from_utf8_lossy(&body));
        }
        self.read_stream(request, &mut response, reading, begun)
            .await
    }

    async fn read_stream(
        &mut self,
        request: &CallRequest,
        response: &mut ClientResponse,
        reading: &mut Reading,
        begun: Instant,
    ) -> Asked {
        let mut decoder = SseDecoder::default();
        loop {
            let Ok(Some(Ok(chunk))) = timeout(SILENCE, response.next()).await else {
                self.times.broken += 1;
                return Asked::Again("the stream broke off".to_owned());
            };
            for event in decoder.push(&chunk) {
                if let Some(end) = self.take_event(request, &event, reading, begun) {
                    return end;
                }
            }
        }
    }

    fn take_event(
        &mut self,
        request: &CallRequest,
        event: &SseEvent,
        reading: &mut Reading,
        begun: Instant,
    ) -> Option<Asked> {
        match event.event.as_str() {
            "delta" => {
                reading.take_delta(event);
                self.note_piece(reading, begun);
                None
            }
            "reset" => {
                reading.text.clear();
                reading.last_event.clear();
                None
            }
            "done" => match serde_json::from_str::<Answer>(&event.data) {
                Ok(answer) => {
                    self.check_pieces(request, reading, &answer);
                    Some(Asked::End(CallEnd::Answered(answer)))
                }
                Err(error) => Some(Asked::Again(error.to_string())),
            },
            "error" => Some(refused(&event.data)),
            _ => None,
        }
    }

    fn note_piece(&mut self, reading: &mut Reading, begun: Instant) {
        let now = Instant::now();
        match reading.last_piece {
            None => self.times.first = Some(begun.elapsed()),
            Some(last) => self.times.longest_pause = self.times.longest_pause.max(now - last),
        }
        reading.last_piece = Some(now);
    }

    fn check_pieces(&mut self, request: &CallRequest, reading: &Reading, answer: &Answer) {
        if reading.text != answer.content {
            self.violations.push(Violation::PiecesDiffer {
                program: self.program.clone(),
                call: request.call_number,
                pieces: reading.text.clone(),
                whole: answer.content.clone(),
            });
        }
    }
}

/// What a reader has of a streamed answer.
#[derive(Default)]
pub(super) struct Reading {
    text: String,
    last_event: String,
    last_piece: Option<Instant>,
}

impl Reading {
    fn take_delta(&mut self, event: &SseEvent) {
        let data: serde_json::Value = serde_json::from_str(&event.data).unwrap_or_default();
        self.text
            .push_str(data["text"].as_str().unwrap_or_default());
        self.last_event = event.id.clone();
    }
}

/// A refusal: final, unless it says to ask again and another daemon may do better.
fn refused(body: &str) -> Asked {
    match serde_json::from_str::<CallError>(body) {
        Ok(error) if matches!(error.kind, ErrorKind::NotReady | ErrorKind::Unavailable) => {
            Asked::Again(error.to_string())
        }
        Ok(error) => Asked::End(CallEnd::Refused(error)),
        Err(error) => Asked::Again(format!("{error}: {body}")),
    }
}

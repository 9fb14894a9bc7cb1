//! What an adapter tells about requests and answers in its own spelling.

use crate::http::headers::Headers;
use fieldhook_traffic::tenants::ApiKey;

/// What a request's fields say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// Identity of the client's attempt.
    pub id: String,
    /// Time that the client will wait, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Program that it belongs to.
    pub program: Option<String>,
    /// Line of turns that it belongs to.
    pub session: Option<String>,
    /// Time until the program should be over, in milliseconds.
    pub program_deadline_ms: Option<u64>,
    /// Tokens that all turns of the program may generate.
    pub budget: Option<u64>,
    /// Tokens of the prompt, as the client says.
    pub prompt_tokens: u64,
    /// First part of its prompt, which other programs may share.
    pub prefix: Option<String>,
    /// Most tokens that the turn may generate.
    pub max_tokens: u64,
    /// Turn that it goes on from.
    pub previous: Option<String>,
    /// The client goes on after this event.
    pub last_event: Option<u64>,
    /// Key that it shows.
    pub key: Option<ApiKey>,
}

/// A field that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidField {
    /// Name of the field.
    pub field: &'static str,
    /// What the client should send.
    pub remedy: &'static str,
}

impl std::fmt::Display for InvalidField {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "field {}: {}", self.field, self.remedy)
    }
}

/// What is set on a request to a server.
#[derive(Clone, Copy, Debug)]
pub struct Forwarding<'a> {
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// Identity of the server that is meant.
    pub server: &'a str,
    /// Take the stream up after this event.
    pub last_event: Option<u64>,
    /// Rank of the request, 0 is the most urgent.
    pub priority: u8,
    /// The server is an engine.
    pub engine: bool,
    /// Tenant that it belongs to.
    pub tenant: Option<&'a str>,
}

/// What an answer's fields say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMeta {
    /// Identity of the request that it answers.
    pub id: Option<String>,
    /// The server says that it did not run the request.
    pub not_run: bool,
    /// The server vouches for the answer.
    pub signed: bool,
    /// How long the server keeps an idle connection, in milliseconds.
    pub keep_alive_ms: Option<u64>,
}

/// Spelling of requests and answers.
pub trait Dialect {
    /// Reads a client's request.
    ///
    /// # Errors
    /// A field is missing or malformed.
    fn read_request(&self, headers: &Headers) -> Result<RequestMeta, InvalidField>;

    /// Removes the fields that only the system may set, whatever the client sent, and the
    /// client's key where keys are the system's matter.
    fn strip(&self, headers: &mut Headers, remove_key: bool);

    /// Sets the fields of a request to a server.
    fn forward(&self, headers: &mut Headers, forwarding: &Forwarding<'_>);

    /// Reads a server's answer.
    fn read_response(&self, status: u16, headers: &Headers) -> ResponseMeta;

    /// Fields of an answer of the gateway's own.
    fn local_response_headers(
        &self,
        request_id: Option<&str>,
        retry_after_ms: Option<u64>,
    ) -> Headers;

    /// Reads the configuration document.
    ///
    /// # Errors
    /// What is wrong with it.
    fn traffic_config(
        &self,
        value: &[u8],
    ) -> Result<fieldhook_traffic::config::TrafficConfig, String>;

    /// Reads a server's entry.
    ///
    /// # Errors
    /// What is wrong with it.
    fn server_entry(
        &self,
        id: &str,
        value: &[u8],
    ) -> Result<fieldhook_traffic::directory::ServerEntry, String>;
}

/// Names of topics and keys that the platform gives.
#[derive(Clone, Debug)]
pub struct Topics {
    /// Compacted topic with the configuration and evacuations.
    pub config: String,
    /// Key of the configuration in it.
    pub config_key: Vec<u8>,
    /// Beginning of the key of an evacuated zone in it; the zone's name follows. The record
    /// lasts as long as the evacuation.
    pub evacuation_prefix: Vec<u8>,
    /// Compacted topic with the servers.
    pub servers: String,
}

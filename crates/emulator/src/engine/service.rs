//! HTTP interface of the engine: streams, cache, load and commands.

use crate::engine::core::EngineSettings;
use crate::engine::state::{Engine, StreamState};
use crate::faults::Faults;
use crate::serve::serve;
use fieldhook_http::{encode_event, event_stream, json, text};
use fieldhook_model::platform::{GenerateEvent, GenerateRequest};
use futures_util::stream;
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig, types};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which an idle engine checks for requests, and a stream's response for new text.
const POLL_INTERVAL: Millis = Millis(1);
/// Size of each event of a stream that does not end, in bytes.
const ENDLESS_TEXT_BYTES: usize = 16 << 10;

/// Command that changes what the engine serves. Commands with a lower epoch than a
/// previous command are rejected.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Command {
    /// Epoch of the sender.
    pub fence: u64,
    /// `load_model`, `load_adapter`, `load_version` or `set_role`.
    pub kind: String,
    /// Name of the model, adapter, version (as `model@version`) or role.
    pub name: String,
}

/// State shared by the request handlers.
#[derive(Clone)]
struct Shared {
    engine: Rc<RefCell<Engine>>,
    event_delay: Duration,
    max_load_age: Duration,
    weights: Option<String>,
}

/// Start options of the engine, besides its step-time model.
#[derive(Clone, Debug)]
pub struct Options {
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Delay before cache events become visible, in milliseconds.
    pub event_lag_ms: u64,
    /// Maximum age of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Address of the weight store; without one, models load immediately.
    pub weights: Option<String>,
}

/// Serves the emulated engine on an address.
///
/// # Errors
/// The address cannot be bound.
pub async fn run(address: &str, settings: EngineSettings, options: Options) -> io::Result<()> {
    serve(address, move |config: &mut ServiceConfig| {
        let shared = Shared {
            engine: Rc::new(RefCell::new(Engine::new(settings, options.models.clone()))),
            event_delay: Duration::from_millis(options.event_lag_ms),
            max_load_age: Duration::from_millis(options.load_lag_ms),
            weights: options.weights.clone(),
        };
        Faults::default().configure(config);
        ntex::rt::spawn(run_steps(shared.clone()));
        configure_routes(config, shared);
    })
    .await
}

fn configure_routes(config: &mut ServiceConfig, shared: Shared) {
    config
        .state(shared)
        .route("/v1/generate", web::post().to(generate))
        .service(
            web::resource("/v1/streams/{stream}")
                .route(web::get().to(resume_stream))
                .route(web::delete().to(cancel_stream)),
        )
        .route("/v1/programs", web::get().to(list_programs))
        .route("/v1/programs/{program}", web::delete().to(release_program))
        .route("/v1/load", web::get().to(show_load))
        .route("/v1/cache/events", web::get().to(list_cache_events))
        .route("/v1/kv/{program}", web::get().to(export_cache))
        .route("/v1/kv/{program}", web::post().to(import_cache))
        .route("/v1/orders", web::post().to(execute_command))
        .route("/control/leave", web::post().to(announce_leave))
        .route("/control/generated", web::get().to(show_generate_count));
}

/// Runs the engine's steps in real time.
async fn run_steps(shared: Shared) {
    let mut next_step_at = Instant::now();
    loop {
        let busy = {
            let engine = shared.engine.borrow();
            engine.core.running() + engine.core.waiting() > 0
        };
        if !busy {
            refresh_load(&shared, 0);
            sleep(POLL_INTERVAL).await;
            next_step_at = Instant::now();
            continue;
        }
        let duration_us = shared.engine.borrow_mut().step();
        refresh_load(&shared, duration_us);
        next_step_at += Duration::from_micros(duration_us);
        // Timers are coarser than steps, so only the average rate of steps is exact.
        let ahead_ms = next_step_at
            .saturating_duration_since(Instant::now())
            .as_millis() as u32;
        sleep(Millis(ahead_ms)).await;
    }
}

fn refresh_load(shared: &Shared, step_us: u64) {
    let mut engine = shared.engine.borrow_mut();
    if engine.load_measured_at.elapsed() >= shared.max_load_age || engine.load.incarnation == 0 {
        engine.update_load(step_us);
        engine.drop_old_streams();
    }
}

async fn generate(
    shared: types::State<Shared>,
    faults: types::State<Faults>,
    body: Bytes,
) -> HttpResponse {
    if let Err(response) = faults.before_request().await {
        return response;
    }
    let request: GenerateRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(error) => return text(400, error.to_string()),
    };
    if !shared.engine.borrow().models.contains(&request.model) {
        return text(404, "this engine has not loaded the model");
    }
    let program = request.program.clone();
    let stream = shared.engine.borrow_mut().submit(request);
    shared
        .engine
        .borrow_mut()
        .record_cache_event(&program, &faults);
    if faults.take_endless() {
        return endless_response();
    }
    faults.finish_request(stream_response(stream, 0)).await
}

/// Sends text as fast as it is read, without end.
fn endless_response() -> HttpResponse {
    let event = GenerateEvent::Text("x".repeat(ENDLESS_TEXT_BYTES));
    let bytes = Bytes::from(encode_event("", "", &event));
    event_stream(stream::repeat_with(move || Ok(bytes.clone())))
}

#[derive(Deserialize)]
struct FromQuery {
    #[serde(default)]
    from: u64,
}

async fn resume_stream(
    shared: types::State<Shared>,
    faults: types::State<Faults>,
    name: types::Path<String>,
    query: types::Query<FromQuery>,
) -> HttpResponse {
    if let Err(response) = faults.before_request().await {
        return response;
    }
    let stream = shared.engine.borrow().streams.get(&*name).cloned();
    match stream {
        Some(stream) => stream_response(stream, query.from as usize),
        None => text(404, "no such stream"),
    }
}

/// Sends the text of a stream from a byte offset on, until the stream ends.
fn stream_response(state: Rc<RefCell<StreamState>>, from: usize) -> HttpResponse {
    let events = stream::unfold(
        (state, from, false),
        |(state, sent, is_complete)| async move {
            if is_complete {
                return None;
            }
            loop {
                let next = next_events(&state.borrow(), sent);
                if let Some((events, sent, is_complete)) = next {
                    return Some((Ok(Bytes::from(events)), (state, sent, is_complete)));
                }
                if state.borrow().cancelled {
                    return None;
                }
                sleep(POLL_INTERVAL).await;
            }
        },
    );
    event_stream(events)
}

/// Encodes the text after byte `sent`. Returns the events, the new offset and whether the stream is
/// complete, or `None` if there is nothing to send.
fn next_events(state: &StreamState, sent: usize) -> Option<(String, usize, bool)> {
    let new_text = state.text.get(sent..).unwrap_or_default();
    let mut events = String::new();
    if !new_text.is_empty() {
        events = encode_event("", "", &GenerateEvent::Text(new_text.to_owned()));
    }
    if let Some(usage) = state.finished {
        events.push_str(&encode_event("", "", &GenerateEvent::Done(usage)));
    }
    (!events.is_empty()).then(|| (events, state.text.len(), state.finished.is_some()))
}

async fn cancel_stream(shared: types::State<Shared>, name: types::Path<String>) -> HttpResponse {
    let mut engine = shared.engine.borrow_mut();
    engine.core.cancel(&name);
    if let Some(stream) = engine.streams.remove(&*name) {
        stream.borrow_mut().cancelled = true;
    }
    text(200, "cancelled")
}

async fn list_programs(shared: types::State<Shared>) -> HttpResponse {
    json(200, &shared.engine.borrow().core.cache.held_tokens())
}

async fn release_program(
    shared: types::State<Shared>,
    faults: types::State<Faults>,
    program: types::Path<String>,
) -> HttpResponse {
    if let Err(response) = faults.before_request().await {
        return response;
    }
    shared.engine.borrow_mut().core.release(&program);
    shared
        .engine
        .borrow_mut()
        .record_cache_event(&program, &faults);
    faults.finish_request(text(200, "released")).await
}

async fn show_load(shared: types::State<Shared>, faults: types::State<Faults>) -> HttpResponse {
    match faults.before_request().await {
        Ok(()) => json(200, &shared.engine.borrow().load),
        Err(response) => response,
    }
}

async fn list_cache_events(
    shared: types::State<Shared>,
    faults: types::State<Faults>,
    query: types::Query<FromQuery>,
) -> HttpResponse {
    if let Err(response) = faults.before_request().await {
        return response;
    }
    let engine = shared.engine.borrow();
    let visible = engine
        .events
        .iter()
        .filter(|(at, _)| at.elapsed() >= shared.event_delay);
    let requested = visible
        .map(|(_, event)| event)
        .filter(|event| event.sequence >= query.from);
    json(200, &requested.collect::<Vec<_>>())
}

/// Cache blocks of a program, for transfer between engines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheExport {
    /// Hashes of the blocks, in place of the blocks themselves.
    pub blocks: Vec<u64>,
}

async fn export_cache(shared: types::State<Shared>, program: types::Path<String>) -> HttpResponse {
    let blocks = shared.engine.borrow().core.cache.blocks_of(&program);
    json(200, &CacheExport { blocks })
}

async fn import_cache(
    shared: types::State<Shared>,
    program: types::Path<String>,
    body: Bytes,
) -> HttpResponse {
    match serde_json::from_slice::<CacheExport>(&body) {
        Ok(export) => {
            shared
                .engine
                .borrow_mut()
                .core
                .cache
                .insert(&program, &export.blocks);
            text(200, "imported")
        }
        Err(error) => text(400, error.to_string()),
    }
}

async fn execute_command(
    shared: types::State<Shared>,
    faults: types::State<Faults>,
    body: Bytes,
) -> HttpResponse {
    if let Err(response) = faults.before_request().await {
        return response;
    }
    let command: Command = match serde_json::from_slice(&body) {
        Ok(command) => command,
        Err(error) => return text(400, error.to_string()),
    };
    let fence = shared.engine.borrow().fence;
    if command.fence < fence {
        return text(409, format!("fence {} is below {fence}", command.fence));
    }
    shared.engine.borrow_mut().fence = command.fence;
    match command.kind.as_str() {
        "set_role" => shared.engine.borrow_mut().role = command.name,
        "load_model" | "load_adapter" | "load_version" => {
            if let Some(address) = &shared.weights
                && let Err(cause) = download_weights(address, &command.name).await
            {
                return text(502, cause);
            }
            shared.engine.borrow_mut().models.push(command.name);
        }
        _ => {
            return text(
                400,
                "kind is load_model, load_adapter, load_version or set_role",
            );
        }
    }
    faults.finish_request(text(200, "done")).await
}

/// Fetches weights from the weight store.
async fn download_weights(address: &str, name: &str) -> Result<(), String> {
    let client = fieldhook_http::HttpClient::new().await;
    let url = format!("http://{address}/v1/weights/{name}");
    let weights = client
        .get_json::<crate::weights::Weights>(&url, Duration::from_secs(600))
        .await;
    weights.map(|_| ()).map_err(|error| error.to_string())
}

/// Makes the load report say that the engine is leaving.
async fn announce_leave(shared: types::State<Shared>) -> HttpResponse {
    shared.engine.borrow_mut().leaving = true;
    text(200, "leaving")
}

/// Number of generate requests that this engine has accepted so far.
async fn show_generate_count(shared: types::State<Shared>) -> HttpResponse {
    text(200, shared.engine.borrow().generate_count.to_string())
}

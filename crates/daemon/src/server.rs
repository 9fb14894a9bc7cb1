//! HTTP routes of the daemon.

use crate::gateway::{delete_program, post_call, post_program, show_program};
use crate::node::{Node, Phase};
use crate::operator;
use crate::platform::config_sync::PeerConfig;
use crate::sequencer::{CallMessage, CommandMessage, serve_call, serve_command};
use fieldhook_http::text;
use futures_util::stream;
use nanoserde::{DeBin, SerBin};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig, types};
use std::io;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Maximum size of a request body, in bytes. It also applies to messages between daemons, which can
/// be larger than the request of a caller because they repeat delivered text; bodies from callers
/// have the lower limit `limits.body_bytes`.
const MAX_BODY_BYTES: usize = 512 << 20;
/// Maximum number of events of a call that are buffered for another daemon.
const EVENT_BACKLOG: usize = 64;

/// Registers all routes.
pub fn configure(config: &mut ServiceConfig, node: Rc<Node>) {
    config
        .state(node)
        .state(types::PayloadConfig::new(MAX_BODY_BYTES))
        .route("/v1/programs", web::post().to(post_program))
        .service(
            web::resource("/v1/programs/{id}")
                .route(web::get().to(show_program))
                .route(web::delete().to(delete_program)),
        )
        .route("/v1/programs/{id}/calls", web::post().to(post_call))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .route("/internal/call", web::post().to(internal_call))
        .route("/internal/command", web::post().to(internal_command))
        .route("/internal/config", web::post().to(internal_config));
    operator::configure(config);
}

async fn healthz() -> HttpResponse {
    text(200, "ok\n")
}

async fn readyz(node: types::State<Rc<Node>>) -> HttpResponse {
    match node.phase() {
        Phase::Serving if node.may_admit() => text(200, "ready\n"),
        Phase::Serving => text(503, "cut off from the log and most peers\n"),
        Phase::Starting => text(503, "starting\n"),
        Phase::Draining => text(503, "stopping\n"),
    }
}

async fn metrics(node: types::State<Rc<Node>>) -> HttpResponse {
    text(200, node.metrics.render())
}

fn binary_response<T: SerBin>(value: &T) -> HttpResponse {
    HttpResponse::Ok().body(value.serialize_bin())
}

fn undecodable_response() -> HttpResponse {
    text(400, "does not decode; run the same version on all daemons")
}

async fn internal_call(node: types::State<Rc<Node>>, body: Bytes) -> HttpResponse {
    let Ok(call) = CallMessage::deserialize_bin(&body) else {
        return undecodable_response();
    };
    let (out, events) = mpsc::channel(EVENT_BACKLOG);
    ntex::rt::spawn(serve_call((*node).clone(), call, out));
    let frames = stream::unfold(events, |mut events| async move {
        let event = events.recv().await?;
        let frame = crate::gateway::encode_frame(&event);
        Some((Ok::<_, io::Error>(Bytes::from(frame)), events))
    });
    HttpResponse::Ok().streaming(Box::pin(frames))
}

async fn internal_command(node: types::State<Rc<Node>>, body: Bytes) -> HttpResponse {
    match CommandMessage::deserialize_bin(&body) {
        Ok(message) => binary_response(&serve_command(&node, message).await),
        Err(_) => undecodable_response(),
    }
}

async fn internal_config(node: types::State<Rc<Node>>) -> HttpResponse {
    let state = node.config.borrow().clone();
    binary_response(&PeerConfig {
        known: node.config_known.get(),
        state,
    })
}

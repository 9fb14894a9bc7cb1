//! Routes for the operators' client. They show; they place nothing.

use crate::node::Node;
use crate::platform::fleet::engine_views;
use fieldhook_http::json;
use fieldhook_membership::MemberState;
use ntex::web::{self, HttpResponse, ServiceConfig, types};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// One daemon, as another sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// IP and port.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
}

/// One shard, as this daemon knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: u16,
    /// Epoch of its group.
    pub epoch: u64,
    /// Term of its leader.
    pub term: u64,
    /// Its leader.
    pub leader: String,
    /// Its members.
    pub members: Vec<String>,
}

/// One engine, as this daemon sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineStatus {
    /// IP and port.
    pub address: String,
    /// Its labels.
    pub labels: std::collections::BTreeMap<String, String>,
    /// Sequences in its batch.
    pub running: u32,
    /// Sequences in its queue.
    pub waiting: u32,
    /// Cached tokens.
    pub cached_tokens: u64,
    /// Whether it answered lately.
    pub reachable: bool,
    /// Whether it gets no new work.
    pub leaving: bool,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The daemon that answers.
    pub address: String,
    /// Version of the configuration in force there.
    pub config_version: u64,
    /// Committed commands that the platform's log does not have yet.
    pub archive_lag: i64,
    /// All daemons.
    pub daemons: Vec<DaemonStatus>,
    /// All shards.
    pub shards: Vec<ShardStatus>,
    /// All engines.
    pub engines: Vec<EngineStatus>,
}

/// Answer to `GET /v1/config`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Version in force.
    pub version: u64,
    /// Key of the change that made it.
    pub change_key: String,
    /// Offset after the last folded record of the log.
    pub next_offset: u64,
    /// The document.
    pub document: String,
}

/// Adds the routes.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/status", web::get().to(show_status))
        .route("/v1/config", web::get().to(show_config));
}

async fn show_config(node: types::State<Rc<Node>>) -> HttpResponse {
    let config = node.config.borrow();
    json(
        200,
        &ConfigStatus {
            version: config.version,
            change_key: config.change_key.clone(),
            next_offset: config.next_offset,
            document: config.text.clone(),
        },
    )
}

async fn show_status(node: types::State<Rc<Node>>) -> HttpResponse {
    json(
        200,
        &Status {
            address: node.id.address.to_string(),
            config_version: node.config.borrow().version,
            archive_lag: node.metrics.archive_lag.get(),
            daemons: daemons(&node),
            shards: shards(&node),
            engines: engines(&node),
        },
    )
}

fn daemons(node: &Node) -> Vec<DaemonStatus> {
    let detector = node.detector.borrow();
    let members = detector.table().members();
    members
        .map(|member| DaemonStatus {
            address: member.id.address.to_string(),
            zone: member.zone.clone(),
            state: state_name(member.state).to_owned(),
        })
        .collect()
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

fn shards(node: &Node) -> Vec<ShardStatus> {
    let detector = node.detector.borrow();
    let routes = detector.table().routes();
    routes
        .map(|route| ShardStatus {
            shard: route.shard,
            epoch: route.epoch,
            term: route.term,
            leader: route.leader.address.to_string(),
            members: route.members.iter().map(|id| id.address.to_string()).collect(),
        })
        .collect()
}

fn engines(node: &Node) -> Vec<EngineStatus> {
    let views = engine_views(node).into_iter();
    views
        .map(|view| EngineStatus {
            address: view.address,
            labels: view.labels,
            running: view.load.running,
            waiting: view.load.waiting,
            cached_tokens: view.load.cached_tokens,
            reachable: view.reachable,
            leaving: view.leaving || view.load.leaving,
        })
        .collect()
}

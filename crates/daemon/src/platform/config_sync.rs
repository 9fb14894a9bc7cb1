//! Keeps the configuration up to date, from the log or from peers that have read more of it.

use crate::node::Node;
use crate::platform::log_client;
use fieldhook_membership::Fact;
use fieldhook_model::config_log::{CONFIG_STREAM, ChangeOutcome, ConfigState};
use nanoserde::{DeBin, SerBin};
use ntex::time::{Millis, sleep};
use std::rc::Rc;
use std::time::Duration;

const LONG_POLL_MS: u64 = 2_000;
const RETRY_DELAY: Millis = Millis(200);
const PEER_CHECK_INTERVAL: Millis = Millis(250);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Applies the records of the configuration's stream as they are appended.
pub async fn run_config_from_log(node: Rc<Node>) {
    loop {
        let from = node.config.borrow().next_offset;
        match log_client::read(&node, CONFIG_STREAM, from, LONG_POLL_MS).await {
            Ok(page) => {
                for record in &page.records {
                    let outcome = node
                        .config
                        .borrow_mut()
                        .apply_record(record.offset, &record.data);
                    log_outcome(outcome);
                }
                announce_offset(&node);
                node.config_known
                    .set(node.config.borrow().next_offset >= page.end);
            }
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

fn log_outcome(outcome: Option<ChangeOutcome>) {
    match outcome {
        Some(ChangeOutcome::Accepted(version)) => tracing::info!(version, "configuration in use"),
        Some(refused) => tracing::info!(?refused, "configuration change rejected"),
        None => {}
    }
}

fn announce_offset(node: &Node) {
    let config = node.config.borrow();
    node.metrics.config_version.set(config.version as i64);
    node.announce(Fact::ConfigOffset(config.next_offset));
}

/// Takes the configuration from peers that have read more of the log. A daemon that starts while
/// the log is down has no configuration and must get one from a peer before it serves.
pub async fn run_config_from_peers(node: Rc<Node>) {
    loop {
        sleep(PEER_CHECK_INTERVAL).await;
        let newest_offset = node.detector.borrow().table().config_offset();
        if newest_offset > node.config.borrow().next_offset || !node.config_known.get() {
            query_peers(&node, newest_offset).await;
        }
    }
}

async fn query_peers(node: &Rc<Node>, newest_offset: u64) {
    let mut peers: Vec<_> = {
        let detector = node.detector.borrow();
        detector.table().live().map(|member| member.id).collect()
    };
    fastrand::shuffle(&mut peers);
    for peer in peers.into_iter().filter(|peer| *peer != node.id) {
        let url = node.url(peer.address, "/internal/config");
        // The peer ignores the body.
        let response = node
            .client
            .post_binary::<u64, PeerConfig>(&url, &newest_offset, PEER_TIMEOUT)
            .await;
        match response {
            Ok(response) if response.known => adopt_from_peer(node, response.state),
            Ok(_) => {}
            Err(error) => tracing::warn!(%peer, %error, "cannot get the configuration from a peer"),
        }
        if node.config_known.get() && node.config.borrow().next_offset >= newest_offset {
            return;
        }
    }
}

fn adopt_from_peer(node: &Node, state: ConfigState) {
    if node.config.borrow_mut().adopt_if_newer(state) {
        let version = node.config.borrow().version;
        tracing::info!(version, "configuration taken from a peer");
    }
    node.config_known.set(true);
    announce_offset(node);
}

/// Response of a daemon to a peer that asks for its configuration.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct PeerConfig {
    /// Whether the sender knows the configuration; otherwise `state` is empty or incomplete.
    pub known: bool,
    /// The configuration as the sender read it from the log.
    pub state: ConfigState,
}

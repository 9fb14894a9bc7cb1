//! Following the configuration: from the log, or from peers that have more.

use crate::node::Node;
use crate::platform::log_client;
use fieldhook_membership::Fact;
use fieldhook_model::config_log::{CONFIG_STREAM, ConfigState, Verdict};
use ntex::time::{Millis, sleep};
use std::rc::Rc;
use std::time::Duration;

const READ_WAIT_MS: u64 = 2_000;
const RETRY: Millis = Millis(200);
const PEER_CHECK: Millis = Millis(250);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Folds the log's records as they come.
pub async fn run_config_from_log(node: Rc<Node>) {
    loop {
        let from = node.config.borrow().next_offset;
        match log_client::read(&node, CONFIG_STREAM, from, READ_WAIT_MS).await {
            Ok(page) => {
                for record in page.records {
                    let verdict = node.config.borrow_mut().fold(record.offset, &record.data);
                    report(verdict);
                }
                announce(&node);
            }
            Err(_) => sleep(RETRY).await,
        }
    }
}

fn report(verdict: Option<Verdict>) {
    match verdict {
        Some(Verdict::Accepted(version)) => tracing::info!(version, "configuration in force"),
        Some(refused) => tracing::info!(?refused, "configuration change not accepted"),
        None => {}
    }
}

fn announce(node: &Node) {
    let config = node.config.borrow();
    node.metrics.config_version.set(config.version as i64);
    node.announce(Fact::ConfigOffset(config.next_offset));
}

/// Takes the configuration from peers that have folded more of the log.
pub async fn run_config_from_peers(node: Rc<Node>) {
    loop {
        sleep(PEER_CHECK).await;
        let known = node.detector.borrow().table().config_offset();
        if known > node.config.borrow().next_offset {
            ask_peers(&node, known).await;
        }
    }
}

async fn ask_peers(node: &Rc<Node>, wanted: u64) {
    let mut peers: Vec<_> = {
        let detector = node.detector.borrow();
        detector.table().live().map(|member| member.id).collect()
    };
    fastrand::shuffle(&mut peers);
    for peer in peers.into_iter().filter(|peer| *peer != node.id) {
        if node.config.borrow().next_offset >= wanted {
            return;
        }
        let url = node.url(peer.address, "/internal/config");
        let reply = node
            .client
            .post_binary::<u64, ConfigState>(&url, &wanted, PEER_TIMEOUT)
            .await;
        if let Ok(state) = reply
            && node.config.borrow_mut().adopt(state)
        {
            tracing::info!(peer = %peer, "configuration taken from a peer");
            announce(node);
        }
    }
}

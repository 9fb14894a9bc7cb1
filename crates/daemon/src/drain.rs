//! Planned stop: refuse new requests, hand the shards over, complete the requests in flight, and
//! only then leave the membership.

use crate::node::{Node, Phase};
use crate::shard::ShardHost;
use fieldhook_program::CallState;
use ntex::time::{Millis, sleep};
use std::rc::Rc;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Millis = Millis(20);
/// Limit for handing over a shard. Until the shard is handed over, new calls are answered with
/// `NotOwner`, so that gateways retry them, and requests to servers that are not retryable are
/// waited for.
const MAX_HANDOVER_TIME: Duration = Duration::from_secs(12);
/// Time for the other daemons to learn that this daemon leaves.
const LEAVE_NOTICE_TIME: Millis = Millis(700);
/// Limit for completing requests in flight. Streams of engines end well within it.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(120);

/// Performs a planned stop. The caller then stops the process.
pub async fn drain(node: Rc<Node>) {
    tracing::info!("planned stop started");
    node.set_phase(Phase::Draining);
    let started = Instant::now();
    node.claims.stop_claiming();
    let handovers = node
        .hosts()
        .into_iter()
        .map(|host| hand_over(node.clone(), host));
    futures_util::future::join_all(handovers).await;
    while node.metrics.in_flight.get() > 0 && started.elapsed() < MAX_DRAIN_TIME {
        sleep(POLL_INTERVAL).await;
    }
    node.detector.borrow_mut().leave();
    sleep(LEAVE_NOTICE_TIME).await;
    tracing::info!(
        seconds = started.elapsed().as_secs_f64(),
        "planned stop completed"
    );
}

/// Hands a shard over. The next owner continues streams of engines. Requests to servers that are
/// not retryable must complete first, because only the owner that sent such a request can record
/// its response.
async fn hand_over(node: Rc<Node>, host: Rc<ShardHost>) {
    let started = Instant::now();
    host.handing_over.set(true);
    while host.is_owned()
        && runs_non_repeatable_call(&host)
        && started.elapsed() < MAX_HANDOVER_TIME
    {
        sleep(POLL_INTERVAL).await;
    }
    while host.is_owned() && started.elapsed() < MAX_HANDOVER_TIME {
        // The release fails if another claim was appended in the meantime; the next attempt takes
        // that claim into account.
        let _ = node.claims.release(u32::from(host.shard), None).await;
        sleep(POLL_INTERVAL).await;
    }
}

fn runs_non_repeatable_call(host: &ShardHost) -> bool {
    let state = host.state.borrow();
    let running = host.live_calls.borrow();
    running.keys().any(|(program, number)| {
        let record = state
            .programs
            .get(program)
            .and_then(|program| program.call(*number));
        record.is_some_and(|call| !call.repeatable && call.state == CallState::Running)
    })
}

//! The planned stop: take nothing new, hand the shards over, finish what is
//! under way, and only then go.

use crate::node::{Node, Phase};
use crate::shard::ShardHost;
use fieldhook_program::CallState;
use ntex::time::{Millis, sleep};
use std::rc::Rc;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Millis = Millis(20);
/// Time for which new calls are held back until requests to servers that are
/// not repeatable have answered here.
const MAX_HANDOVER_TIME: Duration = Duration::from_secs(12);
/// Time in which others learn that this daemon goes.
const LEAVE_NOTICE_TIME: Millis = Millis(700);
/// Longest planned stop; streams of engines end well within it.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(120);

/// Does all of a planned stop but ending the process.
pub async fn drain(node: Rc<Node>) {
    tracing::info!("planned stop begins");
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
        "planned stop done"
    );
}

/// Hands a shard over. Streams of engines go on at the next owner; a request that
/// must not run twice has to end here first, because its answer can only be recorded
/// by the owner that waits for it.
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
        // Another claim may have moved the end of the topic: the next try knows it.
        let _ = node.claims.release(u32::from(host.shard), None).await;
        sleep(POLL_INTERVAL).await;
    }
}

fn runs_non_repeatable_call(host: &ShardHost) -> bool {
    let state = host.state.borrow();
    let running = host.live.borrow();
    running.keys().any(|(program, number)| {
        let record = state
            .programs
            .get(program)
            .and_then(|program| program.call(*number));
        record.is_some_and(|call| !call.repeatable && call.state == CallState::Running)
    })
}

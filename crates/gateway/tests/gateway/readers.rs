//! Long polls of the followed topics: few calls, and changes arrive within the bounds.

use crate::support::{Act, CONFIG, SERVERS, Server, World, config, run};
use fieldhook_gateway::follow::long_poll;
use fieldhook_gateway::settings::Bounds;
use fieldhook_log::follow::{READ_MARGIN, RESUME_DELAY};
use futures_util::future::join_all;
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn read_on_a_stalled_connection_is_repeated_within_the_bound() {
    for contact_ms in 1_700..8_000 {
        for pause_ms in [0, 150] {
            let (contact, pause) = (ms(contact_ms), ms(pause_ms));
            let wait = long_poll::max_wait(contact, pause);
            let repeated_after = pause + wait + READ_MARGIN + RESUME_DELAY;
            // The bound can be kept only if it leaves time for the minimum wait of a long poll.
            let is_feasible = contact >= pause + ms(500) + READ_MARGIN + RESUME_DELAY;
            assert!(
                !is_feasible || repeated_after <= contact,
                "{contact_ms} {pause_ms}"
            );
        }
    }
    assert_eq!(long_poll::max_wait(ms(4_000), ms(0)), ms(2_900));
    assert_eq!(long_poll::max_wait(ms(3_000), ms(0)), ms(1_900));
    assert_eq!(long_poll::max_wait(ms(60_000), ms(0)), ms(30_000));
}

/// Stalls the connections `phase` after a read began, and then changes the configuration,
/// evacuates a zone and drains a server.
async fn assert_applied_when_stalled_at(phase: Duration) {
    let server = Server::start("s1", Act::Answer(200, "yes".to_owned())).await;
    let world = World::new().await;
    world.bounds.set(Bounds {
        contact_ms: 3_000,
        ..Bounds::default()
    });
    world.configs.borrow_mut().push(config(2));
    let gateway = world.ready(&[&server]).await;
    sleep(phase).await;
    gateway.store.stall_connections();
    let stalled = Instant::now();
    world.publish(1).await;
    world.put(CONFIG, "closed/z9", "by the operator").await;
    let draining = format!("service {} draining", server.address);
    world.put(SERVERS, "s1", &draining).await;
    let daemon = &gateway.daemon;
    let all_applied = || {
        let version = daemon
            .routes
            .borrow()
            .as_ref()
            .map(|table| table.config.version);
        let is_drained = !daemon.directory.borrow().accepts_work("s1");
        version == Some(2) && daemon.zone_state.is_evacuated("z9") && is_drained
    };
    while !all_applied() {
        sleep(ms(5)).await;
        let is_late = stalled.elapsed() > ms(3_000);
        assert!(!is_late, "stalled {phase:?} after a read began");
    }
}

#[test]
fn changes_during_stalled_connections_are_applied_in_time() {
    run(async {
        let phases = [0, 150, 600, 1_200, 1_850, 2_100];
        join_all(phases.map(|phase| assert_applied_when_stalled_at(ms(phase)))).await;
    });
}

/// Three long polls are pending at any time, one for each followed topic, with at most the waits that
/// `read_on_a_stalled_connection_is_repeated_within_the_bound` checks.
#[test]
fn idle_topics_cost_few_calls() {
    run(async {
        let server = Server::start("s1", Act::Answer(200, "yes".to_owned())).await;
        let world = World::new().await;
        world.bounds.set(Bounds {
            contact_ms: 4_000,
            ..Bounds::default()
        });
        let gateway = world.ready(&[&server]).await;
        sleep(ms(1_500)).await;
        let before = gateway.store.calls.get();
        sleep(ms(6_100)).await;
        let calls = gateway.store.calls.get() - before;
        // In 6.1 s: two reads of 2.9 s of one topic, two of 2.75 s with a pause of another, one of
        // 6 s of the third, and one more of each that the interval may cut off.
        assert!(calls <= 8, "{calls} calls");
    });
}

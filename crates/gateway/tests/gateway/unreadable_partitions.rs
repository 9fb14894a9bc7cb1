//! Partitions that are claimed but cannot be read, so that programs wait for an owner.

use crate::support::{Act, Gateway, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::ledger::owner::LEDGER_TOPIC;
use fieldhook_ledger::partition_of;
use fieldhook_log::api::Partition;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest time for which a program may get retry responses although some owner could serve it.
const SERVED_WITHIN: Duration = Duration::from_secs(12);

fn events() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

fn ledger_partition(number: u32) -> Partition {
    Partition {
        topic: LEDGER_TOPIC.to_owned(),
        number,
    }
}

/// Returns the name of a program in this partition.
fn program_in(partition: u32, partitions: u32) -> String {
    let names = (0..).map(|salt| format!("q{salt}"));
    names
        .into_iter()
        .find(|name| partition_of(name, partitions) == partition)
        .expect("some name hashes to the partition")
}

/// Sends requests until one is served. Returns the number of refusals, or their status codes if
/// none was served in time.
async fn ask_until_served(gateway: &Gateway, program: &str) -> Result<usize, Vec<u16>> {
    let deadline = Instant::now() + SERVED_WITHIN;
    let mut refusals = Vec::new();
    while Instant::now() < deadline {
        let fields = format!(
            "Request: {program}-{}\r\nProgram: {program}\r\n",
            refusals.len()
        );
        let reply = gateway.ask("POST", "/chat/1", &fields, "x").await;
        if reply.head.status == 200 {
            return Ok(refusals.len());
        }
        refusals.push(reply.head.status);
        sleep(Duration::from_millis(100)).await;
    }
    Err(refusals)
}

/// Guards against one unreadable partition blocking others. Part of the log is down, and a daemon
/// claims a partition there and another one that is readable. When it read partitions one after
/// another, it kept retrying the first, and the second was reported as loading for as long as that
/// part of the log was down.
#[test]
fn unreadable_partition_does_not_block_other_partitions() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        world.partitions.set(2);
        world.list(&server).await;
        let gateway = world.gateway("g1").await;
        gateway
            .store
            .set_partition_fault(ledger_partition(0), LogFault::Silent);
        gateway.wait_ready(1).await;
        let fields = format!(
            "Request: t0\r\nProgram: {}\r\nDeadline: 600\r\n",
            program_in(0, 2)
        );
        let reply = gateway.ask("POST", "/chat/1", &fields, "x").await;
        assert_eq!(reply.head.status, 503);
        let outcome = ask_until_served(&gateway, &program_in(1, 2)).await;
        assert!(outcome.is_ok(), "{outcome:?}");
    });
}

/// Guards against waiting forever for an owner that cannot load its partition. A daemon claims a
/// partition and loses the log before it has read it. Gateways waited for a loading owner without a
/// limit and replaced only serving owners, so programs of the partition got 503 for as long as the
/// daemon was without the log.
#[test]
fn owner_that_loses_the_log_while_loading_is_replaced() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        world.partitions.set(1);
        world.list(&server).await;
        let cut_off = world.gateway("g1").await;
        cut_off
            .store
            .set_partition_fault(ledger_partition(0), LogFault::Silent);
        cut_off.wait_ready(1).await;
        let deadline = Instant::now() + Duration::from_secs(4);
        while !cut_off.daemon.owner.is_loading(0) {
            assert!(Instant::now() < deadline, "the partition was not claimed");
            sleep(Duration::from_millis(10)).await;
        }
        let other = world.gateway("g2").await;
        other.wait_ready(1).await;
        // The in-memory log does not update `log_health`.
        let log_health = other.daemon.log_health.clone();
        ntex::rt::spawn(async move {
            loop {
                log_health.record_answer();
                sleep(Duration::from_millis(100)).await;
            }
        });
        cut_off.store.set_fault(LogFault::Silent);
        cut_off.daemon.log_health.record_failure();
        sleep(Duration::from_millis(850)).await;
        cut_off.daemon.log_health.record_failure();
        let outcome = ask_until_served(&other, "p").await;
        assert!(outcome.is_ok(), "{outcome:?}");
    });
}

//! Partitions that are claimed and can't be read: what keeps programs waiting for an owner.

use crate::support::{Act, Gateway, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::ledger::owner::LEDGER_TOPIC;
use fieldhook_ledger::partition_of;
use fieldhook_log::api::Partition;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a program may be told to come back while some owner could answer it.
const SERVED_WITHIN: Duration = Duration::from_secs(12);

fn events() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

fn place(number: u32) -> Partition {
    Partition {
        topic: LEDGER_TOPIC.to_owned(),
        number,
    }
}

/// A program of a partition, of so many.
fn program_in(partition: u32, partitions: u32) -> String {
    let names = (0..).map(|salt| format!("q{salt}"));
    names
        .into_iter()
        .find(|name| partition_of(name, partitions) == partition)
        .expect("one of many names")
}

/// Asks until it is served; how often it was not.
async fn served(gateway: &Gateway, program: &str) -> Result<usize, Vec<u16>> {
    let until = Instant::now() + SERVED_WITHIN;
    let mut answers = Vec::new();
    while Instant::now() < until {
        let fields = format!(
            "Request: {program}-{}\r\nProgram: {program}\r\n",
            answers.len()
        );
        let reply = gateway.ask("POST", "/chat/1", &fields, "x").await;
        if reply.head.status == 200 {
            return Ok(answers.len());
        }
        answers.push(reply.head.status);
        sleep(Duration::from_millis(100)).await;
    }
    Err(answers)
}

/// Story: a part of the log is down. A daemon claims the partition that lies there and another
/// one after it. It reads one partition at a time, and tries the first for as long as that takes,
/// so the second, which the log would give it, is read by nobody: it has an owner that says it is
/// being read, and such owners are awaited. Programs of it are told to come back for as long as a
/// part of the log is down that has nothing to do with them.
#[test]
fn a_partition_that_cannot_be_read_keeps_no_other_from_being_read() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        world.partitions.set(2);
        world.list(&server).await;
        let gateway = world.gateway("g1").await;
        gateway.store.set_fault_of(place(0), LogFault::Silent);
        gateway.wait_ready(1).await;
        let fields = format!(
            "Request: t0\r\nProgram: {}\r\nDeadline: 600\r\n",
            program_in(0, 2)
        );
        let reply = gateway.ask("POST", "/chat/1", &fields, "x").await;
        assert_eq!(reply.head.status, 503);
        let outcome = served(&gateway, &program_in(1, 2)).await;
        assert!(outcome.is_ok(), "{outcome:?}");
    });
}

/// Story: a daemon claims a partition, and before it has read it the log serves it no longer,
/// while it serves all others. Whoever asks it is told that the partition is being read. An owner
/// that reads is awaited, however long, and one that serves is replaced: nobody takes this one's
/// place, and programs of it are told to come back for as long as its daemon is without the log.
#[test]
fn an_owner_that_lost_the_log_before_it_had_read_its_partition_is_replaced() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        world.partitions.set(1);
        world.list(&server).await;
        let cut = world.gateway("g1").await;
        cut.store.set_fault_of(place(0), LogFault::Silent);
        cut.wait_ready(1).await;
        let until = Instant::now() + Duration::from_secs(4);
        while !cut.daemon.owner.is_loading(0) {
            assert!(Instant::now() < until, "never claimed");
            sleep(Duration::from_millis(10)).await;
        }
        let other = world.gateway("g2").await;
        other.wait_ready(1).await;
        // The log in memory leaves no trace in a gateway's contact.
        let contact = other.daemon.contact.clone();
        ntex::rt::spawn(async move {
            loop {
                contact.record_answer();
                sleep(Duration::from_millis(100)).await;
            }
        });
        cut.store.set_fault(LogFault::Silent);
        cut.daemon.contact.record_failure();
        sleep(Duration::from_millis(850)).await;
        cut.daemon.contact.record_failure();
        let outcome = served(&other, "p").await;
        assert!(outcome.is_ok(), "{outcome:?}");
    });
}

//! Checks how much budget a new owner counts for a completed turn if all daemons were lost right
//! after it.
//!
//! If a program's contents are stored in a home partition, its program partition still determines
//! the order of its turns and counts its budget. The program partition records the turn as open,
//! with its token maximum reserved. When the turn completes, its contents become durable in the
//! home partition before the client gets the end of the response, while the program partition is
//! informed separately. If all daemons are lost right then, the new owner must not find a turn that
//! stays open forever. Otherwise the program would be refused every further turn, although it used
//! only 10 of 60 tokens. Without home regions one record covers both, and the end of the response
//! waits for it.

use crate::support::{Act, Server, World, config, run};
use fieldhook_gateway::ledger::owner::LEDGER_TOPIC;
use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::partition_of;
use fieldhook_ledger::record::Record;
use fieldhook_log::api::Partition as LogPartition;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::Map;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Number of global partitions.
const GLOBAL_PARTITIONS: u32 = 2;
/// Covers one reserved turn, but not two.
const BUDGET: u64 = 60;
const MAX_TOKENS: u64 = 40;
/// Time until all partitions have owners.
const OWNERS_SETTLED: Duration = Duration::from_millis(2_500);
/// Longer than the time for which programs without a record are uncertain after an owner is lost.
const UNCERTAINTY_MS: u64 = 60_000;

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("after 1970").as_millis() as u64
}

/// Builds the state that a new owner loads from the log for the program partition of a program.
fn new_owner_state(world: &World, program: &str) -> Partition {
    let log_partition = LogPartition {
        topic: LEDGER_TOPIC.to_owned(),
        number: partition_of(program, GLOBAL_PARTITIONS),
    };
    let page = world.log.core.borrow_mut().newest(&log_partition, None);
    let mut owner = Partition::after_loss(now_ms(), UNCERTAINTY_MS);
    for (_, record) in &page.records {
        owner.load(Record::decode(&record.key, &record.value).expect("a record"));
    }
    owner.finish_loading();
    owner
}

fn next_turn(program: &str) -> OpenTurn {
    OpenTurn {
        tenant: None,
        turn: "t2".to_owned(),
        attempt: 1,
        program: program.to_owned(),
        session: None,
        previous: Some("t1".to_owned()),
        wants_chain: false,
        retains_context: false,
        supplies_chain: false,
        budget: Some(BUDGET),
        max_tokens: MAX_TOKENS,
        assignment: None,
        home_partition: None,
    }
}

/// Runs a turn of ten tokens, and opens the next turn at a new owner that knows only what the log
/// holds when the client has the complete response.
async fn open_next_turn_after_loss(homes: RegionSet) -> OpenOutcome {
    let world = World::new().await;
    world.partitions.set(GLOBAL_PARTITIONS);
    *world.zones.borrow_mut() = Map::new([("a1", "a"), ("b1", "b")]);
    let mut initial = config(1);
    for route in &mut initial.routes {
        route.allowed_regions = homes.clone();
    }
    world.configs.borrow_mut()[0] = initial;
    let server = Server::start("sa", Act::Events(vec!["one".to_owned()], None)).await;
    world.list_in(&server, "a1").await;
    let a = world.gateway_in("a1", "a1").await;
    let b = world.gateway_in("b1", "b1").await;
    for gateway in [&a, &b] {
        gateway.wait_ready(1).await;
    }
    sleep(OWNERS_SETTLED).await;
    let fields = format!("Request: t1\r\nProgram: p\r\nBudget: {BUDGET}\r\nMost: {MAX_TOKENS}\r\n");
    let reply = b.ask("POST", "/chat/1", &fields, "said;").await;
    assert!(reply.complete && reply.head.status == 200);
    new_owner_state(&world, "p").open(&next_turn("p"), now_ms())
}

fn is_opened(outcome: &OpenOutcome) -> bool {
    matches!(outcome, OpenOutcome::Opened { .. })
}

#[test]
fn completed_turn_counts_its_used_tokens_after_owner_loss() {
    run(async {
        let next = open_next_turn_after_loss(RegionSet::All).await;
        assert!(is_opened(&next), "{next:?}");
    });
}

#[test]
fn completed_turn_stored_in_home_regions_counts_its_used_tokens_after_owner_loss() {
    run(async {
        let next = open_next_turn_after_loss(RegionSet::from_names(["a"])).await;
        assert!(is_opened(&next), "{next:?}");
    });
}

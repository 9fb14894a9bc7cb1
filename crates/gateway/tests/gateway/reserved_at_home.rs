//! What a successor counts of a turn whose client has its whole answer.
//!
//! Story: a program's turns are kept in its homes, apart from the partition that orders and counts
//! them. Its first turn is recorded there as under way, with its most. It ends whole: the client
//! has the end of its answer, what it said is durable, and the gateway tells the other partition
//! its end beside that. All daemons are lost a moment later. Whoever comes next reads a turn under
//! way that nobody will end, and the program, which has used a sixth of its budget, is told at each
//! turn that goes on from the kept one that its budget is spent. Where homes bind nothing the end
//! of the answer waits for a record that tells both.

use crate::support::{Act, Server, World, config, run};
use fieldhook_gateway::ledger::owner::LEDGER_TOPIC;
use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::partition_of;
use fieldhook_ledger::record::Record;
use fieldhook_log::api::Partition as Place;
use fieldhook_topology::region::Set;
use fieldhook_topology::zone::Map;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

const FREE: u32 = 2;
/// Holds one turn and no second one beside it.
const BUDGET: u64 = 60;
const MOST: u64 = 40;
/// Time for the partitions to find their owners.
const SETTLED: Duration = Duration::from_millis(2_500);
/// Longer than any doubt.
const DOUBT_MS: u64 = 60_000;

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("after 1970").as_millis() as u64
}

/// The owner that begins from what the log holds now of the partition that orders a program.
fn successor(world: &World, program: &str) -> Partition {
    let place = Place {
        topic: LEDGER_TOPIC.to_owned(),
        number: partition_of(program, FREE),
    };
    let page = world.log.core.borrow_mut().newest(&place, None);
    let mut owner = Partition::after_loss(now_ms(), DOUBT_MS);
    for (_, record) in &page.records {
        owner.load(Record::read(&record.key, &record.value).expect("a record"));
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
        keeps_context: false,
        supplies_chain: false,
        budget: Some(BUDGET),
        max_tokens: MOST,
        placement: None,
        home_partition: None,
    }
}

/// Runs a turn of ten tokens and loses all daemons at the end of its answer.
async fn next_turn_after_a_loss(homes: Set) -> OpenOutcome {
    let world = World::new().await;
    world.partitions.set(FREE);
    *world.zones.borrow_mut() = Map::new([("a1", "a"), ("b1", "b")]);
    let mut first = config(1);
    for route in &mut first.routes {
        route.homes = homes.clone();
    }
    world.configs.borrow_mut()[0] = first;
    let server = Server::start("sa", Act::Events(vec!["one".to_owned()], None)).await;
    world.list_in(&server, "a1").await;
    let a = world.gateway_in("a1", "a1").await;
    let b = world.gateway_in("b1", "b1").await;
    for gateway in [&a, &b] {
        gateway.wait_ready(1).await;
    }
    sleep(SETTLED).await;
    let fields = format!("Request: t1\r\nProgram: p\r\nBudget: {BUDGET}\r\nMost: {MOST}\r\n");
    let reply = b.ask("POST", "/chat/1", &fields, "said;").await;
    assert!(reply.whole && reply.head.status == 200);
    successor(&world, "p").open(&next_turn("p"), now_ms())
}

fn is_opened(outcome: &OpenOutcome) -> bool {
    matches!(outcome, OpenOutcome::Opened { .. })
}

#[test]
fn a_whole_turn_is_counted_by_its_tokens_after_a_loss() {
    run(async {
        let next = next_turn_after_a_loss(Set::All).await;
        assert!(is_opened(&next), "{next:?}");
    });
}

#[test]
fn a_whole_turn_that_is_kept_in_its_homes_is_counted_by_its_tokens_after_a_loss() {
    run(async {
        let next = next_turn_after_a_loss(Set::of(["a"])).await;
        assert!(is_opened(&next), "{next:?}");
    });
}

//! The operator splits a route between two services of engines whose events carry different numbers
//! of tokens.

use crate::client::Client;
use crate::cluster::{Cluster, Record, Route, STRIDE_B, Trouble};
use crate::large_turn::{Turn, next_id, send};
use std::time::Duration;

const EVENTS: u64 = 8;
/// The most of one turn, at either service.
const MOST: u64 = EVENTS * STRIDE_B;
const BUDGET: u64 = 4_096;
const PROGRAMS: usize = 6;
const MAX_TURNS: usize = 40;

pub fn run(record: Record) -> bool {
    let mut route = Route {
        name: "chat",
        kind: "streaming",
        service: "engines",
        timeout_ms: 4_000,
        max_attempts: 1,
        extra: ",\"retain-context\":true,\"retention-s\":60,\"target-gap-ms\":200",
    };
    let cluster = Cluster::start_with_second_service(record.clone(), &[route], &[Trouble::None; 6]);
    if crate::has_trouble() {
        route.extra = ",\"retain-context\":true,\"retention-s\":60,\"target-gap-ms\":200,\
                       \"traffic-split\":[{\"service\":\"engines\",\"weight\":50},{\"service\":\"engines-b\",\"weight\":50}]";
    }
    cluster.put_config(7, &[route]);
    // More than `config-apply-ms`.
    std::thread::sleep(Duration::from_secs(4));
    let mut worst = 0;
    for number in 0..PROGRAMS {
        let program = format!("p{}", next_id());
        let mut client = Client::new(cluster.address(number));
        let (mut previous, mut tokens, mut refused) = (None, 0, false);
        for turn in 0..MAX_TURNS {
            let turn = Turn {
                id: next_id(),
                program: program.clone(),
                previous: previous.clone(),
                input: format!("question {turn} of {program};out={EVENTS}x100;").into_bytes(),
                most: MOST,
            };
            let answer = send(&mut client, &turn, BUDGET);
            let stride = cluster.stride_of(&turn.id);
            tokens += answer.events.len() as u64 * stride;
            record.write(&format!(
                "turn {} of {program}: status={} whole={} events={} of {stride} tokens each; program so far: {tokens}",
                turn.id, answer.status, answer.whole, answer.events.len()
            ));
            if answer.status == 402 {
                refused = true;
                break;
            }
            if answer.whole && answer.status == 200 {
                previous = Some(turn.id);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        record.write(&format!("{program} got {tokens} tokens; told that its budget is spent: {refused}"));
        worst = worst.max(tokens);
    }
    cluster.all_run();
    cluster.end();
    let summary = format!("most tokens of one program: {worst}; budget and the most of one turn: {}", BUDGET + MOST);
    record.write(&summary);
    println!("{summary}");
    worst > BUDGET + MOST
}

//! An engine whose answer to one turn never ends.

use crate::client::Client;
use crate::cluster::{Cluster, Record, Route, STRIDE, Trouble};
use crate::large_turn::{Turn, next_id, send};

const MOST: u64 = 8 * STRIDE;
const BUDGET: u64 = 2_304;

pub fn run(record: Record) -> bool {
    let routes = [Route {
        name: "chat",
        kind: "streaming",
        service: "engines",
        timeout_ms: 4_000,
        max_attempts: 1,
        extra: ",\"retain-context\":true,\"retention-s\":60,\"target-gap-ms\":200",
    }];
    let engines = match crate::has_trouble() {
        true => [Trouble::Endless; 4],
        false => [Trouble::None; 4],
    };
    let cluster = Cluster::start(record.clone(), &routes, &engines);
    let mut client = Client::new(cluster.address(0));
    let mut worst = 0;
    for number in 0..4 {
        let program = format!("p{}", next_id());
        let turn = Turn {
            id: next_id(),
            program: program.clone(),
            previous: None,
            input: format!("endless; question {number};out=8x100;").into_bytes(),
            most: MOST,
        };
        let answer = send(&mut client, &turn, BUDGET);
        let tokens = answer.events.len() as u64 * STRIDE;
        record.write(&format!(
            "turn {} of {program}: status={} whole={} events={} tokens={tokens} of a budget of {BUDGET} and {MOST} a turn, took={}",
            turn.id, answer.status, answer.whole, answer.events.len(), answer.took_ms
        ));
        worst = worst.max(tokens);
    }
    cluster.all_run();
    cluster.end();
    let summary = format!("most tokens of one program: {worst}; allowed {}", BUDGET + MOST);
    record.write(&summary);
    println!("{summary}");
    worst > BUDGET + MOST
}

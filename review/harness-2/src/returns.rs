//! Programs whose gateways are killed while their first turns are under way, and that return later.

use crate::client::Client;
use crate::cluster::{Cluster, Record, Route, STRIDE, Trouble};
use crate::large_turn::{Turn, next_id, send};
use std::sync::Arc;
use std::time::Duration;

const GATEWAYS: usize = 5;
/// 0.6 of the gateways, as with `herd_kill`.
const KILLED: usize = 3;
const PROGRAMS: usize = 18;
const SIDE_BY_SIDE: usize = 2;
const EVENTS: u64 = 18;
const MOST: u64 = EVENTS * STRIDE;
const BUDGET: u64 = 2_304;
const REST: Duration = Duration::from_secs(26);

pub fn run(record: Record) -> bool {
    let routes = [Route {
        name: "chat",
        kind: "streaming",
        service: "engines",
        timeout_ms: 4_000,
        max_attempts: 1,
        extra: ",\"retention-s\":60,\"target-gap-ms\":200",
    }];
    let cluster = Arc::new(Cluster::start_gateways(record.clone(), &routes, &[Trouble::None; 11], GATEWAYS));
    let names: Vec<String> = (0..PROGRAMS).map(|_| format!("p{}", next_id())).collect();
    let turn = |cluster: &Cluster, gateway: usize, program: &str, slow: bool| {
        let pace = if slow { "slow;" } else { "" };
        let turn = Turn {
            id: next_id(),
            program: program.to_owned(),
            previous: None,
            input: format!("{pace}question;out={EVENTS}x60;").into_bytes(),
            most: MOST,
        };
        let answer = send(&mut Client::new(cluster.address(gateway)), &turn, BUDGET);
        cluster.record.write(&format!(
            "turn {} of {program} by gateway {gateway}: status={} whole={} events={}",
            turn.id, answer.status, answer.whole, answer.events.len()
        ));
        (answer.status, answer.events.len() as u64 * STRIDE)
    };
    let mut totals = vec![0; PROGRAMS];
    std::thread::scope(|scope| {
        let (turn, cluster) = (&turn, &cluster);
        let first: Vec<_> = (0..PROGRAMS * SIDE_BY_SIDE)
            .map(|number| {
                let name = &names[number / SIDE_BY_SIDE];
                (number / SIDE_BY_SIDE, scope.spawn(move || turn(cluster, number % KILLED, name, true).1))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(450));
        if crate::has_trouble() {
            record.write("3 of 5 gateways are killed");
            cluster.gateways.lock().expect("lock")[..KILLED].iter_mut().for_each(|gateway| gateway.kill());
            std::thread::sleep(Duration::from_secs(2));
            cluster.gateways.lock().expect("lock")[..KILLED].iter_mut().for_each(|gateway| gateway.start());
            record.write("they start again");
        }
        for (program, first) in first {
            totals[program] += first.join().unwrap_or(0);
        }
        std::thread::sleep(REST);
        record.write("the programs return");
        let rest: Vec<_> = (0..PROGRAMS)
            .map(|program| {
                let name = &names[program];
                scope.spawn(move || {
                    let mut tokens = 0;
                    for number in 0..16 {
                        let (status, more) = turn(cluster, program + number, name, false);
                        tokens += more;
                        if status == 402 {
                            break;
                        }
                    }
                    tokens
                })
            })
            .collect();
        for (program, rest) in rest.into_iter().enumerate() {
            totals[program] += rest.join().unwrap_or(0);
        }
    });
    cluster.end();
    let over = totals.iter().filter(|tokens| **tokens > BUDGET + MOST).count();
    let summary = format!(
        "{over} of {PROGRAMS} programs got more than {} tokens; least {:?}, most {:?}",
        BUDGET + MOST,
        totals.iter().min(),
        totals.iter().max()
    );
    record.write(&summary);
    println!("{summary}");
    over > 0
}

//! Engines whose answers never end, beside calls of other clients. The stand-in of the platform kills
//! a process that goes over `memory-mb` and starts it again, as it does on a machine.

use crate::client::Client;
use crate::cluster::{Cluster, MEMORY_MB, Record, Route, Trouble};
use crate::large_turn::{Turn, next_id, send};
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CALLERS: usize = 24;
const LENGTH: Duration = Duration::from_secs(40);
/// Turns without end: three by each of two gateways.
const ENDLESS: [usize; 6] = [0, 1, 0, 1, 0, 1];
const FIRST_AT: Duration = Duration::from_secs(3);
const PERIOD: Duration = Duration::from_secs(6);
const RESTART_AFTER: Duration = Duration::from_millis(500);

pub fn run(record: Record) -> bool {
    let routes = [
        Route {
            name: "chat",
            kind: "streaming",
            service: "engines",
            timeout_ms: 4_000,
            max_attempts: 1,
            extra: ",\"retain-context\":true,\"retention-s\":60,\"target-gap-ms\":200",
        },
        Route { name: "pay", kind: "unsafe", service: "app", timeout_ms: 3_000, max_attempts: 1, extra: "" },
    ];
    let trouble = match crate::has_trouble() {
        true => Trouble::Torrent,
        false => Trouble::None,
    };
    let cluster = Arc::new(Cluster::start(record.clone(), &routes, &[trouble; 4]));
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    // (gateway, when it ended in ms)
    let ends: Arc<Mutex<Vec<(usize, u64)>>> = Arc::default();
    let platform = {
        let (cluster, stop, ends, record) = (cluster.clone(), stop.clone(), ends.clone(), record.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                for index in 0..3 {
                    let used_mb = cluster.gateways.lock().expect("lock")[index].memory_mb().unwrap_or(0);
                    if used_mb <= MEMORY_MB {
                        continue;
                    }
                    let now_ms = record.ms();
                    record.write(&format!("gateway {index} uses {used_mb} MB of {MEMORY_MB}: killed"));
                    ends.lock().expect("lock").push((index, now_ms));
                    cluster.gateways.lock().expect("lock")[index].kill();
                    std::thread::sleep(RESTART_AFTER);
                    cluster.gateways.lock().expect("lock")[index].start();
                    record.write(&format!("gateway {index} starts again"));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    };
    // What was sent, whether on a kept connection, by which gateway, when it ended, and its status.
    let calls: Arc<Mutex<Vec<(String, bool, usize, u64, u16)>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (cluster, calls, record) = (cluster.clone(), calls.clone(), record.clone());
        callers.push(std::thread::spawn(move || {
            let gateway = number % 3;
            let mut client = Client::new(cluster.address(gateway));
            while started.elapsed() < LENGTH {
                let id = next_id();
                let fields = [("X-Request-Id", id.clone()), ("X-Deadline-Ms", "3000".to_owned())];
                let answer = client.send("/pay/plan", &fields, b"amount=5", Duration::from_secs(4), usize::MAX);
                let now_ms = record.ms();
                if answer.status != 200 || !answer.whole {
                    record.write(&format!(
                        "call {id} by gateway {gateway}: status={} whole={} took={} kept={}",
                        answer.status, answer.whole, answer.took_ms, answer.kept
                    ));
                    std::thread::sleep(Duration::from_millis(100));
                }
                calls.lock().expect("lock").push((id, answer.kept, gateway, now_ms, answer.status));
            }
        }));
    }
    for (number, gateway) in ENDLESS.iter().enumerate() {
        let at = FIRST_AT + PERIOD * number as u32;
        std::thread::sleep(at.saturating_sub(started.elapsed()));
        let turn = Turn {
            id: next_id(),
            program: format!("p{}", next_id()),
            previous: None,
            input: format!("endless; question {number};out=8x1000;").into_bytes(),
            most: 128,
        };
        let answer = send(&mut Client::new(cluster.address(*gateway)), &turn, 2_304);
        record.write(&format!(
            "turn {} by gateway {gateway}: status={} whole={} events={} took={}",
            turn.id, answer.status, answer.whole, answer.events.len(), answer.took_ms
        ));
    }
    for caller in callers {
        let _ = caller.join();
    }
    stop.store(true, Ordering::SeqCst);
    let _ = platform.join();
    let runs: HashSet<String> = cluster.runs.lock().expect("lock").iter().map(|run| run.id.clone()).collect();
    cluster.end();
    let ends = ends.lock().expect("lock");
    let calls = calls.lock().expect("lock");
    let lost = calls.iter().filter(|(id, kept, gateway, at_ms, status)| {
        let by_end = ends.iter().any(|(ended, end_ms)| ended == gateway && at_ms.abs_diff(*end_ms) < 400);
        *kept && *status == 0 && by_end && runs.contains(id)
    });
    let lost = lost.count();
    let often = (0..3).filter(|index| ends.iter().filter(|(ended, _)| ended == index).count() >= 3).count();
    let summary = format!(
        "{} calls; processes that ended by themselves (over {MEMORY_MB} MB): {}, on {often} machines three times; \
         calls of kept connections run by a sound server and closed without an answer: {lost}",
        calls.len(),
        ends.len()
    );
    record.write(&summary);
    println!("{summary}");
    lost > 3 || often >= 2
}

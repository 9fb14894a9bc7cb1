//! Another writer's entry, with fields missing, under the id of an engine.

use crate::client::Client;
use crate::cluster::{Cluster, Record, Route, Trouble};
use crate::large_turn::next_id;
use std::sync::Arc;
use std::time::{Duration, Instant};

const CALLERS: usize = 12;
const LENGTH: Duration = Duration::from_secs(24);
const PERIOD: Duration = Duration::from_millis(4_000);

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
    let cluster = Arc::new(Cluster::start(record.clone(), &routes, &[Trouble::None; 4]));
    let started = Instant::now();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (cluster, record) = (cluster.clone(), record.clone());
        callers.push(std::thread::spawn(move || {
            let mut client = Client::new(cluster.address(number));
            while started.elapsed() < LENGTH {
                let id = next_id();
                let fields = [("X-Request-Id", id.clone()), ("X-Deadline-Ms", "3000".to_owned())];
                let answer = client.send("/pay/plan", &fields, b"amount=5", Duration::from_secs(4), usize::MAX);
                record.write(&format!("call {id}: status={} whole={}", answer.status, answer.whole));
                std::thread::sleep(Duration::from_millis(30));
            }
        }));
    }
    let mut number = 0;
    while started.elapsed() + PERIOD < LENGTH {
        std::thread::sleep(PERIOD);
        if crate::has_trouble() {
            let (name, address, zone) = cluster.engine(number);
            // Without `slots`, `version`, `cold-remaining-ms`, `sequence` and `born`.
            let entry = format!(
                "{{\"service\":\"app\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"state\":\"ready\"}}"
            );
            record.write(&format!("another writer's entry under {name}: {entry}"));
            cluster.store.put("keyed.servers", &name, entry.as_bytes());
        }
        number += 1;
    }
    for caller in callers {
        let _ = caller.join();
    }
    let runs = cluster.runs.lock().expect("lock").clone();
    cluster.all_run();
    cluster.end();
    let calls = runs.iter().filter(|run| run.path.starts_with("/pay/")).count();
    let wrong: Vec<_> =
        runs.iter().filter(|run| run.path.starts_with("/pay/") && !run.server.starts_with("app-")).collect();
    for run in &wrong {
        record.write(&format!("ROUTE: call {} was run by {} of service engines", run.id, run.server));
    }
    let summary = format!("{calls} calls run, {} of them by servers of a service that no configuration names", wrong.len());
    record.write(&summary);
    println!("{summary}");
    !wrong.is_empty()
}

//! Engines that hand out wrong bytes in some of their answers, on a route whose streams may be
//! resumed.

use crate::client::Client;
use crate::cluster::{Cluster, Record, Route, Trouble, data_of};
use crate::large_turn::next_id;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const TIMEOUT_MS: u64 = 4_000;
const LENGTH: Duration = Duration::from_secs(20);
const CLIENTS: usize = 12;
const EVENTS: u64 = 10;
const SIZE: usize = 100;
/// One answer of a garbling engine in this many: 2 in 100.
const ONE_IN: u64 = 50;

pub fn run(record: Record) -> bool {
    let routes = [Route {
        name: "draft",
        kind: "streaming",
        service: "engines",
        timeout_ms: TIMEOUT_MS,
        max_attempts: 2,
        extra: ",\"resumable\":true,\"target-gap-ms\":400",
    }];
    // Half of the engines.
    let engines = match crate::has_trouble() {
        true => [Trouble::Garble(ONE_IN), Trouble::None, Trouble::Garble(ONE_IN), Trouble::None],
        false => [Trouble::None; 4],
    };
    let cluster = Arc::new(Cluster::start(record.clone(), &routes, &engines));
    let started = Instant::now();
    let (streams, missing, twice) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let (cluster, record) = (cluster.clone(), record.clone());
        let (streams, missing, twice) = (streams.clone(), missing.clone(), twice.clone());
        threads.push(std::thread::spawn(move || {
            let mut client = Client::new(cluster.address(number));
            while started.elapsed() < LENGTH {
                let id = next_id();
                let fields = [
                    ("X-Request-Id", id.clone()),
                    ("X-Program-Id", format!("p{id}")),
                    ("X-Session-Id", format!("s{id}")),
                    ("X-Program-Deadline-Ms", "60000".to_owned()),
                    ("X-Model", "m".to_owned()),
                    ("X-Token-Usage", "300,160".to_owned()),
                    ("X-Prompt-Prefix", format!("5c1e07a2:512,{id}:100")),
                    ("X-Deadline-Ms", TIMEOUT_MS.to_string()),
                    ("X-Token-Budget", "100000".to_owned()),
                ];
                let body = format!("a draft {id};out={EVENTS}x{SIZE};");
                let limit = Duration::from_millis(TIMEOUT_MS + 1_000);
                let answer = client.send("/draft/one", &fields, body.as_bytes(), limit, usize::MAX);
                streams.fetch_add(1, Ordering::SeqCst);
                let ids: Vec<u64> = answer.events.iter().filter_map(|(id, _)| *id).collect();
                let sound = answer.events.iter().all(|(id, data)| id.is_some_and(|id| *data == data_of(id, SIZE)));
                let gap = ids.iter().zip(1..).any(|(id, expected)| *id > expected);
                let repeated = ids.windows(2).any(|pair| pair[1] <= pair[0]);
                record.write(&format!(
                    "stream {id}: status={} whole={} ids={ids:?} sound={sound} gap={gap} twice={repeated}",
                    answer.status, answer.whole
                ));
                missing.fetch_add(u64::from(gap), Ordering::SeqCst);
                twice.fetch_add(u64::from(repeated), Ordering::SeqCst);
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let spoiled = cluster.runs.lock().expect("lock").iter().filter(|run| run.spoiled).count();
    let runs = cluster.runs.lock().expect("lock").len();
    cluster.all_run();
    cluster.end();
    let (missing, twice) = (missing.load(Ordering::SeqCst), twice.load(Ordering::SeqCst));
    let summary = format!(
        "{} streams, {runs} runs, {spoiled} spoiled by engines; streams with a piece missing: {missing}, twice: {twice}",
        streams.load(Ordering::SeqCst)
    );
    record.write(&summary);
    println!("{summary}");
    missing + twice > 0
}

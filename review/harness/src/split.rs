//! A route split over two services whose `stream-stride` differ.

use crate::Verdict;
use crate::cluster::{Folder, Gateway, HOST, Record, new_id, publish};
use crate::engine::{Attempt, Engines, Run};
use crate::store::Store;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const BUDGET: u64 = 1_000;
const MOST: u64 = 100;
const TURNS: usize = 60;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = Folder::new()?;
    let store = Store::start()?;
    let split = match trouble {
        true => "[{\"service\":\"llm-a\",\"weight\":0.5},{\"service\":\"llm-b\",\"weight\":0.5}]",
        false => "[{\"service\":\"llm-b\",\"weight\":1}]",
    };
    publish(
        &store,
        1,
        &format!(
            "[{{\"name\":\"chat\",\"host\":\"{HOST}\",\"path-prefix\":\"/lohu930/\",\"kind\":\"streaming\",\
            \"timeout-ms\":4000,\"target-latency-ms\":200,\"target-gap-ms\":200,\"priority\":1,\
            \"traffic-split\":{split},\"max-attempts\":1}}]"
        ),
        "[{\"name\":\"llm-a\",\"engine\":{\"slots\":12,\"stream-stride\":1}},\
        {\"name\":\"llm-b\",\"engine\":{\"slots\":12,\"stream-stride\":9}}]",
    );
    let words = |count: usize| {
        move |_: &Run| {
            (0..count)
                .map(|number| format!("word {number}").into_bytes())
                .collect()
        }
    };
    let pause = Duration::from_millis(1);
    Engines::start(&store, "llm-a", 2, pause, Arc::new(words(90)), &record)?;
    let of_nine = Engines::start(&store, "llm-b", 2, pause, Arc::new(words(10)), &record)?;
    let mut gateway = Gateway::new(0, &temporary.0, store.address)?;
    gateway.start(root)?;
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Ok(Verdict::NotRun("the gateway is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(3));
    let program = new_id()[..6].to_owned();
    let mut tokens = 0;
    for _ in 0..TURNS {
        let attempt = Attempt {
            path: "/lohu930/2f",
            program: &program,
            previous: None,
            budget: Some(BUDGET),
            usage: "600,100",
            deadline_ms: 4_000,
            input: b"go on",
            resumes: None,
        };
        let got = attempt.send(gateway.clients, &record, |_| {});
        let is_of_nine = of_nine
            .runs
            .lock()
            .unwrap()
            .iter()
            .any(|run| run.id == got.id);
        tokens += got.events.len() as u64 * if is_of_nine { 9 } else { 1 };
        if got.status == 402 {
            break;
        }
    }
    record.say(&format!(
        "{tokens} tokens handed out; X-Token-Budget {BUDGET}, most of a turn {MOST}"
    ));
    Ok(if tokens > BUDGET + MOST {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

//! A turn whose stream is taken up at another gateway, and the turn after it.

use crate::Verdict;
use crate::cluster::{Folder, Gateway, HOST, Record, new_id, publish};
use crate::engine::{Attempt, Engines, Run};
use crate::store::Store;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const GATEWAYS: usize = 7;
const PATH: &str = "/lohu930/2f";
const EVENTS: usize = 10;
const KILL_AFTER: u64 = 4;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = Folder::new()?;
    let store = Store::start()?;
    publish(
        &store,
        1,
        &format!(
            "[{{\"name\":\"chat\",\"host\":\"{HOST}\",\"path-prefix\":\"/lohu930/\",\"kind\":\"streaming\",\
            \"timeout-ms\":4000,\"target-latency-ms\":200,\"target-gap-ms\":200,\"priority\":1,\"service\":\"agent-llm\",\
            \"max-attempts\":2,\"sticky-sessions\":true,\"retain-context\":true,\"retention-s\":60,\"resumable\":true}}]"
        ),
        "[{\"name\":\"agent-llm\",\"max-connections\":160,\"health-path\":\"/health\",\"engine\":{\"slots\":12,\"stream-stride\":9}}]",
    );
    let script = |_: &Run| {
        (0..EVENTS)
            .map(|number| format!("word {number}").into_bytes())
            .collect()
    };
    let engines = Engines::start(
        &store,
        "agent-llm",
        4,
        Duration::from_millis(60),
        Arc::new(script),
        &record,
    )?;
    let mut gateways = Vec::new();
    for index in 0..GATEWAYS {
        let mut gateway = Gateway::new(index, &temporary.0, store.address)?;
        gateway.start(root)?;
        gateways.push(gateway);
    }
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(10)))
    {
        return Ok(Verdict::NotRun("a gateway is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(3));
    let program = new_id()[..6].to_owned();
    let attempt = |previous, input, resumes| Attempt {
        path: PATH,
        program: &program,
        previous,
        budget: Some(4_000),
        usage: "600,288",
        deadline_ms: 4_000,
        input,
        resumes,
    };
    let victim = gateways[0].clients;
    let first = attempt(None, b"hello", None).send(victim, &record, |event| {
        if trouble && event == KILL_AFTER {
            record.line("the gateway is killed");
            gateways[0].kill();
        }
    });
    let other = gateways[1].clients;
    let mut turn = first.id.clone();
    let mut events = first.events.clone();
    if !first.is_whole() {
        let (last, _) = *first.events.last().unwrap_or(&(0, Vec::new()));
        let second = attempt(None, b"hello", Some((last, &first.id))).send(other, &record, |_| {});
        if !second.is_whole() {
            return Ok(Verdict::NotRun("the stream was not taken up".to_owned()));
        }
        turn = second.id.clone();
        events.extend(second.events);
    }
    let ids: Vec<u64> = events.iter().map(|(id, _)| *id).collect();
    record.line(&format!("the client has the events {ids:?} of turn {turn}"));
    let mut expected = b"hello".to_vec();
    for (_, data) in &events {
        expected.extend_from_slice(data);
        expected.push(b'\n');
    }
    expected.extend_from_slice(b"and now?");
    let next = attempt(Some(&turn), b"and now?", None).send(other, &record, |_| {});
    let runs = engines.runs.lock().unwrap();
    let Some(run) = runs.iter().find(|run| run.id == next.id) else {
        record.say(&format!(
            "the next turn reached no server: status {}",
            next.status
        ));
        return Ok(Verdict::NotRun(
            "the next turn reached no server".to_owned(),
        ));
    };
    record.say(&format!(
        "expected body: {:?}",
        String::from_utf8_lossy(&expected)
    ));
    record.say(&format!(
        "server's body: {:?}",
        String::from_utf8_lossy(&run.body)
    ));
    Ok(match run.body == expected {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

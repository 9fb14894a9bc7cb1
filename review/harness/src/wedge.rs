//! One long turn whose record is larger than the store's `record_bytes`, and the programs after it.

use crate::Verdict;
use crate::cluster::{Folder, Gateway, HOST, Record, new_id, publish};
use crate::engine::{Attempt, Engines, Run};
use crate::store::Store;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const GATEWAYS: usize = 4;
const ENGINES: usize = 11;
const PATH: &str = "/lohu930/2f";
/// After the long turn.
const PROGRAMS: usize = 64;
/// Before the long turn.
const BEFORE: usize = 10;
/// Bytes of the long turn's input; the limit is `max-body-bytes`, 4,194,304.
const LONG_INPUT: usize = 190_000;
/// Events of the long turn's answer, and bytes of each with the trouble and without.
const LONG_EVENTS: usize = 200;
const LONG_EVENT: usize = 400;
const USUAL_EVENT: usize = 75;
/// From the end of the long turn until the others.
const AFTER: Duration = Duration::from_secs(20);

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
            \"max-attempts\":1,\"sticky-sessions\":true,\"retain-context\":true,\"retention-s\":60}}]"
        ),
        "[{\"name\":\"agent-llm\",\"max-connections\":160,\"health-path\":\"/health\",\"engine\":{\"slots\":12,\"stream-stride\":9}}]",
    );
    let script = move |run: &Run| match run.body.starts_with(b"long") {
        true => vec![vec![b'y'; if trouble { LONG_EVENT } else { USUAL_EVENT }]; LONG_EVENTS],
        false => (0..4)
            .map(|number| format!("word {number}").into_bytes())
            .collect(),
    };
    let engines = Engines::start(
        &store,
        "agent-llm",
        ENGINES,
        Duration::from_millis(8),
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
    thread::sleep(Duration::from_secs(4));
    let turn = |gateway: usize,
                program: &str,
                previous: Option<&str>,
                input: &[u8],
                usage,
                deadline_ms| {
        let attempt = Attempt {
            path: PATH,
            program,
            previous,
            budget: Some(20_000),
            usage,
            deadline_ms,
            input,
            resumes: None,
        };
        attempt.send(gateways[gateway % GATEWAYS].clients, &record, |_| {})
    };
    let usual = |gateway: usize, program: &str, previous: Option<&str>| {
        turn(gateway, program, previous, b"hello", "600,288", 1_200)
    };
    let ran = |id: &str| engines.runs.lock().unwrap().iter().any(|run| run.id == id);
    let first_turns = |count: usize| {
        thread::scope(|scope| {
            let turns: Vec<_> = (0..count)
                .map(|number| scope.spawn(move || usual(number, &new_id()[..6], None)))
                .collect();
            turns
                .into_iter()
                .filter_map(|turn| turn.join().ok())
                .collect::<Vec<_>>()
        })
    };
    if first_turns(BEFORE).iter().any(|got| !got.is_whole()) {
        return Ok(Verdict::NotRun(
            "first turns fail before the trouble".to_owned(),
        ));
    }
    let mut input = b"long ".to_vec();
    input.resize(LONG_INPUT, b'x');
    let long = turn(0, &new_id()[..6], None, &input, "47500,1800", 4_000);
    let bytes: usize = long.events.iter().map(|(_, data)| data.len()).sum();
    record.say(&format!(
        "the long turn: {} bytes of input, {} events with {bytes} bytes, whole: {}",
        input.len(),
        long.events.len(),
        long.is_whole()
    ));
    thread::sleep(AFTER);
    let first = first_turns(PROGRAMS);
    let first_ran = first.iter().filter(|got| ran(&got.id)).count();
    let first_whole = first.iter().filter(|got| got.is_whole()).count();
    let running = gateways.iter_mut().all(Gateway::runs);
    record.say(&format!(
        "{} s after it: of {PROGRAMS} first turns {first_ran} reached a server and {first_whole} were answered whole; all gateways run: {running}",
        AFTER.as_secs()
    ));
    Ok(if first_whole < PROGRAMS {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

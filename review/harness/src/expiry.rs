//! A turn that is answered while the turn that it goes on from expires, and the turn after it.

use crate::Verdict;
use crate::cluster::{Folder, Gateway, HOST, Record, new_id, publish};
use crate::engine::{Attempt, Engines, Run};
use crate::store::Store;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const PROGRAMS: usize = 16;
const RETENTION: Duration = Duration::from_secs(60);
/// Between the starts of two programs of a group.
const STAGGER: Duration = Duration::from_millis(600);
/// Between two events.
const PAUSE: Duration = Duration::from_millis(145);
const LONG: &[u8] = b"a long answer, please";
const USUAL: &[u8] = b"a usual answer, please";

/// Programs that go on from their first turn after a rest.
struct Group {
    name: &'static str,
    path: &'static str,
    timeout_ms: u64,
    /// From the end of the first turn to the start of the second one.
    rest: Duration,
    /// The same without the trouble.
    calm_rest: Duration,
    /// Input of the second turn, which tells how long its answer takes.
    input: &'static [u8],
    calm_input: &'static [u8],
}

const GROUPS: [Group; 2] = [
    // The second turn begins inside the retention of the first, and its answer takes 21.75 s.
    Group {
        name: "long answers",
        path: "/lohu931/2f",
        timeout_ms: 30_000,
        rest: Duration::from_millis(58_500),
        calm_rest: Duration::from_millis(58_500),
        input: LONG,
        calm_input: USUAL,
    },
    // Answers take 3.5 s, and the second turn begins 14.7 s after the retention of the first.
    Group {
        name: "late returns",
        path: "/lohu930/2f",
        timeout_ms: 4_000,
        rest: Duration::from_millis(74_700),
        calm_rest: Duration::from_millis(55_000),
        input: USUAL,
        calm_input: USUAL,
    },
];

pub fn run(root: &Path, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = Folder::new()?;
    let store = Store::start()?;
    let routes: Vec<String> = GROUPS
        .iter()
        .map(|group| {
            let prefix = group.path.trim_end_matches("2f");
            format!(
                "{{\"name\":\"chat{}\",\"host\":\"{HOST}\",\"path-prefix\":\"{prefix}\",\"kind\":\"streaming\",\
                \"timeout-ms\":{},\"target-latency-ms\":200,\"target-gap-ms\":200,\"priority\":1,\"service\":\"agent-llm\",\
                \"max-attempts\":1,\"sticky-sessions\":true,\"retain-context\":true,\"retention-s\":{}}}",
                group.timeout_ms, group.timeout_ms, RETENTION.as_secs()
            )
        })
        .collect();
    publish(
        &store,
        1,
        &format!("[{}]", routes.join(",")),
        "[{\"name\":\"agent-llm\",\"max-connections\":160,\"health-path\":\"/health\",\"engine\":{\"slots\":12,\"stream-stride\":9}}]",
    );
    let script = |run: &Run| {
        let count = match &run.body {
            body if body.ends_with(LONG) => 150,
            body if body.ends_with(USUAL) => 24,
            _ => 4,
        };
        (0..count)
            .map(|number| format!("word {number}").into_bytes())
            .collect()
    };
    let engines = Engines::start(&store, "agent-llm", 4, PAUSE, Arc::new(script), &record)?;
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
    let turn =
        |group: &Group, number: usize, program: &str, previous: Option<&str>, input: &[u8]| {
            let attempt = Attempt {
                path: group.path,
                program,
                previous,
                budget: Some(20_000),
                usage: "600,1400",
                deadline_ms: group.timeout_ms,
                input,
                resumes: None,
            };
            attempt.send(gateways[number % GATEWAYS].clients, &record, |_| {})
        };
    // Whether the second turn was answered whole, and the status of the third.
    let program = |group: &Group, number: usize| {
        thread::sleep(STAGGER * number as u32);
        let program = new_id()[..6].to_owned();
        let first = turn(group, number, &program, None, b"hello");
        let first_ended = Instant::now();
        if !first.is_whole() {
            return (false, 0);
        }
        thread::sleep(if trouble { group.rest } else { group.calm_rest });
        let input = if trouble {
            group.input
        } else {
            group.calm_input
        };
        let rest = first_ended.elapsed();
        let second = turn(group, number + 1, &program, Some(&first.id), input);
        let ended = Instant::now();
        if !second.is_whole() {
            return (false, 0);
        }
        thread::sleep(Duration::from_millis(150));
        let third = turn(group, number + 2, &program, Some(&second.id), b"and now?");
        if matches!(third.status, 404 | 410) && ended.elapsed() < RETENTION {
            record.line(&format!(
                "LOST ({}): turn {} is answered {}; its X-Previous-Turn {} was answered whole {} ms before, and went on from {} {:.1} s after that one's end",
                group.name, third.id, third.status, second.id, ended.elapsed().as_millis(), first.id, rest.as_secs_f64()
            ));
        }
        (true, third.status)
    };
    let mut results: Vec<(&Group, bool, u16)> = Vec::new();
    thread::scope(|scope| {
        let programs: Vec<_> = GROUPS
            .iter()
            .flat_map(|group| (0..PROGRAMS).map(move |number| (group, number)))
            .map(|(group, number)| {
                let program = &program;
                (group, scope.spawn(move || program(group, number)))
            })
            .collect();
        for (group, program) in programs {
            if let Ok((whole, status)) = program.join() {
                results.push((group, whole, status));
            }
        }
    });
    let running = gateways.iter_mut().all(Gateway::runs);
    let (mut whole, mut lost) = (0, 0);
    for group in &GROUPS {
        let of_group = || {
            results
                .iter()
                .filter(|result| result.0.name == group.name && result.1)
        };
        let got_lost = of_group()
            .filter(|result| matches!(result.2, 404 | 410))
            .count();
        let served = of_group().filter(|result| result.2 == 200).count();
        record.say(&format!(
            "{}: {} of {PROGRAMS} second turns answered whole; of the third turns right after them {served} were served and {got_lost} got 404",
            group.name,
            of_group().count()
        ));
        whole += of_group().count();
        lost += got_lost;
    }
    record.say(&format!(
        "{} runs at engines; all gateways run: {running}",
        engines.runs.lock().unwrap().len()
    ));
    if whole < PROGRAMS {
        return Ok(Verdict::NotRun(
            "too few second turns were answered whole".to_owned(),
        ));
    }
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

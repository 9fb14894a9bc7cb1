//! Programs whose gateway and owner are killed under their first turns, and that return later.

use crate::Verdict;
use crate::cluster::{Folder, Gateway, HOST, Record, new_id, publish};
use crate::engine::{Attempt, Engines, Run};
use crate::store::Store;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const GATEWAYS: usize = 5;
/// Killed at once: a share of 0.6.
const KILLED: usize = 3;
const PROGRAMS: usize = 18;
/// Turns of a program side by side when the gateways are killed.
const SIDE_BY_SIDE: usize = 2;
const PATH: &str = "/lohu930/2f";
const BUDGET: u64 = 2_304;
const MOST: u64 = 288;
const STRIDE: u64 = 9;
/// Between two events; an answer has 32.
const PAUSE: Duration = Duration::from_millis(50);
/// After this time 30 events or so of each turn have arrived.
const KILL_AFTER: Duration = Duration::from_millis(1_540);
const DOWN: Duration = Duration::from_secs(2);
/// From the kill until the programs return.
const REST: Duration = Duration::from_secs(26);

pub fn run(root: &Path, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = Folder::new()?;
    let store = Store::start()?;
    publish(
        &store,
        1,
        &format!(
            "[{{\"name\":\"collect\",\"host\":\"{HOST}\",\"path-prefix\":\"/lohu930/\",\"kind\":\"streaming\",\
            \"timeout-ms\":4000,\"target-latency-ms\":200,\"target-gap-ms\":200,\"priority\":0,\"service\":\"agent-llm\",\
            \"max-attempts\":1,\"sticky-sessions\":true,\"resumable\":true}}]"
        ),
        "[{\"name\":\"agent-llm\",\"max-connections\":160,\"health-path\":\"/health\",\"engine\":{\"slots\":12,\"stream-stride\":9}}]",
    );
    let script = |_: &Run| {
        (0..MOST / STRIDE)
            .map(|number| format!("word {number}").into_bytes())
            .collect()
    };
    let engines = Engines::start(&store, "agent-llm", 11, PAUSE, Arc::new(script), &record)?;
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
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.clients).collect();
    let turn = |gateway: usize, program: &str| {
        let attempt = Attempt {
            path: PATH,
            program,
            previous: None,
            budget: Some(BUDGET),
            usage: "600,288",
            deadline_ms: 4_000,
            input: b"go on",
            resumes: None,
        };
        let got = attempt.send(addresses[gateway], &record, |_| {});
        (got.status, got.events.len() as u64 * STRIDE)
    };
    let names: Vec<String> = (0..PROGRAMS).map(|_| new_id()[..6].to_owned()).collect();
    let mut before = [0; PROGRAMS];
    let mut refusals = 0;
    let mut after = [0; PROGRAMS];
    thread::scope(|scope| {
        let turn = &turn;
        let first: Vec<_> = (0..PROGRAMS * SIDE_BY_SIDE)
            .map(|number| {
                let program = number / SIDE_BY_SIDE;
                let name = &names[program];
                (program, scope.spawn(move || turn(number % KILLED, name)))
            })
            .collect();
        thread::sleep(KILL_AFTER);
        if trouble {
            record.line(&format!("{KILLED} of {GATEWAYS} gateways are killed"));
            gateways[..KILLED].iter_mut().for_each(Gateway::kill);
            thread::sleep(DOWN);
            for gateway in &mut gateways[..KILLED] {
                let _ = gateway.start(root);
            }
            record.line("they start again");
        }
        for (program, first) in first {
            before[program] += first.join().map_or(0, |(_, tokens)| tokens);
        }
        thread::sleep(REST);
        record.line("the programs return");
        let rest: Vec<_> = (0..PROGRAMS)
            .map(|program| {
                let name = &names[program];
                scope.spawn(move || {
                    let (mut tokens, mut refused) = (0, 0);
                    for number in 0..16 {
                        let (status, more) = turn((program + number) % GATEWAYS, name);
                        tokens += more;
                        if status == 402 {
                            refused += 1;
                            break;
                        }
                    }
                    (tokens, refused)
                })
            })
            .collect();
        for (program, rest) in rest.into_iter().enumerate() {
            let (tokens, refused) = rest.join().unwrap_or((0, 0));
            after[program] = tokens;
            refusals += refused;
        }
    });
    let running = gateways.iter_mut().all(Gateway::runs);
    let mut over = 0;
    for program in 0..PROGRAMS {
        let total = before[program] + after[program];
        let is_over = total > BUDGET + MOST;
        over += usize::from(is_over);
        record.line(&format!(
            "program {}: {} tokens before, {} after its return, {total} in all; X-Token-Budget {BUDGET}, most of a turn {MOST}{}",
            names[program], before[program], after[program], if is_over { ": BUDGET" } else { "" }
        ));
    }
    record.say(&format!(
        "{over} of {PROGRAMS} programs got more than {} tokens, at most {}; {refusals} ended with 402; {} runs at engines; all gateways run: {running}",
        BUDGET + MOST,
        (0..PROGRAMS).map(|program| before[program] + after[program]).max().unwrap_or(0),
        engines.runs.lock().unwrap().len()
    ));
    if after.iter().all(|tokens| *tokens == 0) {
        return Ok(Verdict::NotRun(
            "no program was served after its return".to_owned(),
        ));
    }
    Ok(if over > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

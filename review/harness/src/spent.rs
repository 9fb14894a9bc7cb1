//! Programs that lose all gateways twice while turns of theirs are under way.

use crate::Verdict;
use crate::cluster::{Folder, Gateway, HOST, Record, new_id, publish};
use crate::engine::{Attempt, Engines, Got, Run};
use crate::store::Store;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const GATEWAYS: usize = 4;
const PROGRAMS: usize = 8;
/// Turns of a program under way when the gateways are killed.
const SIDE_BY_SIDE: usize = 3;
const LOSSES: usize = 2;
const BUDGET: u64 = 2_304;
const MOST: u64 = 288;
const STRIDE: u64 = 9;
/// Turns that a program still tries after the last loss.
const AFTER: usize = 4;

struct Program {
    name: String,
    /// The last turn that was answered whole.
    last: String,
    handed_out: u64,
    /// Tokens at most: of whole turns what was handed out, of others the most of a turn.
    at_most: u64,
}

impl Program {
    fn count(&mut self, got: &Got) {
        let tokens = got.events.len() as u64 * STRIDE;
        self.handed_out += tokens;
        self.at_most += match got.status {
            402 => 0,
            _ if got.is_whole() => tokens,
            _ => MOST,
        };
        if got.is_whole() && got.status == 200 {
            self.last = got.id.clone();
        }
    }
}

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
        "[{\"name\":\"agent-llm\",\"max-connections\":160,\"engine\":{\"slots\":12,\"stream-stride\":9}}]",
    );
    let script = |_: &Run| {
        (0..4)
            .map(|number| format!("word {number}").into_bytes())
            .collect()
    };
    Engines::start(
        &store,
        "agent-llm",
        11,
        Duration::from_millis(150),
        Arc::new(script),
        &record,
    )?;
    let mut gateways = Vec::new();
    for index in 0..GATEWAYS {
        let mut gateway = Gateway::new(index, &temporary.0, store.address)?;
        gateway.start(root)?;
        gateways.push(gateway);
    }
    let is_ready = |gateways: &[Gateway]| {
        gateways
            .iter()
            .all(|gateway| gateway.wait_ready(Duration::from_secs(10)))
    };
    if !is_ready(&gateways) {
        return Ok(Verdict::NotRun("a gateway is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.clients).collect();
    let turn = |gateway: usize, program: &str, previous: Option<&str>| {
        let attempt = Attempt {
            path: "/lohu930/2f",
            program,
            previous,
            budget: Some(BUDGET),
            usage: "600,288",
            deadline_ms: 4_000,
            input: b"go on",
            resumes: None,
        };
        attempt.send(addresses[gateway % GATEWAYS], &record, |_| {})
    };
    // Sends one turn for each name and previous turn, side by side; `strike` runs meanwhile.
    let all = |turns: &[(String, Option<String>)], strike: &mut dyn FnMut()| -> Vec<Got> {
        thread::scope(|scope| {
            let turn = &turn;
            let running: Vec<_> = turns
                .iter()
                .enumerate()
                .map(|(number, (name, previous))| {
                    scope.spawn(move || turn(number, name, previous.as_deref()))
                })
                .collect();
            strike();
            running
                .into_iter()
                .filter_map(|turn| turn.join().ok())
                .collect()
        })
    };
    let names: Vec<(String, Option<String>)> = (0..PROGRAMS)
        .map(|_| (new_id()[..6].to_owned(), None))
        .collect();
    let mut programs: Vec<Program> = Vec::new();
    for ((name, _), got) in names.iter().zip(all(&names, &mut || {})) {
        let mut program = Program {
            name: name.clone(),
            last: String::new(),
            handed_out: 0,
            at_most: 0,
        };
        program.count(&got);
        programs.push(program);
    }
    if programs.iter().any(|program| program.last.is_empty()) {
        return Ok(Verdict::NotRun(
            "first turns fail before the trouble".to_owned(),
        ));
    }
    let side_by_side = |programs: &[Program]| -> Vec<(String, Option<String>)> {
        let each = programs
            .iter()
            .map(|program| (program.name.clone(), Some(program.last.clone())));
        each.flat_map(|turn| vec![turn; SIDE_BY_SIDE]).collect()
    };
    for loss in 1..=LOSSES {
        let turns = side_by_side(&programs);
        let got = all(&turns, &mut || {
            if !trouble {
                return;
            }
            thread::sleep(Duration::from_millis(380));
            record.line("all gateways are killed");
            gateways.iter_mut().for_each(Gateway::kill);
            thread::sleep(Duration::from_secs(1));
            for gateway in &mut gateways {
                let _ = gateway.start(root);
            }
            record.line("they start again");
        });
        for (number, got) in got.iter().enumerate() {
            programs[number / SIDE_BY_SIDE].count(got);
        }
        if !is_ready(&gateways) {
            return Ok(Verdict::NotRun("a gateway is not ready again".to_owned()));
        }
        thread::sleep(Duration::from_secs(13));
        if loss < LOSSES {
            // The turns that broke off are sent anew.
            for (number, got) in all(&side_by_side(&programs), &mut || {}).iter().enumerate() {
                programs[number / SIDE_BY_SIDE].count(got);
            }
        }
    }
    let mut wrong = 0;
    for (number, program) in programs.iter_mut().enumerate() {
        for attempt in 0..AFTER {
            let got = turn(number + attempt, &program.name, Some(&program.last));
            let room = BUDGET.saturating_sub(program.at_most);
            if got.status == 402 {
                let is_wrong = room >= MOST;
                wrong += usize::from(is_wrong);
                record.line(&format!(
                    "program {}: 402 to a turn that goes on from {}; {} tokens handed out, {} at most, so {room} of {BUDGET} are left; most of a turn {MOST}{}",
                    program.name, program.last, program.handed_out, program.at_most, if is_wrong { ": LOST" } else { "" }
                ));
                break;
            }
            program.count(&got);
        }
    }
    record.say(&format!(
        "{wrong} of {PROGRAMS} programs are told 402 although their budget holds one more turn"
    ));
    Ok(if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

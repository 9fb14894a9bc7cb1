//! `explain ID --logs FILE`: what the daemons' log lines say of one request or program,
//! in order, with what the daemons believed meanwhile. docs/OPERATIONS.md tells how to
//! read it.

use crate::error::ClientError;
use crate::lines::{self, Line};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Lines that tell what a daemon believes, not what it did with a request.
const BELIEFS: [&str; 20] = [
    "append_repeated",
    "claimed_for_another",
    "config_in_force",
    "config_unreadable",
    "homes_unservable",
    "load_delayed",
    "owner_doubted",
    "partition_claimed",
    "partition_given_up",
    "partition_lost",
    "partition_owned",
    "partition_released",
    "process_was_stopped",
    "reach_changed",
    "server_cold",
    "server_gone",
    "server_silence",
    "store_lost",
    "store_regained",
    "zone_evacuation",
];
/// Fields that stand at the start of a printed line, or tell nothing.
const NOT_REPEATED: [&str; 4] = ["timestamp", "level", "event", "request"];

fn is_belief(line: &Line) -> bool {
    BELIEFS.contains(&line.event())
}

fn partition(line: &Line) -> Option<u64> {
    line.fields.get("partition").and_then(Value::as_u64)
}

/// What a later line of the same key replaces.
fn belief_key(line: &Line) -> (String, String, Option<u64>, String) {
    let kind = match line.event() {
        "store_lost" | "store_regained" => "store",
        event if event.starts_with("partition_") => "partition",
        event => event,
    };
    (
        line.origin.clone(),
        kind.to_owned(),
        partition(line),
        line.text("server").to_owned(),
    )
}

fn print(line: &Line, mark: &str) {
    let mut text = format!("{mark} {} {} {}", line.time(), line.origin, line.event());
    for (key, value) in &line.fields {
        if NOT_REPEATED.contains(&key.as_str()) || value.is_null() {
            continue;
        }
        let value = match value {
            Value::String(value) => value.clone(),
            value => value.to_string(),
        };
        text.push_str(&format!(" {key}={value}"));
    }
    println!("{text}");
}

/// What the request's own lines touched.
#[derive(Default)]
struct Touched {
    origins: BTreeSet<String>,
    partitions: BTreeSet<u64>,
    servers: BTreeSet<String>,
}

impl Touched {
    fn of(lines: &[Line]) -> Self {
        let mut touched = Self::default();
        for line in lines {
            touched.origins.insert(line.origin.clone());
            touched.partitions.extend(partition(line));
            touched.servers.insert(line.text("server").to_owned());
        }
        touched
    }

    fn concerns(&self, belief: &Line) -> bool {
        if let Some(partition) = partition(belief) {
            return self.partitions.contains(&partition);
        }
        match belief.text("server") {
            "" => self.origins.contains(&belief.origin),
            server => self.servers.contains(server),
        }
    }
}

/// Prints the story of a request, or of all requests of a program.
///
/// # Errors
/// A file cannot be read, or no line names the identifier.
pub fn tell(id: &str, files: &[String]) -> Result<(), ClientError> {
    let mut own = Vec::new();
    let mut beliefs = Vec::new();
    lines::read(files, |line| {
        if line.text("request") == id || line.text("program") == id {
            own.push(line);
        } else if is_belief(&line) {
            beliefs.push(line);
        }
    })?;
    if own.is_empty() {
        return Err(ClientError::Refused(format!(
            "no line names {id}; give the logs of all daemons of its time"
        )));
    }
    own.sort_by(|left, right| left.time().cmp(right.time()));
    let beliefs = in_force(beliefs, &own);
    let mut all: Vec<(&str, &Line)> = own.iter().map(|line| (" ", line)).collect();
    all.extend(beliefs.iter().map(|line| ("~", line)));
    all.sort_by(|left, right| left.1.time().cmp(right.1.time()));
    for (mark, line) in &all {
        print(line, mark);
    }
    println!("{} lines of {id}, {} beliefs (~)", own.len(), beliefs.len());
    Ok(())
}

/// The beliefs that concern the request: the last ones before it, and all during it.
fn in_force(mut beliefs: Vec<Line>, own: &[Line]) -> Vec<Line> {
    let touched = Touched::of(own);
    let first = own.first().map_or("", Line::time).to_owned();
    let last = own.last().map_or("", Line::time).to_owned();
    beliefs.retain(|line| touched.concerns(line) && line.time() <= last.as_str());
    beliefs.sort_by(|left, right| left.time().cmp(right.time()));
    let mut before = BTreeMap::new();
    let mut during = Vec::new();
    for line in beliefs {
        if line.time() < first.as_str() {
            before.insert(belief_key(&line), line);
        } else {
            during.push(line);
        }
    }
    before.into_values().chain(during).collect()
}

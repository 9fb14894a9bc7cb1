//! `explain ID --logs FILE`: what the daemons' log lines say of one request or program,
//! in order, with what the daemons believed meanwhile. docs/OPERATIONS.md tells how to
//! read it.
//!
//! Lines may come from a collector that puts the machine's name before the JSON; without
//! one a line's origin is its file.

use crate::error::ClientError;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

/// Lines that tell what a daemon believes, not what it did with a request.
const BELIEFS: [&str; 15] = [
    "append_repeated",
    "claimed_for_another",
    "config_in_force",
    "config_unreadable",
    "load_delayed",
    "owner_doubted",
    "partition_claimed",
    "partition_given_up",
    "partition_lost",
    "partition_owned",
    "partition_released",
    "reach_changed",
    "server_gone",
    "store_lost",
    "store_regained",
];
/// Fields that stand at the start of a printed line, or tell nothing.
const NOT_REPEATED: [&str; 4] = ["timestamp", "level", "event", "request"];
const STANDARD_INPUT: &str = "-";

/// One log line.
struct Line {
    origin: String,
    fields: Map<String, Value>,
}

impl Line {
    fn read(text: &str, file: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields = serde_json::from_str(&text[start..]).ok()?;
        let origin = match text[..start].trim() {
            "" => file,
            prefix => prefix,
        };
        Some(Self {
            origin: origin.to_owned(),
            fields,
        })
    }

    fn text(&self, key: &str) -> &str {
        self.fields
            .get(key)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn time(&self) -> &str {
        self.text("timestamp")
    }

    fn event(&self) -> &str {
        self.text("event")
    }

    fn partition(&self) -> Option<u64> {
        self.fields.get("partition").and_then(Value::as_u64)
    }

    fn is_belief(&self) -> bool {
        BELIEFS.contains(&self.event())
    }

    /// What a later line of the same key replaces.
    fn belief_key(&self) -> (String, String, Option<u64>, String) {
        let kind = match self.event() {
            "store_lost" | "store_regained" => "store",
            event if event.starts_with("partition_") => "partition",
            event => event,
        };
        (
            self.origin.clone(),
            kind.to_owned(),
            self.partition(),
            self.text("server").to_owned(),
        )
    }

    fn print(&self, mark: &str) {
        let mut text = format!("{mark} {} {} {}", self.time(), self.origin, self.event());
        for (key, value) in &self.fields {
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
            touched.partitions.extend(line.partition());
            touched.servers.insert(line.text("server").to_owned());
        }
        touched
    }

    fn concerns(&self, belief: &Line) -> bool {
        if let Some(partition) = belief.partition() {
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
    for file in files {
        collect(file, id, &mut own, &mut beliefs)?;
    }
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
        line.print(mark);
    }
    println!("{} lines of {id}, {} beliefs (~)", own.len(), beliefs.len());
    Ok(())
}

fn collect(
    file: &str,
    id: &str,
    own: &mut Vec<Line>,
    beliefs: &mut Vec<Line>,
) -> Result<(), ClientError> {
    let reader: Box<dyn BufRead> = match file {
        STANDARD_INPUT => Box::new(BufReader::new(stdin())),
        path => Box::new(BufReader::new(File::open(path).map_err(|error| {
            ClientError::Usage(format!("{path}: {error}; name readable files, or - "))
        })?)),
    };
    for text in reader.split(b'\n').map_while(Result::ok) {
        let text = String::from_utf8_lossy(&text);
        let Some(line) = Line::read(&text, file) else {
            continue;
        };
        if line.text("request") == id || line.text("program") == id {
            own.push(line);
        } else if line.is_belief() {
            beliefs.push(line);
        }
    }
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
            before.insert(line.belief_key(), line);
        } else {
            during.push(line);
        }
    }
    before.into_values().chain(during).collect()
}

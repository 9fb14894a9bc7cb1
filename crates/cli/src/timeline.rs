//! The `explain ID --logs FILE` command: prints the log lines of a request or program in the order
//! of their times, together with the state of the daemons that may have affected it.
//! docs/OPERATIONS.md describes the output.

use crate::error::ClientError;
use crate::log_lines::{LogFiles, LogLine};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Events that report the state or view of a daemon rather than a step of a request.
const CONTEXT_EVENTS: [&str; 20] = [
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
/// Fields that are printed at the start of a line or that carry no information here.
const OMITTED_FIELDS: [&str; 3] = ["timestamp", "level", "event"];

fn is_context(line: &LogLine) -> bool {
    CONTEXT_EVENTS.contains(&line.event())
}

fn partition(line: &LogLine) -> Option<u64> {
    line.fields.get("partition").and_then(Value::as_u64)
}

/// Key of a context line: a later line replaces an earlier one of the same key.
fn context_key(line: &LogLine) -> (String, String, Option<u64>, String) {
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

/// Prints a line. The request is named unless it is the one that was asked for.
fn print_line(line: &LogLine, mark: &str, id: &str) {
    let mut text = format!("{mark} {} {} {}", line.time(), line.origin, line.event());
    for (key, value) in &line.fields {
        let is_omitted = OMITTED_FIELDS.contains(&key.as_str());
        if is_omitted || value.is_null() || (key == "request" && value == id) {
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

/// Origins, partitions and servers that occur in the lines of a request.
#[derive(Default)]
struct Involved {
    origins: BTreeSet<String>,
    partitions: BTreeSet<u64>,
    servers: BTreeSet<String>,
}

impl Involved {
    fn of(lines: &[LogLine]) -> Self {
        let mut involved = Self::default();
        for line in lines {
            involved.origins.insert(line.origin.clone());
            involved.partitions.extend(partition(line));
            involved.servers.insert(line.text("server").to_owned());
        }
        involved
    }

    /// Whether a context line concerns the request.
    fn includes(&self, context: &LogLine) -> bool {
        if let Some(partition) = partition(context) {
            return self.partitions.contains(&partition);
        }
        match context.text("server") {
            "" => self.origins.contains(&context.origin),
            server => self.servers.contains(server),
        }
    }
}

/// Ids of all attempts that belong to the same request: those that resume a known attempt, that a
/// known attempt resumes, or that have the content of a known attempt. Contains that content, too.
fn related_ids(id: &str, files: &LogFiles<'_>) -> Result<BTreeSet<String>, ClientError> {
    let mut links: Vec<(String, String)> = Vec::new();
    files.read(|line| {
        for field in ["resumes", "content"] {
            let (request, related) = (line.text("request"), line.text(field));
            if !request.is_empty() && !related.is_empty() {
                links.push((request.to_owned(), related.to_owned()));
            }
        }
    })?;
    let mut ids = BTreeSet::from([id.to_owned()]);
    let mut known = 0;
    while known < ids.len() {
        known = ids.len();
        for (request, related) in &links {
            if ids.contains(request) || ids.contains(related) {
                ids.extend([request.clone(), related.clone()]);
            }
        }
    }
    Ok(ids)
}

/// Prints the timeline of a request with the other attempts of its client, or of all requests of a
/// program.
///
/// # Errors
/// A file cannot be read, or no line contains the identifier.
pub fn run(id: &str, files: &[String]) -> Result<(), ClientError> {
    let files = LogFiles::new(files)?;
    let related = related_ids(id, &files)?;
    let mut own_lines = Vec::new();
    let mut context = Vec::new();
    files.read(|line| {
        let is_related = ["request", "content"].map(|field| related.contains(line.text(field)));
        if is_related.contains(&true) || line.text("program") == id {
            own_lines.push(line);
        } else if is_context(&line) {
            context.push(line);
        }
    })?;
    if own_lines.is_empty() {
        return Err(ClientError::Refused(format!(
            "no line contains {id}; give the logs of all daemons of that time"
        )));
    }
    own_lines.sort_by(|left, right| left.time().cmp(right.time()));
    let context = relevant_context(context, &own_lines);
    let mut all: Vec<(&str, &LogLine)> = own_lines.iter().map(|line| (" ", line)).collect();
    all.extend(context.iter().map(|line| ("~", line)));
    all.sort_by(|left, right| left.1.time().cmp(right.1.time()));
    for (mark, line) in &all {
        print_line(line, mark, id);
    }
    println!(
        "{} lines of {id}, {} context lines (~)",
        own_lines.len(),
        context.len()
    );
    Ok(())
}

/// Returns the context lines that concern the request: for each key the last one before the
/// request, and all during it.
fn relevant_context(mut context: Vec<LogLine>, own_lines: &[LogLine]) -> Vec<LogLine> {
    let involved = Involved::of(own_lines);
    let first = own_lines.first().map_or("", LogLine::time).to_owned();
    let last = own_lines.last().map_or("", LogLine::time).to_owned();
    context.retain(|line| involved.includes(line) && line.time() <= last.as_str());
    context.sort_by(|left, right| left.time().cmp(right.time()));
    let mut before = BTreeMap::new();
    let mut during = Vec::new();
    for line in context {
        if line.time() < first.as_str() {
            before.insert(context_key(&line), line);
        } else {
            during.push(line);
        }
    }
    before.into_values().chain(during).collect()
}

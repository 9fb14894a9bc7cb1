//! The `losses --logs FILE` command: counts lost requests, by time and cause. A request is lost if
//! it got no complete answer from a server, or if its client left.

use crate::error::ClientError;
use crate::log_lines::{self, LogLine};
use std::collections::{BTreeMap, BTreeSet};

/// Requests lost for one cause in one interval.
#[derive(Default)]
struct Loss {
    requests: u64,
    programs: BTreeSet<String>,
}

/// Prints the losses by interval and cause, oldest first. Intervals are
/// `seconds` long and aligned to the start of each minute.
///
/// # Errors
/// A file cannot be read, or `seconds` is not between 1 and 60 seconds.
pub fn run(files: &[String], seconds: u32) -> Result<(), ClientError> {
    if !(1..=60).contains(&seconds) {
        return Err(ClientError::Usage(
            "--seconds must be between 1 and 60".to_owned(),
        ));
    }
    let mut losses: BTreeMap<(String, String), Loss> = BTreeMap::new();
    log_lines::read(files, |line| {
        let (Some(cause), Some(start)) = (cause(&line), interval_start(line.time(), seconds))
        else {
            return;
        };
        let loss = losses.entry((start, cause)).or_default();
        loss.requests += 1;
        loss.programs.insert(line.text("program").to_owned());
    })?;
    println!("from requests programs cause");
    for ((start, cause), loss) in &losses {
        println!("{start} {} {} {cause}", loss.requests, loss.programs.len());
    }
    Ok(())
}

/// Returns the cause if the line reports a lost request.
fn cause(line: &LogLine) -> Option<String> {
    match line.event() {
        "answered_here" => {
            let status = line.number("status").unwrap_or_default();
            Some(format!("{status} {}", line.text("cause")))
        }
        "stream_broken_off" => Some(format!("broken off: {}", line.text("cause"))),
        "client_gone" => Some("the client left".to_owned()),
        _ => None,
    }
}

/// Returns the start of the interval that contains a time, as hour, minute and second: for
/// `2026-03-06T02:02:14.000158Z` and intervals of 5 seconds, `02:02:10`.
fn interval_start(time: &str, seconds: u32) -> Option<String> {
    let second: u32 = time.get(17..19)?.parse().ok()?;
    let start = second / seconds * seconds;
    Some(format!("{}:{start:02}", time.get(11..16)?))
}

//! Stand-ins and checks of the review's cases: `review-harness CASE ROOT FOLDER TROUBLE`.

mod cluster;
mod engine;
mod expiry;
mod foreign;
mod http;
mod resumed;
mod returns;
mod spent;
mod split;
mod stall;
mod store;
mod surplus;
mod wedge;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// A case that takes longer could not run.
const LIMIT: Duration = Duration::from_secs(115);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, trouble] = arguments.as_slice() else {
        eprintln!("review-harness CASE ROOT FOLDER TROUBLE");
        exit(2);
    };
    let (root, folder, trouble) = (PathBuf::from(root), PathBuf::from(folder), trouble != "0");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        exit(2);
    });
    let verdict = match case.as_str() {
        "surplus" => surplus::run(&root, &folder, trouble),
        "expiry" => expiry::run(&root, &folder, trouble),
        "returns" => returns::run(&root, &folder, trouble),
        // Not cases: see "Further faults" in REPORT.md.
        "resumed" => resumed::run(&root, &folder, trouble),
        "foreign" => foreign::run(&root, &folder, trouble),
        "stall" => stall::run(&root, &folder, trouble),
        "split" => split::run(&root, &folder, trouble),
        "wedge" => wedge::run(&root, &folder, trouble),
        "spent" => spent::run(&root, &folder, trouble),
        _ => Ok(Verdict::NotRun("no such case".to_owned())),
    };
    exit(match verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::NotRun(why)) => {
            eprintln!("the case could not run: {why}");
            2
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    });
}

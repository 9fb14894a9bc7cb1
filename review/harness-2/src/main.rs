//! Cases of the second independent review. `review-harness-2 CASE RECORD`; exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case could not run.

mod client;
mod cluster;
mod http;
mod store;
mod throttled;

mod endless;
mod garbled;
mod foreign;
mod large_turn;
mod memory;
mod resumed_turn;
mod returns;
mod split;

use cluster::Record;
use std::path::Path;

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-harness-2 CASE RECORD");
        std::process::exit(2);
    };
    if !Path::new("target/release/fieldhook-frontend").exists() {
        println!("target/release/fieldhook-frontend is not built");
        std::process::exit(2);
    }
    let record = Record::new(Path::new(record));
    let outcome = std::panic::catch_unwind(|| run(case, record));
    cluster::end_started();
    match outcome {
        Ok(Some(broken)) => std::process::exit(i32::from(broken)),
        Ok(None) => eprintln!("there is no such case"),
        Err(_) => eprintln!("the case could not run"),
    }
    std::process::exit(2);
}

/// Runs a case; returns whether the rule was broken, or `None` without such a case.
fn run(case: &str, record: Record) -> Option<bool> {
    Some(match case {
        "large-turn" => large_turn::run(record),
        "garbled" => garbled::run(record),
        "split" => split::run(record),
        "memory" => memory::run(record),
        "resumed-turn" => resumed_turn::run(record),
        "foreign" => foreign::run(record),
        "returns" => returns::run(record),
        "throttled" => throttled::run(record),
        "endless" => endless::run(record),
        _ => return None,
    })
}

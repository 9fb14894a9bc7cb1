//! Cases of the second independent review. `review-harness-2 CASE RECORD`; exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case could not run.

mod client;
mod cluster;
mod http;
mod store;

mod endless;
mod garbled;
mod foreign;
mod large_turn;
mod memory;
mod resumed_turn;
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
    let broken = match case.as_str() {
        "large-turn" => large_turn::run(record),
        "garbled" => garbled::run(record),
        "split" => split::run(record),
        "memory" => memory::run(record),
        "resumed-turn" => resumed_turn::run(record),
        "foreign" => foreign::run(record),
        "endless" => endless::run(record),
        _ => std::process::exit(2),
    };
    std::process::exit(i32::from(broken));
}

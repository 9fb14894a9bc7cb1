//! Command line of `fieldhook-bench`.

use fieldhook_bench::scenario::Scenario;
use fieldhook_bench::{append_strategies, experiment, memory, overhead, quickstart};
use gumdrop::Options;
use serde::Serialize;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

const VIOLATIONS_FOUND: &str = "the run violated at least one guarantee; see the report";

/// Load generation, fault injection and measurements.
#[derive(Debug, Options)]
struct Arguments {
    /// Show this help.
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// Start a small cluster, hold a conversation, and stop it.
    Quickstart(QuickstartArguments),
    /// Run a scenario and write its report.
    Run(RunArguments),
    /// Measure the time that fieldhook adds to a first token.
    Overhead(OverheadArguments),
    /// Measure the memory of idle programs and of history.
    Memory(MemoryArguments),
    /// Compare owners with group commit to conditional appends without owners.
    Ways(AppendStrategiesArguments),
}

/// Start a small cluster, hold a conversation, and stop it.
#[derive(Debug, Options)]
struct QuickstartArguments {
    /// Show this help.
    help: bool,
    /// Leave the cluster running.
    keep: bool,
    /// Folder for settings and logs.
    #[options(default = "reports/quickstart", meta = "DIR")]
    folder: PathBuf,
}

/// Run a scenario and write its report. Exit code 1 on any violation.
#[derive(Debug, Options)]
struct RunArguments {
    /// Show this help.
    help: bool,
    /// Scenario file (TOML); see scenarios/README.md.
    #[options(free, required)]
    scenario: PathBuf,
    /// Folder for summary.json, report.html, settings and logs.
    #[options(default = "reports/run", meta = "DIR")]
    report: PathBuf,
}

/// Measure the time that fieldhook adds to a first token.
#[derive(Debug, Options)]
struct OverheadArguments {
    /// Show this help.
    help: bool,
    /// Number of calls through fieldhook and directly, each.
    #[options(default = "500")]
    calls: usize,
    /// Folder for settings and logs.
    #[options(default = "reports/overhead", meta = "DIR")]
    folder: PathBuf,
}

/// Measure the memory of idle programs and of history.
#[derive(Debug, Options)]
struct MemoryArguments {
    /// Show this help.
    help: bool,
    /// Number of idle programs.
    #[options(default = "2000")]
    programs: usize,
    /// Megabytes of history.
    #[options(default = "16")]
    megabytes: usize,
    /// Folder for settings and logs.
    #[options(default = "reports/memory", meta = "DIR")]
    folder: PathBuf,
}

/// Compare owners with group commit to conditional appends without owners.
#[derive(Debug, Options)]
struct AppendStrategiesArguments {
    /// Show this help.
    help: bool,
    /// Turns per second.
    #[options(default = "93")]
    turns: u64,
    /// Duration in seconds.
    #[options(default = "10")]
    seconds: u64,
}

#[ntex::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fieldhook-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: Arguments) -> Result<(), Box<dyn Error>> {
    match arguments.command {
        Some(Command::Quickstart(options)) => quickstart::run(options.keep, &options.folder).await,
        Some(Command::Run(options)) => {
            let scenario = Scenario::read(&options.scenario)?;
            let passed = experiment::run(&scenario, &options.report).await?;
            if passed {
                Ok(())
            } else {
                Err(VIOLATIONS_FOUND.into())
            }
        }
        Some(Command::Overhead(options)) => {
            print(&overhead::measure(options.calls, &options.folder).await?)
        }
        Some(Command::Memory(options)) => {
            print(&memory::measure(options.programs, options.megabytes, &options.folder).await?)
        }
        Some(Command::Ways(options)) => {
            print(&append_strategies::measure(options.turns, options.seconds).await?)
        }
        None => Err("no command given; see --help".into()),
    }
}

fn print<T: Serialize>(report: &T) -> Result<(), Box<dyn Error>> {
    println!("{}", serde_json::to_string_pretty(report)?);
    Ok(())
}

//! `fieldhook-bench`: load, faults and experiments.

use fieldhook_bench::quickstart;
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;

/// Load, fault and experiment tool.
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
}

/// Start a small cluster, hold a conversation, and stop it.
#[derive(Debug, Options)]
struct QuickstartArguments {
    /// Show this help.
    help: bool,
    /// Leave everything running.
    keep: bool,
    /// Folder for settings and logs.
    #[options(default = "reports/quickstart", meta = "DIR")]
    folder: PathBuf,
}

#[ntex::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let result = match arguments.command {
        Some(Command::Quickstart(options)) => quickstart::run(options.keep, &options.folder).await,
        None => Err("name a command; see --help".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fieldhook-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

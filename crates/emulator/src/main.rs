//! `fieldhook-emulator`: emulates one external service per process, selected by subcommand.

use fieldhook_emulator::{engine, log, machines, server, weights};
use gumdrop::Options;
use std::io;
use std::process::ExitCode;

/// Emulators of model engines, servers and platform services.
#[derive(Debug, Options)]
struct Arguments {
    /// Show this help.
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// Emulate a model engine.
    Engine(EngineArguments),
    /// Emulate the platform's log service.
    Log(LogArguments),
    /// Emulate the platform's machine list.
    Machines(MachinesArguments),
    /// Emulate the weight store.
    Weights(WeightsArguments),
    /// Emulate a tool or application server.
    Server(ServerArguments),
}

/// Emulate a model engine.
#[derive(Debug, Options)]
struct EngineArguments {
    /// Show this help.
    help: bool,
    /// IP and port to listen on.
    #[options(required)]
    listen: String,
    /// Name of a loaded model; may be repeated.
    model: Vec<String>,
    /// Duration of an empty step, in microseconds.
    #[options(default = "4000")]
    step_base_us: u64,
    /// Step time added by each generating sequence, in microseconds.
    #[options(default = "60")]
    decode_us: u64,
    /// Step time added by each prefilled token, in microseconds.
    #[options(default = "10")]
    prefill_us: u64,
    /// Maximum number of prompt tokens prefilled per step.
    #[options(default = "1024")]
    prefill_tokens: u64,
    /// Maximum number of sequences in the batch.
    #[options(default = "16")]
    max_running: usize,
    /// Capacity of the prefix cache, in tokens.
    #[options(default = "200000")]
    cache_tokens: u64,
    /// Delay before cache events become visible, in milliseconds.
    #[options(default = "100")]
    event_lag_ms: u64,
    /// Maximum age of the load report, in milliseconds.
    #[options(default = "100")]
    load_lag_ms: u64,
    /// IP and port of the weight store.
    weights: Option<String>,
}

/// Emulate the platform's log service.
#[derive(Debug, Options)]
struct LogArguments {
    /// Show this help.
    help: bool,
    /// IP and port to listen on.
    #[options(required)]
    listen: String,
}

/// Emulate the platform's machine list.
#[derive(Debug, Options)]
struct MachinesArguments {
    /// Show this help.
    help: bool,
    /// IP and port to listen on.
    #[options(required)]
    listen: String,
    /// Delay before a change of the list becomes visible, in milliseconds.
    #[options(default = "1000")]
    lag_ms: u64,
}

/// Emulate the weight store.
#[derive(Debug, Options)]
struct WeightsArguments {
    /// Show this help.
    help: bool,
    /// IP and port to listen on.
    #[options(required)]
    listen: String,
    /// Download rate limit, in bytes per second.
    #[options(default = "1000000000")]
    bytes_per_second: u64,
    /// Size of each model, in bytes.
    #[options(default = "1000000000")]
    weight_bytes: u64,
}

/// Emulate a tool or application server.
#[derive(Debug, Options)]
struct ServerArguments {
    /// Show this help.
    help: bool,
    /// IP and port to listen on.
    #[options(required)]
    listen: String,
    /// Processing time of a request, in milliseconds.
    #[options(default = "2")]
    work_ms: u32,
    /// Disable the lookup of executed requests by key.
    no_lookup: bool,
}

#[ntex::main]
async fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .json()
        .with_writer(io::stderr)
        .init();
    let arguments = Arguments::parse_args_default_or_exit();
    let result = match arguments.command {
        Some(command) => run(command).await,
        None => Err(io::Error::other("no subcommand given; see --help")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "emulator failed; check that its listen address is free");
            ExitCode::from(2)
        }
    }
}

async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Engine(arguments) => run_engine(arguments).await,
        Command::Log(arguments) => log::run(&arguments.listen).await,
        Command::Machines(arguments) => machines::run(&arguments.listen, arguments.lag_ms).await,
        Command::Weights(arguments) => {
            let limits = (arguments.bytes_per_second, arguments.weight_bytes);
            weights::run(&arguments.listen, limits.0, limits.1).await
        }
        Command::Server(arguments) => {
            server::run(&arguments.listen, arguments.work_ms, !arguments.no_lookup).await
        }
    }
}

async fn run_engine(arguments: EngineArguments) -> io::Result<()> {
    let settings = engine::EngineSettings {
        step_base_us: arguments.step_base_us,
        decode_us: arguments.decode_us,
        prefill_us: arguments.prefill_us,
        prefill_tokens_per_step: arguments.prefill_tokens,
        max_running: arguments.max_running,
        cache_tokens: arguments.cache_tokens,
    };
    let options = engine::Options {
        models: arguments.model,
        event_lag_ms: arguments.event_lag_ms,
        load_lag_ms: arguments.load_lag_ms,
        weights: arguments.weights,
    };
    engine::run(&arguments.listen, settings, options).await
}

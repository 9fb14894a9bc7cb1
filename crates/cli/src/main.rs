//! `fieldhook`: command-line client for operators. It shows the state of the
//! system and changes it by publishing configuration or cancelling programs. It
//! sends no requests to engines or services.
//!
//! `zones`, `tenants`, `losses` and `explain --logs` only read log files, which gateways (crate
//! `fieldhook-gateway`) write. All other commands use the daemon `fieldhookd` or the platform's log.

mod arguments;
mod config;
mod connection;
mod engines;
mod error;
mod evacuate;
mod log_lines;
mod losses;
mod output;
mod programs;
mod status;
mod tenants;
mod timeline;
mod zones;

use arguments::{Arguments, Command};
use error::ClientError;
use gumdrop::Options;
use std::process::ExitCode;

#[ntex::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fieldhook: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(arguments: Arguments) -> Result<(), ClientError> {
    let connection = connection::Connection::new(&arguments).await;
    match arguments.command {
        Some(Command::Config(command)) => config::run(&connection, command).await,
        Some(Command::Status(_)) => status::show_status(&connection).await,
        Some(Command::Shards(_)) => status::show_shards(&connection).await,
        Some(Command::Programs(command)) => programs::run(&connection, command).await,
        Some(Command::Engines(command)) => engines::run(&connection, command).await,
        Some(Command::Explain(options)) if !options.logs.is_empty() => {
            timeline::run(&options.id, &options.logs)
        }
        Some(Command::Evacuate(options)) => evacuate::run(&connection, &options).await,
        Some(Command::Zones(options)) => zones::run(&options.logs),
        Some(Command::Tenants(options)) => tenants::run(&options.logs),
        Some(Command::Losses(options)) => losses::run(&options.logs, options.seconds),
        Some(Command::Explain(options)) => programs::explain(&connection, &options.id).await,
        None => Err(ClientError::Usage(
            "no command given; see fieldhook --help".to_owned(),
        )),
    }
}

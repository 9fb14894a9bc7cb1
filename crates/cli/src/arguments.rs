//! Command-line arguments.

use gumdrop::Options;

/// fieldhook: command-line client for operators.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Show this help.
    pub help: bool,
    /// Address of the daemon to query.
    #[options(meta = "IP:PORT", default = "127.0.0.1:7001")]
    pub daemon: String,
    /// Address of the platform's log, for publishing and history.
    #[options(meta = "IP:PORT", default = "127.0.0.1:7100")]
    pub log: String,
    /// Output format, `table` or `json`.
    #[options(meta = "FORM", default = "table")]
    pub output: String,
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of the client.
#[derive(Debug, Options)]
pub enum Command {
    /// Check, publish and show the configuration.
    Config(ConfigArguments),
    /// Show daemons, the configuration version, commands waiting for the log, and engines.
    Status(NoArguments),
    /// Show shards and their owners.
    Shards(NoArguments),
    /// List, show and cancel programs.
    Programs(ProgramsArguments),
    /// List engines, and drain or undrain them by publishing configuration.
    Engines(EnginesArguments),
    /// Stop new work on the machines of a zone until the evacuation is ended.
    Evacuate(EvacuateArguments),
    /// Summarize daemon logs by zone: evacuation, daemons, servers, answers and partitions.
    Zones(ZonesArguments),
    /// Explain the placement of a program or, with --logs, show the timeline of a request.
    Explain(ExplainArguments),
    /// Show which tenants reached their limit.
    Tenants(TenantsArguments),
    /// Count requests that got no answer from a server, by time and cause.
    Losses(LossesArguments),
}

/// This command takes no arguments.
#[derive(Debug, Options)]
pub struct NoArguments {
    /// Show this help.
    pub help: bool,
}

/// Check, publish and show the configuration.
#[derive(Debug, Options)]
pub struct ConfigArguments {
    /// Show this help.
    pub help: bool,
    #[options(command)]
    pub command: Option<ConfigCommand>,
}

/// Subcommands of `config`.
#[derive(Debug, Options)]
pub enum ConfigCommand {
    /// Check a document without publishing it.
    Check(FileArguments),
    /// Publish a document.
    Publish(PublishArguments),
    /// Print the current document.
    Show(NoArguments),
    /// List all published changes and their outcomes.
    History(NoArguments),
    /// Show the difference between two versions.
    Diff(DiffArguments),
}

/// Check a document without publishing it.
#[derive(Debug, Options)]
pub struct FileArguments {
    /// Show this help.
    pub help: bool,
    /// The document (TOML).
    #[options(free, required)]
    pub file: String,
}

/// Publish a document.
#[derive(Debug, Options)]
pub struct PublishArguments {
    /// Show this help.
    pub help: bool,
    /// The document (TOML).
    #[options(free, required)]
    pub file: String,
    /// Version that the document is based on; the current one by default.
    #[options(meta = "N")]
    pub based_on: Option<u64>,
    /// Author to record in the history.
    #[options(meta = "NAME", default = "operator")]
    pub author: String,
    /// Wait until all live daemons have applied the version.
    pub wait: bool,
}

/// Show the difference between two versions.
#[derive(Debug, Options)]
pub struct DiffArguments {
    /// Show this help.
    pub help: bool,
    /// Earlier version; 0 is the empty document.
    #[options(free, required)]
    pub from: u64,
    /// Later version.
    #[options(free, required)]
    pub to: u64,
}

/// List, show and cancel programs.
#[derive(Debug, Options)]
pub struct ProgramsArguments {
    /// Show this help.
    pub help: bool,
    #[options(command)]
    pub command: Option<ProgramsCommand>,
}

/// Subcommands of `programs`.
#[derive(Debug, Options)]
pub enum ProgramsCommand {
    /// List the programs of all daemons.
    List(NoArguments),
    /// Show a program and its conversation.
    Show(ProgramArguments),
    /// Cancel a program.
    Cancel(ProgramArguments),
}

/// Show or cancel a program.
#[derive(Debug, Options)]
pub struct ProgramArguments {
    /// Show this help.
    pub help: bool,
    /// Identifier of the program.
    #[options(free, required)]
    pub program: String,
}

/// Explain the placement of a program or, with --logs, show the timeline of a request.
#[derive(Debug, Options)]
pub struct ExplainArguments {
    /// Show this help.
    pub help: bool,
    /// Identifier of a program or, with --logs, of a request or program.
    #[options(free, required)]
    pub id: String,
    /// Log file of a daemon; `-` reads standard input. May be repeated.
    #[options(no_short, meta = "FILE")]
    pub logs: Vec<String>,
}

/// Show which tenants reached their limit.
#[derive(Debug, Options)]
pub struct TenantsArguments {
    /// Show this help.
    pub help: bool,
    /// Log file of a daemon; `-` reads standard input. May be repeated.
    #[options(no_short, required, meta = "FILE")]
    pub logs: Vec<String>,
}

/// Count requests that got no answer from a server, by time and cause.
#[derive(Debug, Options)]
pub struct LossesArguments {
    /// Show this help.
    pub help: bool,
    /// Log file of a daemon; `-` reads standard input. May be repeated.
    #[options(no_short, required, meta = "FILE")]
    pub logs: Vec<String>,
    /// Length of an interval, in seconds (1 to 60).
    #[options(no_short, default = "5", meta = "N")]
    pub seconds: u32,
}

/// Stop new work on the machines of a zone until the evacuation is ended.
#[derive(Debug, Options)]
pub struct EvacuateArguments {
    /// Show this help.
    pub help: bool,
    /// Name of the zone.
    #[options(free, required)]
    pub zone: String,
    /// End the evacuation.
    #[options(no_short)]
    pub end: bool,
}

/// Summarize daemon logs by zone.
#[derive(Debug, Options)]
pub struct ZonesArguments {
    /// Show this help.
    pub help: bool,
    /// Log file of a daemon; `-` reads standard input. May be repeated.
    #[options(no_short, required, meta = "FILE")]
    pub logs: Vec<String>,
}

/// List engines, and drain or undrain them by publishing configuration.
#[derive(Debug, Options)]
pub struct EnginesArguments {
    /// Show this help.
    pub help: bool,
    #[options(command)]
    pub command: Option<EnginesCommand>,
}

/// Subcommands of `engines`.
#[derive(Debug, Options)]
pub enum EnginesCommand {
    /// List the engines.
    List(NoArguments),
    /// Stop new work on an engine by publishing a rule.
    Drain(EngineArguments),
    /// Publish the configuration without the rule of `drain`.
    Undrain(EngineArguments),
}

/// Drain or undrain an engine.
#[derive(Debug, Options)]
pub struct EngineArguments {
    /// Show this help.
    pub help: bool,
    /// Name of the engine's machine.
    #[options(free, required)]
    pub name: String,
}

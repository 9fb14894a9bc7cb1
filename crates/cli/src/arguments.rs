//! The command line.

use gumdrop::Options;

/// fieldhook: the operators' client.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Show this help.
    pub help: bool,
    /// Daemon to ask.
    #[options(meta = "IP:PORT", default = "127.0.0.1:7001")]
    pub daemon: String,
    /// Platform log, for publishing and history.
    #[options(meta = "IP:PORT", default = "127.0.0.1:7100")]
    pub log: String,
    /// `table` or `json`.
    #[options(meta = "FORM", default = "table")]
    pub output: String,
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// Check, publish and look back on the configuration.
    Config(ConfigArguments),
    /// Show daemons, configuration, commands that wait for the log, and engines.
    Status(NoArguments),
    /// Show shards with their owners.
    Shards(NoArguments),
    /// List, show and cancel programs.
    Programs(ProgramsArguments),
    /// List engines; drain one by publishing configuration.
    Engines(EnginesArguments),
    /// Give the machines of a zone no new work, until it is ended.
    Evacuate(EvacuateArguments),
    /// Say what the daemons' lines tell of zones: evacuated, cold, used, owners.
    Zones(ZonesArguments),
    /// Say which rules let which machines serve a program or, with --logs, what
    /// became of a request.
    Explain(ExplainArguments),
    /// Say which tenants were at their limit.
    Tenants(TenantsArguments),
    /// Say what got no answer of a server, by time and cause.
    Losses(LossesArguments),
}

/// No arguments.
#[derive(Debug, Options)]
pub struct NoArguments {
    /// Show this help.
    pub help: bool,
}

/// Configuration commands.
#[derive(Debug, Options)]
pub struct ConfigArguments {
    /// Show this help.
    pub help: bool,
    #[options(command)]
    pub command: Option<ConfigCommand>,
}

/// What to do with the configuration.
#[derive(Debug, Options)]
pub enum ConfigCommand {
    /// Check a document without publishing it.
    Check(FileArguments),
    /// Publish a document.
    Publish(PublishArguments),
    /// Print the document in force.
    Show(NoArguments),
    /// List all published changes and what became of them.
    History(NoArguments),
    /// Show what a version changed against an earlier one.
    Diff(DiffArguments),
}

/// A file.
#[derive(Debug, Options)]
pub struct FileArguments {
    /// Show this help.
    pub help: bool,
    /// The document (TOML).
    #[options(free, required)]
    pub file: String,
}

/// Publishing.
#[derive(Debug, Options)]
pub struct PublishArguments {
    /// Show this help.
    pub help: bool,
    /// The document (TOML).
    #[options(free, required)]
    pub file: String,
    /// Version that the document was made from; the one in force if absent.
    #[options(meta = "N")]
    pub based_on: Option<u64>,
    /// Who publishes, for the history.
    #[options(meta = "NAME", default = "operator")]
    pub author: String,
    /// Wait until the version is in force on all live daemons.
    pub wait: bool,
}

/// Two versions.
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

/// Program commands.
#[derive(Debug, Options)]
pub struct ProgramsArguments {
    /// Show this help.
    pub help: bool,
    #[options(command)]
    pub command: Option<ProgramsCommand>,
}

/// What to do with programs.
#[derive(Debug, Options)]
pub enum ProgramsCommand {
    /// List the programs of all daemons.
    List(NoArguments),
    /// Show one program with its conversation.
    Show(ProgramArguments),
    /// End one program.
    Cancel(ProgramArguments),
}

/// A program.
#[derive(Debug, Options)]
pub struct ProgramArguments {
    /// Show this help.
    pub help: bool,
    /// Identifier.
    #[options(free, required)]
    pub program: String,
}

/// A program or request to explain.
#[derive(Debug, Options)]
pub struct ExplainArguments {
    /// Show this help.
    pub help: bool,
    /// Identifier of a program or, with --logs, of a request or program.
    #[options(free, required)]
    pub id: String,
    /// Log lines of a daemon; `-` is standard input. May be given more than once.
    #[options(no_short, meta = "FILE")]
    pub logs: Vec<String>,
}

/// Logs to read for tenants at their limit.
#[derive(Debug, Options)]
pub struct TenantsArguments {
    /// Show this help.
    pub help: bool,
    /// Log lines of a daemon; `-` is standard input. May be given more than once.
    #[options(no_short, required, meta = "FILE")]
    pub logs: Vec<String>,
}

/// Logs to read for lost requests.
#[derive(Debug, Options)]
pub struct LossesArguments {
    /// Show this help.
    pub help: bool,
    /// Log lines of a daemon; `-` is standard input. May be given more than once.
    #[options(no_short, required, meta = "FILE")]
    pub logs: Vec<String>,
    /// Length of a span, in seconds.
    #[options(no_short, default = "5", meta = "N")]
    pub seconds: u32,
}

/// Evacuating a zone.
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

/// Logs to read for zones.
#[derive(Debug, Options)]
pub struct ZonesArguments {
    /// Show this help.
    pub help: bool,
    /// Log lines of a daemon; `-` is standard input. May be given more than once.
    #[options(no_short, required, meta = "FILE")]
    pub logs: Vec<String>,
}

/// Engine commands.
#[derive(Debug, Options)]
pub struct EnginesArguments {
    /// Show this help.
    pub help: bool,
    #[options(command)]
    pub command: Option<EnginesCommand>,
}

/// What to do with engines.
#[derive(Debug, Options)]
pub enum EnginesCommand {
    /// List the engines.
    List(NoArguments),
    /// Publish a rule that gives an engine no new work.
    Drain(EngineArguments),
    /// Publish the configuration without that rule.
    Undrain(EngineArguments),
}

/// An engine.
#[derive(Debug, Options)]
pub struct EngineArguments {
    /// Show this help.
    pub help: bool,
    /// Name of the engine's machine.
    #[options(free, required)]
    pub name: String,
}

//! The `config` command: checks, publishes and shows the configuration and its history.

use crate::arguments::{ConfigArguments, ConfigCommand, DiffArguments, PublishArguments};
use crate::connection::Connection;
use crate::error::ClientError;
use crate::output::print;
use fieldhook_model::config::ConfigDocument;
use fieldhook_model::config_log::{CONFIG_STREAM, ChangeOutcome, ConfigChange, ConfigState};
use fieldhook_model::operator::ConfigStatus;
use ntex::time::{Millis, sleep};
use serde::Serialize;
use std::time::{Duration, Instant};

/// How long the client waits for the log to become readable or for daemons to apply a version.
const POLL_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Millis = Millis(50);

/// Runs a configuration command.
pub async fn run(connection: &Connection, arguments: ConfigArguments) -> Result<(), ClientError> {
    match arguments.command {
        Some(ConfigCommand::Check(options)) => check(&options.file),
        Some(ConfigCommand::Publish(options)) => publish_file(connection, options).await,
        Some(ConfigCommand::Show(_)) => show(connection).await,
        Some(ConfigCommand::History(_)) => history(connection).await,
        Some(ConfigCommand::Diff(options)) => diff(connection, options).await,
        None => Err(ClientError::Usage("see fieldhook config --help".to_owned())),
    }
}

fn read_document(file: &str) -> Result<String, ClientError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| ClientError::Usage(format!("{file}: {error}; name a readable file")))?;
    ConfigDocument::parse(&text)
        .map_err(|error| ClientError::Invalid(format!("{file}: {error}")))?;
    Ok(text)
}

fn check(file: &str) -> Result<(), ClientError> {
    read_document(file)?;
    println!("{file}: valid");
    Ok(())
}

async fn show(connection: &Connection) -> Result<(), ClientError> {
    let config = connection.config().await?;
    println!("# version {}", config.version);
    print!("{}", config.document);
    Ok(())
}

async fn publish_file(
    connection: &Connection,
    options: PublishArguments,
) -> Result<(), ClientError> {
    let document = read_document(&options.file)?;
    let based_on = match options.based_on {
        Some(version) => version,
        None => connection.config().await?.version,
    };
    let version = publish(connection, based_on, &options.author, document).await?;
    if options.wait {
        wait_until_applied(connection, version).await?;
        println!("version {version} is in use on all live daemons");
    } else {
        println!("version {version} is accepted");
    }
    Ok(())
}

/// Publishes a document and returns its version.
///
/// # Errors
/// The change was rejected, or the log could not be reached.
pub async fn publish(
    connection: &Connection,
    based_on: u64,
    author: &str,
    document: String,
) -> Result<u64, ClientError> {
    let change = ConfigChange {
        based_on,
        change_key: format!("{:016x}", fastrand::u64(..)),
        author: author.to_owned(),
        document,
    };
    let appended = connection.append(CONFIG_STREAM, &change).await;
    // The response to the append may have been lost, so the stream decides the outcome.
    match find_outcome(connection, &change.change_key).await? {
        Some(ChangeOutcome::Accepted(version)) => Ok(version),
        Some(ChangeOutcome::OutOfDate(version)) => {
            let changes = changes_between(connection, based_on, version).await?;
            Err(ClientError::OutOfDate { version, changes })
        }
        Some(ChangeOutcome::Invalid(cause)) => Err(ClientError::Invalid(cause)),
        None => Err(appended.err().unwrap_or_else(|| {
            ClientError::Unreachable(
                "the log does not contain the change; publish again".to_owned(),
            )
        })),
    }
}

/// Returns the outcome of a change, if the history contains it. Failed reads are retried until the
/// time limit.
async fn find_outcome(
    connection: &Connection,
    key: &str,
) -> Result<Option<ChangeOutcome>, ClientError> {
    let started = Instant::now();
    loop {
        match read_history(connection).await {
            Ok(history) => {
                let entry = history
                    .into_iter()
                    .find(|entry| entry.change.change_key == key);
                return Ok(entry.map(|entry| entry.outcome));
            }
            Err(error) if started.elapsed() > POLL_TIMEOUT => return Err(error),
            Err(_) => sleep(POLL_INTERVAL).await,
        }
    }
}

/// A published change and its outcome.
struct HistoryEntry {
    offset: u64,
    change: ConfigChange,
    outcome: ChangeOutcome,
}

/// Reads all published changes in the order of their offsets.
async fn read_history(connection: &Connection) -> Result<Vec<HistoryEntry>, ClientError> {
    let mut state = ConfigState::default();
    let mut history = Vec::new();
    for record in connection.read_stream(CONFIG_STREAM).await? {
        let outcome = state.apply_record(record.offset, &record.data);
        if let (Some(outcome), Ok(change)) = (outcome, serde_json::from_str(&record.data)) {
            history.push(HistoryEntry {
                offset: record.offset,
                change,
                outcome,
            });
        }
    }
    Ok(history)
}

/// Waits until all live daemons have applied a version.
///
/// # Errors
/// A daemon has not applied it within the time limit, or the daemon given on the command line
/// could not be queried.
pub async fn wait_until_applied(connection: &Connection, version: u64) -> Result<(), ClientError> {
    let started = Instant::now();
    loop {
        let behind = daemons_behind(connection, version).await?;
        if behind.is_empty() {
            return Ok(());
        }
        if started.elapsed() > POLL_TIMEOUT {
            return Err(ClientError::Unreachable(format!(
                "version {version} is accepted, but not yet in use on {}",
                behind.join(", ")
            )));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the addresses of the live daemons that have not applied a version.
async fn daemons_behind(connection: &Connection, version: u64) -> Result<Vec<String>, ClientError> {
    let mut behind = Vec::new();
    for daemon in connection.status().await?.daemons {
        if daemon.state != "alive" {
            continue;
        }
        let config = connection
            .get_from::<ConfigStatus>(&daemon.address, "/v1/config")
            .await;
        if config.map_or(0, |config| config.version) < version {
            behind.push(daemon.address);
        }
    }
    Ok(behind)
}

/// A change as printed by `config history`.
#[derive(Serialize)]
struct HistoryLine {
    offset: u64,
    author: String,
    based_on: u64,
    outcome: String,
}

async fn history(connection: &Connection) -> Result<(), ClientError> {
    let lines: Vec<HistoryLine> = read_history(connection)
        .await?
        .into_iter()
        .map(|entry| HistoryLine {
            offset: entry.offset,
            author: entry.change.author,
            based_on: entry.change.based_on,
            outcome: match entry.outcome {
                ChangeOutcome::Accepted(version) => format!("version {version}"),
                ChangeOutcome::OutOfDate(version) => {
                    format!("out of date, version {version} came first")
                }
                ChangeOutcome::Invalid(cause) => {
                    format!("not valid: {}", cause.lines().next().unwrap_or_default())
                }
            },
        })
        .collect();
    let rows: Vec<Vec<String>> = lines
        .iter()
        .map(|line| {
            let (offset, based_on) = (line.offset.to_string(), line.based_on.to_string());
            vec![offset, line.author.clone(), based_on, line.outcome.clone()]
        })
        .collect();
    print(
        connection.format,
        &lines,
        &["OFFSET", "AUTHOR", "BASED ON", "OUTCOME"],
        &rows,
    );
    Ok(())
}

async fn diff(connection: &Connection, options: DiffArguments) -> Result<(), ClientError> {
    print!(
        "{}",
        changes_between(connection, options.from, options.to).await?
    );
    Ok(())
}

/// Returns the difference between two versions as a unified diff.
async fn changes_between(
    connection: &Connection,
    from: u64,
    to: u64,
) -> Result<String, ClientError> {
    let history = read_history(connection).await?;
    let document = |version: u64| {
        let accepted = history
            .iter()
            .find(|entry| entry.outcome == ChangeOutcome::Accepted(version));
        match accepted {
            Some(entry) => Ok(entry.change.document.clone()),
            None if version == 0 => Ok(String::new()),
            None => Err(ClientError::Usage(format!(
                "version {version} does not exist"
            ))),
        }
    };
    let (old, new) = (document(from)?, document(to)?);
    let diff = similar::TextDiff::from_lines(&old, &new);
    let (old_title, new_title) = (format!("version {from}"), format!("version {to}"));
    Ok(diff
        .unified_diff()
        .header(&old_title, &new_title)
        .to_string())
}

/// Applies a change to the current document, publishes it and waits until all live daemons have
/// applied it. Comments in the document are lost.
///
/// # Errors
/// The document cannot be read or published, or a daemon has not applied it within the time limit.
pub async fn edit_and_publish(
    connection: &Connection,
    author: &str,
    change: impl FnOnce(&mut ConfigDocument),
) -> Result<(), ClientError> {
    let config = connection.config().await?;
    let mut document = ConfigDocument::parse(&config.document)
        .map_err(|error| ClientError::Invalid(error.to_string()))?;
    change(&mut document);
    let text = toml::to_string_pretty(&document)
        .map_err(|error| ClientError::Invalid(error.to_string()))?;
    let version = publish(connection, config.version, author, text).await?;
    wait_until_applied(connection, version).await?;
    println!("version {version} is in use on all live daemons");
    Ok(())
}

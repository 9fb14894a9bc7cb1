//! `config`: check, publish, show, history, diff.

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

const SETTLE_LIMIT: Duration = Duration::from_secs(30);
const SETTLE_PAUSE: Millis = Millis(50);

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
        wait_everywhere(connection, version).await?;
        println!("version {version} is in force on all live daemons");
    } else {
        println!("version {version} is accepted");
    }
    Ok(())
}

/// Publishes a document and says which version it became.
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
    let sent = connection.append(CONFIG_STREAM, &change).await;
    // Whether or not the log's answer came back, the stream says what happened.
    match find_verdict(connection, &change.change_key).await? {
        Some(ChangeOutcome::Accepted(version)) => Ok(version),
        Some(ChangeOutcome::OutOfDate(version)) => {
            let changes = changes_between(connection, based_on, version).await?;
            Err(ClientError::OutOfDate { version, changes })
        }
        Some(ChangeOutcome::Invalid(cause)) => Err(ClientError::Invalid(cause)),
        None => Err(sent.err().unwrap_or_else(|| {
            ClientError::Unreachable("the log does not show the change; publish again".to_owned())
        })),
    }
}

async fn find_verdict(
    connection: &Connection,
    key: &str,
) -> Result<Option<ChangeOutcome>, ClientError> {
    let begun = Instant::now();
    loop {
        match fold(connection).await {
            Ok(folded) => {
                let found = folded
                    .into_iter()
                    .find(|entry| entry.change.change_key == key);
                return Ok(found.map(|entry| entry.verdict));
            }
            Err(error) if begun.elapsed() > SETTLE_LIMIT => return Err(error),
            Err(_) => sleep(SETTLE_PAUSE).await,
        }
    }
}

struct FoldedChange {
    offset: u64,
    change: ConfigChange,
    verdict: ChangeOutcome,
}

async fn fold(connection: &Connection) -> Result<Vec<FoldedChange>, ClientError> {
    let mut state = ConfigState::default();
    let mut folded = Vec::new();
    for record in connection.read_stream(CONFIG_STREAM).await? {
        let verdict = state.apply_record(record.offset, &record.data);
        if let (Some(verdict), Ok(change)) = (verdict, serde_json::from_str(&record.data)) {
            folded.push(FoldedChange {
                offset: record.offset,
                change,
                verdict,
            });
        }
    }
    Ok(folded)
}

/// Waits until a version is in force on all live daemons.
pub async fn wait_everywhere(connection: &Connection, version: u64) -> Result<(), ClientError> {
    let begun = Instant::now();
    loop {
        let behind = daemons_behind(connection, version).await?;
        if behind.is_empty() {
            return Ok(());
        }
        if begun.elapsed() > SETTLE_LIMIT {
            return Err(ClientError::Unreachable(format!(
                "version {version} is accepted, but not yet in force on {}",
                behind.join(", ")
            )));
        }
        sleep(SETTLE_PAUSE).await;
    }
}

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

#[derive(Serialize)]
struct HistoryLine {
    offset: u64,
    author: String,
    based_on: u64,
    outcome: String,
}

async fn history(connection: &Connection) -> Result<(), ClientError> {
    let lines: Vec<HistoryLine> = fold(connection)
        .await?
        .into_iter()
        .map(|entry| HistoryLine {
            offset: entry.offset,
            author: entry.change.author,
            based_on: entry.change.based_on,
            outcome: match entry.verdict {
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
            let numbers = (line.offset.to_string(), line.based_on.to_string());
            vec![
                numbers.0,
                line.author.clone(),
                numbers.1,
                line.outcome.clone(),
            ]
        })
        .collect();
    print(
        connection.form,
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

async fn changes_between(
    connection: &Connection,
    from: u64,
    to: u64,
) -> Result<String, ClientError> {
    let folded = fold(connection).await?;
    let document = |version: u64| {
        let accepted = folded
            .iter()
            .find(|entry| entry.verdict == ChangeOutcome::Accepted(version));
        match accepted {
            Some(entry) => Ok(entry.change.document.clone()),
            None if version == 0 => Ok(String::new()),
            None => Err(ClientError::Usage(format!("there is no version {version}"))),
        }
    };
    let (old, new) = (document(from)?, document(to)?);
    let diff = similar::TextDiff::from_lines(&old, &new);
    let names = (format!("version {from}"), format!("version {to}"));
    Ok(diff.unified_diff().header(&names.0, &names.1).to_string())
}

/// Publishes the document in force with a change, and waits until all live daemons follow
/// it. Comments of the document are not kept.
///
/// # Errors
/// The document cannot be read or published, or some daemon does not follow it in time.
pub async fn edit(
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
    wait_everywhere(connection, version).await?;
    println!("version {version} is in force on all live daemons");
    Ok(())
}

//! Command line of the daemon: flags override the file.

use crate::settings::{Settings, SettingsError};
use gumdrop::Options;
use toml::{Table, Value};

/// fieldhookd: schedules the calls of agent programs on model engines.
#[derive(Clone, Debug, Default, Options)]
pub struct Flags {
    /// Show this help.
    pub help: bool,
    /// Settings file (TOML).
    #[options(meta = "FILE")]
    pub config: Option<String>,
    /// IP and port to listen on.
    #[options(meta = "IP:PORT")]
    pub address: Option<String>,
    /// Zone of this machine.
    #[options(meta = "NAME")]
    pub zone: Option<String>,
    /// Daemon to ask first; may be given again.
    #[options(meta = "IP:PORT")]
    pub seed: Vec<String>,
    /// Platform log.
    #[options(meta = "IP:PORT")]
    pub log: Option<String>,
    /// Platform machine list.
    #[options(meta = "IP:PORT")]
    pub machines: Option<String>,
    /// Number of shards.
    #[options(meta = "N")]
    pub shards: Option<u16>,
    /// Only check the settings and say what they are.
    pub check: bool,
}

impl Flags {
    /// Reads the file, lays the flags over it, and checks the result.
    ///
    /// # Errors
    /// What is wrong with the file or a value.
    pub fn settings(&self) -> Result<Settings, SettingsError> {
        let text = match &self.config {
            None => String::new(),
            Some(path) => {
                std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
                    path: path.clone(),
                    cause: error.to_string(),
                })?
            }
        };
        let mut table: Table =
            toml::from_str(&text).map_err(|error| SettingsError::Syntax(error.to_string()))?;
        self.apply_flags(&mut table);
        let settings: Settings = Value::Table(table)
            .try_into()
            .map_err(|error: toml::de::Error| SettingsError::Syntax(error.to_string()))?;
        settings.validate()?;
        Ok(settings)
    }

    fn apply_flags(&self, table: &mut Table) {
        set(table, "address", self.address.clone());
        set(table, "zone", self.zone.clone());
        set(table, "shards", self.shards.map(i64::from));
        if !self.seed.is_empty() {
            set(table, "seeds", Some(self.seed.clone()));
        }
        let platform = table
            .entry("platform")
            .or_insert_with(|| Value::Table(Table::new()));
        if let Value::Table(platform) = platform {
            set(platform, "log", self.log.clone());
            set(platform, "machines", self.machines.clone());
        }
    }
}

fn set<V: Into<Value>>(table: &mut Table, key: &str, value: Option<V>) {
    if let Some(value) = value {
        table.insert(key.to_owned(), value.into());
    }
}

//! Command-line flags of the daemon. They override the settings file.

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
    /// IP address and port to listen on.
    #[options(meta = "IP:PORT")]
    pub address: Option<String>,
    /// Zone of this machine.
    #[options(meta = "NAME")]
    pub zone: Option<String>,
    /// Address of a daemon to join through; can be given several times.
    #[options(meta = "IP:PORT")]
    pub seed: Vec<String>,
    /// Address of the platform's log service.
    #[options(meta = "IP:PORT")]
    pub log: Option<String>,
    /// Address of the platform's machine list.
    #[options(meta = "IP:PORT")]
    pub machines: Option<String>,
    /// Number of shards.
    #[options(meta = "N")]
    pub shards: Option<u16>,
    /// Check the settings, print them and exit.
    pub check: bool,
}

impl Flags {
    /// Reads the settings file, applies the flags and validates the result.
    ///
    /// # Errors
    /// The file cannot be read or parsed, or a value is not allowed.
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

//! A cluster that runs: starting it, ending parts of it, causing faults.

use super::config::{ClusterConfig, DaemonHandle, EngineConfig};
use crate::cluster::process::{Process, ProcessError, Signal, free_port};
use fieldhook_emulator::faults::FaultPlan;
use fieldhook_http::HttpClient;
use fieldhook_model::labels::Labels;
use fieldhook_model::platform::{Machine, MachineKind};
use ntex::http::Method;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(30);
pub(super) const READY_POLL_INTERVAL: ntex::time::Millis = ntex::time::Millis(25);
const SETTINGS_FILE: &str = "fieldhookd.toml";

/// A running cluster; everything ends when it is dropped.
pub struct Cluster {
    /// The folder with settings and logs.
    pub folder: PathBuf,
    /// What it consists of.
    pub config: ClusterConfig,
    /// Daemons.
    pub daemons: Vec<DaemonHandle>,
    /// Stand-ins by address.
    pub emulators: BTreeMap<String, Process>,
    /// Address of the log.
    pub log: String,
    /// Address of the machine list.
    pub machines: String,
    /// What the machine list was last told.
    pub listed: Vec<Machine>,
    /// A client.
    pub client: HttpClient,
}

fn new_address() -> Result<String, ProcessError> {
    Ok(format!("127.0.0.1:{}", free_port()?))
}

impl Cluster {
    /// Starts everything and waits until all daemons serve.
    ///
    /// # Errors
    /// Something cannot be started or is not ready in time.
    pub async fn start(config: ClusterConfig, folder: &Path) -> Result<Self, ProcessError> {
        std::fs::create_dir_all(folder)?;
        let mut cluster = Self {
            folder: folder.to_owned(),
            daemons: Vec::new(),
            emulators: BTreeMap::new(),
            log: new_address()?,
            machines: new_address()?,
            listed: Vec::new(),
            client: HttpClient::new().await,
            config,
        };
        cluster.start_emulators().await?;
        cluster.assign_daemons()?;
        for index in 0..cluster.daemons.len() {
            cluster.start_daemon(index)?;
        }
        cluster.wait_ready().await?;
        cluster.check_emulators()?;
        Ok(cluster)
    }

    /// Daemons may be ready without a stand-in that could not be started.
    fn check_emulators(&mut self) -> Result<(), ProcessError> {
        for process in self.emulators.values_mut() {
            if !process.is_running() {
                return Err(ProcessError::Exited(process.log().to_owned()));
            }
        }
        Ok(())
    }

    fn start_emulator(
        &mut self,
        kind: &str,
        address: &str,
        extra_arguments: &[String],
    ) -> Result<(), ProcessError> {
        let mut arguments = vec![kind.to_owned(), "--listen".to_owned(), address.to_owned()];
        arguments.extend(extra_arguments.iter().cloned());
        let log = self
            .folder
            .join(format!("{kind}-{}.log", address.replace(':', "-")));
        let process = Process::start("fieldhook-emulator", &arguments, &log)?;
        self.emulators.insert(address.to_owned(), process);
        Ok(())
    }

    async fn start_emulators(&mut self) -> Result<(), ProcessError> {
        let lag = vec!["--lag-ms".to_owned(), self.config.list_lag_ms.to_string()];
        self.start_emulator("log", &self.log.clone(), &[])?;
        self.start_emulator("machines", &self.machines.clone(), &lag)?;
        for (index, engine) in self.config.engines.clone().into_iter().enumerate() {
            let address = new_address()?;
            self.start_engine(&address, &engine)?;
            let labels = Labels::from([("model".to_owned(), engine.model)]);
            self.add_machine(
                format!("engine-{index}"),
                address,
                MachineKind::Engine,
                engine.zone,
                labels,
            );
        }
        for (index, (service, lookup)) in self.config.services.clone().into_iter().enumerate() {
            let address = new_address()?;
            let flags = if lookup {
                Vec::new()
            } else {
                vec!["--no-lookup".to_owned()]
            };
            self.start_emulator("server", &address, &flags)?;
            let labels = Labels::from([("service".to_owned(), service)]);
            let zone = self.config.zones[index % self.config.zones.len()].clone();
            self.add_machine(
                format!("server-{index}"),
                address,
                MachineKind::Server,
                zone,
                labels,
            );
        }
        self.publish_list().await
    }

    /// Starts an engine at an address, also anew after it was ended.
    ///
    /// # Errors
    /// The stand-in cannot be started.
    pub fn start_engine(
        &mut self,
        address: &str,
        engine: &EngineConfig,
    ) -> Result<(), ProcessError> {
        let mut flags = vec!["--model".to_owned(), engine.model.clone()];
        flags.extend(engine.flags.clone());
        self.start_emulator("engine", address, &flags)
    }

    fn add_machine(
        &mut self,
        name: String,
        address: String,
        kind: MachineKind,
        zone: String,
        labels: Labels,
    ) {
        self.listed.push(Machine {
            name,
            address,
            kind,
            zone,
            labels,
            leaving: false,
        });
    }

    /// Tells the machine list what there is; readers see it after its lag.
    ///
    /// # Errors
    /// The list is not reachable.
    pub async fn publish_list(&self) -> Result<(), ProcessError> {
        let url = format!("http://{}/control/machines", self.machines);
        let body = serde_json::to_vec(&self.listed).unwrap_or_default();
        let started = Instant::now();
        loop {
            let sent = self
                .client
                .fetch(Method::POST, &url, &[], body.clone(), REQUEST_TIMEOUT)
                .await;
            if sent.is_ok_and(|response| response.status == 200) {
                return Ok(());
            }
            if started.elapsed() > READY_TIMEOUT {
                return Err(ProcessError::NotReady("machine list".to_owned()));
            }
            ntex::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    fn assign_daemons(&mut self) -> Result<(), ProcessError> {
        for index in 0..self.config.daemons {
            let zone = self.config.zones[index % self.config.zones.len()].clone();
            self.daemons.push(DaemonHandle {
                address: new_address()?,
                zone,
                process: None,
            });
        }
        std::fs::write(self.folder.join(SETTINGS_FILE), self.settings_text())?;
        Ok(())
    }

    /// Starts a daemon, also anew after it was ended.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start_daemon(&mut self, index: usize) -> Result<(), ProcessError> {
        let settings = self.folder.join(SETTINGS_FILE);
        let daemon = &self.daemons[index];
        let arguments = [
            "--config",
            &settings.to_string_lossy(),
            "--address",
            &daemon.address,
            "--zone",
            &daemon.zone,
        ]
        .map(str::to_owned);
        let log = self.folder.join(format!("fieldhookd-{index}.log"));
        let process = Process::start("fieldhookd", &arguments, &log)?;
        self.daemons[index].process = Some(process);
        Ok(())
    }

    fn settings_text(&self) -> String {
        let seeds: Vec<String> = self
            .daemons
            .iter()
            .map(|daemon| format!("{:?}", daemon.address))
            .collect();
        format!(
            "seeds = [{}]\nshards = {}\n{}\n[platform]\nlog = {:?}\nmachines = {:?}\n",
            seeds.join(", "),
            self.config.shards,
            self.config.settings,
            self.log,
            self.machines,
        )
    }

    /// Addresses of all daemons, any of which takes requests.
    pub fn gateways(&self) -> Vec<String> {
        self.daemons
            .iter()
            .map(|daemon| daemon.address.clone())
            .collect()
    }

    /// Sets the faults of a stand-in.
    pub async fn set_faults(&self, address: &str, plan: &FaultPlan) {
        let url = format!("http://{address}/control/faults");
        let body = serde_json::to_vec(plan).unwrap_or_default();
        let _ = self
            .client
            .fetch(Method::POST, &url, &[], body, REQUEST_TIMEOUT)
            .await;
    }

    /// Sends a signal to a daemon.
    pub fn signal_daemon(&self, index: usize, signal: Signal) {
        if let Some(process) = &self.daemons[index].process {
            process.signal(signal);
        }
    }

    /// Ends a daemon at once.
    pub fn kill_daemon(&mut self, index: usize) {
        if let Some(mut process) = self.daemons[index].process.take() {
            process.kill();
        }
    }

    /// Leaves everything running.
    pub fn detach(mut self) {
        for daemon in &mut self.daemons {
            if let Some(process) = daemon.process.take() {
                process.detach();
            }
        }
        for process in std::mem::take(&mut self.emulators).into_values() {
            process.detach();
        }
    }
}

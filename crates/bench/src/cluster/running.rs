//! Starting and stopping the processes of a cluster, and injecting faults into them.

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

/// A running cluster; dropping it kills all of its processes.
pub struct Cluster {
    /// Folder with the settings file and the logs.
    pub folder: PathBuf,
    /// Configuration from which the cluster was started.
    pub config: ClusterConfig,
    /// The daemons, in order of their index.
    pub daemons: Vec<DaemonHandle>,
    /// Emulator processes by address.
    pub emulators: BTreeMap<String, Process>,
    /// Address of the log service.
    pub log: String,
    /// Address of the machine list service.
    pub machines: String,
    /// Machines that [`Cluster::publish_list`] sends to the machine list.
    pub listed: Vec<Machine>,
    /// HTTP client for requests to the cluster's processes.
    pub client: HttpClient,
}

fn new_address() -> Result<String, ProcessError> {
    Ok(format!("127.0.0.1:{}", free_port()?))
}

impl Cluster {
    /// Starts all processes and waits until all daemons are ready.
    ///
    /// # Errors
    /// A process cannot be started, exits, or is not ready in time.
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

    /// Checks that all emulators are running: daemons can become ready although an emulator
    /// failed to start.
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

    /// Starts an engine emulator at an address; also restarts one that was killed.
    ///
    /// # Errors
    /// The emulator cannot be started.
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

    /// Sends the machines to the machine list, which makes them visible after its delay.
    ///
    /// # Errors
    /// The machine list does not accept them in time.
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

    /// Starts a daemon; also restarts one that was stopped or killed.
    ///
    /// # Errors
    /// The daemon cannot be started.
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

    /// Returns the addresses of all daemons; each of them accepts requests.
    pub fn daemon_addresses(&self) -> Vec<String> {
        self.daemons
            .iter()
            .map(|daemon| daemon.address.clone())
            .collect()
    }

    /// Sets the fault plan of an emulator.
    pub async fn set_faults(&self, address: &str, plan: &FaultPlan) {
        let url = format!("http://{address}/control/faults");
        let body = serde_json::to_vec(plan).unwrap_or_default();
        let _ = self
            .client
            .fetch(Method::POST, &url, &[], body, REQUEST_TIMEOUT)
            .await;
    }

    /// Sends a signal to a daemon if it is running.
    pub fn signal_daemon(&self, index: usize, signal: Signal) {
        if let Some(process) = &self.daemons[index].process {
            process.signal(signal);
        }
    }

    /// Kills a daemon if it is running.
    pub fn kill_daemon(&mut self, index: usize) {
        if let Some(mut process) = self.daemons[index].process.take() {
            process.kill();
        }
    }

    /// Consumes the handle and leaves all processes running.
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

//! Queries to a running cluster: readiness, shard ownership, addresses, process ids.

use super::running::{Cluster, READY_POLL_INTERVAL, READY_TIMEOUT, REQUEST_TIMEOUT};
use crate::cluster::process::{Process, ProcessError};
use fieldhook_http::TextResponse;
use fieldhook_model::operator::OwnedShardStatus;
use fieldhook_model::platform::{Machine, MachineKind};
use ntex::http::Method;
use std::time::Instant;

impl Cluster {
    /// Waits until every running daemon is ready.
    ///
    /// # Errors
    /// A daemon is not ready in time.
    pub async fn wait_ready(&self) -> Result<(), ProcessError> {
        for daemon in self
            .daemons
            .iter()
            .filter(|daemon| daemon.process.is_some())
        {
            self.wait_daemon_ready(&daemon.address).await?;
        }
        Ok(())
    }

    /// Waits until the daemon at `address` is ready.
    ///
    /// # Errors
    /// The daemon is not ready in time.
    pub async fn wait_daemon_ready(&self, address: &str) -> Result<(), ProcessError> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if self
                .get(address, "/readyz")
                .await
                .is_some_and(|response| response.status == 200)
            {
                return Ok(());
            }
            ntex::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(ProcessError::NotReady(format!("daemon {address}")))
    }

    /// Sends a GET request to a process of the cluster; returns `None` if it fails.
    pub async fn get(&self, address: &str, path: &str) -> Option<TextResponse> {
        let url = format!("http://{address}{path}");
        self.client
            .fetch(Method::GET, &url, &[], Vec::new(), REQUEST_TIMEOUT)
            .await
            .ok()
    }

    /// Returns the index of the daemon that owns a shard, according to the first daemon that
    /// reports its status.
    pub async fn owner_index(&self, shard: u16) -> Option<usize> {
        for daemon in self
            .daemons
            .iter()
            .filter(|daemon| daemon.process.is_some())
        {
            let Some(response) = self.get(&daemon.address, "/v1/status").await else {
                continue;
            };
            let status: serde_json::Value = serde_json::from_str(&response.body).ok()?;
            let shards = status["shards"].as_array()?;
            let entry = shards.iter().find(|entry| entry["shard"] == shard)?;
            let owner = entry["owner"].as_str()?;
            return self
                .daemons
                .iter()
                .position(|daemon| daemon.address == owner);
        }
        None
    }

    /// Waits until every shard is owned by a running daemon.
    ///
    /// # Errors
    /// A daemon is not ready, or a shard has no owner, in time.
    pub async fn wait_shards_owned(&self) -> Result<(), ProcessError> {
        self.wait_ready().await?;
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if self.all_shards_owned().await.unwrap_or(false) {
                return Ok(());
            }
            ntex::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(ProcessError::NotReady(
            "an owner for every shard".to_owned(),
        ))
    }

    async fn all_shards_owned(&self) -> Option<bool> {
        let mut owned: Vec<OwnedShardStatus> = Vec::new();
        for daemon in self
            .daemons
            .iter()
            .filter(|daemon| daemon.process.is_some())
        {
            let response = self.get(&daemon.address, "/v1/operator/shards").await?;
            owned.extend(serde_json::from_str::<Vec<OwnedShardStatus>>(&response.body).ok()?);
        }
        Some(owned.len() == usize::from(self.config.shards))
    }

    /// Returns the addresses of the engines.
    pub fn engines(&self) -> Vec<String> {
        self.addresses(MachineKind::Engine)
    }

    /// Returns the addresses of the servers of a service.
    pub fn servers(&self, service: &str) -> Vec<String> {
        let serves = |machine: &&Machine| {
            machine
                .labels
                .get("service")
                .is_some_and(|name| name == service)
        };
        self.listed
            .iter()
            .filter(serves)
            .map(|machine| machine.address.clone())
            .collect()
    }

    fn addresses(&self, kind: MachineKind) -> Vec<String> {
        let machines = self.listed.iter().filter(|machine| machine.kind == kind);
        machines.map(|machine| machine.address.clone()).collect()
    }

    /// Returns the process ids of all running daemons and emulators.
    pub fn process_ids(&self) -> Vec<u32> {
        let daemons = self
            .daemons
            .iter()
            .filter_map(|daemon| daemon.process.as_ref());
        daemons
            .chain(self.emulators.values())
            .map(Process::id)
            .collect()
    }
}

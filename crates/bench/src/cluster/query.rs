//! What a running cluster answers: who is ready, who owns what, where things listen.

use super::running::{Cluster, READY_POLL_INTERVAL, READY_TIMEOUT, REQUEST_TIMEOUT};
use crate::cluster::process::{Process, ProcessError};
use fieldhook_http::TextResponse;
use fieldhook_model::operator::OwnedShardStatus;
use fieldhook_model::platform::{Machine, MachineKind};
use ntex::http::Method;
use std::time::Instant;

impl Cluster {
    /// Waits until every started daemon serves.
    ///
    /// # Errors
    /// One does not in time.
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

    /// Waits until one daemon serves.
    ///
    /// # Errors
    /// It does not in time.
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

    /// Reads a path of any process of the cluster.
    pub async fn get(&self, address: &str, path: &str) -> Option<TextResponse> {
        let url = format!("http://{address}{path}");
        self.client
            .fetch(Method::GET, &url, &[], Vec::new(), REQUEST_TIMEOUT)
            .await
            .ok()
    }

    /// Index of the daemon that leads a shard, as daemons say.
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
            let route = shards.iter().find(|route| route["shard"] == shard)?;
            let owner = route["owner"].as_str()?;
            return self
                .daemons
                .iter()
                .position(|daemon| daemon.address == owner);
        }
        None
    }

    /// Waits until every shard is served by a process that runs now.
    ///
    /// # Errors
    /// Some shard has no owner in time.
    pub async fn wait_shards_owned(&self) -> Result<(), ProcessError> {
        self.wait_ready().await?;
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if self.all_shards_owned().await.unwrap_or(false) {
                return Ok(());
            }
            ntex::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(ProcessError::NotReady("an owner of every shard".to_owned()))
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

    /// Addresses of the engines.
    pub fn engines(&self) -> Vec<String> {
        self.addresses(MachineKind::Engine)
    }

    /// Addresses of the servers of a service.
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

    /// Process ids of everything that runs.
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

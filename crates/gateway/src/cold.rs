//! Cold servers: servers that for a time take only a limited rate of requests, for example after
//! a start (docs/design/cold-servers.md).

use crate::zone_state::ZoneState;
use fieldhook_traffic::cold::{ColdCause, ColdTracker, PermitDenials};
use fieldhook_traffic::config::{ColdLimit, TrafficConfig};
use fieldhook_traffic::directory::{Directory, ServerEntry};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::time::Instant;

/// The cold servers known to one daemon.
pub struct ColdServers {
    zone_state: Rc<ZoneState>,
    servers: RefCell<ColdTracker>,
    denials: RefCell<PermitDenials>,
    /// Limits of cold servers, by service.
    services: RefCell<HashMap<String, ColdLimit>>,
    version: Cell<u64>,
    /// Servers that were logged as cold: each is logged once per cold period.
    logged: RefCell<HashSet<String>>,
    started: Instant,
}

impl ColdServers {
    /// Creates an empty state.
    pub fn new(zone_state: Rc<ZoneState>) -> Self {
        Self {
            zone_state,
            servers: RefCell::default(),
            denials: RefCell::default(),
            services: RefCell::default(),
            version: Cell::new(0),
            logged: RefCell::default(),
            started: Instant::now(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Applies a configuration.
    pub fn set_config(&self, config: &TrafficConfig) {
        let services = config.services.iter();
        let limits = services.filter_map(|service| Some((service.name.clone(), service.cold?)));
        self.services.replace(limits.collect());
        self.version.set(config.version);
    }

    /// Returns the version of the current configuration.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Returns the limits of a server if it is cold now.
    pub fn cold_limits(&self, server: &ServerEntry) -> Option<ColdLimit> {
        let services = self.services.borrow();
        let cold = services.get(&server.service)?;
        self.cause(server, cold).map(|_| *cold)
    }

    /// Returns why a server is cold and for how much longer, in milliseconds.
    fn cause(&self, server: &ServerEntry, cold: &ColdLimit) -> Option<(&'static str, u64)> {
        let now_ms = self.now_ms();
        if let Some((cause, left_ms)) = self.servers.borrow().cold_cause(&server.id, cold, now_ms) {
            return Some((cause_label(cause), left_ms));
        }
        // Servers of an evacuated zone served no requests, so they count as cold for a while after
        // the zone is reopened.
        let reopened_for_ms = self.zone_state.ms_since_reopened(&server.zone)?;
        let left_ms = cold.duration_ms.checked_sub(reopened_for_ms)?;
        (left_ms > 0).then_some(("zone_opened", left_ms))
    }

    /// Returns how long a cold server accepts no further request, in milliseconds, if a permit
    /// was denied for it.
    pub fn denial_wait_ms(&self, id: &str) -> Option<u64> {
        self.denials.borrow().wait_ms(id, self.now_ms())
    }

    /// Returns the cold servers for which permits are denied now, and for how much longer, in
    /// milliseconds.
    pub fn denied_servers(&self) -> Vec<(Rc<str>, u64)> {
        let now_ms = self.now_ms();
        let denials = self.denials.borrow();
        denials.pending(now_ms).collect()
    }

    /// Records that no permit for a cold server is granted within `retry_after_ms`.
    pub fn record_denial(&self, id: &str, retry_after_ms: u64) {
        let now_ms = self.now_ms();
        self.denials
            .borrow_mut()
            .record_denial(id, retry_after_ms, now_ms);
    }

    /// Records how much longer a server is cold according to its own directory entry.
    pub fn record_report(&self, server: &ServerEntry) {
        let now_ms = self.now_ms();
        self.servers
            .borrow_mut()
            .record_reported(&server.id, server.cold_ms, now_ms);
        self.log_cold(server);
    }

    /// Marks the first listing of servers as complete: servers that appear later are new.
    pub fn finish_initial_listing(&self) {
        self.servers.borrow_mut().record_initial_listing();
    }

    /// Removes a server that has left the directory.
    pub fn remove(&self, id: &str) {
        self.servers.borrow_mut().forget(id);
        self.logged.borrow_mut().remove(id);
    }

    /// Records a failed connection attempt to a server.
    pub fn record_unreachable(&self, server: &ServerEntry) {
        self.servers.borrow_mut().record_unreachable(&server.id);
        self.log_cold(server);
    }

    /// Records a successful connection to a server.
    pub fn record_reachable(&self, server: &ServerEntry) {
        let now_ms = self.now_ms();
        if self
            .servers
            .borrow_mut()
            .record_connected(&server.id, now_ms)
        {
            self.log_cold(server);
        }
    }

    /// Records that a server reset a connection immediately after a request was sent.
    pub fn record_reset(&self, server: &ServerEntry) {
        let now_ms = self.now_ms();
        self.servers.borrow_mut().record_reset(&server.id, now_ms);
        self.log_cold(server);
    }

    /// Counts the servers that are cold now. Servers that no longer are will be logged again when
    /// they next become cold.
    pub fn count_cold(&self, directory: &Directory) -> usize {
        if self.services.borrow().is_empty() {
            return 0;
        }
        let mut logged = self.logged.borrow_mut();
        let mut count = 0;
        for server in directory.entries() {
            match self.cold_limits(server) {
                Some(_) => count += 1,
                None => {
                    logged.remove(&server.id);
                }
            }
        }
        count
    }

    /// Logs that a server is cold, once per cold period.
    fn log_cold(&self, server: &ServerEntry) {
        let services = self.services.borrow();
        let Some(cold) = services.get(&server.service) else {
            return;
        };
        let Some((cause, left_ms)) = self.cause(server, cold) else {
            return;
        };
        if self.logged.borrow_mut().insert(server.id.clone()) {
            tracing::info!(
                event = "server_cold",
                server = server.id,
                service = server.service,
                zone = server.zone,
                cause,
                left_ms,
                rate_per_s = cold.rate_per_s,
                version = self.version.get()
            );
        }
    }
}

/// Returns the name of a cause in the log output.
fn cause_label(cause: ColdCause) -> &'static str {
    match cause {
        ColdCause::Reported => "told",
        ColdCause::New => "new",
        ColdCause::Reconnected => "took_no_connection",
        ColdCause::Reset => "reset",
    }
}

//! Engines and servers: the platform's list of machines, the load reports of engines, and the calls
//! that this daemon runs on them.

use crate::node::Node;
use fieldhook_membership::{Fact, LeavingMachine};
use fieldhook_model::machine_list::MachineList;
use fieldhook_model::platform::{EngineLoad, Machine, MachineKind};
use fieldhook_placement::{EngineView, Rotation};
use ntex::time::{Millis, sleep};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

const LIST_INTERVAL: Millis = Millis(500);
const LOAD_INTERVAL: Millis = Millis(250);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of engines whose load is read in each round, besides those that run calls of this daemon.
/// With a round every `LOAD_INTERVAL`, up to 12 times as many engines have a report that is not
/// older than `MAX_REPORT_AGE`.
const SAMPLE_SIZE: usize = 16;
/// An engine whose last report is older than this is considered unreachable.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Maximum number of entries that cannot be read of which the problem is logged.
const MAX_LOGGED_PROBLEMS: usize = 20;
/// How long a machine gets less work after a failed attempt: an engine is considered unreachable,
/// and a server is tried last.
const FAILURE_BACKOFF: Duration = Duration::from_secs(2);

/// Engines and servers as known to this daemon.
#[derive(Default)]
pub struct Fleet {
    machines: Vec<Machine>,
    loads: BTreeMap<String, (Instant, EngineLoad)>,
    assigned: BTreeMap<String, u32>,
    failed: BTreeMap<String, Instant>,
}

impl Fleet {
    /// The platform's list of machines as last read.
    pub fn machines(&self) -> &[Machine] {
        &self.machines
    }

    /// Returns the addresses of all listed engines.
    pub fn engines(&self) -> Vec<String> {
        let engines = self
            .machines
            .iter()
            .filter(|machine| machine.kind == MachineKind::Engine);
        engines.map(|machine| machine.address.clone()).collect()
    }

    fn engines_with_work(&self) -> Vec<String> {
        let busy = self.assigned.iter().filter(|(_, count)| **count > 0);
        let loads = &self.loads;
        busy.map(|(address, _)| address.clone())
            .filter(|address| loads.contains_key(address))
            .collect()
    }

    /// Records that an attempt starts on a machine.
    pub fn assign(&mut self, address: &str) {
        *self.assigned.entry(address.to_owned()).or_insert(0) += 1;
    }

    /// Records that an attempt ended on a machine.
    pub fn unassign(&mut self, address: &str) {
        if let Some(count) = self.assigned.get_mut(address) {
            *count = count.saturating_sub(1);
        }
    }

    /// Records that an attempt failed on a machine.
    pub fn record_failure(&mut self, address: &str) {
        self.failed.insert(address.to_owned(), Instant::now());
    }

    /// Incarnation of an engine according to its last report, or 0 if there is none.
    pub fn incarnation(&self, address: &str) -> u64 {
        self.loads
            .get(address)
            .map_or(0, |(_, load)| load.incarnation)
    }

    fn is_reachable(&self, address: &str) -> bool {
        let reported = self
            .loads
            .get(address)
            .is_some_and(|(at, _)| at.elapsed() < MAX_REPORT_AGE);
        reported && !self.failed_recently(address)
    }

    fn failed_recently(&self, address: &str) -> bool {
        self.failed
            .get(address)
            .is_some_and(|at| at.elapsed() < FAILURE_BACKOFF)
    }
}

/// Returns all engines as input for the placement.
pub fn engine_views(node: &Node) -> Vec<EngineView> {
    let fleet = node.fleet.borrow();
    let config = node.config.borrow();
    let detector = node.detector.borrow();
    let engines = fleet
        .machines
        .iter()
        .filter(|machine| machine.kind == MachineKind::Engine);
    engines
        .map(|machine| {
            let load = fleet
                .loads
                .get(&machine.address)
                .map(|(_, load)| *load)
                .unwrap_or_default();
            let labels = &machine.labels;
            let announced_leaving = detector
                .table()
                .is_leaving(&machine.address, load.incarnation);
            EngineView {
                address: machine.address.clone(),
                labels: config
                    .document
                    .machine_labels(&machine.name, &machine.zone, labels),
                load,
                assigned: fleet.assigned.get(&machine.address).copied().unwrap_or(0),
                leaving: machine.leaving || announced_leaving,
                reachable: fleet.is_reachable(&machine.address),
            }
        })
        .collect()
}

/// Returns the servers that offer a service and are not leaving, least busy first. Servers that
/// failed recently come last.
pub fn servers_for(node: &Node, service: &str) -> Vec<Machine> {
    let fleet = node.fleet.borrow();
    let offers = |machine: &&Machine| {
        machine.kind == MachineKind::Server
            && !machine.leaving
            && machine
                .labels
                .get("service")
                .is_some_and(|name| name == service)
    };
    let mut servers: Vec<Machine> = fleet.machines.iter().filter(offers).cloned().collect();
    servers.sort_by_key(|machine| {
        let assigned = fleet.assigned.get(&machine.address).copied().unwrap_or(0);
        (fleet.failed_recently(&machine.address), assigned)
    });
    servers
}

/// Polls the platform's list of machines. If it is unavailable, the last list stays in use.
pub async fn run_machine_list(node: Rc<Node>) {
    let url = format!("http://{}/v1/machines", node.settings.platform.machines);
    let mut known_problems = Vec::new();
    loop {
        let list = node
            .client
            .get_json::<Vec<Box<RawValue>>>(&url, REQUEST_TIMEOUT)
            .await;
        match list {
            Ok(entries) => {
                let list = MachineList::parse(&entries);
                if list.problems != known_problems {
                    log_problems(&list.problems);
                    known_problems = list.problems;
                }
                node.fleet.borrow_mut().machines = list.machines;
                announce_leaving(&node);
            }
            Err(error) => tracing::debug!(event = "machine_list_unavailable", %error),
        }
        sleep(LIST_INTERVAL).await;
    }
}

/// Logs which entries cannot be read, the first ones by their problem.
fn log_problems(problems: &[String]) {
    for problem in problems.iter().take(MAX_LOGGED_PROBLEMS) {
        tracing::error!(
            event = "machine_unreadable",
            problem,
            unreadable = problems.len(),
            remedy = "the machine is not used until its entry is valid"
        );
    }
}

/// Polls the load of engines: in each round, those that run calls of this daemon and a rotating
/// sample of all engines.
pub async fn run_load_reports(node: Rc<Node>) {
    let mut rotation = Rotation::default();
    loop {
        let all = node.fleet.borrow().engines();
        let mut engines = rotation.next_batch(&all, SAMPLE_SIZE, |limit| fastrand::usize(..limit));
        for busy in node.fleet.borrow().engines_with_work() {
            if !engines.contains(&busy) {
                engines.push(busy);
            }
        }
        let reads = engines
            .into_iter()
            .map(|address| read_load(node.clone(), address));
        futures_util::future::join_all(reads).await;
        announce_leaving(&node);
        sleep(LOAD_INTERVAL).await;
    }
}

async fn read_load(node: Rc<Node>, address: String) {
    let url = format!("http://{address}/v1/load");
    if let Ok(load) = node
        .client
        .get_json::<EngineLoad>(&url, REQUEST_TIMEOUT)
        .await
    {
        node.fleet
            .borrow_mut()
            .loads
            .insert(address, (Instant::now(), load));
    }
}

/// Announces engines that are leaving to the other daemons. The announcement applies to an
/// incarnation of the engine, so that it stays valid if the list is outdated or temporarily wrong.
fn announce_leaving(node: &Node) {
    let leaving: Vec<LeavingMachine> = {
        let fleet = node.fleet.borrow();
        let engines = fleet
            .machines
            .iter()
            .filter(|machine| machine.kind == MachineKind::Engine);
        engines
            .filter_map(|machine| {
                let (_, load) = fleet.loads.get(&machine.address)?;
                let is_leaving = machine.leaving || load.leaving;
                is_leaving.then(|| LeavingMachine {
                    address: machine.address.clone(),
                    incarnation: load.incarnation,
                })
            })
            .collect()
    };
    for machine in leaving {
        node.announce(Fact::Leaving(machine));
    }
}

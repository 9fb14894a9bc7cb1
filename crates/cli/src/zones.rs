//! The `zones --logs FILE` command: summarizes the logs of all daemons by zone.

use crate::error::ClientError;
use crate::log_lines::{self, LogLine};
use std::collections::{BTreeMap, BTreeSet};

/// Summary of one zone.
#[derive(Default)]
struct Zone {
    daemons: BTreeSet<String>,
    servers: BTreeSet<String>,
    answered: u64,
    partitions: BTreeSet<u64>,
    /// Newest revision of the evacuation, its state and the time of its first log line.
    evacuation: Option<(u64, String, String)>,
}

/// State of all daemons, servers and zones, updated by log lines in the order of their times.
#[derive(Default)]
struct FleetState {
    zones: BTreeMap<String, Zone>,
    zone_of_daemon: BTreeMap<String, String>,
    zone_of_server: BTreeMap<String, String>,
    owner_of_partition: BTreeMap<u64, String>,
}

impl FleetState {
    fn apply(&mut self, line: &LogLine) {
        match line.event() {
            "start" => {
                let zone = line.text("zone");
                self.zone_of_daemon
                    .insert(line.origin.clone(), zone.to_owned());
                self.zone(zone).daemons.insert(line.origin.clone());
            }
            "server_known" => {
                let (server, zone) = (line.text("server"), line.text("zone"));
                self.zone_of_server
                    .insert(server.to_owned(), zone.to_owned());
                self.zone(zone).servers.insert(server.to_owned());
            }
            "server_gone" => {
                if let Some(zone) = self.zone_of_server.get(line.text("server")).cloned() {
                    self.zone(&zone).servers.remove(line.text("server"));
                }
            }
            "attempt_answered" => {
                if let Some(zone) = self.zone_of_server.get(line.text("server")).cloned() {
                    self.zone(&zone).answered += 1;
                }
            }
            "partition_owned" => {
                if let Some(partition) = line
                    .fields
                    .get("partition")
                    .and_then(|value| value.as_u64())
                {
                    self.owner_of_partition
                        .insert(partition, line.origin.clone());
                }
            }
            "zone_evacuation" => self.apply_evacuation(line),
            _ => {}
        }
    }

    /// Returns the summary of a zone, adding it if missing.
    fn zone(&mut self, name: &str) -> &mut Zone {
        self.zones.entry(name.to_owned()).or_default()
    }

    fn apply_evacuation(&mut self, line: &LogLine) {
        let revision = line.number("revision").unwrap_or_default() as u64;
        let zone = self.zone(line.text("zone"));
        let is_newer = zone
            .evacuation
            .as_ref()
            .is_none_or(|(known, ..)| *known < revision);
        if is_newer {
            let state = line.text("state").to_lowercase();
            zone.evacuation = Some((revision, state, line.time().to_owned()));
        }
    }

    /// Assigns each partition to the zone of the daemon that last logged that it owns it.
    fn assign_partitions(&mut self) {
        for (partition, owner) in std::mem::take(&mut self.owner_of_partition) {
            if let Some(zone) = self.zone_of_daemon.get(&owner).cloned() {
                self.zone(&zone).partitions.insert(partition);
            }
        }
    }
}

/// Prints a row for each zone: state, time and revision of its evacuation, number of daemons and
/// servers, share of the answers, and number of partitions whose last logged owner is in the zone.
///
/// # Errors
/// A file cannot be read.
pub fn run(files: &[String]) -> Result<(), ClientError> {
    let mut lines = Vec::new();
    log_lines::read(files, |line| lines.push(line))?;
    lines.sort_by(|left, right| left.time().cmp(right.time()));
    let mut fleet = FleetState::default();
    for line in &lines {
        fleet.apply(line);
    }
    fleet.assign_partitions();
    let answered: u64 = fleet.zones.values().map(|zone| zone.answered).sum();
    println!("zone state since revision daemons servers answered_percent partitions");
    for (name, zone) in &fleet.zones {
        let (revision, state, since) = match &zone.evacuation {
            Some((revision, state, since)) => (revision.to_string(), &**state, &**since),
            None => ("-".to_owned(), "open", "-"),
        };
        let percent = zone.answered as f64 * 100.0 / answered.max(1) as f64;
        println!(
            "{name} {state} {since} {revision} {} {} {percent:.1} {}",
            zone.daemons.len(),
            zone.servers.len(),
            zone.partitions.len()
        );
    }
    Ok(())
}

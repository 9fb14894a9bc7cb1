//! Hollow daemons: the control cores of many daemons (failure detector, gossip) in
//! one process, over the same code and the same
//! encoding, under virtual time. It gives the slopes for docs/CAPACITY.md.

use crate::report::{memory_kb, processor_ms};
use fieldhook_daemon::transport::Datagram;
use fieldhook_membership::{Detector, Fact, MemberState, Outgoing, Settings as MembershipSettings};
use fieldhook_model::address::{Address, ProcessId};
use nanoserde::{DeBin, SerBin};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const STEP_MS: u64 = 10;
const LOST_ZONE: usize = 1;
const DETECTOR_TICK_STEPS: u64 = 5;
const HEADER_BYTES: u64 = 28;
const LIMIT_MS: u64 = 60_000;
/// First of the made-up addresses; nothing is sent to them.
const FIRST_IP: u32 = 0x0a00_0001;
const PORT: u16 = 7_001;

/// Size of a hollow cluster.
#[derive(Clone, Copy, Debug)]
pub struct HollowShape {
    /// Daemons.
    pub daemons: usize,
    /// Zones.
    pub zones: usize,
    /// Virtual time before that, in which the first facts spread, in milliseconds.
    pub warm_up_ms: u64,
    /// Virtual time over which the steady state is measured, in milliseconds.
    pub span_ms: u64,
}

/// What a hollow cluster shows.
#[derive(Clone, Debug, Serialize)]
pub struct HollowReport {
    /// Daemons.
    pub daemons: usize,
    /// Bytes sent by a daemon per second while the first facts spread.
    pub warm_up_bytes_per_second: f64,
    /// Bytes sent by a daemon per second, headers included.
    pub bytes_per_second: f64,
    /// Datagrams sent by a daemon per second.
    pub packets_per_second: f64,
    /// Processor time of the cores and the encoding, in percent of a core.
    pub core_percent: f64,
    /// Memory of a daemon's control state, in kilobytes.
    pub kilobytes_per_daemon: f64,
    /// Time until all daemons know a new configuration, in milliseconds.
    pub config_spread_ms: Option<u64>,
    /// Time from a daemon's loss until all others hold it dead, in milliseconds.
    pub detection_ms: Option<u64>,
    /// Time from a zone's loss until all others hold all of it dead, in milliseconds.
    pub zone_detection_ms: Option<u64>,
    /// Bytes a daemon sends per second in the ten seconds after the zone's loss.
    pub zone_loss_bytes_per_second: f64,
}

struct HollowDaemon {
    id: ProcessId,
    zone: usize,
    running: bool,
    detector: Detector,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    due_ms: u64,
    order: u64,
    to: usize,
    bytes: Vec<u8>,
}

struct Hollow {
    daemons: Vec<HollowDaemon>,
    by_address: BTreeMap<Address, usize>,
    network: BinaryHeap<Reverse<Delivery>>,
    now_ms: u64,
    step: u64,
    order: u64,
    bytes: u64,
    packets: u64,
}

fn address(index: usize) -> Address {
    let ip = std::net::Ipv4Addr::from(FIRST_IP + index as u32);
    Address::new(std::net::SocketAddrV4::new(ip, PORT))
}

/// Builds, runs and measures a hollow cluster.
pub fn measure(shape: HollowShape) -> HollowReport {
    let own_id = std::process::id();
    let memory_before = memory_kb(own_id);
    let mut hollow = Hollow::new(shape);
    hollow.run(shape.warm_up_ms);
    let memory_after = memory_kb(own_id);
    let warm_up_seconds = shape.warm_up_ms as f64 / 1e3;
    let warm_up_bytes = hollow.bytes as f64 / shape.daemons as f64 / warm_up_seconds;
    hollow.reset_counters();
    let processor_before = processor_ms(own_id);
    hollow.run(shape.span_ms);
    let processor_spent = processor_ms(own_id) - processor_before;
    let seconds = shape.span_ms as f64 / 1e3;
    let daemon_seconds = shape.daemons as f64 * seconds;
    let mut report = HollowReport {
        daemons: shape.daemons,
        warm_up_bytes_per_second: warm_up_bytes,
        bytes_per_second: hollow.bytes as f64 / daemon_seconds,
        packets_per_second: hollow.packets as f64 / daemon_seconds,
        core_percent: processor_spent as f64 / 1e3 / daemon_seconds * 100.0,
        kilobytes_per_daemon: memory_after.saturating_sub(memory_before) as f64
            / shape.daemons as f64,
        config_spread_ms: None,
        detection_ms: None,
        zone_detection_ms: None,
        zone_loss_bytes_per_second: 0.0,
    };
    report.config_spread_ms = hollow.spread_config();
    report.detection_ms = hollow.lose_daemon();
    hollow.reset_counters();
    let before_ms = hollow.now_ms;
    report.zone_detection_ms = hollow.lose_zone();
    let rest_ms = (before_ms + 10_000).saturating_sub(hollow.now_ms);
    hollow.run(rest_ms);
    let running = hollow
        .daemons
        .iter()
        .filter(|daemon| daemon.running)
        .count();
    let span_seconds = (hollow.now_ms - before_ms) as f64 / 1e3;
    report.zone_loss_bytes_per_second = hollow.bytes as f64 / running as f64 / span_seconds;
    report
}

impl Hollow {
    fn new(shape: HollowShape) -> Self {
        let ids: Vec<ProcessId> = (0..shape.daemons)
            .map(|index| ProcessId {
                address: address(index),
                incarnation: 1,
            })
            .collect();
        let seeds: Vec<Address> = ids.iter().take(3).map(|id| id.address).collect();
        let daemons = ids
            .iter()
            .enumerate()
            .map(|(index, id)| HollowDaemon {
                id: *id,
                zone: index % shape.zones,
                running: true,
                detector: Detector::new(
                    *id,
                    &format!("zone-{}", index % shape.zones),
                    seeds.clone(),
                    MembershipSettings::default(),
                    index as u64,
                ),
            })
            .collect();
        Self {
            daemons,
            by_address: ids
                .iter()
                .enumerate()
                .map(|(index, id)| (id.address, index))
                .collect(),
            network: BinaryHeap::new(),
            now_ms: 0,
            step: 0,
            order: 0,
            bytes: 0,
            packets: 0,
        }
    }

    fn reset_counters(&mut self) {
        self.bytes = 0;
        self.packets = 0;
    }

    fn run(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.now_ms += STEP_MS;
        self.step += 1;
        self.deliver_due();
        for index in 0..self.daemons.len() {
            // Daemons do not tick in unison.
            let turn = self.step + index as u64;
            if !self.daemons[index].running {
                continue;
            }
            if turn.is_multiple_of(DETECTOR_TICK_STEPS) {
                let outgoing = self.daemons[index].detector.tick(self.now_ms);
                self.post_packets(index, outgoing);
            }
        }
    }

    fn post_packets(&mut self, index: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, packet } in outgoing {
            let datagram = Datagram::Membership(packet);
            self.post(index, to, &datagram);
        }
    }

    fn post(&mut self, from: usize, to: Address, datagram: &Datagram) {
        let bytes = datagram.serialize_bin();
        self.bytes += bytes.len() as u64 + HEADER_BYTES;
        self.packets += 1;
        let Some(to) = self.by_address.get(&to).copied() else {
            return;
        };
        // Zones are somewhat over a millisecond apart, machines of a zone less.
        let delay_ms = if self.daemons[from].zone == self.daemons[to].zone {
            1
        } else {
            2
        };
        self.order += 1;
        self.network.push(Reverse(Delivery {
            due_ms: self.now_ms + delay_ms,
            order: self.order,
            to,
            bytes,
        }));
    }

    fn deliver_due(&mut self) {
        while self
            .network
            .peek()
            .is_some_and(|Reverse(next)| next.due_ms <= self.now_ms)
        {
            let Some(Reverse(delivery)) = self.network.pop() else {
                return;
            };
            if !self.daemons[delivery.to].running {
                continue;
            }
            if let Ok(Datagram::Membership(packet)) = Datagram::deserialize_bin(&delivery.bytes) {
                let answers = self.daemons[delivery.to].detector.receive(packet);
                self.post_packets(delivery.to, answers);
            }
        }
    }

    /// Runs until a condition holds; the time it took.
    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) -> Option<u64> {
        let begun_ms = self.now_ms;
        while self.now_ms < begun_ms + LIMIT_MS {
            self.advance();
            if self.step.is_multiple_of(5) && condition(self) {
                return Some(self.now_ms - begun_ms);
            }
        }
        None
    }

    fn running(&self) -> impl Iterator<Item = &HollowDaemon> {
        self.daemons.iter().filter(|daemon| daemon.running)
    }

    fn spread_config(&mut self) -> Option<u64> {
        self.daemons[0].detector.learn(Fact::ConfigOffset(1));
        self.run_until(|hollow| {
            hollow
                .running()
                .all(|daemon| daemon.detector.table().config_offset() == 1)
        })
    }

    fn lose_daemon(&mut self) -> Option<u64> {
        // One of the zone that is lost afterwards, so that faults do not add up.
        let in_lost_zone = |daemon: &HollowDaemon| daemon.zone == LOST_ZONE;
        let lost = self.daemons.iter().rposition(in_lost_zone).unwrap_or(0);
        self.daemons[lost].running = false;
        let lost = self.daemons[lost].id.address;
        self.run_until(move |hollow| {
            hollow.running().all(|daemon| {
                let member = daemon.detector.table().member(lost);
                member.is_some_and(|member| member.state == MemberState::Dead)
            })
        })
    }

    fn lose_zone(&mut self) -> Option<u64> {
        for daemon in self
            .daemons
            .iter_mut()
            .filter(|daemon| daemon.zone == LOST_ZONE)
        {
            daemon.running = false;
        }
        self.run_until(Self::lost_zone_is_known)
    }

    fn lost_zone_is_known(&self) -> bool {
        let lost: Vec<Address> = self
            .daemons
            .iter()
            .filter(|daemon| !daemon.running)
            .map(|daemon| daemon.id.address)
            .collect();
        self.running().all(|daemon| {
            let table = daemon.detector.table();
            lost.iter().all(|address| {
                let member = table.member(*address);
                member.is_some_and(|member| member.state == MemberState::Dead)
            })
        })
    }
}

//! Hollow daemons: the control cores of many daemons (failure detector, gossip,
//! replicas without programs) in one process, over the same code and the same
//! encoding, under virtual time. It gives the slopes for docs/CAPACITY.md.

use crate::report::{memory_kb, processor_ms};
use fieldhook_consensus::{Action, Input, Members, Replica, Role, Settings as ConsensusSettings};
use fieldhook_daemon::transport::{Batch, Datagram, Envelope};
use fieldhook_membership::{
    Detector, Fact, MemberState, Outgoing, Settings as MembershipSettings, ShardRoute,
};
use fieldhook_model::address::{Address, ReplicaId};
use nanoserde::{DeBin, SerBin};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const STEP_MS: u64 = 10;
const REPLICAS: usize = 3;
const LOST_ZONE: usize = 1;
const GROUP_TICK_STEPS: u64 = 2;
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
    /// Shards, of three replicas each.
    pub shards: usize,
    /// Zones.
    pub zones: usize,
    /// Time between heartbeats of a group, in milliseconds.
    pub heartbeat_ms: u64,
    /// Shortest election timeout, in milliseconds.
    pub election_ms: u64,
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
    /// Shards.
    pub shards: usize,
    /// Replicas on a daemon, on average.
    pub replicas_per_daemon: f64,
    /// Bytes sent by a daemon per second while the first facts spread.
    pub warm_up_bytes_per_second: f64,
    /// Bytes sent by a daemon per second, headers included.
    pub bytes_per_second: f64,
    /// Of these, the failure detector and gossip.
    pub membership_bytes_per_second: f64,
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
    /// Time from a zone's loss until every shard has a leader that all running
    /// daemons know, in milliseconds.
    pub zone_failover_ms: Option<u64>,
    /// Bytes a daemon sends per second in the ten seconds after the zone's loss.
    pub zone_loss_bytes_per_second: f64,
}

struct HollowDaemon {
    id: ReplicaId,
    zone: usize,
    running: bool,
    detector: Detector,
    replicas: BTreeMap<u16, Replica>,
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
    membership_bytes: u64,
    packets: u64,
    shards: usize,
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
        shards: shape.shards,
        replicas_per_daemon: (shape.shards * REPLICAS) as f64 / shape.daemons as f64,
        warm_up_bytes_per_second: warm_up_bytes,
        bytes_per_second: hollow.bytes as f64 / daemon_seconds,
        membership_bytes_per_second: hollow.membership_bytes as f64 / daemon_seconds,
        packets_per_second: hollow.packets as f64 / daemon_seconds,
        core_percent: processor_spent as f64 / 1e3 / daemon_seconds * 100.0,
        kilobytes_per_daemon: memory_after.saturating_sub(memory_before) as f64
            / shape.daemons as f64,
        config_spread_ms: None,
        detection_ms: None,
        zone_failover_ms: None,
        zone_loss_bytes_per_second: 0.0,
    };
    report.config_spread_ms = hollow.spread_config();
    report.detection_ms = hollow.lose_daemon();
    hollow.reset_counters();
    let before_ms = hollow.now_ms;
    report.zone_failover_ms = hollow.lose_zone();
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
        let ids: Vec<ReplicaId> = (0..shape.daemons)
            .map(|index| ReplicaId {
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
                replicas: BTreeMap::new(),
            })
            .collect();
        let mut hollow = Self {
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
            membership_bytes: 0,
            packets: 0,
            shards: shape.shards,
        };
        hollow.place_shards(shape, &ids);
        hollow
    }

    /// Puts each shard on three daemons in three zones.
    fn place_shards(&mut self, shape: HollowShape, ids: &[ReplicaId]) {
        let settings = ConsensusSettings {
            heartbeat_ms: shape.heartbeat_ms,
            election_ms: shape.election_ms,
            ..ConsensusSettings::default()
        };
        for shard in 0..shape.shards {
            let places = self.places(shard);
            let voters = places.iter().map(|place| ids[*place]).collect();
            let members = Members::of_voters(voters);
            for place in places {
                let seed = (shard * 1000 + place) as u64;
                let replica = Replica::new(ids[place], members.clone(), settings, 0, seed);
                self.daemons[place].replicas.insert(shard as u16, replica);
            }
        }
    }

    fn places(&self, shard: usize) -> Vec<usize> {
        let mut places: Vec<usize> = Vec::new();
        let mut candidate = shard * REPLICAS;
        while places.len() < REPLICAS {
            let place = candidate % self.daemons.len();
            let zone = self.daemons[place].zone;
            if places.iter().all(|other| self.daemons[*other].zone != zone) {
                places.push(place);
            }
            candidate += 1;
        }
        places
    }

    fn reset_counters(&mut self) {
        self.bytes = 0;
        self.membership_bytes = 0;
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
            if turn.is_multiple_of(GROUP_TICK_STEPS) {
                self.tick_groups(index);
            }
            if turn.is_multiple_of(DETECTOR_TICK_STEPS) {
                let outgoing = self.daemons[index].detector.tick(self.now_ms);
                self.post_packets(index, outgoing);
            }
        }
    }

    fn tick_groups(&mut self, index: usize) {
        let shards: Vec<u16> = self.daemons[index].replicas.keys().copied().collect();
        for shard in shards {
            self.step_group(
                index,
                shard,
                Input::Tick {
                    now_ms: self.now_ms,
                },
            );
        }
    }

    fn step_group(&mut self, index: usize, shard: u16, input: Input) {
        let Some(replica) = self.daemons[index].replicas.get_mut(&shard) else {
            return;
        };
        let actions = replica.step(input);
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let from = self.daemons[index].id;
                    let envelope = Envelope {
                        shard,
                        epoch: 1,
                        from,
                        to,
                        message,
                    };
                    let datagram = Datagram::Consensus(Batch {
                        envelopes: vec![envelope],
                    });
                    self.post(index, to.address, &datagram);
                }
                Action::Apply(entry) => self.announce_leader(index, shard, entry.index),
                _ => {}
            }
        }
    }

    fn announce_leader(&mut self, index: usize, shard: u16, commit: u64) {
        let daemon = &mut self.daemons[index];
        let Some(replica) = daemon.replicas.get(&shard) else {
            return;
        };
        if replica.role() != Role::Leader {
            return;
        }
        let members = replica.members().voters.clone();
        let term = replica.term();
        let leader = daemon.id;
        let route = ShardRoute {
            shard,
            epoch: 1,
            term,
            index: commit,
            leader,
            members,
        };
        daemon.detector.learn(Fact::Route(route));
    }

    fn post_packets(&mut self, index: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, packet } in outgoing {
            let datagram = Datagram::Membership(packet);
            let before = self.bytes;
            self.post(index, to, &datagram);
            self.membership_bytes += self.bytes - before;
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
            match Datagram::deserialize_bin(&delivery.bytes) {
                Ok(Datagram::Membership(packet)) => {
                    let answers = self.daemons[delivery.to].detector.receive(packet);
                    self.post_packets(delivery.to, answers);
                }
                Ok(Datagram::Consensus(batch)) => {
                    for envelope in batch.envelopes {
                        let input = Input::Receive {
                            now_ms: self.now_ms,
                            from: envelope.from,
                            message: envelope.message,
                        };
                        self.step_group(delivery.to, envelope.shard, input);
                    }
                }
                Err(_) => {}
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
        self.run_until(Self::every_leader_is_known)
    }

    fn every_leader_is_known(&self) -> bool {
        (0..self.shards as u16).all(|shard| {
            let leads = |daemon: &&HollowDaemon| {
                daemon
                    .replicas
                    .get(&shard)
                    .is_some_and(Replica::holds_lease)
            };
            let Some(leader) = self.running().find(leads).map(|daemon| daemon.id) else {
                return false;
            };
            self.running().all(|daemon| {
                daemon
                    .detector
                    .table()
                    .route(shard)
                    .is_some_and(|route| route.leader == leader)
            })
        })
    }
}

//! Runs detectors under virtual time with faults. After the faults end, each must consider exactly
//! the running processes alive, and know no configuration offset that was never announced.

use fieldhook_membership::{Detector, Fact, MemberState, Outgoing, Settings};
use fieldhook_model::address::{Address, ProcessId};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NODES: usize = 5;
const TICK_MS: u64 = 50;
/// Enough for detection, suspicion, dissemination and a ping of the seeds.
const SETTLE_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug)]
enum Operation {
    /// Advances the time, in milliseconds.
    Run(u16),
    /// Sets the percentage of packets that are lost.
    Loss(u8),
    /// Cuts a node off from the network.
    CutOff(u8),
    /// Ends the packet loss and connects all nodes again.
    Heal,
    /// Pauses a node, for a time in milliseconds.
    Pause(u8, u16),
    /// Restarts a node with a higher incarnation.
    Restart(u8),
    /// A node announces that it leaves, and stops.
    Leave(u8),
    /// A node announces a new configuration offset.
    AnnounceOffset(u8),
}

impl Arbitrary for Operation {
    fn arbitrary(generator: &mut Gen) -> Self {
        let node = u8::arbitrary(generator) % NODES as u8;
        match u8::arbitrary(generator) % 12 {
            0..=4 => Self::Run(u16::arbitrary(generator) % 4_000),
            5 => Self::Loss(u8::arbitrary(generator) % 50),
            6 => Self::CutOff(node),
            7 => Self::Heal,
            8 => Self::Pause(node, u16::arbitrary(generator) % 8_000),
            9 => Self::Restart(node),
            10 => Self::Leave(node),
            _ => Self::AnnounceOffset(node),
        }
    }
}

struct Node {
    detector: Option<Detector>,
    incarnation: u64,
    paused_until_ms: u64,
    is_cut_off: bool,
}

struct Simulation {
    nodes: Vec<Node>,
    network: Vec<(u64, Outgoing)>,
    now_ms: u64,
    loss_percent: u8,
    random: fastrand::Rng,
    newest_offset: u64,
}

fn address(node: usize) -> Address {
    format!("127.0.0.{}:7000", node + 1).parse().unwrap()
}

fn new_detector(node: usize, incarnation: u64) -> Detector {
    let id = ProcessId {
        address: address(node),
        incarnation,
    };
    // Only the first two nodes are seeds, as in a large deployment.
    let seeds = vec![address(0), address(1)];
    let zone = format!("zone-{}", node % 3);
    Detector::new(
        id,
        &zone,
        seeds,
        Settings::default(),
        incarnation * 31 + node as u64,
    )
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let nodes = (0..NODES)
            .map(|node| Node {
                detector: Some(new_detector(node, 1)),
                incarnation: 1,
                paused_until_ms: 0,
                is_cut_off: false,
            })
            .collect();
        Self {
            nodes,
            network: Vec::new(),
            now_ms: 0,
            loss_percent: 0,
            random: fastrand::Rng::with_seed(seed),
            newest_offset: 0,
        }
    }

    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Run(span_ms) => self.run(u64::from(span_ms)),
            Operation::Loss(percent) => self.loss_percent = percent,
            Operation::CutOff(node) => self.nodes[usize::from(node)].is_cut_off = true,
            Operation::Heal => self.heal(),
            Operation::Pause(node, span_ms) => {
                self.nodes[usize::from(node)].paused_until_ms = self.now_ms + u64::from(span_ms);
            }
            Operation::Restart(node) => self.restart(usize::from(node)),
            Operation::Leave(node) => self.leave(usize::from(node)),
            Operation::AnnounceOffset(node) => self.announce_offset(usize::from(node)),
        }
    }

    fn heal(&mut self) {
        self.loss_percent = 0;
        for node in &mut self.nodes {
            node.is_cut_off = false;
        }
    }

    fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = Node {
            detector: Some(new_detector(node, incarnation)),
            incarnation,
            paused_until_ms: 0,
            is_cut_off: false,
        };
    }

    /// Stops a node as planned, unless it is one of the seeds.
    fn leave(&mut self, node: usize) {
        if node < 2 {
            return;
        }
        if let Some(mut detector) = self.nodes[node].detector.take() {
            detector.leave();
            let packets = detector.tick(self.now_ms + TICK_MS);
            self.send(node, packets);
            let more = detector.tick(self.now_ms + 1_000);
            self.send(node, more);
        }
    }

    fn announce_offset(&mut self, node: usize) {
        self.newest_offset += 1;
        let offset = self.newest_offset;
        if let Some(detector) = &mut self.nodes[node].detector {
            detector.learn(Fact::ConfigOffset(offset));
        } else {
            self.newest_offset -= 1;
        }
    }

    fn run(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms += 5;
            self.deliver_due();
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.tick_all();
            }
        }
    }

    fn tick_all(&mut self) {
        for node in 0..NODES {
            let now_ms = self.now_ms;
            if self.nodes[node].paused_until_ms > now_ms {
                continue;
            }
            if let Some(detector) = &mut self.nodes[node].detector {
                let outgoing = detector.tick(now_ms);
                self.send(node, outgoing);
            }
        }
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for packet in outgoing {
            let lost = self.random.u8(0..100) < self.loss_percent;
            if !lost && !self.nodes[from].is_cut_off {
                let delay_ms = self.random.u64(1..40);
                self.network.push((self.now_ms + delay_ms, packet));
            }
        }
    }

    fn deliver_due(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(due_ms, _)| *due_ms <= now_ms);
        self.network = later;
        for (_, Outgoing { to, packet }) in due {
            let Some(node) = (0..NODES).find(|node| address(*node) == to) else {
                continue;
            };
            let target = &mut self.nodes[node];
            if target.is_cut_off {
                continue;
            }
            if target.paused_until_ms > now_ms {
                self.network
                    .push((target.paused_until_ms + 1, Outgoing { to, packet }));
                continue;
            }
            if let Some(detector) = &mut target.detector {
                let answers = detector.receive(packet);
                self.send(node, answers);
            }
        }
    }

    fn check(&self) {
        let mut running: Vec<ProcessId> = self
            .nodes
            .iter()
            .filter_map(|node| node.detector.as_ref().map(Detector::id))
            .collect();
        running.sort();
        for detector in self.nodes.iter().filter_map(|node| node.detector.as_ref()) {
            let table = detector.table();
            let mut alive: Vec<ProcessId> = table
                .members()
                .filter(|member| member.state == MemberState::Alive)
                .map(|member| member.id)
                .collect();
            alive.sort();
            assert_eq!(alive, running, "{} has the wrong members", detector.id());
            let offset = table.config_offset();
            assert!(
                offset <= self.newest_offset,
                "offset that no node announced"
            );
        }
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn detectors_converge(seed: u64, operations: Vec<Operation>) -> bool {
    let mut simulation = Simulation::new(seed);
    for operation in operations {
        simulation.apply(operation);
    }
    simulation.heal();
    simulation.run(SETTLE_MS);
    simulation.check();
    true
}

#[test]
fn fuzz_detectors_converge() {
    let cases = env_number("FIELDHOOK_FUZZ_CASES", 200);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(
            40,
            env_number("FIELDHOOK_FUZZ_SEED", 5),
        ))
        .tests(cases)
        .max_tests(cases * 2)
        .quickcheck(detectors_converge as fn(u64, Vec<Operation>) -> bool);
}

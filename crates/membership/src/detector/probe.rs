//! Selection of probe targets, and indirect probes if a target does not answer.

use super::{Detector, Probe};
use crate::fact::MemberState;
use crate::gossip::Message;
use fieldhook_model::address::Address;

impl Detector {
    pub(super) fn start_probe(&mut self) {
        // Indirect probes are forgotten after 64 further sequence numbers.
        self.indirect_probes
            .retain(|sequence, _| *sequence + 64 > self.sequence);
        if let Some(probe) = self.probe.take() {
            self.suspect(probe.target);
        }
        let Some(target) = self.next_target() else {
            self.ping_unknown_seeds();
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        let started_ms = self.now_ms;
        self.probe = Some(Probe {
            target,
            sequence,
            started_ms,
            indirect_sent: false,
        });
        self.send(target, Message::Ping { sequence });
        // A seed that is unknown or considered dead may be part of a partitioned group.
        if sequence.is_multiple_of(8) {
            self.ping_unknown_seeds();
        }
    }

    fn ping_unknown_seeds(&mut self) {
        let unknown: Vec<Address> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.own.id.address)
            .filter(|seed| {
                self.table
                    .member(*seed)
                    .is_none_or(|member| member.state >= MemberState::Dead)
            })
            .collect();
        for seed in unknown {
            self.sequence += 1;
            self.send(
                seed,
                Message::Ping {
                    sequence: self.sequence,
                },
            );
        }
    }

    /// Returns the next probe target. Members are probed in random order, each once per round
    /// (SWIM, section 4.3).
    fn next_target(&mut self) -> Option<Address> {
        if self.probe_order.is_empty() {
            self.probe_order = self.live_peers();
            self.random.shuffle(&mut self.probe_order);
        }
        while let Some(target) = self.probe_order.pop() {
            if self
                .table
                .member(target)
                .is_some_and(|member| member.state <= MemberState::Suspect)
            {
                return Some(target);
            }
        }
        None
    }

    pub(super) fn live_peers(&self) -> Vec<Address> {
        let live = self.table.live().map(|member| member.id.address);
        live.filter(|address| *address != self.own.id.address)
            .collect()
    }

    pub(super) fn check_probe(&mut self) {
        let Some(probe) = self.probe else { return };
        if probe.indirect_sent || self.now_ms < probe.started_ms + self.settings.answer_ms {
            return;
        }
        self.probe = Some(Probe {
            indirect_sent: true,
            ..probe
        });
        let mut helpers = self.live_peers();
        helpers.retain(|helper| *helper != probe.target);
        self.random.shuffle(&mut helpers);
        for helper in helpers.into_iter().take(self.settings.indirect_probes) {
            let message = Message::PingRequest {
                sequence: probe.sequence,
                target: probe.target,
            };
            self.send(helper, message);
        }
    }
}

//! Whom to probe next, and whom to ask for help where no answer comes.

use super::{Detector, Probe};
use crate::fact::MemberState;
use crate::gossip::Question;
use fieldhook_model::address::Address;

impl Detector {
    pub(super) fn start_probe(&mut self) {
        self.errands
            .retain(|sequence, _| *sequence + 64 > self.sequence);
        if let Some(probe) = self.probe.take() {
            self.suspect(probe.target);
        }
        let Some(target) = self.next_target() else {
            self.knock_at_seeds();
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        let started_ms = self.now_ms;
        self.probe = Some(Probe {
            target,
            sequence,
            started_ms,
            helpers_asked: false,
        });
        self.send(target, Question::Ping { sequence });
        // A seed nobody has heard of may be a group that split off.
        if sequence.is_multiple_of(8) {
            self.knock_at_seeds();
        }
    }

    fn knock_at_seeds(&mut self) {
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
                Question::Ping {
                    sequence: self.sequence,
                },
            );
        }
    }

    /// Goes round all members in random order, so that each is probed once a
    /// round (SWIM, section 4.3).
    fn next_target(&mut self) -> Option<Address> {
        if self.round.is_empty() {
            self.round = self.others();
            self.random.shuffle(&mut self.round);
        }
        while let Some(target) = self.round.pop() {
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

    pub(super) fn others(&self) -> Vec<Address> {
        let live = self.table.live().map(|member| member.id.address);
        live.filter(|address| *address != self.own.id.address)
            .collect()
    }

    pub(super) fn follow_probe(&mut self) {
        let Some(probe) = self.probe else { return };
        if probe.helpers_asked || self.now_ms < probe.started_ms + self.settings.answer_ms {
            return;
        }
        self.probe = Some(Probe {
            helpers_asked: true,
            ..probe
        });
        let mut helpers = self.others();
        helpers.retain(|helper| *helper != probe.target);
        self.random.shuffle(&mut helpers);
        for helper in helpers.into_iter().take(self.settings.indirect_probes) {
            let question = Question::PingRequest {
                sequence: probe.sequence,
                target: probe.target,
            };
            self.send(helper, question);
        }
    }
}

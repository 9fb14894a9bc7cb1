//! Generator of random scenarios for one program.

use crate::simulation::{Step, requests};
use quickcheck::{Arbitrary, Gen};

/// Relative frequencies of the steps in one scenario. Appends may be rare and losses frequent.
pub struct Weights {
    append: u8,
    lose_owner: u8,
    repeat_end: u8,
    /// Weight of each step of a delayed request.
    request: u8,
}

impl Weights {
    fn any(g: &mut Gen) -> Self {
        let mut one_of = |weights: [u8; 3]| weights[usize::from(u8::arbitrary(g) % 3)];
        Self {
            append: one_of([1, 12, 48]),
            lose_owner: one_of([2, 6, 16]),
            repeat_end: one_of([4, 16, 48]),
            request: 0,
        }
    }

    fn step(&self, g: &mut Gen) -> Step {
        let which = u8::arbitrary(g);
        let tokens = u8::arbitrary(g) >> (u8::arbitrary(g) % 4);
        let mut remaining = u32::arbitrary(g) % self.total();
        for (weight, step) in self.steps(which, tokens) {
            if remaining < u32::from(weight) {
                return step;
            }
            remaining -= u32::from(weight);
        }
        Step::Open
    }

    fn total(&self) -> u32 {
        let steps = self.steps(0, 0);
        steps.iter().map(|(weight, _)| u32::from(*weight)).sum()
    }

    fn steps(&self, which: u8, tokens: u8) -> [(u8, Step); 16] {
        [
            (64, Step::Open),
            (16, Step::OpenAtReplaced(which)),
            (64, Step::Deliver(which, tokens)),
            (48, Step::Close(which)),
            (self.repeat_end, Step::RepeatEnd(which)),
            (self.append, Step::Append),
            (self.lose_owner, Step::LoseOwner),
            (4, Step::HandOver),
            (8, Step::LoseGateway(which)),
            (self.request, Step::Request(requests::Step::Send)),
            (self.request, Step::Request(requests::Step::Retry(which))),
            (self.request, Step::Request(requests::Step::Arrive(which))),
            (
                self.request,
                Step::Request(requests::Step::ArriveAtReplaced(which, tokens)),
            ),
            (self.request, Step::Request(requests::Step::Cancel(which))),
            (
                self.request,
                Step::Request(requests::Step::CancelAtReplaced(which, tokens)),
            ),
            (self.request, Step::Request(requests::Step::Expire)),
        ]
    }
}

/// Steps of one scenario.
#[derive(Clone, Debug)]
pub struct Scenario(pub Vec<Step>);

impl Scenario {
    fn any(weights: &Weights, g: &mut Gen) -> Self {
        Self((0..g.size()).map(|_| weights.step(g)).collect())
    }

    fn shorter_scenarios(&self) -> impl Iterator<Item = Self> + use<> {
        let steps = self.0.clone();
        let without = move |index: usize| {
            let mut fewer = steps.clone();
            fewer.remove(index);
            Self(fewer)
        };
        (0..self.0.len()).map(without)
    }
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        Self::any(&Weights::any(g), g)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.shorter_scenarios())
    }
}

/// A scenario with delayed requests.
#[derive(Clone, Debug)]
pub struct RequestScenario(pub Scenario);

impl Arbitrary for RequestScenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let weights = Weights {
            request: 24,
            ..Weights::any(g)
        };
        Self(Scenario::any(&weights, g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shorter_scenarios().map(Self))
    }
}

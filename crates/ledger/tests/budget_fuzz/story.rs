//! What happens to one program, and how often.

use crate::world::Step;
use quickcheck::{Arbitrary, Gen};

/// How often what happens in one story: appends may be rare and losses frequent.
pub struct Odds {
    append: u8,
    lose_owner: u8,
    close_again: u8,
}

impl Odds {
    fn any(g: &mut Gen) -> Self {
        let mut one_of = |odds: [u8; 3]| odds[usize::from(u8::arbitrary(g) % 3)];
        Self {
            append: one_of([1, 12, 48]),
            lose_owner: one_of([2, 6, 16]),
            close_again: one_of([4, 16, 48]),
        }
    }

    fn step(&self, g: &mut Gen) -> Step {
        let which = u8::arbitrary(g);
        let tokens = u8::arbitrary(g) >> (u8::arbitrary(g) % 4);
        let mut left = u32::arbitrary(g) % self.total();
        for (odds, step) in self.steps(which, tokens) {
            if left < u32::from(odds) {
                return step;
            }
            left -= u32::from(odds);
        }
        Step::Open
    }

    fn total(&self) -> u32 {
        let steps = self.steps(0, 0);
        steps.iter().map(|(odds, _)| u32::from(*odds)).sum()
    }

    fn steps(&self, which: u8, tokens: u8) -> [(u8, Step); 9] {
        [
            (64, Step::Open),
            (16, Step::OpenAtFormer(which)),
            (64, Step::HandOut(which, tokens)),
            (48, Step::Close(which)),
            (self.close_again, Step::CloseAgain(which)),
            (self.append, Step::Append),
            (self.lose_owner, Step::LoseOwner),
            (4, Step::HandOver),
            (8, Step::LoseGateway(which)),
        ]
    }
}

/// What happens to one program.
#[derive(Clone, Debug)]
pub struct Story(pub Vec<Step>);

impl Arbitrary for Story {
    fn arbitrary(g: &mut Gen) -> Self {
        let odds = Odds::any(g);
        let len = g.size();
        Self((0..len).map(|_| odds.step(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let steps = self.0.clone();
        let without = move |index: usize| {
            let mut fewer = steps.clone();
            fewer.remove(index);
            Self(fewer)
        };
        Box::new((0..self.0.len()).map(without))
    }
}

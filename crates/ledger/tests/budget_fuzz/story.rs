//! What happens to one program, and how often.

use crate::world::{Step, questions};
use quickcheck::{Arbitrary, Gen};

/// How often what happens in one story: appends may be rare and losses frequent.
pub struct Odds {
    append: u8,
    lose_owner: u8,
    close_again: u8,
    /// Each step of a question.
    question: u8,
}

impl Odds {
    fn any(g: &mut Gen) -> Self {
        let mut one_of = |odds: [u8; 3]| odds[usize::from(u8::arbitrary(g) % 3)];
        Self {
            append: one_of([1, 12, 48]),
            lose_owner: one_of([2, 6, 16]),
            close_again: one_of([4, 16, 48]),
            question: 0,
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

    fn steps(&self, which: u8, tokens: u8) -> [(u8, Step); 16] {
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
            (self.question, Step::Question(questions::Step::Ask)),
            (
                self.question,
                Step::Question(questions::Step::AskAgain(which)),
            ),
            (
                self.question,
                Step::Question(questions::Step::Deliver(which)),
            ),
            (
                self.question,
                Step::Question(questions::Step::DeliverAtFormer(which, tokens)),
            ),
            (
                self.question,
                Step::Question(questions::Step::Withdraw(which)),
            ),
            (
                self.question,
                Step::Question(questions::Step::WithdrawAtFormer(which, tokens)),
            ),
            (self.question, Step::Question(questions::Step::Expire)),
        ]
    }
}

/// What happens to one program.
#[derive(Clone, Debug)]
pub struct Story(pub Vec<Step>);

impl Story {
    fn any(odds: &Odds, g: &mut Gen) -> Self {
        Self((0..g.size()).map(|_| odds.step(g)).collect())
    }

    fn shorter(&self) -> impl Iterator<Item = Self> + use<> {
        let steps = self.0.clone();
        let without = move |index: usize| {
            let mut fewer = steps.clone();
            fewer.remove(index);
            Self(fewer)
        };
        (0..self.0.len()).map(without)
    }
}

impl Arbitrary for Story {
    fn arbitrary(g: &mut Gen) -> Self {
        Self::any(&Odds::any(g), g)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.shorter())
    }
}

/// A story with questions under way.
#[derive(Clone, Debug)]
pub struct QuestionStory(pub Story);

impl Arbitrary for QuestionStory {
    fn arbitrary(g: &mut Gen) -> Self {
        let odds = Odds {
            question: 24,
            ..Odds::any(g)
        };
        Self(Story::any(&odds, g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shorter().map(Self))
    }
}

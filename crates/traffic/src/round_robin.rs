//! Smooth weighted round robin: shares follow the weights over short runs too.
//!
//! Each daemon divides the requests that come to it, without a word to the others. So each
//! begins at a place of its own in the cycle: a thousand daemons that begin at the same one send
//! their first requests all to the heaviest part, whatever its weight.
//!
//! The parts that a request may go to are those of its route. A part without servers keeps its
//! share, and what comes to it is refused or waits there: moved to the others, it would run where
//! the operator did not send it. Cold and leaving servers of a part change nothing either.

/// Requests of a cycle that are gone through at most to begin in its middle. A longer cycle has
/// weights so far apart that where it begins shows in none of its first requests.
const MOST_SKIPPED: u64 = 4_096;

/// Divides a sequence of requests by weights.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// A split with one weight for each part, that begins where `random` says.
    pub fn new(weights: Vec<u32>, random: u64) -> Self {
        let credit = vec![0; weights.len()];
        let mut split = Self { weights, credit };
        for _ in 0..random % split.cycle().clamp(1, MOST_SKIPPED) {
            split.next();
        }
        split
    }

    /// The weights that it divides by.
    pub fn weights(&self) -> &[u32] {
        &self.weights
    }

    /// Requests after which it begins anew.
    fn cycle(&self) -> u64 {
        let weights = || self.weights.iter().map(|weight| u64::from(*weight));
        match weights().fold(0, common_divisor) {
            0 => 0,
            divisor => weights().sum::<u64>() / divisor,
        }
    }

    /// Index of the part for the next request; none without a positive weight.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<usize> {
        let total: i64 = self.weights.iter().map(|weight| i64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, weight) in self.credit.iter_mut().zip(&self.weights) {
            *credit += i64::from(*weight);
        }
        let best = (0..self.credit.len())
            .filter(|index| self.weights[*index] > 0)
            .max_by_key(|index| (self.credit[*index], std::cmp::Reverse(*index)))?;
        self.credit[best] -= total;
        Some(best)
    }
}

fn common_divisor(left: u64, right: u64) -> u64 {
    match right {
        0 => left,
        right => common_divisor(right, left % right),
    }
}

//! Smooth weighted round robin, which follows the weights even over short sequences of requests.
//!
//! Each daemon distributes its own requests without communication. Each starts at a random
//! position of the cycle: if all of a thousand daemons started at the same one, their first
//! requests would all go to the service with the largest weight.
//!
//! Requests are distributed over the services of their route. A service without servers keeps
//! its share, and its requests are refused or wait. If they were moved to another service, they
//! would run where the operator did not send them. Cold and draining servers do not change the
//! shares either.

/// Maximum number of requests that are skipped to start in the middle of a cycle. In a longer
/// cycle the weights are so far apart that the start position does not affect the first requests.
const MAX_SKIPPED: u64 = 4_096;

/// Distributes a sequence of requests according to weights.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Creates a distribution with one weight per service. `random` selects the start position.
    pub fn new(weights: Vec<u32>, random: u64) -> Self {
        let credit = vec![0; weights.len()];
        let mut round_robin = Self { weights, credit };
        for _ in 0..random % round_robin.cycle_length().clamp(1, MAX_SKIPPED) {
            round_robin.next();
        }
        round_robin
    }

    /// Returns the weights.
    pub fn weights(&self) -> &[u32] {
        &self.weights
    }

    /// Returns the number of requests after which the sequence repeats.
    fn cycle_length(&self) -> u64 {
        let weights = || self.weights.iter().map(|weight| u64::from(*weight));
        match weights().fold(0, greatest_common_divisor) {
            0 => 0,
            divisor => weights().sum::<u64>() / divisor,
        }
    }

    /// Returns the index of the service for the next request, or `None` if all weights are 0.
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

fn greatest_common_divisor(left: u64, right: u64) -> u64 {
    match right {
        0 => left,
        right => greatest_common_divisor(right, left % right),
    }
}

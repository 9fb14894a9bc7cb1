//! Smooth weighted round robin: shares follow the weights over short runs too.

/// Divides a sequence of requests by weights.
pub struct Split {
    weights: Vec<u32>,
    credit: Vec<i64>,
}

impl Split {
    /// A split with one weight for each part.
    pub fn new(weights: Vec<u32>) -> Self {
        let credit = vec![0; weights.len()];
        Self { weights, credit }
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

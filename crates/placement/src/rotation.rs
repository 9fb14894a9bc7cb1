//! Random round-robin over a large fleet, a few machines at a time.
//!
//! If every daemon read the load of every engine, a round would take (daemons x
//! engines) requests: 350 x 740 at the planned size of 350 daemons and 740 engines.
//! Reading a few engines at a time in random order keeps the cost per daemon
//! constant, and selecting the best of a random sample is nearly as good as
//! selecting the best of all (Mitzenmacher, "The Power of Two Choices in Randomized
//! Load Balancing", 2001).

/// Iterates over a changing set of addresses in batches, returning each address
/// once per round.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    /// Addresses that the current round has not returned yet.
    remaining: Vec<String>,
}

impl Rotation {
    /// Returns the next `count` addresses of `all`, fewer if there are fewer.
    /// `random_index` returns an index below its argument.
    pub fn next_batch(
        &mut self,
        all: &[String],
        count: usize,
        mut random_index: impl FnMut(usize) -> usize,
    ) -> Vec<String> {
        let size = count.min(all.len());
        let mut batch = Vec::new();
        self.remaining.retain(|address| all.contains(address));
        while batch.len() < size {
            if self.remaining.is_empty() {
                self.remaining = all.to_vec();
                self.remaining.retain(|address| !batch.contains(address));
            }
            let index = random_index(self.remaining.len());
            batch.push(self.remaining.swap_remove(index));
        }
        batch
    }
}

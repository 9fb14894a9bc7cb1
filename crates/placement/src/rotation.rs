//! Going round a large fleet a few machines at a time.
//!
//! A daemon that read the load of every engine would cost the fleet (daemons x
//! engines) requests a round: 350 x 740 at the size planned for. A few engines at
//! a time, in random order, keep the cost for each daemon constant; choosing the
//! best of a random sample is nearly as good as choosing the best of all
//! (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).

/// Goes round a changing set of addresses, a few at a time, each once a round.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    rest: Vec<String>,
}

impl Rotation {
    /// The next `count` of `all`. `pick` chooses an index below its argument and
    /// makes the order random.
    pub fn next_batch(
        &mut self,
        all: &[String],
        count: usize,
        mut pick: impl FnMut(usize) -> usize,
    ) -> Vec<String> {
        let wanted = count.min(all.len());
        let mut taken = Vec::new();
        self.rest.retain(|address| all.contains(address));
        while taken.len() < wanted {
            if self.rest.is_empty() {
                self.rest = all.to_vec();
                self.rest.retain(|address| !taken.contains(address));
            }
            let place = pick(self.rest.len());
            taken.push(self.rest.swap_remove(place));
        }
        taken
    }
}

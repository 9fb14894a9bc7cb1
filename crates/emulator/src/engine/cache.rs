//! Prefix cache of the engine: blocks are identified by hash, held by programs
//! and evicted in least-recently-used order.

use crate::engine::text::BLOCK_TOKENS;
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[derive(Debug)]
struct Block {
    /// Value of the cache's clock at the last use.
    last_use: u64,
    /// Programs that use the block.
    holders: BTreeSet<String>,
}

/// LRU cache of prompt blocks.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    /// Increases with each use of a block.
    clock: u64,
    /// Blocks by hash.
    blocks: HashMap<u64, Block>,
    /// Hashes of the blocks by time of last use.
    hash_by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        let capacity_blocks = (capacity_tokens as usize / BLOCK_TOKENS).max(1);
        Self {
            capacity_blocks,
            clock: 0,
            blocks: HashMap::new(),
            hash_by_last_use: BTreeMap::new(),
        }
    }

    /// Number of tokens of the longest cached prefix.
    pub fn cached_prefix(&self, hashes: &[u64]) -> u64 {
        let block_count = hashes
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count();
        (block_count * BLOCK_TOKENS) as u64
    }

    /// Marks the blocks of a prompt as used by a program. Missing blocks are
    /// added, and the least recently used ones are evicted.
    pub fn insert(&mut self, program: &str, hashes: &[u64]) {
        for hash in hashes {
            self.clock += 1;
            let clock = self.clock;
            let block = self.blocks.entry(*hash).or_insert_with(|| Block {
                last_use: 0,
                holders: BTreeSet::new(),
            });
            self.hash_by_last_use.remove(&block.last_use);
            block.last_use = clock;
            block.holders.insert(program.to_owned());
            self.hash_by_last_use.insert(clock, *hash);
        }
        self.evict();
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.capacity_blocks {
            let Some((_, hash)) = self.hash_by_last_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
        }
    }

    /// Drops the blocks that no other program holds.
    pub fn release(&mut self, program: &str) {
        let mut freed = Vec::new();
        for (hash, block) in &mut self.blocks {
            if block.holders.remove(program) && block.holders.is_empty() {
                freed.push((*hash, block.last_use));
            }
        }
        for (hash, last_use) in freed {
            self.blocks.remove(&hash);
            self.hash_by_last_use.remove(&last_use);
        }
    }

    /// Hashes of the blocks that a program holds, in the order of their last use.
    pub fn blocks_of(&self, program: &str) -> Vec<u64> {
        let held = self
            .blocks
            .iter()
            .filter(|(_, block)| block.holders.contains(program));
        let mut blocks: Vec<(u64, u64)> =
            held.map(|(hash, block)| (block.last_use, *hash)).collect();
        blocks.sort_unstable();
        blocks.into_iter().map(|(_, hash)| hash).collect()
    }

    /// Number of tokens held by each program. A shared block counts for every
    /// holder.
    pub fn held_tokens(&self) -> BTreeMap<String, u64> {
        let mut held = BTreeMap::new();
        for block in self.blocks.values() {
            for holder in &block.holders {
                *held.entry(holder.clone()).or_insert(0) += BLOCK_TOKENS as u64;
            }
        }
        held
    }

    /// Number of tokens in the cache.
    pub fn used_tokens(&self) -> u64 {
        (self.blocks.len() * BLOCK_TOKENS) as u64
    }
}

//! The engine's prefix cache: blocks by hash, held by programs, evicted by
//! least recent use.

use crate::engine::text::BLOCK_TOKENS;
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[derive(Debug)]
struct Block {
    last_use: u64,
    holders: BTreeSet<String>,
}

/// Blocks of cached prompt prefixes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    clock: u64,
    blocks: HashMap<u64, Block>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// An empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        let capacity_blocks = (capacity_tokens as usize / BLOCK_TOKENS).max(1);
        Self {
            capacity_blocks,
            clock: 0,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Tokens of the longest cached prefix.
    pub fn cached_prefix(&self, hashes: &[u64]) -> u64 {
        let found = hashes
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count();
        (found * BLOCK_TOKENS) as u64
    }

    /// Marks a prompt's blocks as used by a program, adding those that are
    /// missing and evicting the least recently used.
    pub fn insert(&mut self, program: &str, hashes: &[u64]) {
        for hash in hashes {
            self.clock += 1;
            let clock = self.clock;
            let block = self.blocks.entry(*hash).or_insert_with(|| Block {
                last_use: 0,
                holders: BTreeSet::new(),
            });
            self.by_use.remove(&block.last_use);
            block.last_use = clock;
            block.holders.insert(program.to_owned());
            self.by_use.insert(clock, *hash);
        }
        self.evict();
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.capacity_blocks {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
        }
    }

    /// Drops what only this program held.
    pub fn release(&mut self, program: &str) {
        let mut freed = Vec::new();
        for (hash, block) in &mut self.blocks {
            if block.holders.remove(program) && block.holders.is_empty() {
                freed.push((*hash, block.last_use));
            }
        }
        for (hash, last_use) in freed {
            self.blocks.remove(&hash);
            self.by_use.remove(&last_use);
        }
    }

    /// Blocks that a program holds, for an export.
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

    /// Tokens held for each program; a shared block counts for every holder.
    pub fn held_tokens(&self) -> BTreeMap<String, u64> {
        let mut held = BTreeMap::new();
        for block in self.blocks.values() {
            for holder in &block.holders {
                *held.entry(holder.clone()).or_insert(0) += BLOCK_TOKENS as u64;
            }
        }
        held
    }

    /// Tokens in the cache.
    pub fn used_tokens(&self) -> u64 {
        (self.blocks.len() * BLOCK_TOKENS) as u64
    }
}

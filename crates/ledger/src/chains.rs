//! Chains of completed turns, with the contents from which later turns continue.

use crate::name::QualifiedName;
use crate::record::TurnRecord;
use std::cmp::Reverse;
use std::collections::HashMap;

/// How much longer than promised a turn is stored, in milliseconds: the clocks of successive owners
/// differ.
pub(crate) const RETENTION_MARGIN_MS: u64 = 15_000;

struct StoredTurn {
    record: TurnRecord,
    keep_until_ms: u64,
}

impl StoredTurn {
    /// Name of the turn that this one continues; `name` is the name of this turn.
    fn previous_name(&self, name: &QualifiedName) -> Option<QualifiedName> {
        let previous = self.record.previous.as_deref()?;
        Some(name.in_same_tenant(previous))
    }
}

/// Completed turns of one partition. A turn is stored only while the chain that it continues is
/// stored as well.
#[derive(Default)]
pub struct Chains {
    turns: HashMap<QualifiedName, StoredTurn>,
}

impl Chains {
    /// Adds a turn that a previous owner stored.
    pub fn restore(&mut self, name: QualifiedName, record: TurnRecord) {
        let keep_until_ms = record.ended_ms + record.retention_ms;
        self.turns.insert(
            name,
            StoredTurn {
                record,
                keep_until_ms,
            },
        );
    }

    /// Removes a turn that a previous owner deleted.
    pub fn remove(&mut self, name: &QualifiedName) {
        self.turns.remove(name);
    }

    /// Finishes restoring after the last turn: extends the retention of each chain to that of its
    /// newest turn.
    pub fn finish_restoring(&mut self) {
        let turns = self.turns.iter();
        let mut turns: Vec<(u64, QualifiedName)> = turns
            .map(|(name, turn)| (turn.keep_until_ms, name.clone()))
            .collect();
        // The longest retention comes first, so that no turn is extended twice.
        turns.sort_unstable_by_key(|(keep_until_ms, _)| Reverse(*keep_until_ms));
        for (keep_until_ms, name) in turns {
            self.extend_chain(name, keep_until_ms);
        }
    }

    /// Stores a turn and extends the retention of its chain.
    pub fn insert(&mut self, name: &QualifiedName, record: TurnRecord) {
        let keep_until_ms = record.ended_ms + record.retention_ms;
        self.restore(name.clone(), record);
        self.extend_chain(name.clone(), keep_until_ms);
    }

    /// Whether a turn is stored together with the chain that it continues.
    pub fn contains(&self, name: &QualifiedName) -> bool {
        self.missing_turn(name).is_none()
    }

    /// Number of stored turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether no turn is stored.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Inputs and outputs of the chain that ends with a turn, oldest first.
    pub fn contents(&self, last: &QualifiedName) -> Option<Vec<u8>> {
        let chain = self.turns_of(last).ok()?;
        let mut contents = Vec::new();
        for turn in chain.iter().rev() {
            contents.extend_from_slice(&turn.record.input);
            contents.extend_from_slice(&turn.record.output);
        }
        Some(contents)
    }

    /// The first turn of a chain, from the last one back, that is not stored. If a corrupt chain has
    /// a cycle, one of its turns.
    pub fn missing_turn(&self, last: &QualifiedName) -> Option<QualifiedName> {
        self.turns_of(last).err()
    }

    /// Removes expired turns and returns their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<QualifiedName> {
        let mut expired = Vec::new();
        self.turns.retain(|name, turn| {
            let keep = now_ms < turn.keep_until_ms + RETENTION_MARGIN_MS;
            if !keep {
                expired.push(name.clone());
            }
            keep
        });
        expired
    }

    /// The turns of a chain, from this one back to the first.
    ///
    /// # Errors
    /// The name of the turn that is missing: see [`Self::missing_turn`].
    fn turns_of(&self, last: &QualifiedName) -> Result<Vec<&StoredTurn>, QualifiedName> {
        let mut chain = Vec::new();
        let mut next = Some(last.clone());
        while let Some(name) = next {
            let is_cycle = chain.len() >= self.turns.len();
            let Some(turn) = self.turns.get(&name).filter(|_| !is_cycle) else {
                return Err(name);
            };
            next = turn.previous_name(&name);
            chain.push(turn);
        }
        Ok(chain)
    }

    /// Extends the retention of the turns that a turn continues.
    fn extend_chain(&mut self, mut name: QualifiedName, until_ms: u64) {
        while let Some(previous) = self
            .turns
            .get(&name)
            .and_then(|turn| turn.previous_name(&name))
        {
            match self.turns.get_mut(&previous) {
                Some(turn) if turn.keep_until_ms < until_ms => turn.keep_until_ms = until_ms,
                // Its own chain is kept as long as it is. This also ends the loop if a corrupt
                // chain has a cycle.
                Some(_) | None => return,
            }
            name = previous;
        }
    }
}

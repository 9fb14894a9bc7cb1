//! Assigns the turns of a program to an engine.
//!
//! Engines cache the prompts that they have processed. A turn that runs on the engine of the
//! previous turns processes only its new input, and programs with a common prompt prefix process
//! the prefix once if they share an engine. The owner of a program's partition sees all turns of
//! the program, whichever gateways receive them, and therefore assigns the engine
//! (docs/POLICY.md).
//!
//! A program gets an engine of its partition's group ([`crate::groups`]), whose load the owner
//! sees, unless the group is full. Engines are ranked by a hash of the prompt prefix, so that all
//! owners rank them identically without communication. The program is assigned to the first engine
//! below its fair load ([`AssignmentSettings`]), so that programs with a common prefix spread over
//! as many engines as their load requires. Engines in the zone that received the program are
//! preferred, then engines in its region, because connections and traffic to them cost less, and
//! a distant region adds its latency to each event.

use fieldhook_topology::zone::Distance;
use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long the engine of a program is kept after its last turn started, in milliseconds. This
/// is independent of when [`crate::quota`] counts the program as ended.
const PROGRAM_EXPIRY_MS: u64 = 60_000;
/// A turn whose end is not reported counts as open for this long, in milliseconds. Its gateway
/// has failed, or has reported the end to another owner of the partition.
const TURN_EXPIRY_MS: u64 = 10_000;
/// Open turns of an engine, as a multiple of its slots, from which the engine counts as full.
/// When all engines of a group are full, programs are assigned to other groups. An engine queues
/// a few turns beyond its slots, and a queued turn is still served sooner than a turn whose prompt
/// has to be processed again elsewhere.
const FULL_ENGINE_LOAD: f64 = 1.5;
/// When this many programs are kept, expired ones are removed. Below it, a sweep is not worth its
/// cost.
const SWEEP_THRESHOLD: usize = 1_024;

/// Load limits of the assignment. The fair load of an engine is the mean number of open turns over
/// all engines of the group, or `light_load` times the slots that the owner may fill (its fraction
/// of the group's programs, times the engine's slots) if that is more. The other limits are
/// multiples of the fair load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AssignmentSettings {
    /// Fraction of an engine's slots below which its load is too light to prefer another engine.
    pub light_load: f64,
    /// Load up to which an engine gets new programs, in fair loads.
    pub max_load_new: f64,
    /// Load up to which an engine keeps its programs, in fair loads.
    pub max_load_kept: f64,
}

impl Default for AssignmentSettings {
    fn default() -> Self {
        Self {
            light_load: 0.5,
            max_load_new: 1.0,
            max_load_kept: 2.0,
        }
    }
}

/// An engine that a turn may be assigned to.
#[derive(Clone, Copy, Debug)]
pub struct Engine<'a> {
    /// Identity of the engine.
    pub id: &'a str,
    /// Zone of the engine.
    pub zone: &'a str,
    /// Distance from the zone that received the turn.
    pub distance: Distance,
    /// Requests that the engine runs concurrently.
    pub slots: u32,
    /// The engine is cold and gets no turns beyond its slots.
    pub is_cold: bool,
    /// The engine belongs to the group of the turn's partition.
    pub is_in_group: bool,
}

/// A turn that is about to start.
#[derive(Clone, Copy, Debug)]
pub struct Turn<'a> {
    /// Identity of the turn.
    pub id: &'a str,
    /// Program of the turn.
    pub program: &'a str,
    /// Hash of the prompt prefix that the program shares with others.
    pub prefix: u64,
}

struct Program {
    engine: Rc<str>,
    last_turn_ms: u64,
}

struct OpenTurn {
    engine: Rc<str>,
    start_ms: u64,
}

/// The engines that one owner has assigned to programs.
#[derive(Default)]
pub struct AssignmentTable {
    settings: AssignmentSettings,
    programs: HashMap<Rc<str>, Program>,
    turns: HashMap<Rc<str>, OpenTurn>,
    /// Start times of turns, the oldest first. Includes turns that have ended since.
    started: VecDeque<(u64, Rc<str>)>,
    /// Number of open turns by engine.
    open: HashMap<Rc<str>, u32>,
    /// Number of programs at which expired ones are removed next.
    sweep_threshold: usize,
}

/// The engines that a turn may be assigned to, and the load of its group.
struct Choice<'a, 'b> {
    engines: &'b [Engine<'a>],
    /// Mean number of open turns of the engines in the turn's group, including this turn.
    mean: f64,
    /// Fraction of the group's programs that the owner sees.
    owned_fraction: f64,
}

impl AssignmentTable {
    /// Creates an empty table.
    pub fn new(settings: AssignmentSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Assigns an engine to a turn and counts the turn as open there. `owned_fraction` is
    /// the fraction of the programs of the turn's group that this owner sees.
    pub fn assign(
        &mut self,
        turn: &Turn<'_>,
        engines: &[Engine<'_>],
        owned_fraction: f64,
        now_ms: u64,
    ) -> Option<Rc<str>> {
        self.remove_expired(now_ms);
        self.end_turn(turn.id);
        let open_turns: u32 = group_engines(engines)
            .map(|engine| self.open_turns(engine.id))
            .sum();
        let choice = Choice {
            engines,
            mean: f64::from(open_turns + 1) / group_engines(engines).count().max(1) as f64,
            owned_fraction,
        };
        let engine = match self.keep_engine(turn.program, &choice) {
            Some(engine) => engine,
            None => Rc::from(self.choose_engine(turn, &choice)?),
        };
        let program = Program {
            engine: engine.clone(),
            last_turn_ms: now_ms,
        };
        self.programs.insert(Rc::from(turn.program), program);
        let open = OpenTurn {
            engine: engine.clone(),
            start_ms: now_ms,
        };
        let id: Rc<str> = Rc::from(turn.id);
        self.started.push_back((now_ms, id.clone()));
        self.turns.insert(id, open);
        *self.open.entry(engine.clone()).or_default() += 1;
        Some(engine)
    }

    /// Records that a turn has ended.
    pub fn end_turn(&mut self, turn: &str) {
        let Some(turn) = self.turns.remove(turn) else {
            return;
        };
        if let Some(count) = self.open.get_mut(&turn.engine) {
            *count -= 1;
            if *count == 0 {
                self.open.remove(&turn.engine);
            }
        }
    }

    /// Moves a program to the engine on which its turn actually ran, because its prompt is cached
    /// there.
    pub fn move_program(&mut self, program: &str, engine: &str) {
        if let Some(program) = self.programs.get_mut(program)
            && &*program.engine != engine
        {
            program.engine = Rc::from(engine);
        }
    }

    /// Returns the number of open turns of an engine.
    pub fn open_turns(&self, engine: &str) -> u32 {
        self.open.get(engine).copied().unwrap_or(0)
    }

    /// Returns the engine that a program was last assigned to.
    pub fn assigned_engine(&self, program: &str) -> Option<&str> {
        self.programs.get(program).map(|program| &*program.engine)
    }

    fn keep_engine(&self, program: &str, choice: &Choice<'_, '_>) -> Option<Rc<str>> {
        let program = self.programs.get(program)?;
        let engines = &mut choice.engines.iter();
        let engine = engines.find(|engine| *engine.id == *program.engine)?;
        let max_load = self.max_load(engine, choice, self.settings.max_load_kept);
        let is_available = !engine.is_cold || !self.is_cold_full(engine, choice.owned_fraction);
        (is_available && f64::from(self.open_turns(engine.id)) < max_load)
            .then(|| program.engine.clone())
    }

    fn choose_engine<'a>(&self, turn: &Turn<'_>, choice: &Choice<'a, '_>) -> Option<&'a str> {
        let (engines, owned_fraction) = (choice.engines, choice.owned_fraction);
        let rank = |engine: &&Engine<'_>| xxh3_64_with_seed(engine.id.as_bytes(), turn.prefix);
        let is_available = |engine: &&Engine<'_>| {
            let max_load = self.max_load(engine, choice, self.settings.max_load_new);
            f64::from(self.open_turns(engine.id)) < max_load
                && !self.is_full(engine, owned_fraction)
        };
        let available = || group_engines(engines).filter(is_available);
        let preferred = available().max_by_key(|engine| (Reverse(engine.distance), rank(engine)));
        if let Some(engine) = preferred {
            return Some(engine.id);
        }
        let load = |engine: &&Engine<'_>| (self.open_turns(engine.id), rank(engine));
        let least_loaded = group_engines(engines).min_by_key(load);
        match least_loaded.filter(|engine| !self.is_full(engine, owned_fraction)) {
            Some(engine) => Some(engine.id),
            None => self
                .all_groups(engines, owned_fraction)
                .min_by_key(load)
                .map(|engine| engine.id),
        }
    }

    /// Iterates over the engines of all groups. Full cold engines are included only if there are
    /// no other engines.
    fn all_groups<'a, 'b>(
        &'b self,
        engines: &'b [Engine<'a>],
        owned_fraction: f64,
    ) -> impl Iterator<Item = &'b Engine<'a>> {
        let is_available = move |engine: &&Engine<'_>| {
            !engine.is_cold || !self.is_cold_full(engine, owned_fraction)
        };
        let all_full = !engines.iter().any(|engine| is_available(&engine));
        engines
            .iter()
            .filter(move |engine| all_full || is_available(engine))
    }

    /// Whether a cold engine has as many open turns as it can handle.
    fn is_cold_full(&self, engine: &Engine<'_>, owned_fraction: f64) -> bool {
        f64::from(self.open_turns(engine.id)) >= f64::from(engine.slots) * owned_fraction
    }

    /// Whether an engine of the group gets no more programs.
    fn is_full(&self, engine: &Engine<'_>, owned_fraction: f64) -> bool {
        if engine.is_cold {
            return self.is_cold_full(engine, owned_fraction);
        }
        f64::from(self.open_turns(engine.id))
            >= f64::from(engine.slots) * owned_fraction * FULL_ENGINE_LOAD
    }

    fn max_load(&self, engine: &Engine<'_>, choice: &Choice<'_, '_>, factor: f64) -> f64 {
        let light_load = f64::from(engine.slots) * choice.owned_fraction * self.settings.light_load;
        factor * light_load.max(choice.mean)
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let has_expired = |started: &(u64, Rc<str>)| now_ms >= started.0 + TURN_EXPIRY_MS;
        while self.started.front().is_some_and(has_expired) {
            if let Some((start_ms, turn)) = self.started.pop_front() {
                self.end_started_at(&turn, start_ms);
            }
        }
        if self.programs.len() >= self.sweep_threshold.max(SWEEP_THRESHOLD) {
            self.programs
                .retain(|_, program| now_ms < program.last_turn_ms + PROGRAM_EXPIRY_MS);
            // The next sweep waits until the number has doubled, so that not every turn sweeps.
            self.sweep_threshold = 2 * self.programs.len();
        }
    }

    /// Ends a turn unless it was started again after `start_ms`.
    fn end_started_at(&mut self, turn: &str, start_ms: u64) {
        let started = self.turns.get(turn).map(|open| open.start_ms);
        if started == Some(start_ms) {
            self.end_turn(turn);
        }
    }
}

/// Iterates over the engines of the turn's group.
fn group_engines<'a, 'b>(engines: &'b [Engine<'a>]) -> impl Iterator<Item = &'b Engine<'a>> {
    engines.iter().filter(|engine| engine.is_in_group)
}

/// Returns the hash of a prompt prefix. It is the same in all daemons.
pub fn prefix_hash(prefix: &str) -> u64 {
    xxh3_64_with_seed(prefix.as_bytes(), 0)
}

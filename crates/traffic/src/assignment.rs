//! Which engine the turns of a program run at, one after another.
//!
//! An engine keeps what it has read: a turn at the engine of the turns before it reads
//! only what is new, and programs that begin alike read their beginning once if they
//! share an engine. The owner of a program's partition sees all of its turns, whichever
//! gateways they come through, and so assigns the engine (docs/POLICY.md).
//!
//! A program gets an engine of its partition's own group ([`crate::groups`]), whose load the
//! owner sees, unless that group is full. Engines are ranked by a hash of the prompt's shared
//! beginning, so that all owners rank them alike without a word to each other. The first one
//! that has not its fair load yet gets the program: a beginning spreads over as many engines
//! as its load needs. Engines of the zone that the program came through go first, then
//! those of its region: their connections and bytes cost less, and a region further off adds
//! its way to each event.

use fieldhook_topology::zone::Distance;
use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a program is remembered after its last turn began, in milliseconds.
const REMEMBERED_MS: u64 = 60_000;
/// A turn whose end was not told counts as under way for this long, in milliseconds: its
/// gateway is gone, or told the end to another owner of its partition.
const LONGEST_TURN_MS: u64 = 10_000;
/// Turns under way at every engine of a group, in parts of their places, from which on
/// programs go to engines of other groups: an engine holds a few more than it works on, and
/// what waits there is still served sooner than what reads its prompt anew elsewhere.
const GROUP_FULL: f64 = 1.5;
/// Programs remembered from which on a look for forgotten ones is worth its time.
const SWEEP_FROM: usize = 1_024;

/// Bounds of the assignment. Their unit is the fair load of an engine: the mean of the
/// turns under way at all of them, or a part of its places where that is more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AssignmentSettings {
    /// Part of an engine's places below which no load is worth leaving it for.
    pub light_load: f64,
    /// Fair loads up to which an engine gets new programs.
    pub max_load_new: f64,
    /// Fair loads up to which it keeps programs that it has.
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

/// An engine that may be assigned.
#[derive(Clone, Copy, Debug)]
pub struct Engine<'a> {
    /// Identity.
    pub id: &'a str,
    /// Zone that it stands in.
    pub zone: &'a str,
    /// How far it is from where the turn comes through.
    pub distance: Distance,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It is cold: beyond its places it gets nothing.
    pub is_cold: bool,
    /// It belongs to the group of the turn's partition.
    pub is_in_group: bool,
}

/// A turn that is about to begin.
#[derive(Clone, Copy, Debug)]
pub struct Turn<'a> {
    /// Identity of the turn.
    pub id: &'a str,
    /// Its program.
    pub program: &'a str,
    /// Hash of the beginning of its prompt that other programs share.
    pub prefix: u64,
}

struct Program {
    engine: Rc<str>,
    seen_ms: u64,
}

struct OpenTurn {
    engine: Rc<str>,
    since_ms: u64,
}

/// Engines of programs, as one owner assigns them.
#[derive(Default)]
pub struct AssignmentTable {
    settings: AssignmentSettings,
    programs: HashMap<Rc<str>, Program>,
    turns: HashMap<Rc<str>, OpenTurn>,
    /// When turns began, the oldest first; also of those that have ended since.
    begun: VecDeque<(u64, Rc<str>)>,
    open: HashMap<Rc<str>, u32>,
    /// Programs remembered from which on forgotten ones are looked for again.
    sweep_from: usize,
}

/// The engines that a turn may be assigned to.
struct Choice<'a, 'b> {
    engines: &'b [Engine<'a>],
    /// Mean of the turns under way at the engines of the turn's group, this one included.
    mean: f64,
    /// Part of the programs of its group that the owner sees.
    share: f64,
}

impl AssignmentTable {
    /// A table without programs.
    pub fn new(settings: AssignmentSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Assigns an engine to a turn and counts it as under way there. `share` is the part
    /// of the programs of the turn's group that this owner sees.
    pub fn assign(
        &mut self,
        turn: &Turn<'_>,
        engines: &[Engine<'_>],
        share: f64,
        now_ms: u64,
    ) -> Option<Rc<str>> {
        self.forget(now_ms);
        self.end_turn(turn.id);
        let under_way: u32 = home(engines).map(|engine| self.open_turns(engine.id)).sum();
        let choice = Choice {
            engines,
            mean: f64::from(under_way + 1) / home(engines).count().max(1) as f64,
            share,
        };
        let engine = match self.kept(turn.program, &choice) {
            Some(engine) => engine,
            None => Rc::from(self.choose(turn, &choice)?),
        };
        let program = Program {
            engine: engine.clone(),
            seen_ms: now_ms,
        };
        self.programs.insert(Rc::from(turn.program), program);
        let open = OpenTurn {
            engine: engine.clone(),
            since_ms: now_ms,
        };
        let id: Rc<str> = Rc::from(turn.id);
        self.begun.push_back((now_ms, id.clone()));
        self.turns.insert(id, open);
        *self.open.entry(engine.clone()).or_default() += 1;
        Some(engine)
    }

    /// A turn has ended.
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

    /// A turn ran elsewhere than assigned: what it read is there now.
    pub fn move_program(&mut self, program: &str, engine: &str) {
        if let Some(program) = self.programs.get_mut(program)
            && &*program.engine != engine
        {
            program.engine = Rc::from(engine);
        }
    }

    /// Turns under way at an engine.
    pub fn open_turns(&self, engine: &str) -> u32 {
        self.open.get(engine).copied().unwrap_or(0)
    }

    /// The engine that a program was assigned to last.
    pub fn assigned_engine(&self, program: &str) -> Option<&str> {
        self.programs.get(program).map(|program| &*program.engine)
    }

    fn kept(&self, program: &str, choice: &Choice<'_, '_>) -> Option<Rc<str>> {
        let program = self.programs.get(program)?;
        let engines = &mut choice.engines.iter();
        let engine = engines.find(|engine| *engine.id == *program.engine)?;
        let limit = self.limit(engine, choice, self.settings.max_load_kept);
        let has_room = !engine.is_cold || !self.is_cold_full(engine, choice.share);
        (has_room && f64::from(self.open_turns(engine.id)) < limit).then(|| program.engine.clone())
    }

    fn choose<'a>(&self, turn: &Turn<'_>, choice: &Choice<'a, '_>) -> Option<&'a str> {
        let (engines, share) = (choice.engines, choice.share);
        let rank = |engine: &&Engine<'_>| xxh3_64_with_seed(engine.id.as_bytes(), turn.prefix);
        let has_room = |engine: &&Engine<'_>| {
            let limit = self.limit(engine, choice, self.settings.max_load_new);
            f64::from(self.open_turns(engine.id)) < limit && !self.is_full(engine, share)
        };
        let roomy = || home(engines).filter(has_room);
        let first = roomy().max_by_key(|engine| (Reverse(engine.distance), rank(engine)));
        if let Some(engine) = first {
            return Some(engine.id);
        }
        let load = |engine: &&Engine<'_>| (self.open_turns(engine.id), rank(engine));
        let least = home(engines).min_by_key(load);
        match least.filter(|engine| !self.is_full(engine, share)) {
            Some(engine) => Some(engine.id),
            None => self
                .anywhere(engines, share)
                .min_by_key(load)
                .map(|engine| engine.id),
        }
    }

    /// Engines of all groups, cold ones only where they have room or there are no others.
    fn anywhere<'a, 'b>(
        &'b self,
        engines: &'b [Engine<'a>],
        share: f64,
    ) -> impl Iterator<Item = &'b Engine<'a>> {
        let bears =
            move |engine: &&Engine<'_>| !engine.is_cold || !self.is_cold_full(engine, share);
        let all_full = !engines.iter().any(|engine| bears(&engine));
        engines
            .iter()
            .filter(move |engine| all_full || bears(engine))
    }

    /// Whether a cold engine works on as many turns as it bears.
    fn is_cold_full(&self, engine: &Engine<'_>, share: f64) -> bool {
        f64::from(self.open_turns(engine.id)) >= f64::from(engine.slots) * share
    }

    /// Whether an engine of the group is too full for more programs.
    fn is_full(&self, engine: &Engine<'_>, share: f64) -> bool {
        if engine.is_cold {
            return self.is_cold_full(engine, share);
        }
        f64::from(self.open_turns(engine.id)) >= f64::from(engine.slots) * share * GROUP_FULL
    }

    fn limit(&self, engine: &Engine<'_>, choice: &Choice<'_, '_>, factor: f64) -> f64 {
        let light = f64::from(engine.slots) * choice.share * self.settings.light_load;
        factor * light.max(choice.mean)
    }

    fn forget(&mut self, now_ms: u64) {
        let is_over = |begun: &(u64, Rc<str>)| now_ms >= begun.0 + LONGEST_TURN_MS;
        while self.begun.front().is_some_and(is_over) {
            if let Some((since_ms, turn)) = self.begun.pop_front() {
                self.end_begun_at(&turn, since_ms);
            }
        }
        if self.programs.len() >= self.sweep_from.max(SWEEP_FROM) {
            self.programs
                .retain(|_, program| now_ms < program.seen_ms + REMEMBERED_MS);
            // What is remembered is not gone through again with each turn.
            self.sweep_from = 2 * self.programs.len();
        }
    }

    /// Ends a turn unless it has begun anew since then.
    fn end_begun_at(&mut self, turn: &str, since_ms: u64) {
        let begun = self.turns.get(turn).map(|open| open.since_ms);
        if begun == Some(since_ms) {
            self.end_turn(turn);
        }
    }
}

/// Engines of the turn's own group.
fn home<'a, 'b>(engines: &'b [Engine<'a>]) -> impl Iterator<Item = &'b Engine<'a>> {
    engines.iter().filter(|engine| engine.is_in_group)
}

/// Hash of the beginning of a prompt, the same in all daemons.
pub fn prefix_hash(beginning: &str) -> u64 {
    xxh3_64_with_seed(beginning.as_bytes(), 0)
}

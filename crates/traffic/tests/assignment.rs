//! Assignment of engines: a program keeps its engine, programs with a common prompt prefix share
//! engines, and no engine gets much more than its fair load.

use fieldhook_topology::zone::Distance;
use fieldhook_traffic::assignment::{AssignmentSettings, AssignmentTable, Engine, Turn};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::HashMap;

const SLOTS: u32 = 8;
/// How long a turn whose end is not reported counts as open. Same as the private constant.
const TURN_EXPIRY_MS: u64 = 10_000;

fn engines(names: &[String]) -> Vec<Engine<'_>> {
    names
        .iter()
        .map(|name| Engine {
            id: name,
            zone: "z1",
            distance: Distance::SameZone,
            slots: SLOTS,
            is_in_group: true,
            is_cold: false,
        })
        .collect()
}

fn names(count: u8) -> Vec<String> {
    (0..count).map(|number| format!("e{number}")).collect()
}

fn turn<'a>(id: &'a str, program: &'a str, prefix: u64) -> Turn<'a> {
    Turn {
        id,
        program,
        prefix,
    }
}

#[test]
fn a_program_keeps_its_engine_until_the_load_limit() {
    let names = names(6);
    let engines = engines(&names);
    let mut table = AssignmentTable::new(AssignmentSettings::default());
    let first = table
        .assign(&turn("t0", "p", 1), &engines, 1.0, 0)
        .expect("an engine");
    for number in 1..SLOTS {
        let id = format!("t{number}");
        let next = table.assign(&turn(&id, "p", 1), &engines, 1.0, 0);
        assert_eq!(next.as_deref(), Some(&*first));
    }
    assert_eq!(table.open_turns(&first), SLOTS);
    let beyond = table.assign(&turn("more", "p", 1), &engines, 1.0, 0);
    assert_ne!(beyond.as_deref(), Some(&*first));
}

#[test]
fn independent_owners_assign_a_prefix_to_the_same_engine() {
    let names = names(9);
    let engines = engines(&names);
    for prefix in 0..40 {
        let mut one = AssignmentTable::new(AssignmentSettings::default());
        let mut other = AssignmentTable::new(AssignmentSettings::default());
        let here = one.assign(&turn("t", "p", prefix), &engines, 1.0, 0);
        let there = other.assign(&turn("u", "q", prefix), &engines, 1.0, 9);
        assert_eq!(here, there);
    }
}

#[test]
fn engines_of_the_programs_zone_are_preferred_while_available() {
    let names = names(8);
    let mut engines = engines(&names);
    for engine in engines.iter_mut().skip(4) {
        engine.zone = "z2";
        engine.distance = Distance::SameRegion;
    }
    let mut table = AssignmentTable::new(AssignmentSettings::default());
    for number in 0..8 {
        let id = format!("t{number}");
        let started = turn(&id, &id, number);
        let near = table.assign(&started, &engines, 1.0, 0).expect("an engine");
        assert!(names[..4].contains(&near.to_string()));
    }
    for number in 8..64 {
        let id = format!("t{number}");
        table.assign(&turn(&id, &id, number), &engines, 1.0, 0);
    }
    let far: u32 = names[4..].iter().map(|name| table.open_turns(name)).sum();
    assert!(far >= 24, "{far} of 64 in the other zone");
}

#[test]
fn a_prefix_spreads_when_its_engine_has_its_fair_load() {
    let names = names(4);
    let engines = engines(&names);
    let mut table = AssignmentTable::new(AssignmentSettings::default());
    for number in 0..64 {
        let id = format!("t{number}");
        table.assign(&turn(&id, &id, 7), &engines, 1.0, 0);
    }
    for name in &names {
        let open_turns = table.open_turns(name);
        assert!(
            (12..=20).contains(&open_turns),
            "{name} has {open_turns} of 64"
        );
    }
}

#[test]
fn a_program_moves_to_the_engine_that_ran_its_turn() {
    let names = names(6);
    let engines = engines(&names);
    let mut table = AssignmentTable::new(AssignmentSettings::default());
    let first = table.assign(&turn("t0", "p", 1), &engines, 1.0, 0);
    let elsewhere = names
        .iter()
        .find(|name| Some(name.as_str()) != first.as_deref())
        .expect("another");
    table.end_turn("t0");
    table.move_program("p", elsewhere);
    let next = table.assign(&turn("t1", "p", 1), &engines, 1.0, 0);
    assert_eq!(next.as_deref(), Some(elsewhere.as_str()));
}

#[test]
fn a_program_whose_engine_is_removed_gets_another() {
    let names = names(3);
    let mut table = AssignmentTable::new(AssignmentSettings::default());
    let first = table
        .assign(&turn("t0", "p", 1), &engines(&names), 1.0, 0)
        .expect("an engine");
    let left: Vec<String> = names.into_iter().filter(|name| **name != *first).collect();
    let next = table.assign(&turn("t1", "p", 1), &engines(&left), 1.0, 0);
    assert!(
        left.iter()
            .any(|name| Some(name.as_str()) == next.as_deref())
    );
    assert_eq!(table.assign(&turn("t2", "p", 1), &[], 1.0, 0), None);
}

/// A turn's end is not reported if its daemon failed, or if another owner got the report.
#[test]
fn a_turn_without_a_reported_end_expires() {
    let names = names(1);
    let engines = engines(&names);
    let mut table = AssignmentTable::new(AssignmentSettings::default());
    for number in 0..u64::from(SLOTS) {
        let id = format!("t{number}");
        table.assign(&turn(&id, &id, 1), &engines, 1.0, number);
    }
    assert_eq!(table.open_turns("e0"), SLOTS);
    // The first three have expired, except for the second, which was started again.
    table.assign(&turn("t1", "t1", 1), &engines, 1.0, 5_000);
    table.assign(&turn("next", "p", 1), &engines, 1.0, TURN_EXPIRY_MS + 2);
    assert_eq!(table.open_turns("e0"), SLOTS - 1);
    let late = 3 * TURN_EXPIRY_MS;
    table.assign(&turn("last", "p", 1), &engines, 1.0, late);
    assert_eq!(table.open_turns("e0"), 1);
    table.end_turn("t1");
    assert_eq!(table.open_turns("e0"), 1, "a late end has no effect");
}

/// An operation on an owner's table.
#[derive(Clone, Debug)]
enum Step {
    Start { program: u8, prefix: u8, share: u8 },
    End(u8),
    Engines(u8),
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=5 => Self::Start {
                program: u8::arbitrary(g) % 24,
                prefix: u8::arbitrary(g) % 4,
                share: u8::arbitrary(g) % 8,
            },
            6..=8 => Self::End(u8::arbitrary(g)),
            _ if bool::arbitrary(g) => Self::Engines(u8::arbitrary(g) % 7),
            _ => Self::Wait(u16::arbitrary(g) % 2_000),
        }
    }
}

struct OpenTurn {
    id: String,
    engine: String,
    start_ms: u64,
}

/// Reference model: the open turns and the engine of each.
#[derive(Default)]
struct Oracle {
    turns: Vec<OpenTurn>,
    engine_by_program: HashMap<u8, String>,
}

impl Oracle {
    fn open_turns(&self, engine: &str) -> usize {
        let at = |turn: &&OpenTurn| turn.engine == engine;
        self.turns.iter().filter(at).count()
    }

    /// Drops the turns that have expired when another turn starts.
    fn remove_expired(&mut self, now_ms: u64) {
        self.turns
            .retain(|turn| now_ms < turn.start_ms + TURN_EXPIRY_MS);
    }

    /// Returns the fair load of an engine once one more turn has started.
    fn fair_load(&self, names: &[String], share: f64) -> f64 {
        let turns: usize = names.iter().map(|name| self.open_turns(name)).sum();
        let mean = (turns + 1) as f64 / names.len() as f64;
        let light_load = f64::from(SLOTS) * share * AssignmentSettings::default().light_load;
        mean.max(light_load)
    }
}

fn holds(steps: Vec<Step>) -> bool {
    let settings = AssignmentSettings::default();
    let mut table = AssignmentTable::new(settings);
    let mut oracle = Oracle::default();
    let mut names = names(5);
    let mut now_ms = 0;
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            Step::Wait(ms) => now_ms += u64::from(ms),
            Step::Engines(count) => names = self::names(count),
            Step::End(which) if !oracle.turns.is_empty() => {
                let index = usize::from(which) % oracle.turns.len();
                table.end_turn(&oracle.turns.swap_remove(index).id);
            }
            Step::End(_) => table.end_turn("never started"),
            Step::Start {
                program,
                prefix,
                share,
            } => {
                oracle.remove_expired(now_ms);
                let share = f64::from(share) / 8.0;
                let fair_load = oracle.fair_load(&names, share);
                let (id, name) = (format!("t{number}"), format!("p{program}"));
                let started = turn(&id, &name, u64::from(prefix));
                let assigned = table.assign(&started, &engines(&names), share, now_ms);
                let Some(engine) = assigned else {
                    if names.is_empty() {
                        continue;
                    }
                    return false;
                };
                let before = oracle.open_turns(&engine) as f64;
                let kept =
                    oracle.engine_by_program.get(&program).map(String::as_str) == Some(&*engine);
                let factor = if kept {
                    settings.max_load_kept
                } else {
                    settings.max_load_new
                };
                let least = names.iter().map(|name| oracle.open_turns(name)).min();
                let within = before < factor * fair_load || Some(before as usize) == least;
                if !names.iter().any(|name| **name == *engine) || !within {
                    return false;
                }
                oracle.turns.push(OpenTurn {
                    id,
                    engine: engine.to_string(),
                    start_ms: now_ms,
                });
                oracle.engine_by_program.insert(program, engine.to_string());
            }
        }
        if names
            .iter()
            .any(|name| table.open_turns(name) as usize != oracle.open_turns(name))
        {
            return false;
        }
    }
    true
}

#[test]
fn no_engine_exceeds_its_load_limit() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 19))
        .tests(400)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Engines of another region get programs only if those of the own region are not available.
#[test]
fn engines_of_the_programs_region_are_preferred() {
    let names = names(9);
    let mut engines = engines(&names);
    for (number, engine) in engines.iter_mut().enumerate() {
        engine.distance = match number {
            0..3 => Distance::SameZone,
            3..6 => Distance::SameRegion,
            _ => Distance::OtherRegion,
        };
    }
    let mut table = AssignmentTable::new(AssignmentSettings::default());
    let open_turns = |table: &AssignmentTable, range: std::ops::Range<usize>| {
        let names = &names[range];
        names.iter().map(|name| table.open_turns(name)).sum::<u32>()
    };
    for number in 0..24 {
        let id = format!("t{number}");
        table.assign(&turn(&id, &id, number), &engines, 1.0, 0);
    }
    // Half of the slots of six engines are in use, and none elsewhere.
    assert_eq!(open_turns(&table, 0..3), 12);
    assert_eq!(open_turns(&table, 3..6), 12);
    assert_eq!(open_turns(&table, 6..9), 0);
    table.assign(&turn("more", "more", 99), &engines, 1.0, 0);
    assert_eq!(open_turns(&table, 6..9), 1);
}

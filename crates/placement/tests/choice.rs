//! Tests of the rules against a reference model, of the selection of engines, and
//! of the rotation.

use fieldhook_model::config::{ConfigDocument, Effect, Rule};
use fieldhook_model::labels::{Labels, Operator, Requirement, Selector};
use fieldhook_model::platform::EngineLoad;
use fieldhook_placement::{
    EngineView, PlacementError, PlacementRequest, Rotation, evaluate_rules, select_engine,
};
use quickcheck::{Gen, QuickCheck};

fn labels(value: u8) -> Labels {
    Labels::from([("group".to_owned(), (value % 3).to_string())])
}

fn selector(value: u8) -> Selector {
    if value.is_multiple_of(4) {
        return Selector::default();
    }
    Selector(vec![Requirement {
        key: "group".to_owned(),
        operator: Operator::In,
        values: vec![(value % 3).to_string()],
    }])
}

fn rule(index: usize, (effect, programs, machines): (u8, u8, u8)) -> Rule {
    Rule {
        name: index.to_string(),
        effect: [Effect::Allow, Effect::Deny, Effect::Drain][usize::from(effect % 3)],
        programs: selector(programs),
        machines: selector(machines),
        priority: Some(programs % 101),
    }
}

fn matches(value: u8, label: u8) -> bool {
    value.is_multiple_of(4) || value % 3 == label % 3
}

/// Compares `evaluate_rules` with a reference model that works on the numbers from
/// which the rules are generated.
fn rules_match_reference(rules: Vec<(u8, u8, u8)>, program: u8, machine: u8) -> bool {
    let document = ConfigDocument {
        labels: Vec::new(),
        rules: rules
            .iter()
            .copied()
            .enumerate()
            .map(|(index, it)| rule(index, it))
            .collect(),
    };
    let evaluation = evaluate_rules(&document, &labels(program), &labels(machine));
    let of = |effect: u8| rules.iter().filter(move |rule| rule.0 % 3 == effect);
    let restricted = of(0).any(|rule| matches(rule.1, program));
    let allowed = of(0).any(|rule| matches(rule.1, program) && matches(rule.2, machine));
    let denied = of(1).any(|rule| matches(rule.1, program) && matches(rule.2, machine));
    let drained = of(2).any(|rule| matches(rule.2, machine));
    assert_eq!(
        evaluation.allowed,
        !denied && !drained && (!restricted || allowed)
    );
    true
}

#[test]
fn fuzz_rules_match_the_reference_model() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 29))
        .tests(2_000)
        .quickcheck(rules_match_reference as fn(Vec<(u8, u8, u8)>, u8, u8) -> bool);
}

fn engine(address: &str, running: u32) -> EngineView {
    EngineView {
        address: address.to_owned(),
        labels: Labels::from([("model".to_owned(), "chat".to_owned())]),
        load: EngineLoad {
            incarnation: 1,
            running,
            max_running: 4,
            step_us: 5_000,
            prefill_tokens_per_step: 100,
            ..EngineLoad::default()
        },
        assigned: 0,
        leaving: false,
        reachable: true,
    }
}

fn request(cached: &[(&str, u64)]) -> PlacementRequest {
    PlacementRequest {
        labels: Labels::new(),
        model: "chat".to_owned(),
        prompt_tokens: 5_000,
        new_tokens: 20,
        cached_tokens: cached
            .iter()
            .map(|(name, tokens)| ((*name).to_owned(), *tokens))
            .collect(),
        excluded: Vec::new(),
    }
}

fn selected(engines: &[EngineView], request: &PlacementRequest) -> Result<String, PlacementError> {
    select_engine(&ConfigDocument::default(), engines, request).map(|selection| selection.address)
}

#[test]
fn an_engine_with_cached_tokens_is_preferred_until_its_queue_costs_more() {
    let request = request(&[("a", 4_900)]);
    assert_eq!(
        selected(&[engine("a", 3), engine("b", 0)], &request),
        Ok("a".to_owned())
    );
    assert_eq!(
        selected(&[engine("a", 15), engine("b", 0)], &request),
        Ok("b".to_owned())
    );
}

#[test]
fn calls_spread_before_a_batch_is_full() {
    let mut engines = [engine("a", 0), engine("b", 0), engine("c", 0)];
    for engine in &mut engines {
        engine.load.max_running = 16;
    }
    // With a short prompt the engines differ in nothing but their batches.
    let short = PlacementRequest {
        prompt_tokens: 50,
        ..request(&[])
    };
    for _ in 0..12 {
        let address = selected(&engines, &short).expect("an engine is available");
        let target = engines.iter_mut().find(|engine| engine.address == address);
        target.expect("listed").assigned += 1;
    }
    let assigned: Vec<u32> = engines.iter().map(|engine| engine.assigned).collect();
    assert_eq!(assigned, [4, 4, 4]);
}

#[test]
fn a_short_conversation_stays_on_the_engine_that_has_it_cached() {
    let short = PlacementRequest {
        prompt_tokens: 100,
        ..request(&[("b", 60)])
    };
    assert_eq!(
        selected(&[engine("a", 0), engine("b", 1)], &short),
        Ok("b".to_owned())
    );
}

#[test]
fn leaving_and_full_engines_are_not_selected() {
    let request = request(&[("a", 5_000)]);
    let mut leaving = engine("a", 0);
    leaving.leaving = true;
    assert_eq!(
        selected(&[leaving.clone(), engine("b", 2)], &request),
        Ok("b".to_owned())
    );
    assert_eq!(
        selected(&[leaving], &request),
        Err(PlacementError::NoEngine)
    );
    let full = selected(&[engine("a", 16), engine("b", 20)], &request);
    assert!(
        matches!(full, Err(PlacementError::Overloaded(wait_ms)) if wait_ms > 0),
        "{full:?}"
    );
}

/// Checks that every round returns every address, in batches of the requested size,
/// and that an address that was removed from the list is not returned again.
fn rotation_covers_all(size: u8, count: u8, removed: u8) -> bool {
    let all: Vec<String> = (0..size).map(|index| index.to_string()).collect();
    let count = usize::from(count % 9) + 1;
    let mut rotation = Rotation::default();
    let mut returned = Vec::new();
    let rounds = all.len().div_ceil(count);
    for round in 0..rounds {
        let batch = rotation.next_batch(&all, count, |limit| (round * 7 + 3) % limit);
        assert_eq!(batch.len(), count.min(all.len()));
        returned.extend(batch);
    }
    assert!(
        all.iter().all(|address| returned.contains(address)),
        "an address was not returned in a round"
    );
    let remaining: Vec<String> = all
        .iter()
        .filter(|item| **item != removed.to_string())
        .cloned()
        .collect();
    let batch = rotation.next_batch(&remaining, count, |_| 0);
    assert!(
        batch.iter().all(|address| remaining.contains(address)),
        "a removed address was returned"
    );
    true
}

#[test]
fn fuzz_rotation_covers_the_fleet() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 31))
        .tests(500)
        .quickcheck(rotation_covers_all as fn(u8, u8, u8) -> bool);
}

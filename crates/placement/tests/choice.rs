//! Rules against a simple oracle, and what the cost model must prefer.

use fieldhook_model::config::{ConfigDocument, Effect, Rule};
use fieldhook_model::labels::{Labels, Operator, Requirement, Selector};
use fieldhook_model::platform::EngineLoad;
use fieldhook_placement::{
    EngineView, PlacementError, PlacementRequest, Rotation, evaluate_rules, select_engine,
};
use quickcheck::{Gen, QuickCheck};

fn labelled(value: u8) -> Labels {
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

fn fits(value: u8, own: u8) -> bool {
    value.is_multiple_of(4) || value % 3 == own % 3
}

/// The oracle works on the numbers that the rules were made from.
fn holds(rules: Vec<(u8, u8, u8)>, program: u8, machine: u8) -> bool {
    let document = ConfigDocument {
        labels: Vec::new(),
        rules: rules
            .iter()
            .copied()
            .enumerate()
            .map(|(index, it)| rule(index, it))
            .collect(),
    };
    let verdict = evaluate_rules(&document, &labelled(program), &labelled(machine));
    let of = |effect: u8| rules.iter().filter(move |rule| rule.0 % 3 == effect);
    let confined = of(0).any(|rule| fits(rule.1, program));
    let granted = of(0).any(|rule| fits(rule.1, program) && fits(rule.2, machine));
    let denied = of(1).any(|rule| fits(rule.1, program) && fits(rule.2, machine));
    let drained = of(2).any(|rule| fits(rule.2, machine));
    assert_eq!(
        verdict.allowed,
        !denied && !drained && (!confined || granted)
    );
    true
}

#[test]
fn fuzz_rules_agree_with_the_oracle() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 29))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>, u8, u8) -> bool);
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

fn work(held: &[(&str, u64)]) -> PlacementRequest {
    PlacementRequest {
        labels: Labels::new(),
        model: "chat".to_owned(),
        prompt_tokens: 5_000,
        new_tokens: 20,
        cached_tokens: held
            .iter()
            .map(|(name, tokens)| ((*name).to_owned(), *tokens))
            .collect(),
        excluded: Vec::new(),
    }
}

fn chosen(engines: &[EngineView], work: &PlacementRequest) -> Result<String, PlacementError> {
    select_engine(&ConfigDocument::default(), engines, work).map(|choice| choice.address)
}

#[test]
fn cache_is_followed_until_the_queue_there_costs_more() {
    let work = work(&[("a", 4_900)]);
    assert_eq!(
        chosen(&[engine("a", 3), engine("b", 0)], &work),
        Ok("a".to_owned())
    );
    assert_eq!(
        chosen(&[engine("a", 15), engine("b", 0)], &work),
        Ok("b".to_owned())
    );
}

#[test]
fn calls_spread_before_a_batch_is_full() {
    let mut engines = [engine("a", 0), engine("b", 0), engine("c", 0)];
    for engine in &mut engines {
        engine.load.max_running = 16;
    }
    // A short prompt: nothing but the batches tells the engines apart.
    let short = PlacementRequest {
        prompt_tokens: 50,
        ..work(&[])
    };
    for _ in 0..12 {
        let address = chosen(&engines, &short).expect("a choice");
        let taken = engines.iter_mut().find(|engine| engine.address == address);
        taken.expect("listed").assigned += 1;
    }
    let assigned: Vec<u32> = engines.iter().map(|engine| engine.assigned).collect();
    assert_eq!(assigned, [4, 4, 4]);
}

#[test]
fn a_short_conversation_stays_where_it_is_held() {
    let short = PlacementRequest {
        prompt_tokens: 100,
        ..work(&[("b", 60)])
    };
    assert_eq!(
        chosen(&[engine("a", 0), engine("b", 1)], &short),
        Ok("b".to_owned())
    );
}

#[test]
fn leaving_lost_and_full_engines_get_nothing() {
    let work = work(&[("a", 5_000)]);
    let mut leaving = engine("a", 0);
    leaving.leaving = true;
    assert_eq!(
        chosen(&[leaving.clone(), engine("b", 2)], &work),
        Ok("b".to_owned())
    );
    assert_eq!(chosen(&[leaving], &work), Err(PlacementError::NoEngine));
    let full = chosen(&[engine("a", 16), engine("b", 20)], &work);
    assert!(
        matches!(full, Err(PlacementError::Overloaded(wait_ms)) if wait_ms > 0),
        "{full:?}"
    );
}

/// Every machine comes once a round, never more than asked for, also while the
/// list changes.
fn rotation_holds(size: u8, count: u8, lost: u8) -> bool {
    let all: Vec<String> = (0..size).map(|index| index.to_string()).collect();
    let count = usize::from(count % 9) + 1;
    let mut rotation = Rotation::default();
    let mut seen = Vec::new();
    let rounds = all.len().div_ceil(count);
    for round in 0..rounds {
        let taken = rotation.next_batch(&all, count, |limit| (round * 7 + 3) % limit);
        assert_eq!(taken.len(), count.min(all.len()));
        seen.extend(taken);
    }
    assert!(
        all.iter().all(|address| seen.contains(address)),
        "one was passed over"
    );
    let fewer: Vec<String> = all
        .iter()
        .filter(|item| **item != lost.to_string())
        .cloned()
        .collect();
    let taken = rotation.next_batch(&fewer, count, |_| 0);
    assert!(
        taken.iter().all(|address| fewer.contains(address)),
        "a lost one came again"
    );
    true
}

#[test]
fn fuzz_rotation_covers_the_fleet() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 31))
        .tests(500)
        .quickcheck(rotation_holds as fn(u8, u8, u8) -> bool);
}

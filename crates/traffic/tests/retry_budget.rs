//! The bound on repeats over all requests of a daemon.

use fieldhook_traffic::retry_budget::RetryBudget;

#[test]
fn where_everything_is_refused_repeats_come_down_to_a_few_a_second() {
    let mut budget = RetryBudget::default();
    let repeats = |budget: &mut RetryBudget, second: u64| {
        let tries = 0..1_000;
        tries.filter(|t| budget.take(second * 1_000 + t)).count()
    };
    let first = repeats(&mut budget, 0);
    assert!((200..=220).contains(&first), "{first}");
    let later = repeats(&mut budget, 1);
    assert!((15..=25).contains(&later), "{later}");
}

#[test]
fn where_requests_are_answered_one_in_two_may_be_a_repeat() {
    let mut budget = RetryBudget::default();
    while budget.take(0) {}
    let mut taken = 0;
    for _ in 0..100 {
        budget.record_answer();
        taken += u32::from(budget.take(0));
    }
    assert_eq!(taken, 50);
}

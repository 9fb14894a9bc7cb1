//! The limit on retries over all requests of a daemon.

use fieldhook_traffic::retry_budget::RetryBudget;

#[test]
fn without_completed_attempts_retries_fall_to_a_few_per_second() {
    let mut budget = RetryBudget::default();
    let retries = |budget: &mut RetryBudget, second: u64| {
        let tries = 0..1_000;
        tries.filter(|t| budget.take(second * 1_000 + t)).count()
    };
    let first = retries(&mut budget, 0);
    assert!((200..=220).contains(&first), "{first}");
    let later = retries(&mut budget, 1);
    assert!((15..=25).contains(&later), "{later}");
}

#[test]
fn each_completed_attempt_allows_half_a_retry() {
    let mut budget = RetryBudget::default();
    while budget.take(0) {}
    let mut taken = 0;
    for _ in 0..100 {
        budget.record_completed();
        taken += u32::from(budget.take(0));
    }
    assert_eq!(taken, 50);
}

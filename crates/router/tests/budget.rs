//! Tests of the retry budget, among them a property test against a recomputation from the full
//! history.

#[path = "common/property.rs"]
mod property;

use std::time::Duration;

use jackdawtally::load::budget::{self, BudgetLimits, RetryBudget};
use tokio::time::Instant;

fn limits() -> BudgetLimits {
    BudgetLimits {
        ratio: 0.2,
        slack: 12.0,
        window: Duration::from_secs(10),
    }
}

#[test]
fn retries_without_requests_are_limited_to_part_of_the_slack() {
    let mut budget = RetryBudget::default();
    let now = Instant::now();

    let allowed = (0..100)
        .filter(|_| budget.try_spend(&limits(), 3, now))
        .count();

    assert!((1..=4).contains(&allowed), "{allowed} retries allowed");
}

#[test]
fn slack_divisor_exceeds_the_number_of_known_instances() {
    let divisors = [1, 9, 65, 490].map(budget::slack_divisor);

    assert_eq!(divisors, [12, 12, 82, 613]);
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut budget = RetryBudget::default();
    let now = Instant::now();
    while budget.try_spend(&limits(), 3, now) {}

    assert!(!budget.try_spend(&limits(), 3, now + Duration::from_secs(5)));
    assert!(budget.try_spend(&limits(), 3, now + Duration::from_secs(11)));
}

/// For any order of requests and retries, no window contains more retries than this instance's part
/// of the limit.
#[test]
fn retries_never_exceed_the_limit_in_any_window() {
    fn property(steps: Vec<(u8, bool)>) -> bool {
        let (limits, instances) = (limits(), 4);
        let mut budget = RetryBudget::default();
        let mut now = Instant::now();
        let (mut requests, mut retries) = (vec![], vec![]);
        for (gap, spend) in steps {
            now += Duration::from_millis(u64::from(gap) * 10);
            if !spend {
                budget.record_request(&limits, now);
                requests.push(now);
            } else if budget.try_spend(&limits, instances, now) {
                retries.push(now);
            }
        }
        let count_within = |times: &[Instant], end: Instant| {
            let within = |t: &&Instant| **t <= end && end - **t <= limits.window;
            u32::try_from(times.iter().filter(within).count()).unwrap_or(u32::MAX)
        };
        retries.iter().all(|end| {
            let earned = f64::from(count_within(&requests, *end));
            let bound = limits.ratio * earned + limits.slack / f64::from(instances);
            f64::from(count_within(&retries, *end)) <= bound
        })
    }
    property::check(property as fn(Vec<(u8, bool)>) -> bool);
}

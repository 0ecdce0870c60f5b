//! The budget of second sends, compared with a version that keeps everything.

#[path = "common/property.rs"]
mod property;

use std::time::Duration;

use jackdawtally::load::budget::{self, BudgetLimits, RetryBudget};
use tokio::time::Instant;

fn terms() -> BudgetLimits {
    BudgetLimits {
        ratio: 0.2,
        slack: 12.0,
        window: Duration::from_secs(10),
    }
}

#[test]
fn nothing_earned_leaves_the_instance_its_part_of_the_slack() {
    let mut budget = RetryBudget::default();
    let now = Instant::now();

    let paid = (0..100)
        .filter(|_| budget.try_spend(&terms(), 3, now))
        .count();

    assert!((1..=4).contains(&paid), "{paid}");
}

#[test]
fn slack_is_divided_among_more_instances_than_are_known() {
    let shares = [1, 9, 65, 490].map(budget::slack_divisor);

    assert_eq!(shares, [12, 12, 82, 613]);
}

#[test]
fn what_was_spent_comes_back_after_the_window() {
    let mut budget = RetryBudget::default();
    let now = Instant::now();
    while budget.try_spend(&terms(), 3, now) {}

    assert!(!budget.try_spend(&terms(), 3, now + Duration::from_secs(5)));
    assert!(budget.try_spend(&terms(), 3, now + Duration::from_secs(11)));
}

/// Whatever the order of requests and failures, no window holds more second sends than this instance's
/// part of the bound.
#[test]
fn no_window_exceeds_the_bound() {
    fn property(steps: Vec<(u8, bool)>) -> bool {
        let (terms, instances) = (terms(), 4);
        let mut budget = RetryBudget::default();
        let mut now = Instant::now();
        let (mut requests, mut repeats) = (vec![], vec![]);
        for (gap, spend) in steps {
            now += Duration::from_millis(u64::from(gap) * 10);
            if !spend {
                budget.record_request(&terms, now);
                requests.push(now);
            } else if budget.try_spend(&terms, instances, now) {
                repeats.push(now);
            }
        }
        let held = |times: &[Instant], end: Instant| {
            let within = |t: &&Instant| **t <= end && end - **t <= terms.window;
            u32::try_from(times.iter().filter(within).count()).unwrap_or(u32::MAX)
        };
        repeats.iter().all(|end| {
            let earned = f64::from(held(&requests, *end));
            let bound = terms.ratio * earned + terms.slack / f64::from(instances);
            f64::from(held(&repeats, *end)) <= bound
        })
    }
    property::check(property as fn(Vec<(u8, bool)>) -> bool);
}

//! The check of rate limits finds fleets that exceed a limit in the ways that are easily overlooked.

use std::time::Duration;

use jackdawtally_standins::rate_check::RateRecord;
use tokio::time::Instant;

/// A record in which each of `instances` sends at `rate` after `first_wait`, from two seconds after the limit of
/// one request a second was named and passed on.
fn record(instances: usize, rate: f64, first_wait: impl Fn(usize) -> f64) -> RateRecord {
    let start = Instant::now();
    let mut record = RateRecord::default();
    record.name(start, Some(1.0));
    for instance in 0..instances {
        record.inform(start, instance);
        for number in 0..8_u32 {
            let time = 4.0 + first_wait(instance) + f64::from(number) / rate;
            record.arrive(start + Duration::from_secs_f64(time), instance);
        }
    }
    record
}

#[tokio::test(start_paused = true)]
async fn limit_that_each_instance_applies_by_itself_is_found() {
    assert!(record(7, 1.0, |_| 0.0).excess().is_some());
}

#[tokio::test(start_paused = true)]
async fn shares_that_start_with_a_saved_request_are_found() {
    assert!(record(59, 1.0 / 59.0, |_| 0.0).excess().is_some());
}

#[tokio::test(start_paused = true)]
async fn shares_that_are_spread_over_time_are_allowed() {
    let spread = |instance: usize| f64::from(u32::try_from(instance).expect("there are few"));

    assert_eq!(record(59, 1.0 / 59.0, spread).excess(), None);
}

#[tokio::test(start_paused = true)]
async fn requests_of_instances_that_have_not_passed_the_limit_on_do_not_count() {
    let start = Instant::now();
    let mut record = RateRecord::default();
    record.name(start, Some(1.0));
    for number in 0..60 {
        record.arrive(start + Duration::from_secs(5), number);
    }

    assert_eq!(record.excess(), None);
}

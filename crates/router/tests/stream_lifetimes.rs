//! How long a stream that is still alive can have lasted.

use std::time::Duration;

use jackdawtally::stream_lifetimes::{self, LifetimesByService, StreamLifetimes};
use quickcheck::quickcheck;
use tokio::time;

const LONG: Duration = Duration::from_secs(16);
const SHORT: Duration = Duration::from_secs(3);
/// Lifetime that is assumed of streams of which nothing is known.
const UNKNOWN: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);

fn of(lifetime: Duration) -> LifetimesByService {
    LifetimesByService::from([("s".into(), lifetime)])
}

/// The lifetimes that an instance knows after the first start of the whole system.
fn first() -> StreamLifetimes {
    let lifetimes = StreamLifetimes::default();
    lifetimes.begin();
    lifetimes
}

#[tokio::test(start_paused = true)]
async fn streams_keep_the_lifetime_under_which_they_began() {
    let lifetimes = first();
    lifetimes.configure(&of(LONG));
    time::advance(SECOND).await;

    lifetimes.configure(&of(SHORT));
    time::advance(LONG.saturating_sub(SECOND)).await;
    let alive = lifetimes.longest("s");
    time::advance(SECOND).await;
    let ended = lifetimes.longest("s");

    assert_eq!((alive, ended), (LONG, SHORT));
}

#[tokio::test(start_paused = true)]
async fn streams_of_a_service_without_a_route_are_remembered() {
    let lifetimes = first();
    lifetimes.configure(&of(LONG));

    lifetimes.configure(&LifetimesByService::new());
    time::advance(SECOND).await;
    lifetimes.configure(&of(SHORT));

    assert_eq!(lifetimes.longest("s"), LONG);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_ruled_out_before_the_record_is_read() {
    let lifetimes = StreamLifetimes::default();
    lifetimes.configure(&of(SHORT));
    let unread = lifetimes.longest("s");

    lifetimes.learn(&"s".into(), Some(LONG));
    let read = lifetimes.longest("s");
    time::advance(LONG).await;
    let later = lifetimes.longest("s");

    assert_eq!((unread, read, later), (UNKNOWN, LONG, SHORT));
}

#[tokio::test(start_paused = true)]
async fn record_of_an_older_build_rules_nothing_out() {
    let lifetimes = StreamLifetimes::default();
    lifetimes.configure(&of(SHORT));
    time::advance(UNKNOWN.saturating_sub(SECOND)).await;

    lifetimes.learn(&"s".into(), None);
    time::advance(UNKNOWN.saturating_sub(SECOND)).await;
    let alive = lifetimes.longest("s");
    time::advance(SECOND).await;
    let ended = lifetimes.longest("s");

    assert_eq!((alive, ended), (UNKNOWN, SHORT));
}

#[tokio::test(start_paused = true)]
async fn configurations_that_were_missed_may_have_had_any_lifetime() {
    let lifetimes = first();
    lifetimes.configure(&of(SHORT));

    lifetimes.record_gap();
    let missed = lifetimes.longest("s");
    time::advance(UNKNOWN).await;
    let later = lifetimes.longest("s");

    assert_eq!((missed, later), (UNKNOWN, SHORT));
}

#[tokio::test(start_paused = true)]
async fn callers_with_later_deadlines_count_up_to_a_minute() {
    let deadlines = [(2, 3), (9, 9), (3_600, 60)];
    for (deadline, expected) in deadlines {
        let lifetimes = first();
        lifetimes.configure(&of(SHORT));

        lifetimes.record_deadline(&"s".into(), Duration::from_secs(deadline));

        let expected = Duration::from_secs(expected);
        assert_eq!(lifetimes.longest("s"), expected, "{deadline}");
    }
}

#[tokio::test(start_paused = true)]
async fn times_beyond_all_measure_count_as_an_hour() {
    let hour = Duration::from_hours(1);
    let lifetimes = first();

    lifetimes.learn(&"s".into(), Some(Duration::MAX));

    assert_eq!(lifetimes.longest("s"), hour);
    assert_eq!(stream_lifetimes::of_timeout(Duration::MAX), hour);
}

quickcheck! {
    /// After any series of configurations the longest lifetime is that of a list of all of them.
    fn longest_lifetime_agrees_with_a_list_of_all(series: Vec<(u8, u8)>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime can be created");
        runtime.block_on(async {
            let lifetimes = first();
            // Each configuration, and when the next one replaced it.
            let mut all: Vec<(Duration, time::Instant)> = Vec::new();
            for (lifetime, wait) in series {
                let lifetime = Duration::from_secs(lifetime.into());
                lifetimes.configure(&of(lifetime));
                time::advance(Duration::from_secs(wait.into())).await;
                let now = time::Instant::now();
                all.push((lifetime, now));
                let alive = all.iter().filter(|(l, end)| *end == now || *end + *l > now);
                let expected = alive.map(|(l, _)| *l).max().unwrap_or_default();
                if lifetimes.longest("s") != expected {
                    return false;
                }
            }
            true
        })
    }
}

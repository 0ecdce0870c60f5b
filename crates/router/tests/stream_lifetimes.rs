//! How long a stream that is still alive can have lasted, beyond what the present configuration says.

#[path = "common/property.rs"]
mod property;

use std::time::Duration;

use jackdawtally::stream_lifetimes::{
    self, LifetimesByService, RecordedLifetimes, ServiceStreams, StreamLifetimes, StreamsByService,
};
use tokio::runtime::Builder;
use tokio::time::{self, Instant};

const LONG: Duration = Duration::from_secs(16);
const SHORT: Duration = Duration::from_secs(3);
/// Lifetime that is assumed of streams of which nothing is known.
const UNKNOWN: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);

fn of(lifetime: Duration) -> LifetimesByService {
    LifetimesByService::from([("s".into(), lifetime)])
}

/// The streams of the service if they last this long; the digest is that of the configuration.
fn streams(longest: Duration) -> ServiceStreams {
    ServiceStreams {
        longest,
        digest: longest.as_secs(),
    }
}

/// Applies a configuration, which lowers the lifetimes of the one before.
fn configure(lifetimes: &StreamLifetimes, longest: Duration, lowered: &LifetimesByService) {
    let streams = StreamsByService::from([("s".into(), streams(longest))]);
    lifetimes.configure(1, streams, lowered);
}

/// The record of an instance with this configuration.
fn recorded(longest: Duration, past: Duration) -> RecordedLifetimes {
    RecordedLifetimes {
        config: 1,
        streams: streams(longest),
        past,
    }
}

/// The lifetimes that an instance knows after the first start of the whole system.
fn first() -> StreamLifetimes {
    let lifetimes = StreamLifetimes::default();
    lifetimes.begin();
    configure(&lifetimes, SHORT, &LifetimesByService::new());
    lifetimes
}

#[tokio::test(start_paused = true)]
async fn streams_keep_the_lifetime_under_which_they_began() {
    let lifetimes = first();

    configure(&lifetimes, SHORT, &of(LONG));
    time::advance(LONG.saturating_sub(SECOND)).await;
    let alive = lifetimes.past("s");
    time::advance(SECOND).await;
    let ended = lifetimes.past("s");

    assert_eq!((alive, ended), (LONG, Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn streams_of_a_service_without_a_route_are_remembered() {
    let lifetimes = first();

    lifetimes.configure(2, StreamsByService::new(), &of(LONG));
    time::advance(SECOND).await;
    configure(&lifetimes, SHORT, &LifetimesByService::new());

    assert_eq!(lifetimes.past("s"), LONG);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_ruled_out_before_record_and_configuration_are_known() {
    let lifetimes = StreamLifetimes::default();
    let unread = lifetimes.past("s");

    lifetimes.learn(&"s".into(), Some(&recorded(LONG, SHORT)));
    let unconfigured = lifetimes.past("s");
    configure(&lifetimes, LONG, &LifetimesByService::new());
    let known = lifetimes.past("s");

    assert_eq!((unread, unconfigured, known), (UNKNOWN, UNKNOWN, SHORT));
}

/// The record of the same configuration adds only what is past by it; that of another one all of it.
#[tokio::test(start_paused = true)]
async fn configuration_that_changed_while_no_instance_ran_shows() {
    for (present, expected) in [(LONG, Duration::ZERO), (SHORT, LONG)] {
        let lifetimes = StreamLifetimes::default();
        configure(&lifetimes, present, &LifetimesByService::new());

        lifetimes.learn(&"s".into(), Some(&recorded(LONG, Duration::ZERO)));

        assert_eq!(lifetimes.past("s"), expected);
    }
}

/// A running instance sees changes of the configuration itself, be it before or after the record changes.
#[tokio::test(start_paused = true)]
async fn record_of_another_instance_adds_only_what_is_past() {
    let lifetimes = first();

    lifetimes.learn(&"s".into(), Some(&recorded(LONG, Duration::ZERO)));
    let other = lifetimes.past("s");
    lifetimes.learn(&"s".into(), Some(&recorded(LONG, LONG)));
    let past = lifetimes.past("s");

    assert_eq!((other, past), (Duration::ZERO, LONG));
}

#[tokio::test(start_paused = true)]
async fn record_of_an_older_build_rules_nothing_out() {
    let lifetimes = StreamLifetimes::default();
    configure(&lifetimes, SHORT, &LifetimesByService::new());
    time::advance(UNKNOWN.saturating_sub(SECOND)).await;

    lifetimes.learn(&"s".into(), None);
    time::advance(UNKNOWN.saturating_sub(SECOND)).await;
    let alive = lifetimes.past("s");
    time::advance(SECOND).await;
    let ended = lifetimes.past("s");

    assert_eq!((alive, ended), (UNKNOWN, Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn configurations_that_were_missed_may_have_had_any_lifetime() {
    let lifetimes = first();

    lifetimes.record_gap();
    let missed = lifetimes.past("s");
    time::advance(UNKNOWN).await;
    let later = lifetimes.past("s");

    assert_eq!((missed, later), (UNKNOWN, Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn callers_with_later_deadlines_count_up_to_a_minute() {
    let deadlines = [(3, 0), (9, 9), (3_600, 60)];
    for (deadline, expected) in deadlines {
        let lifetimes = first();

        lifetimes.record_deadline(&"s".into(), Duration::from_secs(deadline), SHORT);

        let expected = Duration::from_secs(expected);
        assert_eq!(lifetimes.past("s"), expected, "{deadline}");
    }
}

#[tokio::test(start_paused = true)]
async fn times_beyond_all_measure_count_as_an_hour() {
    let hour = Duration::from_hours(1);
    let lifetimes = first();

    lifetimes.learn(&"s".into(), Some(&recorded(SHORT, Duration::MAX)));

    assert_eq!(lifetimes.past("s"), hour);
    assert_eq!(stream_lifetimes::of_timeout(Duration::MAX), hour);
}

/// After any series of past lifetimes the longest one is that of a list of all of them.
#[test]
fn longest_past_agrees_with_a_list_of_all() {
    fn property(series: Vec<(u8, u8)>) -> bool {
        let runtime = Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build();
        let runtime = runtime.expect("a runtime can be created");
        runtime.block_on(agrees_with_a_list(series))
    }
    property::check(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Records lifetimes in seconds, with a wait after each; returns whether the longest one was right each time.
async fn agrees_with_a_list(series: Vec<(u8, u8)>) -> bool {
    let lifetimes = first();
    let mut all: Vec<(Duration, Instant)> = Vec::new();
    for (lifetime, wait) in series {
        let lifetime = Duration::from_secs(lifetime.into());
        lifetimes.record_past(&of(lifetime));
        all.push((lifetime, Instant::now() + lifetime));
        time::advance(Duration::from_secs(wait.into())).await;
        let now = Instant::now();
        let alive = all.iter().filter(|(_, until)| *until > now);
        let expected = alive.map(|(l, _)| *l).max().unwrap_or_default();
        if lifetimes.past("s") != expected {
            return false;
        }
    }
    true
}

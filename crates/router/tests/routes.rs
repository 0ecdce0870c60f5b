//! Route lookup by host and longest base path, and the traffic split between services.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

#[path = "common/property.rs"]
mod property;

use std::collections::HashMap;
use std::time::Duration;

use jackdawtally::forward::route::{Route, RouteKind, RouteTable, WeightedService};
use jackdawtally::stream_lifetimes;

fn route(host: &str, base_path: &str) -> Route {
    Route {
        name: format!("{host}{base_path}").into(),
        host: host.into(),
        base_path: base_path.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_secs(1),
        gap_target: None,
        level: 0,
        max_attempts: 1,
        public: false,
        prefix_affinity: false,
        services: vec![],
    }
}

/// Reference implementation: finds the longest base path by a linear search.
fn linear_search<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let matches = |r: &&Route| r.host == host && path.starts_with(r.base_path.as_str());
    routes
        .iter()
        .filter(matches)
        .max_by_key(|r| r.base_path.len())
}

#[test]
fn longest_base_path_wins() {
    let routes = RouteTable::new([
        route("h", "/a/"),
        route("h", "/a/b/"),
        route("g", "/a/b/c/"),
    ]);

    let found = routes.find("h", "/a/b/c/d").expect("a route");

    assert_eq!(found.base_path, "/a/b/");
    assert!(routes.find("h", "/a").is_none());
    assert!(routes.find("h", "/ab/").is_none());
    assert!(routes.find("x", "/a/").is_none());
}

#[test]
fn lookup_agrees_with_linear_search() {
    fn property(base_paths: Vec<Vec<bool>>, path: Vec<bool>) -> bool {
        let text = |steps: &[bool]| {
            let steps = steps.iter().take(4).map(|s| if *s { "a/" } else { "b/" });
            std::iter::once("/").chain(steps).collect::<String>()
        };
        let mut names: Vec<String> = base_paths.iter().map(|p| text(p)).collect();
        names.sort();
        names.dedup();
        let routes: Vec<Route> = names.iter().map(|p| route("h", p)).collect();
        let table = RouteTable::new(routes.clone());
        let path = text(&path) + "x";

        let found = table.find("h", &path).map(|r| r.base_path.clone());

        found == linear_search(&routes, "h", &path).map(|r| r.base_path.clone())
    }
    property::check(property as fn(Vec<Vec<bool>>, Vec<bool>) -> bool);
}

#[test]
fn split_follows_the_weights_and_is_stable_for_each_request_id() {
    let weighted = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    let split = Route {
        services: vec![weighted("x", 90), weighted("y", 10), weighted("z", 0)],
        ..route("h", "/")
    };

    let mut counts: HashMap<&str, u32> = HashMap::new();
    for id in 0..10_000 {
        let id = id.to_string();
        let service = split.select_service(&id).expect("a service");
        assert_eq!(split.select_service(&id), Some(service));
        *counts.entry(service).or_default() += 1;
    }

    assert!((8_800..9_200).contains(&counts["x"]), "{counts:?}");
    assert!(!counts.contains_key("z"), "{counts:?}");
}

fn stream_route(base_path: &str, service: &str, seconds: u64) -> Route {
    Route {
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(seconds),
        services: vec![WeightedService {
            service: service.into(),
            weight: 1,
        }],
        ..route("h", base_path)
    }
}

/// How long a stream of this path lasts by the table, and the service that it goes to.
fn stream_of<'a>(table: &'a RouteTable, path: &str) -> Option<(&'a str, Duration)> {
    let route = table.find("h", path)?;
    let lifetime = stream_lifetimes::of_timeout(route.timeout);
    Some((route.services[0].service.as_str(), lifetime))
}

const BASE_PATHS: [&str; 4] = ["/", "/a/", "/a/b/", "/c/"];
const PATHS: [&str; 5] = ["/x", "/a/x", "/a/b/x", "/c/x", "/a/c/x"];

/// A table with a route for each base path whose timeout isn't 0; the timeout's parity selects the service.
fn stream_table(timeouts: &[u8]) -> RouteTable {
    let routes = BASE_PATHS.iter().zip(timeouts).filter(|(_, t)| **t > 0);
    RouteTable::new(routes.map(|(base_path, timeout)| {
        let service = if timeout % 2 == 0 { "even" } else { "odd" };
        stream_route(base_path, service, (*timeout).into())
    }))
}

#[test]
fn lowered_lifetimes_cover_each_path_whose_streams_may_outlast_its_route() {
    fn property(before: Vec<u8>, after: Vec<u8>) -> bool {
        let (before, after) = (stream_table(&before), stream_table(&after));
        let lowered = before.lowered(&after);
        let is_covered = |path: &&str| {
            let Some((service, lifetime)) = stream_of(&before, path) else {
                return true;
            };
            let kept = stream_of(&after, path).filter(|(s, _)| *s == service);
            let kept = kept.is_some_and(|(_, l)| l >= lifetime);
            kept || lowered.get(service).is_some_and(|l| *l >= lifetime)
        };
        PATHS.iter().all(is_covered)
    }
    property::check(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn only_lifetimes_that_a_path_had_before_are_lowered() {
    let before = RouteTable::new([
        stream_route("/a/", "s", 8),
        stream_route("/b/", "s", 60),
        stream_route("/c/", "t", 5),
    ]);
    let after = RouteTable::new([
        stream_route("/a/", "s", 2),
        stream_route("/b/", "s", 60),
        stream_route("/c/", "t", 9),
    ]);

    let lowered = before.lowered(&after);

    let expected = HashMap::from([("s".into(), Duration::from_secs(16))]);
    assert_eq!(lowered, expected);
    assert_ne!(before.streams()["s"].digest, after.streams()["s"].digest);
    assert_eq!(before.lowered(&before), HashMap::new());
}

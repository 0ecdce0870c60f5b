//! Requests that only servers of one software version may take.

mod common;

use std::sync::Arc;
use std::time::Duration;

use jackdawtally::error::Kind;
use jackdawtally::metrics::Metrics;
use jackdawtally::object::BackendServer;
use jackdawtally::pool::{AdmissionRequest, Limits, Permit, Pool, Preemption};
use jackdawtally::queue::RequestAttributes;
use tokio::time::Instant;

const MAX_WAIT: Duration = Duration::from_secs(1);

fn server(name: &str, version: Option<&str>, port: u16) -> BackendServer {
    BackendServer {
        address: ([127, 0, 0, 1], port).into(),
        version: version.map(Into::into),
        spot: false,
        ..common::backend_server(name, 1)
    }
}

fn pool(servers: &[(&str, Option<&str>)]) -> Arc<Pool> {
    let limits = Limits {
        queue_bytes: 1 << 20,
        unstarted: 0,
        room_limit: false,
    };
    let metrics = Arc::new(Metrics::new(None));
    let pool = Pool::with_preemption("s".into(), limits, metrics, 1, Preemption::ByServer);
    let servers: Vec<BackendServer> = servers
        .iter()
        .zip(1..)
        .map(|((name, version), port)| server(name, *version, port))
        .collect();
    pool.update_servers(&servers.iter().collect::<Vec<_>>(), "north");
    pool
}

fn admission(version: Option<&str>) -> AdmissionRequest {
    AdmissionRequest {
        attributes: RequestAttributes {
            level: 0,
            class: "c".into(),
            organisation: "o".into(),
            share: 1,
            bytes: 1,
            cost: 1,
            partial: false,
        },
        identity: Arc::default(),
        may_try: true,
        lost: None,
        prefix_hash: 0,
        first_token_target: None,
        gap_target: None,
        latency_sensitive: false,
        starvation_bound: Duration::from_secs(4),
        max_wait: MAX_WAIT,
        version: version.map(Into::into),
        avoid: Vec::new(),
        prefer: None,
    }
}

async fn acquire(pool: &Arc<Pool>, version: Option<&str>) -> Permit {
    let permit = pool.acquire(admission(version)).await;
    permit.expect("the request gets a permit")
}

/// A broken stream went on at whichever server was free first, of any version.
#[tokio::test(start_paused = true)]
async fn request_of_a_version_waits_for_a_server_of_it() {
    let pool = pool(&[("a", Some("v1")), ("b", Some("v2")), ("c", None)]);
    let first = acquire(&pool, Some("v1")).await;
    let waiting = tokio::spawn({
        let pool = Arc::clone(&pool);
        async move { acquire(&pool, Some("v1")).await }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let waited = !waiting.is_finished();

    drop(first);
    let second = waiting.await.expect("the task ends");

    assert!(waited);
    assert_eq!(second.declared.name, "a");
}

/// A stream that waits for its version at the head of the queue held up requests that any server could take.
#[tokio::test(start_paused = true)]
async fn request_of_a_version_does_not_hold_up_others() {
    let pool = pool(&[("a", Some("v1")), ("b", Some("v2"))]);
    let _first = acquire(&pool, Some("v1")).await;
    let _waiting = tokio::spawn({
        let pool = Arc::clone(&pool);
        async move { acquire(&pool, Some("v1")).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;

    let start = Instant::now();
    let other = acquire(&pool, None).await;

    assert_eq!(other.declared.name, "b");
    assert_eq!(start.elapsed(), Duration::ZERO);
}

/// A stream whose version is gone would wait for the caller's deadline in vain.
#[tokio::test(start_paused = true)]
async fn request_of_a_version_that_no_server_has_is_refused_at_once() {
    let pool = pool(&[("a", Some("v1")), ("b", None)]);

    let start = Instant::now();
    let result = pool.acquire(admission(Some("v2"))).await;

    let fault = result.expect_err("no server has the version");
    assert_eq!(fault.kind, Kind::NoBackendServer);
    assert!(fault.retry_after.is_some());
    assert_eq!(start.elapsed(), Duration::ZERO);
}

/// Only other instances may send to the last server of the version: the caller is told at once, and finds one of
/// them.
#[tokio::test(start_paused = true)]
async fn request_of_a_version_whose_servers_are_held_by_others_is_refused_at_once() {
    let pool = pool(&[("a", Some("v1")), ("b", Some("v2"))]);
    acquire(&pool, Some("v1"))
        .await
        .record_rate_limit(Some(1.0), "r");

    let start = Instant::now();
    let result = pool.acquire(admission(Some("v1"))).await;

    let fault = result.expect_err("this instance isn't a member that holds a part");
    assert_eq!(fault.kind, Kind::NoBackendServer);
    assert_eq!(start.elapsed(), Duration::ZERO);
}

/// A server started again under its id with another version, while its entry still named the old one.
#[tokio::test(start_paused = true)]
async fn version_is_in_doubt_after_a_failed_connection() {
    let pool = pool(&[("a", Some("v1"))]);
    let before = acquire(&pool, None).await;
    let known = before.version.clone();
    before.record_connect_failure();
    drop(before);

    let doubted = acquire(&pool, None).await.version.clone();
    let refused = pool.acquire(admission(Some("v1"))).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let trusted = acquire(&pool, Some("v1")).await.version.clone();

    assert_eq!(known.as_deref(), Some("v1"));
    assert_eq!(doubted, None);
    assert_eq!(
        refused.expect_err("it waits in vain").kind,
        Kind::Overloaded
    );
    assert_eq!(trusted.as_deref(), Some("v1"));
}

/// Callers that don't name the attempt that began their stream can only go on while no other version can have
/// begun it.
#[tokio::test(start_paused = true)]
async fn only_version_counts_from_when_the_last_other_one_was_gone() {
    let window = Duration::from_secs(16);
    let pool = pool(&[("a", Some("v1")), ("b", Some("v1"))]);
    let (old, new) = (server("a", Some("v1"), 1), server("c", Some("v2"), 3));
    let after = async |time: Duration, servers: &[&BackendServer]| {
        pool.update_servers(servers, "north");
        tokio::time::sleep(time).await;
        pool.only_version(window)
    };

    let first = after(Duration::ZERO, &[&old]).await;
    let foreign = pool.trust_version("v2", window);
    let trusted = pool.trust_version("v1", window);
    let known_before = after(Duration::ZERO, &[&old]).await;
    let mixed = after(window, &[&old, &new]).await;
    let just_one = after(Duration::from_secs(15), &[&new]).await;
    let long_one = after(Duration::from_secs(1), &[&new]).await;
    let nameless = after(window, &[&new, &server("d", None, 4)]).await;
    let replaced = after(Duration::from_secs(15), &[&old]).await;

    assert_eq!(first, None);
    assert_eq!((foreign, trusted), (false, true));
    assert_eq!(known_before.as_deref(), Some("v1"));
    assert_eq!((mixed, just_one), (None, None));
    assert_eq!(long_one.as_deref(), Some("v2"));
    assert_eq!((nameless, replaced), (None, None));
}

/// The time since an instance started counts once, although a record that it reads later spans it, too.
#[tokio::test(start_paused = true)]
async fn recorded_time_and_own_observation_are_not_added_up() {
    let window = Duration::from_secs(16);
    let pool = pool(&[("a", Some("v1"))]);
    tokio::time::sleep(Duration::from_secs(10)).await;

    pool.trust_version("v1", Duration::from_secs(12));
    let early = pool.only_version(window);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let late = pool.only_version(window);

    assert_eq!((early, late.as_deref()), (None, Some("v1")));
}

/// What was recorded before an instance started says nothing once it has seen another version.
#[tokio::test(start_paused = true)]
async fn version_is_not_trusted_after_another_one_was_seen() {
    let window = Duration::from_secs(16);
    let pool = pool(&[("a", Some("v1")), ("b", Some("v2"))]);
    pool.update_servers(&[&server("a", Some("v1"), 1)], "north");

    let trusted = pool.trust_version("v1", window);

    assert!(!trusted);
    assert_eq!(pool.only_version(window), None);
}

/// A server that was there for a while, unseen by this instance, may have begun streams at other instances.
#[tokio::test(start_paused = true)]
async fn only_version_counts_from_when_a_past_server_is_known() {
    let window = Duration::from_secs(16);
    let pool = pool(&[("a", Some("v1"))]);
    pool.trust_version("v1", window);
    let same = server("b", Some("v1"), 2);
    pool.record_past_server(&same);
    let before = pool.only_version(window);

    pool.record_past_server(&server("c", Some("v2"), 3));
    pool.update_servers(&[&server("a", Some("v1"), 1)], "north");
    let trusted = pool.trust_version("v1", window);
    tokio::time::sleep(Duration::from_secs(15)).await;
    let early = pool.only_version(window);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let late = pool.only_version(window);

    assert_eq!(before.as_deref(), Some("v1"));
    assert!(!trusted);
    assert_eq!((early, late.as_deref()), (None, Some("v1")));
}

/// Servers may have come and gone unnoticed: what was known before proves nothing.
#[tokio::test(start_paused = true)]
async fn only_version_counts_from_a_gap_in_what_is_known() {
    let window = Duration::from_secs(16);
    let pool = pool(&[("a", Some("v1"))]);
    pool.trust_version("v1", window);

    pool.restart_versions();
    let trusted = pool.trust_version("v1", window);
    let early = pool.only_version(window);
    tokio::time::sleep(window).await;
    let late = pool.only_version(window);

    assert!(!trusted);
    assert_eq!((early, late.as_deref()), (None, Some("v1")));
}

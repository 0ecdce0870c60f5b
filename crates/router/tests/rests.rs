//! Servers of a pool that ask this instance for rest: what reaches them, and what waiting requests get.

mod common;

use std::sync::Arc;
use std::time::Duration;

use jackdawtally::admission_floors::FloorKind;
use jackdawtally::error::Kind;
use jackdawtally::metrics::Metrics;
use jackdawtally::object::Level;
use jackdawtally::pool::{AdmissionRequest, Limits, Permit, Pool};
use jackdawtally::rate_limit::Rate;
use tokio::time::{self, Instant};

const NAMES: [&str; 3] = ["a", "b", "c"];
const REST: Duration = Duration::from_secs(3);

fn declare(pool: &Arc<Pool>, names: &[&str]) {
    let servers: Vec<_> = names.iter().map(|n| common::backend_server(n, 4)).collect();
    pool.update_servers(&servers.iter().collect::<Vec<_>>(), "north");
}

/// A pool with these servers.
fn pool(names: &[&str]) -> Arc<Pool> {
    let limits = Limits {
        queue_bytes: 1 << 20,
        unstarted: 4,
        room_limit: false,
    };
    let pool = Pool::new("m".into(), limits, Arc::new(Metrics::new(None)), 1);
    declare(&pool, names);
    pool
}

fn patient(max_wait: Duration) -> AdmissionRequest {
    AdmissionRequest {
        max_wait,
        ..common::admission()
    }
}

async fn acquire(pool: &Arc<Pool>) -> Permit {
    let permit = pool.acquire(common::admission()).await;
    permit.expect("a server takes the request")
}

/// Lets a server rest after it got a request.
async fn rest(pool: &Arc<Pool>, name: &str, time: Duration) {
    loop {
        let permit = acquire(pool).await;
        if permit.declared.name == name {
            permit.record_rest(time, "r1");
            return;
        }
    }
}

/// The servers that get 50 requests one after the other.
async fn used(pool: &Arc<Pool>) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..50 {
        names.push(acquire(pool).await.declared.name.to_string());
    }
    names.sort();
    names.dedup();
    names
}

fn spawn_ticks(pool: &Arc<Pool>) {
    let pool = Arc::clone(pool);
    tokio::spawn(async move {
        loop {
            pool.tick();
            time::sleep(Duration::from_millis(20)).await;
        }
    });
}

/// A server that rested was first choice again and again, as it was nearly empty.
#[tokio::test(start_paused = true)]
async fn resting_server_gets_nothing_until_the_end_and_is_used_as_before_then() {
    let pool = pool(&NAMES);
    rest(&pool, "b", REST).await;

    time::advance(REST.mul_f64(0.99)).await;
    let meanwhile = used(&pool).await;
    time::advance(REST.mul_f64(0.02)).await;
    let after = used(&pool).await;

    assert_eq!(meanwhile, ["a", "c"]);
    assert_eq!(after, NAMES);
    assert_eq!(pool.stats().available, NAMES.len());
}

/// A shorter rest that was asked for later would have ended the longer one.
#[tokio::test(start_paused = true)]
async fn longest_rest_counts() {
    let pool = pool(&NAMES);
    let permit = loop {
        let permit = acquire(&pool).await;
        if permit.declared.name == "b" {
            break permit;
        }
    };

    permit.record_rest(REST, "r1");
    permit.record_rest(Duration::from_secs(1), "r2");
    drop(permit);

    time::advance(Duration::from_secs(2)).await;
    assert_eq!(used(&pool).await, ["a", "c"]);
}

/// The entry of a server lapses and comes back during its rest.
#[tokio::test(start_paused = true)]
async fn rest_outlasts_a_lapse_of_the_declaration() {
    let pool = pool(&NAMES);
    rest(&pool, "b", REST).await;

    declare(&pool, &["a", "c"]);
    declare(&pool, &NAMES);

    assert_eq!(used(&pool).await, ["a", "c"]);
}

/// A request that avoids the other servers, one of a starving class, and one that checks whether a limit has ended
/// were sent to resting servers.
#[tokio::test(start_paused = true)]
async fn no_path_leads_to_a_resting_server() {
    let pool = pool(&["a", "b"]);
    spawn_ticks(&pool);
    let avoid = pool.servers().into_iter().map(|(id, _)| id).collect();
    let limited = acquire(&pool).await;
    let name = limited.declared.name.clone();
    limited.record_rate_limit(Some(Rate::from(100_u8)), "r1");
    limited.record_rest(REST * 3, "r1");
    drop(limited);
    let other = if name == "a" { "b" } else { "a" };
    rest(&pool, other, REST).await;
    let started = Instant::now();
    let avoiding = AdmissionRequest {
        avoid,
        ..patient(REST * 2)
    };

    let starving = AdmissionRequest {
        starvation_bound: Duration::from_secs(1),
        ..patient(REST * 2)
    };
    let (first, second) = tokio::join!(pool.acquire(avoiding), pool.acquire(starving));

    for permit in [first, second] {
        let permit = permit.expect("the server is taken after its rest");
        assert_eq!(permit.declared.name, other);
    }
    assert!(started.elapsed() >= REST);
}

/// All servers rested, and requests waited for their longest time before they were refused with a short delay.
#[tokio::test(start_paused = true)]
async fn requests_wait_for_the_end_of_all_rests_or_are_refused_at_once() {
    let pool = pool(&["a"]);
    spawn_ticks(&pool);
    rest(&pool, "a", REST).await;
    let started = Instant::now();

    let refused = pool.acquire(patient(Duration::from_secs(1))).await;
    let refused_after = started.elapsed();
    let taken = pool.acquire(patient(REST * 2)).await;

    let fault = refused.expect_err("the rest is too long");
    assert_eq!(fault.kind, Kind::Overloaded);
    assert_eq!(fault.retry_after, Some(REST));
    assert_eq!(refused_after, Duration::ZERO);
    assert!(taken.is_ok());
    assert!(started.elapsed() >= REST && started.elapsed() < REST + Duration::from_millis(100));
}

/// A server that asks for ages of rest would be lost.
#[tokio::test(start_paused = true)]
async fn rest_is_bounded() {
    let pool = pool(&NAMES);
    rest(&pool, "b", Duration::MAX).await;

    time::advance(Duration::from_mins(6)).await;

    assert_eq!(used(&pool).await, NAMES);
}

/// An instance of which all servers had a rest made the others reject less important requests.
#[tokio::test(start_paused = true)]
async fn waiting_for_the_end_of_rests_is_no_overload() {
    let pool = pool(&["a"]);
    spawn_ticks(&pool);
    rest(&pool, "a", REST).await;

    let waiting = pool.acquire(patient(REST * 2));
    let floors = async {
        time::sleep(REST.mul_f64(0.9)).await;
        [FloorKind::Hold, FloorKind::Evict].map(|kind| pool.requested_floor(kind))
    };
    let (permit, floors) = tokio::join!(waiting, floors);

    assert!(permit.is_ok());
    assert_eq!(floors, [Level::MAX; 2]);
}

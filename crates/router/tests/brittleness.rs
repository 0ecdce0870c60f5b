//! Brittle servers: who may use which of their slots, in fleets of 1 to 490 instances.

mod common;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jackdawtally::load::brittleness::{Brittleness, SlotShare};
use jackdawtally::metrics::Metrics;
use jackdawtally::pool::{Limits, Pool};
use jackdawtally::rate_limit::Members;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

/// Slots of each simulated server.
const SLOTS: u32 = 6;
/// Time that a request takes.
const RUN_TIME: Duration = Duration::from_millis(60);

fn names(count: usize) -> Vec<SmolStr> {
    (0..count).map(|n| format_smolstr!("front-{n}")).collect()
}

fn members(own: &SmolStr, all: &[SmolStr]) -> Members {
    Members::new(own.clone(), all.iter().cloned())
}

/// The pool of one instance, before three servers that have said that they are brittle.
fn pool(own: &SmolStr, all: &[SmolStr]) -> Arc<Pool> {
    let limits = Limits {
        queue_bytes: 1 << 20,
        unstarted: 4,
        room_limit: false,
    };
    let metrics = Arc::new(Metrics::new(None));
    let pool = Pool::new("m".into(), limits, metrics, 1);
    let servers = ["a", "b", "c"].map(|name| common::backend_server(name, SLOTS));
    pool.update_servers(&servers.iter().collect::<Vec<_>>(), "north");
    pool.set_members(Arc::new(members(own, all)));
    pool.merge_brittleness(Duration::ZERO);
    pool
}

#[test]
fn shares_of_all_members_add_up_to_the_slots() {
    for count in [1, 2, 3, 6, 59, 490] {
        for slots in [1, 6, 64] {
            let all = names(count);

            let shares = all
                .iter()
                .map(|own| SlotShare::new("w@1", slots, &members(own, &all)));

            assert_eq!(
                shares.map(|s| s.slots()).sum::<u32>(),
                slots,
                "{count} members"
            );
        }
    }
}

#[test]
fn refusal_closes_the_server_for_a_while_and_reduces_its_slots() {
    let own: SmolStr = "front-0".into();
    let mut share = SlotShare::new("w@1", 8, &members(&own, std::slice::from_ref(&own)));
    let now = Instant::now();

    share.refuse(6, now);

    assert!(!share.is_open(0, now + Duration::from_millis(200)));
    assert!(share.is_open(2, now + Duration::from_millis(400)));
    assert!(!share.is_open(3, now + Duration::from_millis(400)));
    assert!(share.is_open(7, now + Duration::from_secs(4)));
}

#[test]
fn servers_are_brittle_until_one_says_otherwise_to_a_later_request() {
    let mut known = Brittleness::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);

    known.observe(true, at(0), at(50));
    known.observe(false, at(20), at(70));
    assert!(
        known.is_brittle(at(80)),
        "the request was sent before the notice"
    );
    known.observe(false, at(90), at(150));
    assert!(!known.is_brittle(at(160)));
    known.merge(Duration::from_millis(100), at(200));
    assert!(
        !known.is_brittle(at(210)),
        "the other instance heard it before the end"
    );
    known.merge(Duration::ZERO, at(300));
    assert!(known.is_brittle(at(310)));
    assert!(
        !known.is_brittle(at(30_000)),
        "nobody has heard it for long"
    );
}

/// Entries of another writer name more slots than a sum of them can hold.
#[tokio::test(start_paused = true)]
async fn numbers_of_slots_out_of_range_stop_no_instance() {
    let names = names(1);
    let pool = pool(&names[0], &names);
    let servers = ["a", "b"].map(|name| common::backend_server(name, u32::MAX));
    pool.update_servers(&servers.iter().collect::<Vec<_>>(), "north");

    pool.tick();

    assert!(pool.acquire(common::admission()).await.is_ok());
}

/// Each instance sent as much as the server had slots: in a burst at all of them, servers turned requests away and
/// fell over.
#[tokio::test(start_paused = true)]
async fn burst_at_all_instances_needs_no_more_than_the_slots() {
    for count in [1, 3, 59, 490] {
        let all = names(count);
        let pools: Vec<Arc<Pool>> = all.iter().map(|own| pool(own, &all)).collect();
        let open: Arc<Mutex<HashMap<SmolStr, u32>>> = Arc::default();
        let most = Arc::new(Mutex::new(0));
        let mut tasks = Vec::new();
        let requests = if count > 100 { 2 } else { 12 };
        for pool in &pools {
            for _ in 0..requests {
                let (pool, open, most) = (Arc::clone(pool), Arc::clone(&open), Arc::clone(&most));
                tasks.push(tokio::spawn(async move {
                    let Ok(Ok(permit)) = tokio::time::timeout(
                        Duration::from_millis(500),
                        pool.acquire(common::admission()),
                    )
                    .await
                    else {
                        return 0;
                    };
                    let name = permit.declared.name.clone();
                    {
                        let mut open = open.lock().expect("the mutex is not poisoned");
                        let at_server = open.entry(name.clone()).or_default();
                        *at_server += 1;
                        let mut most = most.lock().expect("the mutex is not poisoned");
                        *most = (*most).max(*at_server);
                    }
                    tokio::time::sleep(RUN_TIME).await;
                    *open
                        .lock()
                        .expect("the mutex is not poisoned")
                        .entry(name)
                        .or_default() -= 1;
                    drop(permit);
                    1
                }));
            }
        }
        let mut served = 0;
        for task in tasks {
            served += task.await.expect("the task ends");
        }

        let most = *most.lock().expect("the mutex is not poisoned");
        assert!(most <= SLOTS, "{count} instances: {most} open at a server");
        // Each slot serves eight requests in this time, unless its holder has fewer.
        let holders = count.min(3 * SLOTS as usize);
        let expected = (requests * holders).min(100);
        assert!(
            served * 10 >= expected * 8,
            "{count} instances: {served} served"
        );
    }
}

/// Instances without a slot refused all that came, while others had slots left.
#[tokio::test(start_paused = true)]
async fn instances_without_a_slot_know_who_has_one() {
    for count in [3, 59, 490] {
        let all = names(count);
        let mut without = 0;
        for own in &all {
            let Some(holders) = pool(own, &all).slot_holders() else {
                continue;
            };
            without += 1;
            assert!(!holders.contains(own));
            for holder in holders {
                assert_eq!(pool(&holder, &all).slot_holders(), None, "{holder}");
            }
            if without == 3 {
                break;
            }
        }
        assert_eq!(without > 0, count > 18, "{count} instances");
    }
}

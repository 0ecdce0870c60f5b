//! How an instance finds out that it is cut off from all backend servers, and what others know of it.

use std::collections::HashMap;
use std::sync::{Arc, Barrier, mpsc};
use std::thread;
use std::time::Duration;

use jackdawtally::fleet::isolated_instances::{IsolatedInstances, IsolationRecord};
use jackdawtally::forward::peer;
use jackdawtally::load::isolation::{Isolation, IsolationChange, Signs};
use jackdawtally::membership::{InstanceRecord, InstanceState};
use tokio::time::Instant;

/// Time after which calls are taken to wait for each other; they take some milliseconds.
const DEADLOCK_TIMEOUT: Duration = Duration::from_mins(2);

fn record(number: usize, incarnation: u64) -> InstanceRecord {
    let address = ([127, 0, 0, 1], 1_000).into();
    InstanceRecord {
        id: format!("front-{number}").into(),
        incarnation,
        version: 1,
        state: InstanceState::Alive,
        callers: address,
        operators: address,
        peers: address,
        data_centre: "north".into(),
        config: 0,
    }
}

/// The signs of an instance whose last connection was opened at `connected` and failed at `failed`.
fn signs(connected: Instant, failed: Option<Instant>) -> Signs {
    Signs {
        connected: Some(connected),
        failed,
        silent_since: None,
    }
}

#[test]
fn failed_connection_makes_the_instance_probe_until_one_is_opened() {
    let isolation = Isolation::default();
    let start = Instant::now();
    let later = start + Duration::from_millis(10);

    assert!(!isolation.is_probe_due(&signs(start, None), later));
    assert!(isolation.is_probe_due(&signs(start, Some(later)), later));
    assert!(!isolation.is_probe_due(&signs(later, Some(start)), later));
}

/// A sound server that was silent for a second was taken for one that can't be reached.
#[test]
fn silence_alone_isolates_nothing_while_probes_reach_a_server() {
    let mut isolation = Isolation::default();
    let start = Instant::now();
    let silent = Signs {
        connected: Some(start),
        failed: None,
        silent_since: Some(start),
    };

    let early = start + Duration::from_millis(400);
    let late = start + Duration::from_millis(600);

    assert!(!isolation.is_probe_due(&silent, early));
    assert!(isolation.is_probe_due(&silent, late));
    assert_eq!(isolation.record_round(true, late), None);
    assert!(!isolation.is_probe_due(&silent, late + Duration::from_millis(900)));
    assert!(isolation.is_probe_due(&silent, late + Duration::from_millis(1_100)));
}

#[test]
fn isolated_instance_probes_until_a_server_is_reached() {
    let mut isolation = Isolation::default();
    let start = Instant::now();
    let quiet = signs(start, None);

    let begun = isolation.record_round(false, start);
    let due = isolation.is_probe_due(&quiet, start + Duration::from_millis(250));
    let again = isolation.record_round(false, start + Duration::from_millis(250));
    let ended = isolation.record_round(true, start + Duration::from_millis(500));

    assert_eq!(begun, Some(IsolationChange::Begun));
    assert!(due);
    assert_eq!(again, None);
    assert_eq!(ended, Some(IsolationChange::Ended));
    assert!(!isolation.is_probe_due(&quiet, start + Duration::from_secs(9)));
}

#[test]
fn records_are_news_once_and_older_ones_are_ignored() {
    let own = IsolatedInstances::new(&record(0, 1));
    let other = IsolatedInstances::new(&record(1, 1));
    let begun = other.set_own(true);
    let ended = other.set_own(false);

    let first = own.merge(std::slice::from_ref(&begun));
    let repeated = own.merge(std::slice::from_ref(&begun));
    let isolated = own.contains(&record(1, 1));
    let last = own.merge(std::slice::from_ref(&ended));
    let stale = own.merge(std::slice::from_ref(&begun));

    assert_eq!((first.len(), repeated.len()), (1, 0));
    assert!(isolated);
    assert_eq!((last.len(), stale.len()), (1, 0));
    assert!(!own.contains(&record(1, 1)));
}

/// An instance that was replaced while it was isolated got no requests: the record was that of its last start.
#[test]
fn record_of_an_earlier_start_says_nothing_of_a_later_one() {
    let own = IsolatedInstances::new(&record(0, 1));
    let earlier = IsolationRecord {
        id: "front-1".into(),
        incarnation: 1,
        sequence: 3,
        isolated: true,
    };

    let news = own.merge(&[earlier]);

    assert_eq!(news.len(), 1);
    assert!(own.contains(&record(1, 1)));
    assert!(!own.contains(&record(1, 2)));
}

/// Isolated instances passed all they got on to one peer.
#[test]
fn forwarded_requests_are_spread_over_all_instances_that_reach_servers() {
    for instances in [3, 6, 39, 490] {
        let peers: Vec<InstanceRecord> = (0..instances).map(|n| record(n, 1)).collect();
        let requests = instances * 200;
        let mut counts: HashMap<_, usize> = HashMap::new();

        for request in 0..requests {
            let selected = peer::select(peers.clone(), &format!("request-{request}"));
            *counts.entry(selected[0].id.clone()).or_default() += 1;
        }

        let most = counts.values().max().copied().unwrap_or_default();
        assert_eq!(counts.len(), instances);
        assert!(
            most < 300,
            "{instances} instances: {most} requests, 200 on average"
        );
    }
}

/// A look at the records by one thread, while another one took news of a peer, stopped the whole instance: each held what
/// the other waited for.
#[test]
fn concurrent_calls_do_not_deadlock() {
    const CALLS: u64 = 20_000;
    let known = Arc::new(IsolatedInstances::new(&record(1, 1)));
    let calls: [fn(&IsolatedInstances, u64); 4] = [
        |known, _| assert!(!known.contains(&record(3, 1))),
        |known, _| drop(known.all()),
        |known, number| drop(known.set_own(number.is_multiple_of(2))),
        |known, number| {
            drop(known.merge(&[IsolationRecord {
                id: "front-2".into(),
                incarnation: 1,
                sequence: number,
                isolated: true,
            }]));
        },
    ];
    let barrier = Arc::new(Barrier::new(calls.len()));
    let (done, finished) = mpsc::channel();

    for call in calls {
        let (known, barrier, done) = (Arc::clone(&known), Arc::clone(&barrier), done.clone());
        thread::spawn(move || {
            barrier.wait();
            (0..CALLS).for_each(|number| call(&known, number));
            done.send(()).expect("the test waits");
        });
    }

    for _ in calls {
        let ended = finished.recv_timeout(DEADLOCK_TIMEOUT);
        assert_eq!(ended, Ok(()), "the calls wait for each other");
    }
}

//! How many links instances open, and when they suspect each other, in a fleet whose instances may
//! be too busy to respond at once.

use std::net::SocketAddr;

use jackdawtally::fleet::links::{self, DialOutcome, PeerLinks};
use jackdawtally::frame::Frame;
use jackdawtally::membership::{InstanceId, InstanceRecord, InstanceState, Membership};

/// Number of instances; in such a fleet each may have only a few hundredths of a CPU core.
const FLEET_SIZE: usize = 65;

fn address(n: usize) -> SocketAddr {
    let port = u16::try_from(n + 1).expect("a port");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn name(n: usize) -> InstanceId {
    format!("entry-{n}").into()
}

fn instance_record(n: usize, state: InstanceState) -> InstanceRecord {
    InstanceRecord {
        id: name(n),
        incarnation: 1,
        version: 1,
        state,
        callers: address(n),
        operators: address(n),
        peers: address(n),
        data_centre: "north".into(),
        config: 1,
    }
}

fn listed() -> Vec<(InstanceId, SocketAddr)> {
    (0..FLEET_SIZE).map(|n| (name(n), address(n))).collect()
}

/// The number of instances that can be reached from one over the bootstrap links of all, including
/// itself.
fn reached_from(first: usize) -> usize {
    let peers: Vec<Vec<InstanceId>> = (0..FLEET_SIZE)
        .map(|n| {
            let mut others = listed();
            others.remove(n);
            let peers = links::bootstrap_peers(&name(n), others);
            peers.into_iter().map(|(id, _)| id).collect()
        })
        .collect();
    let mut reached = vec![first];
    let mut next = 0;
    while next < reached.len() {
        let current = reached[next];
        for n in 0..FLEET_SIZE {
            let linked = peers[current].contains(&name(n)) || peers[n].contains(&name(current));
            if linked && !reached.contains(&n) {
                reached.push(n);
            }
        }
        next += 1;
    }
    reached.len()
}

#[test]
fn few_bootstrap_links_per_instance_connect_a_fleet_that_starts_all_at_once() {
    for n in 0..FLEET_SIZE {
        assert!(links::bootstrap_peers(&name(n), listed()).len() <= 3);
    }

    assert_eq!(reached_from(0), FLEET_SIZE);
}

#[test]
fn peer_is_suspected_at_the_third_attempt_without_response() {
    let links = PeerLinks::default();
    let outcomes = [
        DialOutcome::NoResponse,
        DialOutcome::NoResponse,
        DialOutcome::NoResponse,
    ];

    let suspected = outcomes.map(|outcome| links.finish_dial(address(1), outcome));

    assert_eq!(suspected, [false, false, true]);
}

#[test]
fn a_connection_resets_the_count_of_attempts_without_response() {
    let links = PeerLinks::default();
    links.finish_dial(address(1), DialOutcome::NoResponse);
    links.finish_dial(address(1), DialOutcome::NoResponse);
    links.finish_dial(address(1), DialOutcome::Connected);

    assert!(!links.finish_dial(address(1), DialOutcome::NoResponse));
}

#[test]
fn peer_that_refuses_connections_is_suspected_at_once() {
    let links = PeerLinks::default();

    assert!(links.finish_dial(address(1), DialOutcome::Refused));
}

#[test]
fn only_one_attempt_per_address_is_in_progress() {
    let links = PeerLinks::default();

    assert!(links.begin_dial(address(1)));
    assert!(!links.begin_dial(address(1)));
    links.finish_dial(address(1), DialOutcome::NoResponse);
    assert!(links.begin_dial(address(1)));
}

/// Many instances become unreachable at once.
#[test]
fn unreachable_instances_are_retried_a_few_at_a_time_and_each_eventually() {
    let membership = Membership::new(instance_record(0, InstanceState::Alive));
    for n in 1..FLEET_SIZE {
        membership.merge(instance_record(n, InstanceState::Dead));
    }
    let mut attempted = std::collections::BTreeSet::new();

    for round in 0..200 {
        let candidates = links::reconnect_candidates(&membership, round);
        assert!(candidates.len() <= 4);
        attempted.extend(candidates.into_iter().map(|(id, _)| id));
    }

    assert_eq!(attempted.len(), FLEET_SIZE - 1);
}

/// A link to an instance of an older build was closed by the first frame that this build can't decode.
#[tokio::test]
async fn peers_of_an_older_build_get_only_frames_that_they_know() {
    let links = PeerLinks::default();
    let register = |n: usize, protocol: u16| {
        let record = instance_record(n, InstanceState::Alive);
        links.register("entry-0", &record, true, protocol)
    };
    let (_, mut old) = register(1, 1).expect("the link is new");
    let (_, mut new) = register(2, 2).expect("the link is new");
    let limits = Frame::RateLimits(Vec::new());

    links.broadcast(&limits, None);
    links.send(&name(1), limits.clone());
    links.broadcast(&Frame::RequestInstances, None);

    assert_eq!(old.recv().await, Some(Frame::RequestInstances));
    assert_eq!(new.recv().await, Some(limits));
}

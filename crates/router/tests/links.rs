//! How many links instances open, and when they take each other for lost, in a fleet whose members are
//! too busy to answer at once.

use std::net::SocketAddr;

use jackdawtally::fleet::links::{self, Dialed, PeerLinks};
use jackdawtally::membership::{InstanceId, InstanceRecord, InstanceState, Membership};

/// Members of the fleet, each with some hundredths of a core.
const SIZE: usize = 65;

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
    (0..SIZE).map(|n| (name(n), address(n))).collect()
}

/// The instances that one hears of when each meets some and all pass on what they know.
fn heard_by(first: usize) -> usize {
    let met: Vec<Vec<InstanceId>> = (0..SIZE)
        .map(|n| {
            let mut others = listed();
            others.remove(n);
            let met = links::bootstrap_peers(&name(n), others);
            met.into_iter().map(|(id, _)| id).collect()
        })
        .collect();
    let mut heard = vec![first];
    let mut next = 0;
    while next < heard.len() {
        let of = heard[next];
        for n in 0..SIZE {
            let linked = met[of].contains(&name(n)) || met[n].contains(&name(of));
            if linked && !heard.contains(&n) {
                heard.push(n);
            }
        }
        next += 1;
    }
    heard.len()
}

#[test]
fn fleet_that_starts_at_once_is_met_by_a_few_links_each() {
    for n in 0..SIZE {
        assert!(links::bootstrap_peers(&name(n), listed()).len() <= 3);
    }

    assert_eq!(heard_by(0), SIZE);
}

#[test]
fn busy_peer_is_not_suspected_before_the_third_silent_try() {
    let links = PeerLinks::default();
    let tries = [Dialed::Silent, Dialed::Silent, Dialed::Silent];

    let suspected = tries.map(|end| links.dialed(address(1), end));

    assert_eq!(suspected, [false, false, true]);
}

#[test]
fn an_answer_ends_the_count_of_silent_tries() {
    let links = PeerLinks::default();
    links.dialed(address(1), Dialed::Silent);
    links.dialed(address(1), Dialed::Silent);
    links.dialed(address(1), Dialed::Answered);

    assert!(!links.dialed(address(1), Dialed::Silent));
}

#[test]
fn peer_that_refuses_connections_is_suspected_at_once() {
    let links = PeerLinks::default();

    assert!(links.dialed(address(1), Dialed::Refused));
}

#[test]
fn one_try_at_a_time_goes_to_an_address() {
    let links = PeerLinks::default();

    assert!(links.dial(address(1)));
    assert!(!links.dial(address(1)));
    links.dialed(address(1), Dialed::Silent);
    assert!(links.dial(address(1)));
}

/// Many instances were lost at once.
#[test]
fn lost_instances_are_tried_a_few_at_a_time_and_all_in_the_end() {
    let membership = Membership::new(instance_record(0, InstanceState::Alive));
    for n in 1..SIZE {
        membership.merge(instance_record(n, InstanceState::Dead));
    }
    let mut tried = std::collections::BTreeSet::new();

    for turn in 0..200 {
        let lost = links::lost(&membership, turn);
        assert!(lost.len() <= 4);
        tried.extend(lost.into_iter().map(|(id, _)| id));
    }

    assert_eq!(tried.len(), SIZE - 1);
}

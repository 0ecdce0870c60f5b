//! What instances come to know of each other.

mod common;

use std::time::Duration;

use common::instance_record;
use jackdawtally::fleet;
use jackdawtally::membership::{InstanceRecord, InstanceState, Membership};

fn fleet_of(count: usize, centres: usize) -> Vec<InstanceRecord> {
    (0..count)
        .map(|i| instance_record(&format!("i{i:03}"), &format!("dc{}", i % centres)))
        .collect()
}

fn knowing(own: &InstanceRecord, all: &[InstanceRecord]) -> Membership {
    let membership = Membership::new(own.clone());
    for facts in all.iter().filter(|f| f.id != own.id) {
        membership.merge(facts.clone());
    }
    membership
}

#[tokio::test(start_paused = true)]
async fn an_accused_instance_refutes_with_a_higher_version() {
    let (a, b) = (
        Membership::new(instance_record("a", "n")),
        Membership::new(instance_record("b", "n")),
    );
    a.merge(b.own());
    a.accuse("b", InstanceState::Dead);
    let accusation = a.all().into_iter().find(|f| f.id == "b").expect("known");

    b.merge(accusation);
    a.merge(b.own());

    assert!(a.alive().iter().any(|f| f.id == "b"));
}

#[tokio::test(start_paused = true)]
async fn old_facts_don_t_bring_a_dead_instance_back() {
    let membership = Membership::new(instance_record("a", "n"));
    let b = instance_record("b", "n");
    membership.merge(b.clone());
    membership.accuse("b", InstanceState::Dead);

    let news = membership.merge(b);

    assert!(!news);
    assert_eq!(membership.alive().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_restarted_instance_replaces_the_dead_one() {
    let membership = Membership::new(instance_record("a", "n"));
    membership.merge(instance_record("b", "n"));
    membership.accuse("b", InstanceState::Dead);
    let mut restarted = instance_record("b", "n");
    restarted.incarnation += 1;

    membership.merge(restarted);

    assert_eq!(membership.alive().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn suspicion_takes_its_time() {
    let membership = Membership::new(instance_record("a", "n"));
    membership.merge(instance_record("b", "n"));
    membership.accuse("b", InstanceState::Suspect);

    let early = membership.suspected(Duration::from_secs(3));
    tokio::time::advance(Duration::from_secs(3)).await;
    let late = membership.suspected(Duration::from_secs(3));

    assert!(early.is_empty());
    assert_eq!(late, ["b"]);
}

#[test]
fn instances_started_in_the_same_millisecond_hold_different_claims() {
    let (a, b) = (instance_record("a", "n"), instance_record("b", "n"));
    let membership = Membership::new(a.clone());

    assert_ne!(a.holder(), b.holder());
    assert!(membership.is_holder_running(a.holder()));
    assert!(!membership.is_holder_running(b.holder()));
}

#[test]
fn a_small_fleet_is_linked_completely() {
    let all = fleet_of(9, 3);

    let wanted = fleet::desired_links(&knowing(&all[0], &all));

    assert_eq!(wanted.len(), 8);
}

#[test]
fn a_large_fleet_has_few_links_and_hangs_together() {
    let all = fleet_of(490, 6);
    let wanted: Vec<Vec<usize>> = all
        .iter()
        .map(|own| {
            let ids = fleet::desired_links(&knowing(own, &all))
                .into_iter()
                .map(|(id, _)| id);
            ids.map(|id| all.iter().position(|f| f.id == id).expect("known"))
                .collect()
        })
        .collect();
    let mut reached = vec![false; all.len()];
    let mut open = vec![0];

    while let Some(place) = open.pop() {
        if !std::mem::replace(&mut reached[place], true) {
            open.extend(&wanted[place]);
        }
    }

    assert!(wanted.iter().all(|w| w.len() <= 9), "too many links");
    assert!(reached.iter().all(|r| *r), "the fleet falls apart");
}

#[test]
fn the_same_few_instances_watch_for_all() {
    let all = fleet_of(64, 6);

    let watchers = all
        .iter()
        .filter(|own| fleet::is_watcher(&knowing(own, &all), 2))
        .count();

    assert_eq!(watchers, 2);
}

#[test]
fn the_digest_follows_every_change_and_is_equal_where_the_same_is_known() {
    let all = fleet_of(4, 2);
    let (a, b) = (knowing(&all[0], &all), knowing(&all[1], &all));
    let before = a.digest();

    a.update(|own| own.config = 5);
    let changed = a.digest();
    let differs = b.digest();
    b.merge(a.own());

    assert_ne!(before, changed);
    assert_eq!(before, differs);
    assert_eq!(b.digest(), changed);
}

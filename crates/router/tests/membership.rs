//! Membership: merging of instance records, suspicion, choice of peer links and watchers, and
//! digests.

mod common;

use std::time::Duration;

use common::instance_record;
use jackdawtally::fleet;
use jackdawtally::membership::{InstanceRecord, InstanceState, Membership};

fn fleet_records(count: usize, data_centres: usize) -> Vec<InstanceRecord> {
    (0..count)
        .map(|i| instance_record(&format!("i{i:03}"), &format!("dc{}", i % data_centres)))
        .collect()
}

fn membership_with(own: &InstanceRecord, all: &[InstanceRecord]) -> Membership {
    let membership = Membership::new(own.clone());
    for record in all.iter().filter(|r| r.id != own.id) {
        membership.merge(record.clone());
    }
    membership
}

#[tokio::test(start_paused = true)]
async fn an_instance_marked_as_dead_refutes_it_with_a_higher_version() {
    let (a, b) = (
        Membership::new(instance_record("a", "n")),
        Membership::new(instance_record("b", "n")),
    );
    a.merge(b.own());
    a.mark_unreachable("b", InstanceState::Dead);
    let marked = a.all().into_iter().find(|r| r.id == "b").expect("known");

    b.merge(marked);
    a.merge(b.own());

    assert!(a.alive().iter().any(|r| r.id == "b"));
}

#[tokio::test(start_paused = true)]
async fn an_outdated_record_doesn_t_revive_a_dead_instance() {
    let membership = Membership::new(instance_record("a", "n"));
    let b = instance_record("b", "n");
    membership.merge(b.clone());
    membership.mark_unreachable("b", InstanceState::Dead);

    let accepted = membership.merge(b);

    assert!(!accepted);
    assert_eq!(membership.alive().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_restarted_instance_replaces_its_dead_record() {
    let membership = Membership::new(instance_record("a", "n"));
    membership.merge(instance_record("b", "n"));
    membership.mark_unreachable("b", InstanceState::Dead);
    let mut restarted = instance_record("b", "n");
    restarted.incarnation += 1;

    membership.merge(restarted);

    assert_eq!(membership.alive().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_suspect_instance_is_reported_only_after_the_given_duration() {
    let membership = Membership::new(instance_record("a", "n"));
    membership.merge(instance_record("b", "n"));
    membership.mark_unreachable("b", InstanceState::Suspect);

    let early = membership.suspected_for(Duration::from_secs(3));
    tokio::time::advance(Duration::from_secs(3)).await;
    let late = membership.suspected_for(Duration::from_secs(3));

    assert!(early.is_empty());
    assert_eq!(late, ["b"]);
}

#[test]
fn instances_started_in_the_same_millisecond_have_different_holder_numbers() {
    let (a, b) = (instance_record("a", "n"), instance_record("b", "n"));
    let membership = Membership::new(a.clone());

    assert_ne!(a.holder(), b.holder());
    assert!(membership.is_holder_running(a.holder()));
    assert!(!membership.is_holder_running(b.holder()));
}

#[test]
fn a_small_fleet_forms_a_full_mesh() {
    let all = fleet_records(9, 3);

    let links = fleet::desired_links(&membership_with(&all[0], &all));

    assert_eq!(links.len(), 8);
}

#[test]
fn a_large_fleet_has_few_links_and_stays_connected() {
    let all = fleet_records(490, 6);
    let links: Vec<Vec<usize>> = all
        .iter()
        .map(|own| {
            let ids = fleet::desired_links(&membership_with(own, &all))
                .into_iter()
                .map(|(id, _)| id);
            ids.map(|id| all.iter().position(|r| r.id == id).expect("known"))
                .collect()
        })
        .collect();
    let mut reached = vec![false; all.len()];
    let mut pending = vec![0];

    while let Some(index) = pending.pop() {
        if !std::mem::replace(&mut reached[index], true) {
            pending.extend(&links[index]);
        }
    }

    assert!(
        links.iter().all(|l| l.len() <= 9),
        "an instance has more than 9 links"
    );
    assert!(
        reached.iter().all(|r| *r),
        "some instances are unreachable over the links"
    );
}

#[test]
fn all_instances_agree_on_the_watchers() {
    let all = fleet_records(64, 6);

    let watchers = all
        .iter()
        .filter(|own| fleet::is_watcher(&membership_with(own, &all), 2))
        .count();

    assert_eq!(watchers, 2);
}

#[test]
fn the_digest_changes_with_a_record_and_is_equal_for_equal_records() {
    let all = fleet_records(4, 2);
    let (a, b) = (
        membership_with(&all[0], &all),
        membership_with(&all[1], &all),
    );
    let before = a.digest();

    a.update(|own| own.config = 5);
    let changed = a.digest();
    let unmerged = b.digest();
    b.merge(a.own());

    assert_ne!(before, changed);
    assert_eq!(before, unmerged);
    assert_eq!(b.digest(), changed);
}

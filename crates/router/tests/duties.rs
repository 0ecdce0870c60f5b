//! Duties of a fleet whose holder is killed, paused or cut off, and whose store or platform is away.

mod common;
mod duty_fleet;

use std::sync::Arc;
use std::time::Duration;

use duty_fleet::{Arrival, Fate, Fleet, LEASE};
use jackdawtally::fleet::duties::{Duty, WindowId};
use jackdawtally::membership::InstanceState;
use tokio::time;

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Requests in a full window of an instance.
const FULL: u64 = 50;
/// Time until a holder has been found and has reported windows.
const SETTLED: Duration = Duration::from_secs(22);

async fn settled() -> Fleet {
    let fleet = Fleet::start(&NAMES);
    fleet.serve(SETTLED).await;
    assert!(
        !fleet.platform.arrivals().is_empty(),
        "nothing was reported"
    );
    fleet
}

fn windows(arrivals: &[Arrival]) -> Vec<WindowId> {
    let mut windows: Vec<WindowId> = arrivals.iter().map(|a| a.report.window).collect();
    windows.dedup();
    windows
}

fn assert_consecutive(arrivals: &[Arrival]) {
    let windows = windows(arrivals);
    let gaps = windows.windows(2).filter(|w| w[1] != w[0] + 1).count();
    assert_eq!(gaps, 0, "{windows:?}");
}

#[tokio::test(start_paused = true)]
async fn in_calm_each_window_is_reported_whole_once_and_in_time() {
    let fleet = settled().await;
    let calls = fleet.store.calls();
    let before = fleet.platform.arrivals().len();

    fleet.serve(Duration::from_mins(1)).await;

    let arrivals = fleet.platform.arrivals();
    let calls = fleet.store.calls() - calls;
    fleet.check();
    assert_consecutive(&arrivals);
    assert_eq!(arrivals.len() - before, 12);
    assert!(arrivals[before..].iter().all(|a| a.total() == FULL * 3));
    assert!(calls <= 60, "{calls} calls to the store in 60 s");
}

#[tokio::test(start_paused = true)]
async fn a_killed_holder_is_followed_by_another_before_reports_are_late() {
    let mut fleet = settled().await;
    let killed = fleet.holder();

    fleet.kill(&killed);
    fleet.serve(Duration::from_secs(30)).await;

    fleet.check();
    assert_consecutive(&fleet.platform.arrivals());
    assert_ne!(fleet.holder(), killed);
    let last = fleet.platform.arrivals().pop().expect("there are reports");
    assert_eq!(last.total(), FULL * 2);
}

#[tokio::test(start_paused = true)]
async fn an_instance_killed_in_mid_window_loses_about_a_second() {
    let mut fleet = settled().await;
    let holder = fleet.holder();
    let other = NAMES.into_iter().find(|n| **n != *holder);
    let other = other.expect("there are others");
    // Two seconds into a window, to four.
    fleet.serve(Duration::from_secs(2)).await;

    fleet.kill(other);
    fleet.serve(Duration::from_secs(6)).await;

    let last = fleet.platform.arrivals().pop().expect("there are reports");
    assert!(last.total() >= FULL * 2 + FULL * 4 / 5 - 12, "{last:?}");
}

/// Counts are fixed in the store, the call doesn't arrive, and the holder dies: what it fixed is what is sent.
#[tokio::test(start_paused = true)]
async fn counts_fixed_by_a_killed_holder_are_sent_as_they_are() {
    let mut fleet = settled().await;
    let killed = fleet.holder();
    fleet.platform.set_fate_of(&killed, Fate::ResponseLost);
    let before = fleet.platform.arrivals().len();
    while fleet.platform.arrivals().len() == before {
        fleet.serve(Duration::from_millis(100)).await;
    }
    let lost = fleet.platform.arrivals().pop().expect("there are reports");

    fleet.kill(&killed);
    fleet.serve(Duration::from_secs(30)).await;

    fleet.check();
    let arrivals = fleet.platform.arrivals();
    let again = arrivals.iter().find(|a| a.holder != killed);
    assert_eq!(again.map(|a| &a.report), Some(&lost.report));
}

#[tokio::test(start_paused = true)]
async fn a_holder_paused_beyond_its_permission_does_not_act_when_it_goes_on() {
    let fleet = settled().await;
    let paused = fleet.holder();
    fleet.pause(&paused, true);
    fleet.serve(LEASE * 4).await;
    let next = fleet.holders();

    fleet.pause(&paused, false);
    fleet.serve(Duration::from_secs(20)).await;

    fleet.check();
    assert!(!next.contains(&paused));
    assert_ne!(fleet.holder(), paused);
    assert_consecutive(&fleet.platform.arrivals());
}

#[tokio::test(start_paused = true)]
async fn a_holder_cut_from_the_store_only_stops_and_is_followed() {
    let fleet = settled().await;
    let cut = fleet.holder();

    fleet.store.set_fate_of(&cut, Fate::Lost);
    fleet.serve(Duration::from_secs(30)).await;

    fleet.check();
    assert_ne!(fleet.holder(), cut);
    assert_consecutive(&fleet.platform.arrivals());
}

#[tokio::test(start_paused = true)]
async fn windows_owed_while_the_platform_refuses_are_sent_in_order() {
    let fleet = settled().await;
    let holder = fleet.holder();
    let before = fleet.platform.arrivals().len();
    fleet.platform.set_fate_of(&holder, Fate::Busy);
    fleet.serve(Duration::from_secs(8)).await;
    let during = fleet.platform.arrivals().len();

    fleet.platform.set_fate_of(&holder, Fate::Served);
    fleet.serve(Duration::from_secs(10)).await;

    fleet.check();
    assert_eq!(during, before);
    assert_consecutive(&fleet.platform.arrivals());
}

#[tokio::test(start_paused = true)]
async fn nobody_acts_beyond_the_lease_while_the_store_is_down() {
    let fleet = settled().await;
    fleet.store.set_fate(Fate::Lost);
    fleet.serve(LEASE).await;
    let holders = fleet.holders();
    let before = fleet.platform.arrivals().len();
    fleet.serve(LEASE).await;
    let during = fleet.platform.arrivals().len();

    fleet.store.set_fate(Fate::Served);
    fleet.serve(Duration::from_secs(20)).await;

    fleet.check();
    assert!(holders.is_empty(), "{holders:?}");
    assert_eq!(during, before);
    assert_consecutive(&fleet.platform.arrivals());
}

#[tokio::test(start_paused = true)]
async fn lost_responses_of_the_store_make_no_second_holder() {
    let fleet = settled().await;
    for _ in 0..5 {
        fleet.store.set_fate(Fate::ResponseLost);
        fleet.serve(Duration::from_millis(1_700)).await;
        fleet.store.set_fate(Fate::Served);
        fleet.serve(Duration::from_millis(2_300)).await;
        assert!(fleet.holders().len() <= 1);
    }
    fleet.serve(Duration::from_secs(20)).await;

    fleet.check();
    assert_consecutive(&fleet.platform.arrivals());
}

/// The copy doesn't know of reports that were made since; the next token is higher than all before.
#[tokio::test(start_paused = true)]
async fn a_store_restored_from_an_older_copy_changes_no_reported_window() {
    let mut fleet = settled().await;
    let copy = fleet.store.objects();
    fleet.serve(Duration::from_secs(12)).await;
    let before = fleet.platform.arrivals().pop().expect("there are reports");

    fleet.store.restore(copy);
    let holder = fleet.holder();
    fleet.kill(&holder);
    fleet.serve(Duration::from_secs(40)).await;

    fleet.check();
    let after = fleet.platform.arrivals().pop().expect("there are reports");
    assert!(after.token > before.token && after.report.window > before.report.window);
}

/// A holder whose clock is a minute ahead would have reported windows that hadn't begun.
#[tokio::test(start_paused = true)]
async fn windows_close_by_the_clocks_of_most_instances() {
    let mut fleet = Fleet::start(&NAMES);
    fleet.serve(SETTLED).await;
    let wrong = fleet.holder();
    drop(fleet);
    fleet = Fleet::start_with(&NAMES, &[&wrong]);

    fleet.serve(SETTLED).await;

    let now = duty_fleet::wall_ms() / 5_000;
    let arrivals = fleet.platform.arrivals();
    assert_eq!(fleet.holder(), wrong);
    assert!(!arrivals.is_empty());
    assert!(arrivals.iter().all(|a| a.report.window < now), "{now}");
}

#[tokio::test(start_paused = true)]
async fn a_fleet_killed_at_once_reports_again_with_a_higher_token() {
    let mut fleet = settled().await;
    let before = fleet.platform.arrivals().pop().expect("there are reports");
    fleet.instances.clear();
    time::sleep(Duration::from_secs(2)).await;

    for name in NAMES {
        fleet.join(name);
    }
    fleet.serve(Duration::from_secs(30)).await;

    fleet.check();
    let after = fleet.platform.arrivals().pop().expect("there are reports");
    assert!(after.token > before.token);
    assert_eq!(after.total(), FULL * 3);
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_hands_the_duty_over_within_a_second_or_two() {
    let fleet = settled().await;
    let leaving = fleet.holder();
    let node = Arc::clone(fleet.node(&leaving));
    node.membership
        .update(|own| own.state = InstanceState::Leaving);
    for instance in fleet.instances.values() {
        instance.node.membership.merge(node.membership.own());
    }

    fleet.serve(Duration::from_secs(2)).await;

    assert_ne!(fleet.holder(), leaving);
    fleet.serve(Duration::from_secs(20)).await;
    fleet.check();
    assert_consecutive(&fleet.platform.arrivals());
}

/// Two calls a second were to be enough for all duties, at any number of instances.
#[tokio::test(start_paused = true)]
async fn calls_to_the_store_do_not_grow_with_the_fleet() {
    let names: Vec<String> = (0..24).map(|n| format!("i{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let fleet = Fleet::start(&names);
    fleet.serve(SETTLED).await;
    let before = fleet.store.calls();

    fleet.serve(Duration::from_mins(1)).await;

    let calls = fleet.store.calls() - before;
    assert!(calls <= 60, "{calls} calls in 60 s");
    assert_consecutive(&fleet.platform.arrivals());
}

/// Earlier deployments are served as before.
#[tokio::test]
async fn without_duties_nothing_is_counted() {
    let node = common::node();

    assert!(node.duties.is_none());
    assert_eq!(Duty::UsageReports.as_str(), "usage-reports");
}

//! How many servers are ordered under loads and losses, with a simulated platform that starts and takes back servers.

#[path = "common/property.rs"]
mod property;

use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::TAU;
use std::time::Duration;

use jackdawtally::scaling::{
    Bounds, Group, Observation, Order, Outcome, Planner, Present, Reason, Waiting,
};
use tokio::time::Instant;

const BOOT_S: usize = 4;
const DATA_CENTRES: [(&str, f64); 4] = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
/// Servers of each data centre at the start.
const INITIAL: u32 = 10;

fn bounds(min: u32, max: u32, spot_price: Option<f64>) -> Bounds {
    let prices = DATA_CENTRES.map(|(name, price)| (name.into(), price));
    Bounds {
        min,
        max,
        boot: Duration::from_secs(BOOT_S as u64),
        prices: BTreeMap::from(prices),
        spot_price,
    }
}

fn group(data_centre: &str, spot: bool) -> Group {
    let data_centre = data_centre.into();
    Group { data_centre, spot }
}

/// A pool whose platform carries out all orders, except for servers that aren't to be had.
struct Simulation {
    planner: Planner,
    start: Instant,
    second: usize,
    present: BTreeMap<Group, Present>,
    /// Numbers that the platform was asked for, and when each takes effect.
    starting: Vec<(usize, Group, u32)>,
    standing: BTreeMap<Group, u32>,
    unavailable: BTreeSet<Group>,
    outcome: Outcome,
    waiting: Waiting,
    orders: Vec<(usize, Order, Reason)>,
}

impl Simulation {
    fn new(bounds: Bounds) -> Self {
        let start = Instant::now();
        let present = DATA_CENTRES.map(|(name, _)| {
            let ready = Present {
                ready: INITIAL,
                leaving: 0,
            };
            (group(name, false), ready)
        });
        Self {
            planner: Planner::new("p".into(), bounds, start),
            start,
            second: 0,
            present: BTreeMap::from(present),
            starting: Vec::new(),
            standing: DATA_CENTRES
                .map(|(name, _)| (group(name, false), INITIAL))
                .into(),
            unavailable: BTreeSet::new(),
            outcome: Outcome::Taken,
            waiting: Waiting::default(),
            orders: Vec::new(),
        }
    }

    /// Passes `seconds` with a demand that keeps so many servers busy.
    fn run(&mut self, seconds: usize, busy: impl Fn(usize) -> Option<f64>) {
        for _ in 0..seconds {
            self.step(busy(self.second));
        }
    }

    fn step(&mut self, busy: Option<f64>) {
        self.second += 1;
        let now = self.start + Duration::from_secs(self.second as u64);
        let (done, starting) = std::mem::take(&mut self.starting)
            .into_iter()
            .partition(|(at, ..)| *at <= self.second);
        self.starting = starting;
        for (_, group, count) in done {
            self.present.entry(group).or_default().ready = count;
        }
        let seen = Observation {
            busy,
            waiting: self.waiting,
            present: self.present.clone(),
            instances: DATA_CENTRES.map(|(name, _)| (name.into(), 18)).into(),
        };
        for (order, reason) in self.planner.orders(&seen, now) {
            let group = group(&order.data_centre, order.spot);
            let outcome = match self.outcome {
                Outcome::Taken if self.unavailable.contains(&group) => Outcome::NoneAvailable,
                outcome => outcome,
            };
            if outcome == Outcome::Taken {
                self.carry_out(group, order.count);
            }
            self.planner.record(&order, outcome, now);
            self.orders.push((self.second, order, reason));
        }
    }

    fn carry_out(&mut self, group: Group, count: u32) {
        self.starting.retain(|(_, other, _)| *other != group);
        let present = self.present.entry(group.clone()).or_default();
        if count < present.ready {
            present.ready = count;
        } else {
            let at = self.second + BOOT_S;
            self.starting.push((at, group.clone(), count));
        }
        self.standing.insert(group, count);
    }

    /// The platform takes back the spot servers of a data centre, and has none for a while.
    fn reclaim(&mut self, data_centre: &str) -> u32 {
        let group = group(data_centre, true);
        let present = self.present.entry(group.clone()).or_default();
        present.leaving = std::mem::take(&mut present.ready);
        let lost = present.leaving;
        self.unavailable.insert(group);
        lost
    }

    fn ready(&self) -> u32 {
        self.present.values().map(|p| p.ready).sum()
    }

    fn spot(&self, data_centre: &str) -> u32 {
        let present = self.present.get(&group(data_centre, true));
        present.map_or(0, |p| p.ready)
    }

    fn orders_since(&self, second: usize) -> Vec<&(usize, Order, Reason)> {
        self.orders.iter().filter(|(at, ..)| *at > second).collect()
    }
}

fn settled(spot_price: Option<f64>) -> Simulation {
    let mut simulation = Simulation::new(bounds(1, 46, spot_price));
    simulation.run(60, |_| Some(20.0));
    simulation
}

#[test]
fn jump_that_stays_is_followed_within_a_boot_and_a_half() {
    let mut simulation = settled(None);

    simulation.run(BOOT_S * 3 / 2 + 1, |_| Some(40.0));

    assert!(simulation.ready() >= 66, "{}", simulation.ready());
}

#[test]
fn burst_shorter_than_a_fraction_of_a_boot_changes_nothing() {
    let mut simulation = settled(None);

    simulation.run(2, |_| Some(40.0));
    simulation.run(60, |_| Some(20.0));

    assert!(simulation.orders_since(60).is_empty());
}

#[test]
fn wave_changes_nothing_once_its_crest_is_known() {
    let wave = |second: usize| {
        let phase = f64::from(u32::try_from(second).expect("the test is short")) / 11.0;
        Some(20.0 + 5.4 * (phase * TAU).sin())
    };
    let mut simulation = settled(None);
    simulation.run(30, wave);

    simulation.run(120, wave);

    assert!(simulation.orders_since(90).is_empty());
}

#[test]
fn steady_demand_is_served_by_as_many_servers_as_it_needs_partly_spot() {
    let simulation = settled(Some(0.18));

    assert!((34..=40).contains(&simulation.ready()));
    let spot: u32 = DATA_CENTRES.iter().map(|(n, _)| simulation.spot(n)).sum();
    assert!((12..=20).contains(&spot), "{spot}");
    assert!(simulation.orders_since(45).is_empty());
}

#[test]
fn loss_of_the_spot_servers_of_a_data_centre_is_borne_and_made_up_for() {
    let mut simulation = settled(Some(0.18));
    let before = simulation.ready();

    let lost = simulation.reclaim("b");
    let left = f64::from(simulation.ready());
    simulation.run(BOOT_S + 1, |_| Some(20.0));

    assert!(lost > 0);
    assert!(20.0 / left <= 0.8, "{left}");
    assert!(simulation.ready() >= before);
    let fewer = |reason: Reason| reason == Reason::Decline;
    let orders = simulation.orders_since(60);
    assert!(!orders.iter().any(|(_, _, reason)| fewer(*reason)));
}

#[test]
fn spot_servers_come_back_once_they_are_to_be_had_again() {
    let mut simulation = settled(Some(0.18));
    let lost = simulation.reclaim("b");
    simulation.run(9, |_| Some(20.0));

    simulation.present.remove(&group("b", true));
    simulation.unavailable.clear();
    simulation.run(40, |_| Some(20.0));

    assert_eq!(simulation.spot("b"), lost);
}

/// Servers that aren't to be had were asked for again and again, and nobody took their part.
#[test]
fn servers_that_are_not_to_be_had_are_ordered_elsewhere_and_seldom_asked_for() {
    let mut simulation = settled(None);
    simulation.unavailable.insert(group("b", false));

    simulation.run(30, |_| Some(40.0));

    assert!(simulation.ready() >= 66, "{}", simulation.ready());
    let asked = simulation.orders_since(60).into_iter();
    let asked = asked.filter(|(_, order, _)| order.data_centre == "b");
    assert!(asked.count() <= 3);
}

#[test]
fn servers_that_crash_and_come_back_change_nothing() {
    let mut simulation = settled(None);
    let before = simulation.present.clone();
    for present in simulation.present.values_mut() {
        present.ready = present.ready * 3 / 4;
    }

    simulation.run(4, |_| Some(20.0));
    simulation.present = before;
    simulation.run(60, |_| Some(20.0));

    assert!(simulation.orders_since(60).is_empty());
}

#[test]
fn servers_that_stay_away_are_ordered_again() {
    let mut simulation = settled(None);
    let before = simulation.ready();
    simulation
        .present
        .entry(group("b", false))
        .or_default()
        .ready = 0;

    simulation.run(20, |_| Some(20.0));

    assert!(simulation.ready() >= before);
}

#[test]
fn instance_that_knows_no_demand_orders_nothing() {
    let mut simulation = Simulation::new(bounds(1, 46, Some(0.18)));

    simulation.run(60, |_| None);

    assert!(simulation.orders.is_empty());
}

/// A new holder that takes over in a quiet moment doesn't know the demand of the moment before.
#[test]
fn new_holder_does_not_begin_with_fewer_servers() {
    let mut simulation = Simulation::new(bounds(1, 46, None));

    simulation.run(9, |_| Some(1.0));

    assert!(simulation.orders.is_empty());
}

/// In the first seconds of the traffic the demand is still rising to its level.
#[test]
fn no_server_is_given_up_before_the_demand_has_long_been_known() {
    let mut simulation = Simulation::new(bounds(1, 46, Some(0.18)));
    simulation.run(12, |_| None);

    simulation.run(9, |_| Some(1.0));

    assert!(simulation.orders.is_empty(), "{:?}", simulation.orders);
}

/// Regular servers were given up in the same moment in which spot servers were ordered in their place.
#[test]
fn regular_servers_stay_until_the_spot_servers_in_their_place_take_requests() {
    let mut simulation = Simulation::new(bounds(1, 46, Some(0.18)));
    let mut least = simulation.ready();

    for _ in 0..60 {
        simulation.step(Some(20.0));
        least = least.min(simulation.ready());
    }

    assert!(least >= 34, "{least}");
}

#[test]
fn no_server_is_given_up_while_requests_wait() {
    let mut simulation = Simulation::new(bounds(1, 46, None));
    simulation.waiting.rejected = true;

    simulation.run(60, |_| Some(1.0));

    assert!(simulation.ready() >= 40);
}

/// In overload only what is sent counts as demand, so the figure doesn't grow beyond the servers there.
#[test]
fn servers_are_added_while_requests_wait_although_the_demand_seems_borne() {
    let mut simulation = settled(None);
    let before = simulation.ready();
    simulation.waiting.held = true;

    simulation.run(BOOT_S * 2, |_| Some(20.0));

    assert!(simulation.ready() >= before * 5 / 4);
}

#[test]
fn order_without_response_is_repeated_only_while_it_is_wanted() {
    let mut simulation = settled(None);
    simulation.outcome = Outcome::Unknown;
    simulation.run(5, |_| Some(40.0));
    let unanswered = simulation.orders_since(60).len();
    simulation.outcome = Outcome::Taken;
    simulation.run(1, |_| Some(40.0));
    let repeated = simulation.second;

    simulation.run(8, |_| Some(40.0));

    assert!(unanswered > 0);
    assert!(simulation.orders_since(repeated).is_empty());
}

#[test]
fn bounds_of_each_data_centre_are_kept_under_any_load_and_loss() {
    fn property(loads: Vec<(u16, u8)>, min: u8, span: u8) -> bool {
        let min = u32::from(min % 10);
        let max = min.max(INITIAL) + u32::from(span % 20);
        let mut simulation = Simulation::new(bounds(min, max, Some(0.2)));
        for (busy, event) in loads {
            simulation.unavailable.clear();
            simulation.outcome = Outcome::Taken;
            simulation.waiting.rejected = event % 5 == 0;
            match event % 7 {
                1 => drop(simulation.reclaim("a")),
                2 => drop(simulation.unavailable.insert(group("b", false))),
                3 => simulation.outcome = Outcome::Refused,
                _ => simulation.present.values_mut().for_each(|p| p.leaving = 0),
            }
            simulation.run(usize::from(event % 8) + 1, |_| Some(f64::from(busy % 200)));
            let within = DATA_CENTRES.iter().all(|(name, _)| {
                let ordered = [false, true].map(|spot| simulation.standing.get(&group(name, spot)));
                let sum: u32 = ordered.into_iter().flatten().sum();
                (min..=max).contains(&sum)
            });
            if !within {
                return false;
            }
        }
        true
    }
    property::check(property as fn(Vec<(u16, u8)>, u8, u8) -> bool);
}

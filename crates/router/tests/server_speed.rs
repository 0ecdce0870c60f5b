//! Relative speed of servers that share their machines with other work, as a fleet observes it.

use std::time::Duration;

use jackdawtally::object::BackendServer;
use jackdawtally::rendezvous;
use jackdawtally::server::{LoadReport, Server};
use jackdawtally::server_speed::ServerSpeeds;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const SERVERS: usize = 60;
/// Time for which other work on a machine slows its server down, or doesn't.
const NOISE_MS: u64 = 600;
/// Peers that an instance of a large fleet is linked with.
const LINKS: usize = 6;

fn names() -> Vec<String> {
    (0..SERVERS).map(|n| format!("engine-{n}")).collect()
}

/// A fleet of which each instance meets each server once in ten seconds.
struct Fleet {
    instances: Vec<ServerSpeeds>,
    names: Vec<String>,
    rng: SmallRng,
    began: Instant,
    elapsed_ms: u64,
}

impl Fleet {
    fn new(instances: usize, seed: u64) -> Self {
        Self {
            instances: vec![ServerSpeeds::default(); instances],
            names: names(),
            rng: SmallRng::seed_from_u64(seed),
            began: Instant::now(),
            elapsed_ms: 0,
        }
    }

    /// Lets the instances serve requests for `ms`; a server states `work_percent` of its index and the time.
    fn run(&mut self, ms: u64, work_percent: impl Fn(usize, u64) -> u32) {
        for _ in 0..ms / 100 {
            self.elapsed_ms += 100;
            for index in 0..self.instances.len() {
                if self.rng.random_bool(0.6) {
                    self.serve(index, &work_percent);
                }
                if self.elapsed_ms.is_multiple_of(500) {
                    self.gossip(index);
                }
            }
        }
        let now = self.began + Duration::from_millis(self.elapsed_ms);
        for speeds in &mut self.instances {
            speeds.update(self.names.iter().map(String::as_str), now);
        }
    }

    fn serve(&mut self, index: usize, work_percent: &impl Fn(usize, u64) -> u32) {
        let server = self.rng.random_range(0..SERVERS);
        let percent = work_percent(server, self.elapsed_ms);
        self.instances[index].record(&self.names[server], percent);
    }

    fn gossip(&mut self, index: usize) {
        for _ in 0..LINKS {
            let peer = self.rng.random_range(0..self.instances.len());
            let start = self.rng.random_range(0..SERVERS);
            let summaries = self.instances[index].summaries(start);
            self.instances[peer].merge(&summaries);
        }
    }

    /// Fraction of all instances' views of `servers` in which the slowness is `expected`.
    fn agreement(&self, servers: impl Fn(usize) -> bool, expected: f64) -> f64 {
        let of = |n: usize| self.instances.iter().map(move |s| (n, s));
        let views = (0..SERVERS).filter(|n| servers(*n)).flat_map(of);
        let views: Vec<bool> = views
            .map(|(n, s)| (s.slowness(&self.names[n]) - expected).abs() < f64::EPSILON)
            .collect();
        let right = views.iter().filter(|right| **right).count();
        f64::from(u32::try_from(right).expect("a small number"))
            / f64::from(u32::try_from(views.len()).expect("a small number"))
    }
}

/// Three machines in twenty are slow at a time, others after each `NOISE_MS`.
fn noisy(percent: u32, server: usize, at_ms: u64) -> u32 {
    let key = at_ms / NOISE_MS;
    let drawn = rendezvous::weight(key, &format!("engine-{server}")) % 100;
    if drawn < 15 { percent * 5 / 2 } else { percent }
}

#[test]
fn one_server_in_four_at_twice_the_speed_of_the_others_is_found_by_all_instances() {
    let mut fleet = Fleet::new(87, 1);

    fleet.run(4_000, |server, at| {
        let percent = if server % 4 == 0 { 55 } else { 120 };
        noisy(percent, server, at)
    });

    let fast = fleet.agreement(|n| n % 4 == 0, 0.5);
    let usual = fleet.agreement(|n| n % 4 != 0, 1.0);
    assert!(fast > 0.9 && usual > 0.9, "{fast} {usual}");
}

#[test]
fn noise_that_changes_many_times_a_second_makes_no_server_slow() {
    let mut fleet = Fleet::new(87, 2);

    fleet.run(20_000, |server, at| noisy(100, server, at));

    let usual = fleet.agreement(|_| true, 1.0);
    assert!(usual > 0.98, "{usual}");
}

/// Records `reports` of each server at one instance.
fn record_all(speeds: &mut ServerSpeeds, now: Instant, reports: u32, percent: u32) {
    for _ in 0..reports {
        for name in names() {
            let stated = if name == "engine-7" { percent } else { 100 };
            speeds.record(&name, stated);
        }
    }
    speeds.update(names().iter().map(String::as_str), now);
}

#[test]
fn server_that_is_slow_for_a_moment_is_found_and_not_left_for_good() {
    let mut speeds = ServerSpeeds::default();
    let now = Instant::now();
    record_all(&mut speeds, now, 20, 100);

    record_all(&mut speeds, now, 6, 500);
    let during = speeds.slowness("engine-7");
    record_all(&mut speeds, now, 6, 100);

    let after = speeds.slowness("engine-7");
    assert!(during >= 2.0 && after <= 1.0, "{during} {after}");
}

#[test]
fn one_bad_report_moves_little() {
    let mut speeds = ServerSpeeds::default();
    let now = Instant::now();
    record_all(&mut speeds, now, 20, 100);

    record_all(&mut speeds, now, 1, 1_000);

    assert!((speeds.slowness("engine-7") - 1.0).abs() < f64::EPSILON);
}

#[test]
fn wrong_work_time_means_as_usual() {
    let now = Instant::now();
    for (percent, expected) in [
        (None, 1.0),
        (Some(0), 1.0),
        (Some(u32::MAX), 1.0),
        (Some(250), 2.5),
    ] {
        let mut server = Server::new(declared(), true);
        let report = LoadReport {
            work_percent: percent,
            ..LoadReport::default()
        };

        server.record_load(report, now);

        let slowness = server.slowness_now(now);
        assert!(
            (slowness - expected).abs() < 1e-9,
            "{percent:?}: {slowness}"
        );
        let later = server.slowness_now(now + Duration::from_secs(3));
        assert!((later - 1.0).abs() < 0.01, "{percent:?}: {later}");
    }
}

fn declared() -> BackendServer {
    BackendServer {
        address: "127.0.0.1:1".parse().expect("a valid address"),
        name: "engine-1".into(),
        model: None,
        service: Some("engines".into()),
        data_centre: "north".into(),
        slots: 128,
        fencing: false,
        leaving: false,
        spot: false,
        version: None,
    }
}

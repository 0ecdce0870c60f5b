//! Admission while servers have too little room, by the load that it answers.

#[path = "common/property.rs"]
mod property;

use std::collections::BTreeMap;
use std::time::Duration;

use jackdawtally::object::Level;
use jackdawtally::room::{Arrival, Decision, Room};
use jackdawtally::server::LoadReport;
use smol_str::SmolStr;
use tokio::time::Instant;

const SLOTS: u32 = 24;
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_S: u32 = 10;
/// Requests by which whole requests of three organisations may exceed their parts.
const ROUNDING: f64 = 3.0;

/// Requests of one organisation at one level, in each tick.
type Source = (Level, &'static str, u32);
/// Requests sent and admitted, by level and organisation.
type Counts = BTreeMap<(Level, &'static str), (u32, u32)>;

fn report(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        leaving: false,
        work_percent: None,
    }
}

fn calm() -> LoadReport {
    report(6, 0)
}

fn crowded() -> LoadReport {
    report(SLOTS, SLOTS)
}

fn slightly_crowded() -> LoadReport {
    report(SLOTS, SLOTS / 4)
}

/// As full as it is to be.
fn just_full() -> LoadReport {
    report(SLOTS * 3 / 4, 0)
}

fn arrival(level: Level, organisation: &SmolStr) -> Arrival<'_> {
    Arrival {
        level,
        organisation,
        tokens: 9_000,
        prefill: Duration::from_millis(200),
        left: Duration::from_secs(6),
        returned: false,
    }
}

struct Play {
    room: Room,
    now: Instant,
    /// Requests for which there was room.
    allowed: f64,
}

impl Play {
    fn new() -> Self {
        Self {
            room: Room::default(),
            now: Instant::now(),
            allowed: 0.0,
        }
    }

    /// Lets the sources send for that many ticks while servers report this load.
    fn run(&mut self, ticks: u32, load: LoadReport, sources: &[Source]) -> Counts {
        let mut counts = Counts::new();
        for _ in 0..ticks {
            self.now += TICK;
            self.room.record_load(load, SLOTS, self.now);
            self.room.update(self.now);
            let sent: u32 = sources.iter().map(|(_, _, requests)| requests).sum();
            self.allowed += f64::from(sent) * self.room.admitted();
            for (level, organisation, requests) in sources {
                for _ in 0..*requests {
                    let name = SmolStr::new(organisation);
                    let decision = self.room.admit(&arrival(*level, &name), 0.5, self.now);
                    let count = counts.entry((*level, *organisation)).or_default();
                    count.0 += 1;
                    count.1 += u32::from(decision == Decision::Admitted);
                }
            }
        }
        counts
    }
}

fn fraction(counts: &Counts, level: Level, organisation: &'static str) -> f64 {
    let (sent, admitted) = counts[&(level, organisation)];
    f64::from(admitted) / f64::from(sent)
}

const THREE_LEVELS: [Source; 3] = [(0, "a", 2), (1, "a", 2), (2, "a", 6)];

#[test]
fn burst_of_the_least_important_class_costs_only_that_class() {
    let mut play = Play::new();
    play.run(50, calm(), &THREE_LEVELS);

    play.run(5, crowded(), &THREE_LEVELS);
    let counts = play.run(2, crowded(), &THREE_LEVELS);

    assert!(fraction(&counts, 0, "a") >= 1.0);
    assert!(fraction(&counts, 1, "a") >= 1.0);
    assert!(fraction(&counts, 2, "a") < 0.5);
}

#[test]
fn burst_is_answered_within_half_a_second() {
    let mut play = Play::new();
    play.run(50, calm(), &THREE_LEVELS);

    play.run(5, crowded(), &THREE_LEVELS);

    assert!(play.room.admitted() < 0.75);
}

#[test]
fn organisation_at_ten_times_its_usual_pays_first() {
    let mut play = Play::new();
    play.run(
        200,
        calm(),
        &[(2, "large", 1), (2, "usual", 5), (2, "small", 1)],
    );

    let sources = [(2, "large", 10), (2, "usual", 5), (2, "small", 1)];
    play.run(8, slightly_crowded(), &sources);
    let counts = play.run(10, just_full(), &sources);

    assert!(fraction(&counts, 2, "large") < 0.7);
    assert!(fraction(&counts, 2, "usual") >= 0.95);
    assert!(fraction(&counts, 2, "small") >= 0.95);
}

#[test]
fn what_an_organisation_leaves_unused_goes_to_the_others() {
    let mut play = Play::new();
    play.run(200, calm(), &[(2, "idle", 5), (2, "busy", 5)]);
    let sources = [(2, "idle", 1), (2, "busy", 9)];
    play.run(8, slightly_crowded(), &sources);
    play.allowed = 0.0;

    let counts = play.run(20, just_full(), &sources);

    let admitted: u32 = counts.values().map(|(_, admitted)| admitted).sum();
    assert!(f64::from(admitted) >= play.allowed * 0.9);
    assert!(fraction(&counts, 2, "idle") >= 1.0);
}

#[test]
fn wave_of_eleven_seconds_leaves_nothing_refused_at_its_foot() {
    let mut play = Play::new();
    for _ in 0..3 {
        play.run(5 * TICKS_PER_S, crowded(), &THREE_LEVELS);
        let foot = play.run(6 * TICKS_PER_S, calm(), &THREE_LEVELS);

        let last = play.run(1, calm(), &THREE_LEVELS);
        assert!(fraction(&foot, 2, "a") >= 0.8);
        assert!(last.values().all(|(sent, admitted)| sent == admitted));
    }
}

#[test]
fn loss_of_a_third_of_the_servers_lowers_what_is_admitted_until_they_are_back() {
    let mut play = Play::new();
    play.run(50, just_full(), &THREE_LEVELS);

    play.run(10, report(SLOTS, SLOTS / 2), &THREE_LEVELS);
    let during = play.room.admitted();
    play.run(100, report(SLOTS / 3, 0), &THREE_LEVELS);

    assert!(during < 0.67);
    assert!(play.room.admitted() >= 1.0);
}

#[test]
fn restart_of_all_instances_refuses_nothing_before_servers_report() {
    let mut room = Room::default();
    let now = Instant::now();
    let name = SmolStr::new("a");
    room.record_load(crowded(), SLOTS, now);
    room.update(now);

    for n in 0..100 {
        let at = now + Duration::from_millis(n);
        assert_eq!(room.admit(&arrival(2, &name), 0.5, at), Decision::Admitted);
    }
}

#[test]
fn one_instance_alone_without_reports_decides_nothing_after_a_while() {
    let mut play = Play::new();
    play.run(20, crowded(), &THREE_LEVELS);
    play.now += Duration::from_secs(3);
    play.room.update(play.now);

    let name = SmolStr::new("a");
    let decision = play.room.admit(&arrival(2, &name), 0.5, play.now);

    assert_eq!(decision, Decision::Admitted);
}

#[test]
fn caller_who_comes_back_goes_before_new_ones() {
    let mut play = Play::new();
    play.run(10, crowded(), &[(2, "a", 10)]);
    let name = SmolStr::new("a");
    let first = arrival(2, &name);
    while play.room.admit(&first, 0.5, play.now) == Decision::Admitted {}

    let back = Arrival {
        returned: true,
        ..first
    };

    assert_eq!(play.room.admit(&back, 0.5, play.now), Decision::Admitted);
}

#[test]
fn refused_callers_come_back_spread_and_within_a_third_of_their_time() {
    let mut play = Play::new();
    play.run(10, crowded(), &[(2, "a", 10)]);
    let name = SmolStr::new("a");
    let delays: Vec<Duration> = (0..100_u32)
        .filter_map(|n| {
            match play
                .room
                .admit(&arrival(2, &name), f64::from(n) / 100.0, play.now)
            {
                Decision::Refused(after) => Some(after),
                Decision::Admitted => None,
            }
        })
        .collect();

    assert!(delays.iter().all(|delay| *delay <= Duration::from_secs(2)));
    let spread = delays
        .iter()
        .max()
        .expect("some")
        .saturating_sub(*delays.iter().min().expect("some"));
    assert!(spread >= Duration::from_millis(200));
}

#[test]
fn admitted_requests_exceed_the_room_by_a_tenth_at_most() {
    fn property(small: u8, large: u8, ticks: u8) -> bool {
        let sources = [
            (0, "a", u32::from(small % 4)),
            (1, "b", 1 + u32::from(large % 8)),
            (2, "c", 1 + u32::from(large % 5)),
        ];
        let mut play = Play::new();
        play.run(50, calm(), &sources);
        play.run(u32::from(ticks % 20) + 1, crowded(), &sources);
        play.allowed = 0.0;
        let counts = play.run(100, just_full(), &sources);
        let admitted: u32 = counts.values().map(|(_, admitted)| admitted).sum();
        f64::from(admitted) <= play.allowed * 1.1 + ROUNDING
    }
    property::check(property as fn(u8, u8, u8) -> bool);
}

#[test]
fn nothing_is_refused_while_room_is_idle() {
    fn property(running: u32, requests: u8) -> bool {
        let load = report(running % (SLOTS / 2), 0);
        let sources = [(0, "a", 1), (2, "b", u32::from(requests % 50))];
        let counts = Play::new().run(50, load, &sources);
        counts.values().all(|(sent, admitted)| sent == admitted)
    }
    property::check(property as fn(u32, u8) -> bool);
}

#[test]
fn important_levels_get_no_less_because_of_less_important_ones() {
    fn property(requests: u8, ticks: u8) -> bool {
        let ticks = u32::from(ticks % 15) + 1;
        let with = [(0, "a", 3), (2, "b", 3 + u32::from(requests % 30))];
        let admitted = |sources: &[Source]| {
            let mut play = Play::new();
            play.run(50, calm(), sources);
            play.run(ticks, crowded(), sources)[&(0, "a")].1
        };
        admitted(&with) >= admitted(&with[..1])
    }
    property::check(property as fn(u8, u8) -> bool);
}

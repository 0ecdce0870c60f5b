//! Tests of the lease of a duty: instances that are paused, whose calls are lost, late or without response, and a
//! store that is restored from an older copy.

#[path = "common/property.rs"]
mod property;

use std::collections::BTreeMap;
use std::time::Duration;

use jackdawtally::fleet::duties::lease::{Interest, Lease, Object, Reading, Step, Write};

const LENGTH: Duration = Duration::from_secs(3);
/// One step of simulated time.
const TICK: Duration = Duration::from_millis(50);
const NAMES: [&str; 3] = ["a", "b", "c"];

/// The store, with writes that it carries out later.
#[derive(Default)]
struct Store {
    era: u32,
    revision: u64,
    object: Option<Object>,
    late: Vec<(u32, Write)>,
    copy: Option<Object>,
}

impl Store {
    fn reading(&self) -> Reading {
        Reading {
            era: self.era,
            object: self.object.clone(),
        }
    }

    fn write(&mut self, write: &Write) -> Reading {
        if self.object.as_ref().map(|o| o.revision) == write.condition {
            self.revision += 1;
            self.object = Some(Object {
                revision: self.revision,
                record: write.record.clone(),
            });
        }
        self.reading()
    }

    fn tick(&mut self) {
        for (ticks, _) in &mut self.late {
            *ticks -= 1;
        }
        let (due, late) = self.late.drain(..).partition(|(ticks, _)| *ticks == 0);
        self.late = late;
        let due: Vec<(u32, Write)> = due;
        for (_, write) in due {
            self.write(&write);
        }
    }

    fn restore(&mut self) {
        self.era += 1;
        self.object.clone_from(&self.copy);
    }
}

struct Instance {
    lease: Lease,
    paused: u32,
    alive: u32,
}

/// Who held the duty when, and under which token.
#[derive(Default)]
struct History {
    tokens: BTreeMap<u64, usize>,
    /// Changes of the holder, with the time at which each last held it.
    holders: Vec<(usize, u64, Duration)>,
}

impl History {
    fn record(&mut self, now: Duration, holder: usize, token: u64) -> bool {
        let owner = *self.tokens.entry(token).or_insert(holder);
        let highest = self.tokens.keys().next_back() == Some(&token);
        let before = self.holders.iter().rev().find(|(h, _, _)| *h == holder);
        let other = self.holders.last().filter(|(h, _, _)| *h != holder);
        let early = match (before, other) {
            (Some((_, _, at)), Some(_)) => now < *at + LENGTH,
            _ => false,
        };
        match self.holders.last_mut() {
            Some((h, t, at)) if *h == holder && *t == token => *at = now,
            _ => self.holders.push((holder, token, now)),
        }
        owner == holder && highest && !early
    }
}

fn lease(number: usize, start: u64, now: Duration) -> Lease {
    Lease::new(NAMES[number].into(), start, LENGTH, now)
}

/// Runs three instances that all want the duty. Each byte is what happens in a step: the low bits choose the instance,
/// the high ones the fate of its call.
fn run(faults: &[u8]) -> (bool, usize) {
    let mut store = Store::default();
    let mut now = Duration::from_secs(1_000);
    let new = |n| Instance {
        lease: lease(n, 1, Duration::from_secs(1_000)),
        paused: 0,
        alive: 1,
    };
    let mut instances: Vec<Instance> = (0..3).map(new).collect();
    let mut history = History::default();
    let mut sound = true;
    let mut mark = 0;
    for fault in faults.iter().cycle().take(faults.len() * 40) {
        now += TICK;
        store.tick();
        for (number, instance) in instances.iter_mut().enumerate() {
            if instance.paused > 0 {
                instance.paused -= 1;
                continue;
            }
            mark += 1;
            let hit = usize::from(fault & 3) == number;
            let fate = if hit { fault >> 2 } else { 0 };
            step(&mut store, instance, now, mark, fate);
            if fate == 60 {
                instance.alive += 1;
                instance.lease = lease(number, instance.alive.into(), now);
            }
        }
        let holders: Vec<(usize, u64)> = instances
            .iter()
            .enumerate()
            .filter_map(|(n, i)| Some((n, i.lease.held(now)?.0)))
            .collect();
        sound &= holders.len() <= 1;
        for (holder, token) in holders {
            sound &= history.record(now, holder, token);
        }
    }
    (sound, history.tokens.len())
}

fn step(store: &mut Store, instance: &mut Instance, now: Duration, mark: u64, fate: u8) {
    let lease = &mut instance.lease;
    match fate {
        61 => return store.copy.clone_from(&store.object),
        62 => return store.restore(),
        59 => {
            if let Some(write) = lease.release(now, mark) {
                let reading = store.write(&write);
                lease.observe(now, reading);
            }
            return;
        }
        40..50 => instance.paused = u32::from(fate - 39) * 12,
        _ => {}
    }
    match lease.next(now, Interest::Take, mark) {
        Step::Wait(_) => {}
        Step::Read if fate & 1 == 1 => lease.fail(now),
        Step::Read => lease.observe(now, store.reading()),
        Step::Write(write) => {
            lease.send(now, &write);
            match fate {
                // Lost; carried out, but the response is lost; carried out later.
                1..8 => lease.fail(now),
                8..16 => {
                    store.write(&write);
                    lease.fail(now);
                }
                16..40 => {
                    store.late.push((u32::from(fate) * 4, write));
                    lease.fail(now);
                }
                _ => {
                    let reading = store.write(&write);
                    lease.observe(now, reading);
                }
            }
        }
    }
}

#[test]
fn pauses_restarts_lost_and_late_calls_and_old_copies_never_make_two_holders() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(faults: Vec<u8>) -> bool {
        run(&faults).0
    }
    property::check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn without_faults_the_first_holder_keeps_the_duty() {
    let (sound, tokens) = run(&[0; 20]);

    assert!(sound);
    assert_eq!(tokens, 1);
}

#[test]
fn a_killed_holder_is_followed_after_one_lease() {
    let start = Duration::from_secs(10);
    let mut store = Store::default();
    let mut instances = [0, 1].map(|n| Instance {
        lease: lease(n, 1, start),
        paused: 0,
        alive: 1,
    });
    let mut now = start;
    for mark in 0..200 {
        now += TICK;
        step(&mut store, &mut instances[0], now, mark, 0);
    }
    let killed = now;

    let mut mark = 1_000;
    while instances[1].lease.held(now).is_none() {
        now += TICK;
        mark += 1;
        step(&mut store, &mut instances[1], now, mark, 0);
        assert!(now < killed + LENGTH * 2, "nobody holds the duty");
    }

    assert!(now + TICK * 24 >= killed + LENGTH);
    assert_eq!(
        instances[1].lease.held(now).map(|(token, _)| token),
        Some(2)
    );
}

#[test]
fn a_duty_that_was_handed_over_is_taken_at_once() {
    let start = Duration::from_secs(10);
    let mut store = Store::default();
    let mut instances = [0, 1].map(|n| Instance {
        lease: lease(n, 1, start),
        paused: 0,
        alive: 1,
    });
    let mut now = start;
    for mark in 0..200 {
        now += TICK;
        step(&mut store, &mut instances[0], now, mark, 0);
    }

    step(&mut store, &mut instances[0], now, 500, 59);
    step(&mut store, &mut instances[1], now, 501, 0);
    step(&mut store, &mut instances[1], now, 502, 0);

    assert_eq!(instances[0].lease.held(now), None);
    assert!(instances[1].lease.held(now).is_some());
}

#[test]
fn a_holder_in_calm_makes_less_than_one_call_a_second() {
    let start = Duration::from_secs(10);
    let mut store = Store::default();
    let mut holder = lease(0, 1, start);
    let mut calls = 0;
    for mark in 0..1_200 {
        let now = start + TICK * u32::try_from(mark).expect("small");
        match holder.next(now, Interest::Take, mark) {
            Step::Wait(_) => continue,
            Step::Read => holder.observe(now, store.reading()),
            Step::Write(write) => {
                holder.send(now, &write);
                let reading = store.write(&write);
                holder.observe(now, reading);
            }
        }
        calls += 1;
    }

    assert!(calls < 60, "{calls} calls in 60 s");
}

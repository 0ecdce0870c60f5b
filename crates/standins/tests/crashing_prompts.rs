//! Simulated fleets of 1 to 490 instances before servers that crash: with and without a prompt segment that
//! causes the crashes.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use jackdawtally::quarantine::{Notice, PromptIdentity, Quarantine, SegmentId, Standing};
use jackdawtally_standins::crash_check::{CrashRecord, LATE_REQUESTS};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

/// Step of the simulation, and time that a notice takes from one instance to the next.
const TICK: Duration = Duration::from_millis(20);
/// Time that a fleet has after the fifth crash.
const REACTION_TIME: Duration = Duration::from_secs(3);
/// Time before the first request that crashes servers.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Time that is simulated.
const PLAYED_TIME: Duration = Duration::from_secs(20);
/// Time for which a crashed server takes no requests.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time from the beginning of a response to its end.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Time after which a caller repeats a request that failed.
const REPEAT_TIME: Duration = Duration::from_millis(300);
/// Links of an instance in a fleet that isn't fully linked.
const LINKS: usize = 6;
/// Size up to which all instances are linked with each other.
const FULL_MESH: usize = 11;
/// The segment that crashes servers.
const CRASHING: SegmentId = 1;

#[derive(Clone, Debug)]
struct Request {
    instance: usize,
    identity: PromptIdentity,
    crashing: bool,
    attempts: u32,
    repeats: u32,
    begins: Instant,
}

#[derive(Debug)]
struct Server {
    name: SmolStr,
    down_until: Option<Instant>,
    starts: u32,
    open: Vec<Request>,
}

/// What a fleet is exposed to.
#[derive(Clone, Copy, Debug)]
struct Load {
    instances: usize,
    servers: usize,
    /// Sound requests open at each server.
    open: f64,
    /// Crashing requests a second.
    crashing_rate: f64,
    /// Time between two losses of a third of the servers at once.
    power_loss: Option<Duration>,
    /// Whether one instance reports each second that all servers crashed.
    false_reports: bool,
}

const LOAD: Load = Load {
    instances: 6,
    servers: 12,
    open: 3.0,
    crashing_rate: 0.0,
    power_loss: None,
    false_reports: false,
};

struct Fleet {
    load: Load,
    rng: SmallRng,
    now: Instant,
    instances: Vec<Quarantine>,
    links: Vec<Vec<usize>>,
    in_transit: Vec<(usize, Vec<Notice>)>,
    servers: Vec<Server>,
    /// Requests that callers are going to repeat.
    repeats: Vec<(Instant, Request)>,
    record: CrashRecord,
    prompts: u64,
    wrongly_quarantined: BTreeSet<SegmentId>,
}

impl Fleet {
    fn new(load: Load, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let links = links(load.instances, &mut rng);
        let servers = (0..load.servers).map(|n| Server {
            name: format_smolstr!("w{n}@0"),
            down_until: None,
            starts: 0,
            open: Vec::new(),
        });
        Self {
            load,
            rng,
            now,
            instances: (0..load.instances).map(|_| Quarantine::new(now)).collect(),
            links,
            in_transit: Vec::new(),
            servers: servers.collect(),
            repeats: Vec::new(),
            record: CrashRecord::default(),
            prompts: 1_000_000,
            wrongly_quarantined: BTreeSet::new(),
        }
    }

    fn play(mut self) -> Self {
        let start = self.now;
        let mut next_loss = self.load.power_loss.map(|gap| start + gap);
        while self.now < start + PLAYED_TIME {
            self.now += TICK;
            self.deliver();
            self.restart_servers();
            self.send_new(start);
            self.send_repeats();
            self.respond();
            if next_loss.is_some_and(|at| self.now >= at) {
                next_loss = self.load.power_loss.map(|gap| self.now + gap);
                self.lose_power();
            }
            if self.load.false_reports {
                self.report_falsely(start);
            }
            self.exchange();
        }
        self
    }

    /// Delivers the notices that were sent in the tick before.
    fn deliver(&mut self) {
        for (to, notices) in std::mem::take(&mut self.in_transit) {
            for notice in &notices {
                self.instances[to].merge(notice, self.now);
            }
        }
    }

    fn exchange(&mut self) {
        for (number, instance) in self.instances.iter_mut().enumerate() {
            instance.update(self.now);
            let notices = instance.take_notices();
            if !notices.is_empty() {
                let links = self.links[number].iter();
                self.in_transit
                    .extend(links.map(|to| (*to, notices.clone())));
            }
            for notice in notices {
                if let Notice::Quarantined { segment, .. } = notice
                    && segment != CRASHING
                {
                    self.wrongly_quarantined.insert(segment);
                }
            }
        }
    }

    fn restart_servers(&mut self) {
        for (number, server) in self.servers.iter_mut().enumerate() {
            if server.down_until.is_some_and(|until| self.now >= until) {
                server.down_until = None;
                server.starts += 1;
                server.name = format_smolstr!("w{number}@{}", server.starts);
            }
        }
    }

    fn send_new(&mut self, start: Instant) {
        let tick = TICK.as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "small")]
        let servers = self.load.servers as f64;
        // A request is open for a second on average.
        let sound = self.load.open * servers * tick;
        for _ in 0..self.draw(sound) {
            let request = self.sound_request();
            self.send(request);
        }
        if self.now >= start + CALM_TIME {
            for _ in 0..self.draw(self.load.crashing_rate * tick) {
                let request = self.crashing_request();
                self.send(request);
            }
        }
    }

    /// A random number of arrivals with this mean.
    fn draw(&mut self, mean: f64) -> u32 {
        let mut count = 0;
        let mut left = mean;
        while left > 0.0 {
            count += u32::from(self.rng.random_bool(left.min(1.0)));
            left -= 1.0;
        }
        count
    }

    fn request(&mut self, shared: Vec<SegmentId>, crashing: bool) -> Request {
        self.prompts += 1;
        Request {
            instance: self.rng.random_range(0..self.load.instances),
            identity: PromptIdentity {
                shared,
                prompt: self.prompts,
            },
            crashing,
            attempts: 0,
            repeats: 0,
            begins: self.now,
        }
    }

    fn sound_request(&mut self) -> Request {
        let head = 10 + self.rng.random_range(0..5);
        // Some segments are rare: they come with a few prompts only.
        let second = if self.rng.random_bool(0.3) {
            self.prompts / 3 + 10_000_000
        } else {
            100 + self.rng.random_range(0..200)
        };
        self.request(vec![head, second], false)
    }

    fn crashing_request(&mut self) -> Request {
        let head = 10 + self.rng.random_range(0..5);
        self.request(vec![head, CRASHING], true)
    }

    fn send(&mut self, mut request: Request) {
        let segments = &request.identity.shared;
        let standing = self.instances[request.instance].standing(segments, self.now);
        let refused = match standing {
            Standing::Unsuspected => false,
            Standing::Suspected(segment) => self.is_open(request.instance, segment),
            Standing::Quarantined(_) => true,
        };
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|n| self.servers[*n].down_until.is_none())
            .collect();
        if !request.crashing && request.attempts + request.repeats == 0 {
            self.record.sound(self.now, !refused && !up.is_empty());
        }
        if refused || up.is_empty() {
            return;
        }
        request.attempts += 1;
        let wait = self.rng.random_range(200..800);
        request.begins = self.now + Duration::from_millis(wait);
        if request.crashing {
            self.record.arrive(self.now);
        }
        let server = up[self.rng.random_range(0..up.len())];
        self.servers[server].open.push(request);
    }

    /// Whether an instance has a prompt with this segment open whose response hasn't begun.
    fn is_open(&self, instance: usize, segment: SegmentId) -> bool {
        let mut open = self.servers.iter().flat_map(|s| &s.open);
        open.any(|r| {
            let waiting = r.instance == instance && r.begins > self.now;
            waiting && r.identity.shared.contains(&segment)
        })
    }

    fn send_repeats(&mut self) {
        let (due, later) = std::mem::take(&mut self.repeats)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.repeats = later;
        for (_, mut request) in due {
            request.instance = self.rng.random_range(0..self.load.instances);
            request.attempts = 0;
            request.repeats += 1;
            self.send(request);
        }
    }

    fn respond(&mut self) {
        let mut crashed = Vec::new();
        for (number, server) in self.servers.iter_mut().enumerate() {
            for request in server.open.iter().filter(|r| r.begins <= self.now) {
                if request.crashing {
                    crashed.push(number);
                    break;
                }
                let instance = &mut self.instances[request.instance];
                instance.record_sound(&request.identity.shared, self.now);
                instance.record_response(&server.name, self.now);
            }
            let now = self.now;
            server.open.retain(|r| now < r.begins + RESPONSE_TIME);
        }
        for number in crashed {
            self.crash(number);
        }
    }

    fn crash(&mut self, number: usize) {
        self.record.crash(self.now);
        let server = &mut self.servers[number];
        server.down_until = Some(self.now + RESTART_TIME);
        let open = std::mem::take(&mut server.open);
        let name = server.name.clone();
        let mut lost: BTreeMap<usize, Vec<PromptIdentity>> = BTreeMap::new();
        for request in &open {
            let suspects = lost.entry(request.instance).or_default();
            if request.crashing || request.begins > self.now {
                suspects.push(request.identity.clone());
            }
        }
        for (instance, suspects) in lost {
            self.instances[instance].record_crash(&name, self.now, &suspects, self.now);
        }
        for request in open {
            let failed = request.crashing || request.begins > self.now;
            match request {
                _ if !failed => {}
                request if request.attempts < 2 => self.send(request),
                request if request.repeats == 0 => {
                    self.repeats.push((self.now + REPEAT_TIME, request));
                }
                _ => {}
            }
        }
    }

    /// Crashes a third of the servers at once.
    fn lose_power(&mut self) {
        for number in (0..self.servers.len()).step_by(3) {
            if self.servers[number].down_until.is_none() {
                self.crash(number);
            }
        }
    }

    /// Instance 0 takes its lost connections for crashes of all servers, once a second, with all that it sent.
    fn report_falsely(&mut self, start: Instant) {
        let ms = (self.now - start).as_millis();
        if !ms.is_multiple_of(1_000) {
            return;
        }
        let names: Vec<SmolStr> = self.servers.iter().map(|s| s.name.clone()).collect();
        for name in names {
            let lost: Vec<PromptIdentity> = (0..3).map(|_| self.sound_request().identity).collect();
            self.instances[0].record_crash(&name, self.now, &lost, self.now);
        }
    }
}

fn links(instances: usize, rng: &mut SmallRng) -> Vec<Vec<usize>> {
    let mut linked: Vec<HashSet<usize>> = vec![HashSet::new(); instances];
    for a in 0..instances {
        let peers: Vec<usize> = if instances <= FULL_MESH {
            (0..instances).collect()
        } else {
            let mut peers = vec![(a + 1) % instances];
            peers.extend((0..LINKS / 2 - 1).map(|_| rng.random_range(0..instances)));
            peers
        };
        for b in peers.into_iter().filter(|b| *b != a) {
            linked[a].insert(b);
            linked[b].insert(a);
        }
    }
    let sorted = linked.into_iter().map(|peers| {
        let sorted: BTreeSet<usize> = peers.into_iter().collect();
        sorted.into_iter().collect()
    });
    sorted.collect()
}

/// Each instance saw too few crashes to act by itself, and a sound segment that many prompts share was open at all
/// of them.
#[test]
fn crashing_segment_alone_is_quarantined_in_fleets_of_all_sizes() {
    let loads = [
        (1, 12, 3.0, 2.0),
        (3, 12, 2.0, 0.5),
        (6, 12, 10.0, 4.0),
        (59, 60, 10.0, 8.0),
        (59, 140, 30.0, 4.0),
        (490, 300, 3.0, 8.0),
    ];
    for (instances, servers, open, crashing_rate) in loads {
        for seed in 0..2 {
            let load = Load {
                instances,
                servers,
                open,
                crashing_rate,
                ..LOAD
            };

            let fleet = Fleet::new(load, seed).play();

            let late = fleet.record.late_requests(REACTION_TIME);
            let (begun, sound) = fleet.record.sound_after(REACTION_TIME);
            assert!(late <= LATE_REQUESTS, "{load:?} seed {seed}: {late}");
            assert!(
                sound >= 20 && begun * 2 >= sound,
                "{load:?} seed {seed}: {begun}/{sound}"
            );
            let wrong = &fleet.wrongly_quarantined;
            assert!(wrong.is_empty(), "{load:?} seed {seed}: {wrong:?}");
        }
    }
}

/// Crashes with other causes, in series and many at once, made whatever was open look like their cause.
#[test]
fn power_losses_quarantine_no_segment() {
    for (instances, servers, open) in [(1, 3, 3.0), (6, 12, 10.0), (59, 60, 30.0)] {
        for seed in 0..2 {
            let load = Load {
                instances,
                servers,
                open,
                power_loss: Some(Duration::from_millis(1_500)),
                ..LOAD
            };

            let fleet = Fleet::new(load, seed).play();

            assert!(fleet.record.crashes() >= 5, "{load:?} seed {seed}");
            let wrong = &fleet.wrongly_quarantined;
            assert!(wrong.is_empty(), "{load:?} seed {seed}: {wrong:?}");
        }
    }
}

/// An instance that lost its connections for another reason reported crashes of servers that others saw respond.
#[test]
fn false_reports_of_one_instance_quarantine_no_segment() {
    for instances in [3, 6, 59] {
        for seed in 0..2 {
            let load = Load {
                instances,
                open: 10.0,
                false_reports: true,
                ..LOAD
            };

            let fleet = Fleet::new(load, seed).play();

            let wrong = &fleet.wrongly_quarantined;
            assert!(wrong.is_empty(), "{load:?} seed {seed}: {wrong:?}");
        }
    }
}

/// The crashing requests before and after an instance started: it knew of no crash itself.
#[test]
fn instance_that_starts_learns_of_the_quarantine_from_its_first_link() {
    let load = Load {
        crashing_rate: 4.0,
        ..LOAD
    };
    let fleet = Fleet::new(load, 1).play();

    let mut started = Quarantine::new(fleet.now);
    for notice in fleet.instances[0].all_notices(fleet.now) {
        started.merge(&notice, fleet.now);
    }

    let standing = started.standing(&[10, CRASHING], fleet.now);
    let Standing::Quarantined(quarantined) = standing else {
        panic!("{standing:?}");
    };
    assert_eq!(quarantined.segment, CRASHING);
}

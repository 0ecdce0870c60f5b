//! A simulated fleet before servers that crash: with and without requests that cause the crashes.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use jackdawtally::quarantine::{Notice, Quarantine, RequestIdentity, Standing, Subject, SuspectId};
use jackdawtally_standins::crash_check::{Cause, CrashRecord, LATE_REQUESTS};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

/// Step of the simulation, and time that a notice takes from one instance to the next.
const TICK: Duration = Duration::from_millis(20);
/// Time that a fleet has after the crashes by which the cause has to be known.
const REACTION_TIME: Duration = Duration::from_secs(3);
/// Time before the first request that crashes servers.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Time that is simulated.
const PLAYED_TIME: Duration = Duration::from_secs(20);
/// Time for which a crashed server takes no requests.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time from the beginning of a response to its end.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Servers that one attempt of a caller may be sent to.
const MAX_ATTEMPTS: u32 = 2;
/// Time after which a caller repeats a request that failed.
const REPEAT_TIME: Duration = Duration::from_millis(300);
/// Share of the sound requests that are always the same.
const REPEATED_SHARE: f64 = 0.3;
/// Number of such requests.
const REPEATED_REQUESTS: u64 = 20;
/// Time after the last of several crashes in which their suspects aren't tried.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);
/// Time after a crash in which the requests that were open there aren't sent again.
const DOUBT_TIME: Duration = Duration::from_millis(120);
/// Links of an instance in a fleet that isn't fully linked.
const LINKS: usize = 6;
/// Size up to which all instances are linked with each other.
const FULL_MESH: usize = 11;
/// The segment or request that crashes servers.
pub const CRASHING: SuspectId = 1;

#[derive(Clone, Debug)]
struct Request {
    instance: usize,
    identity: RequestIdentity,
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
pub struct Load {
    pub instances: usize,
    pub servers: usize,
    /// What the crashing requests have in common, which is what the fleet watches.
    pub cause: Cause,
    /// Sound requests open at each server.
    pub open: f64,
    /// Crashing requests a second.
    pub crashing_rate: f64,
    /// Time between two losses of a third of the servers at once.
    pub power_loss: Option<Duration>,
    /// Whether one instance reports each second that all servers crashed.
    pub false_reports: bool,
}

impl Load {
    const fn subject(&self) -> Subject {
        match self.cause {
            Cause::PromptSegment => Subject::Segments,
            Cause::Request => Subject::Requests,
        }
    }
}

pub const LOAD: Load = Load {
    cause: Cause::PromptSegment,
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
    wrongly_quarantined: BTreeSet<SuspectId>,
}

impl Fleet {
    fn new(load: Load, seed: u64) -> Self {
        let now = Instant::now();
        let subject = load.subject();
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
            instances: (0..load.instances)
                .map(|_| Quarantine::new(subject, now))
                .collect(),
            links,
            in_transit: Vec::new(),
            servers: servers.collect(),
            repeats: Vec::new(),
            record: CrashRecord::new(load.cause),
            prompts: 1_000_000,
            wrongly_quarantined: BTreeSet::new(),
        }
    }

    fn check_sound(&self, seed: u64) {
        let wrong = &self.wrongly_quarantined;
        assert!(wrong.is_empty(), "{:?} seed {seed}: {wrong:?}", self.load);
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
                if let Notice::Quarantined { id, .. } = notice
                    && id != CRASHING
                {
                    self.wrongly_quarantined.insert(id);
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

    fn request(&mut self, shared: Vec<SuspectId>, crashing: bool) -> Request {
        self.prompts += 1;
        let repeated = self.rng.random_bool(REPEATED_SHARE);
        let request = match self.load.cause {
            Cause::PromptSegment => None,
            Cause::Request if crashing => Some(CRASHING),
            Cause::Request if repeated => Some(10 + self.prompts % REPEATED_REQUESTS),
            Cause::Request => Some(self.prompts),
        };
        Request {
            instance: self.rng.random_range(0..self.load.instances),
            identity: RequestIdentity {
                shared,
                prompt: self.prompts,
                request,
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
        let refused = self.is_refused(&mut request);
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

    /// Whether a request isn't sent to a server. One that may crash servers moves to the instance that tries it.
    fn is_refused(&self, request: &mut Request) -> bool {
        let suspicion = match self.standing(request) {
            Standing::Unsuspected => return false,
            Standing::Quarantined(_) => return true,
            Standing::Suspected(suspicion) => suspicion,
        };
        if suspicion.subject == Subject::Segments {
            return self.is_open(request.instance, suspicion.id);
        }
        let instances = u64::try_from(self.instances.len()).unwrap_or(u64::MAX);
        request.instance = usize::try_from(suspicion.id % instances).unwrap_or(0);
        match self.standing(request) {
            Standing::Unsuspected => false,
            Standing::Quarantined(_) => true,
            Standing::Suspected(suspicion) => {
                let several = suspicion.crashes > 1;
                let recent = suspicion.last.is_some_and(|at| self.now < at + TRIAL_PAUSE);
                several && recent || self.is_open(request.instance, suspicion.id)
            }
        }
    }

    fn standing(&self, request: &Request) -> Standing {
        self.instances[request.instance].standing(&request.identity, self.now)
    }

    /// Whether an instance has a request with this suspect open whose response hasn't begun.
    fn is_open(&self, instance: usize, id: SuspectId) -> bool {
        let mut open = self.servers.iter().flat_map(|s| &s.open);
        open.any(|r| {
            let waiting = r.instance == instance && r.begins > self.now;
            let identity = &r.identity;
            waiting && (identity.shared.contains(&id) || identity.request == Some(id))
        })
    }

    fn send_repeats(&mut self) {
        let (due, later) = std::mem::take(&mut self.repeats)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.repeats = later;
        for (_, mut request) in due {
            if request.attempts >= MAX_ATTEMPTS {
                request.instance = self.rng.random_range(0..self.load.instances);
                request.attempts = 0;
                request.repeats += 1;
            }
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
                instance.record_sound(&request.identity, self.now);
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
        let mut lost: BTreeMap<usize, Vec<RequestIdentity>> = BTreeMap::new();
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
                request if request.attempts < MAX_ATTEMPTS => {
                    self.retry(request);
                }
                request if request.repeats == 0 => {
                    self.repeats.push((self.now + REPEAT_TIME, request));
                }
                _ => {}
            }
        }
    }

    fn retry(&mut self, request: Request) {
        match self.load.cause {
            Cause::PromptSegment => self.send(request),
            Cause::Request => self.repeats.push((self.now + DOUBT_TIME, request)),
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
            let lost: Vec<RequestIdentity> =
                (0..3).map(|_| self.sound_request().identity).collect();
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

/// Plays crashing requests: they must be kept from the servers in time, and nothing else.
pub fn check_crashing(load: Load, seeds: u64) {
    for seed in 0..seeds {
        let fleet = Fleet::new(load, seed).play();

        let late = fleet.record.late_requests(REACTION_TIME);
        let (begun, sound) = fleet.record.sound_after(REACTION_TIME);
        println!("{load:?} seed {seed}: {} crashes", fleet.record.crashes());
        assert!(late <= LATE_REQUESTS, "{load:?} seed {seed}: {late}");
        assert!(
            sound >= 20 && begun * 2 >= sound,
            "{load:?} seed {seed}: {begun}/{sound}"
        );
        fleet.check_sound(seed);
    }
}

/// Plays crashes with other causes: nothing may be kept from the servers.
pub fn check_unrelated(load: Load, seeds: u64) {
    for seed in 0..seeds {
        let fleet = Fleet::new(load, seed).play();

        let lost = load.power_loss.is_some();
        assert!(!lost || fleet.record.crashes() >= 5, "{load:?} seed {seed}");
        fleet.check_sound(seed);
    }
}

/// Plays crashing requests, and tells an instance that has just started what another one knows; returns what it then
/// knows of `identity`.
pub fn standing_after_start(load: Load, identity: &RequestIdentity) -> Standing {
    let fleet = Fleet::new(load, 1).play();
    let mut started = Quarantine::new(load.subject(), fleet.now);
    for notice in fleet.instances[0].all_notices(fleet.now) {
        started.merge(&notice, fleet.now);
    }
    started.standing(identity, fleet.now)
}

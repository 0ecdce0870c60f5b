//! Fleets of 1 to 490 instances before backend servers that refuse requests and ask for rest, or that say in their
//! responses that they are leaving. The pools are real; servers, callers, links and time are simulated.

mod pool_fleet;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use jackdawtally::pool::{AdmissionRequest, Pool};
use jackdawtally::prompt_placement::Prompt;
use jackdawtally_standins::refusal_check::{ALLOWED_IN_REST, RefusalRecord};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{self, Instant};

/// Simulated time between two steps.
const STEP: Duration = Duration::from_millis(20);
/// Time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(150);
/// Time that a notice takes over one link.
const LINK_DELAY: Duration = Duration::from_millis(40);
/// Time before the trouble begins.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Time for which servers in trouble refuse requests.
const TROUBLED_TIME: Duration = Duration::from_secs(2);
/// Rest that they ask for with each refusal.
const REST: Duration = Duration::from_secs(3);
/// Time that is played.
const PLAYED_TIME: Duration = Duration::from_secs(7);
/// Longest wait of a request in the queue.
const MAX_WAIT: Duration = Duration::from_millis(600);
/// Attempts of a request at servers.
const MAX_ATTEMPTS: usize = 4;
/// Number of prompt prefixes that requests share.
const PREFIXES: u64 = 64;
/// Links to further instances that each instance of a fleet opens.
const LINKS: usize = 3;

/// What the servers in trouble do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Rest,
    Leave,
}

/// Whether the instances take notice of what servers say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notice {
    Taken,
    Ignored,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    instances: usize,
    servers: usize,
    /// The first servers, which are in trouble.
    troubled: usize,
    trouble: Trouble,
    notice: Notice,
    /// Requests a second that arrive at the fleet.
    rate: f64,
}

/// Instances, servers, and requests a second.
const FLEETS: [(usize, usize, f64); 5] = [
    (1, 3, 60.0),
    (3, 6, 200.0),
    (6, 12, 500.0),
    (59, 12, 1_500.0),
    (490, 12, 2_500.0),
];

fn loads(trouble: Trouble) -> impl Iterator<Item = Load> {
    FLEETS
        .into_iter()
        .map(move |(instances, servers, rate)| Load {
            instances,
            servers,
            troubled: servers / 3,
            trouble,
            notice: Notice::Taken,
            rate,
        })
}

/// What happened, from the time of the trouble on.
#[derive(Default)]
struct Observed {
    /// By server and instance.
    records: BTreeMap<(usize, usize), RefusalRecord>,
    /// By server, for all instances together.
    fleet: BTreeMap<usize, RefusalRecord>,
    served: usize,
    /// The waits of refused requests, and the delays that their callers were advised.
    refused: Vec<(Duration, Duration)>,
    /// Servers that said that they leave, and to which instance; not yet passed on.
    left: Vec<(usize, usize)>,
}

struct World {
    load: Load,
    start: Instant,
    observed: Mutex<Observed>,
}

impl World {
    fn lock(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().expect("the mutex is not poisoned")
    }

    fn is_troubled(&self, server: usize, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.start);
        let over = self.load.trouble == Trouble::Rest && since >= CALM_TIME + TROUBLED_TIME;
        server < self.load.troubled && since >= CALM_TIME && !over
    }

    /// Records that a request reached a server; returns whether the server is in trouble.
    fn arrive(&self, server: usize, instance: usize) -> bool {
        let now = Instant::now();
        let troubled = self.is_troubled(server, now);
        let Observed { records, fleet, .. } = &mut *self.lock();
        let own = records.entry((server, instance)).or_default();
        let all = fleet.entry(server).or_default();
        for record in [own, all] {
            record.arrive(now);
            match self.load.trouble {
                Trouble::Rest if troubled => record.rest(now, REST),
                Trouble::Leave if troubled => record.leave(now),
                Trouble::Rest | Trouble::Leave => {}
            }
        }
        troubled
    }

    fn finish(&self, sent: Instant, outcome: Result<(), Duration>) {
        if sent < self.start + CALM_TIME {
            return;
        }
        let mut observed = self.lock();
        match outcome {
            Ok(()) => observed.served += 1,
            Err(delay) => observed.refused.push((sent.elapsed(), delay)),
        }
    }
}

struct Fleet {
    pools: Vec<Arc<Pool>>,
    links: Vec<BTreeSet<usize>>,
    /// The servers of which each instance knows that they leave.
    known: Vec<BTreeSet<usize>>,
    in_flight: VecDeque<(Instant, usize, usize)>,
    world: Arc<World>,
    rng: SmallRng,
    owed: f64,
}

impl Fleet {
    fn new(load: Load) -> Self {
        let pools = pool_fleet::pools(load.instances, load.servers);
        let mut rng = SmallRng::seed_from_u64(load.instances as u64);
        let links = links(load.instances, &mut rng);
        Self {
            pools,
            links,
            known: vec![BTreeSet::new(); load.instances],
            in_flight: VecDeque::new(),
            world: Arc::new(World {
                load,
                start: Instant::now(),
                observed: Mutex::default(),
            }),
            rng,
            owed: 0.0,
        }
    }

    async fn play(load: Load) -> Observed {
        let mut fleet = Self::new(load);
        let end = fleet.world.start + PLAYED_TIME;
        while Instant::now() < end {
            fleet.send_requests();
            fleet.exchange();
            fleet.pools.iter().for_each(Pool::tick);
            time::sleep(STEP).await;
        }
        time::sleep(MAX_WAIT * 2).await;
        std::mem::take(&mut *fleet.world.lock())
    }

    fn send_requests(&mut self) {
        self.owed += self.world.load.rate * STEP.as_secs_f64();
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            let instance = self.rng.random_range(0..self.pools.len());
            let pool = Arc::clone(&self.pools[instance]);
            let prefix = self.rng.random_range(1..=PREFIXES);
            let admission = pool_fleet::admission(0, prefix, MAX_WAIT);
            tokio::spawn(call(pool, instance, admission, Arc::clone(&self.world)));
        }
    }

    /// Passes on which servers leave, as far as that is news.
    fn exchange(&mut self) {
        let now = Instant::now();
        let heard = std::mem::take(&mut self.world.lock().left);
        for (server, instance) in heard {
            self.learn(server, instance, now);
        }
        while self.in_flight.front().is_some_and(|(at, ..)| *at <= now) {
            if let Some((_, server, instance)) = self.in_flight.pop_front() {
                self.learn(server, instance, now);
            }
        }
    }

    fn learn(&mut self, server: usize, instance: usize, now: Instant) {
        if !self.known[instance].insert(server) {
            return;
        }
        self.pools[instance].mark_leaving(&pool_fleet::server_name(server), now);
        let arrival = now + LINK_DELAY;
        let peers = self.links[instance].iter();
        self.in_flight
            .extend(peers.map(|peer| (arrival, server, *peer)));
    }
}

/// A ring with a few more links.
fn links(instances: usize, rng: &mut SmallRng) -> Vec<BTreeSet<usize>> {
    let mut links = vec![BTreeSet::new(); instances];
    for n in 0..instances {
        let further = (1..LINKS).map(|_| rng.random_range(0..instances));
        let peers: Vec<usize> = std::iter::once((n + 1) % instances)
            .chain(further)
            .collect();
        for peer in peers.into_iter().filter(|peer| *peer != n) {
            links[n].insert(peer);
            links[peer].insert(n);
        }
    }
    links
}

async fn call(pool: Arc<Pool>, instance: usize, admission: AdmissionRequest, world: Arc<World>) {
    let sent = Instant::now();
    let outcome = serve(&pool, instance, admission, &world).await;
    world.finish(sent, outcome);
}

/// Sends a request to one server after the other until one takes it. Returns the advised delay if none does.
async fn serve(
    pool: &Arc<Pool>,
    instance: usize,
    mut admission: AdmissionRequest,
    world: &World,
) -> Result<(), Duration> {
    let prompt = Prompt {
        shared: 500,
        unique: 100,
    };
    for _ in 0..MAX_ATTEMPTS {
        let permit = pool.acquire_for_prompt(admission.clone(), prompt).await;
        let permit = permit.map_err(|fault| fault.retry_after.unwrap_or_default())?;
        let server = pool_fleet::server_of(&permit);
        let troubled = world.arrive(server, instance);
        let heeded = world.load.notice == Notice::Taken;
        match world.load.trouble {
            Trouble::Rest if troubled => {
                if heeded {
                    permit.record_rest(REST, "r");
                }
                admission.avoid.push(permit.server);
                continue;
            }
            Trouble::Leave if troubled && heeded => world.lock().left.push((server, instance)),
            Trouble::Rest | Trouble::Leave => {}
        }
        time::sleep(SERVICE_TIME).await;
        permit.mark_started();
        return Ok(());
    }
    Err(pool.rest_left().unwrap_or_default())
}

fn most_in_rest(observed: &Observed) -> usize {
    let counts = observed.records.values().map(RefusalRecord::most_in_rest);
    counts.max().unwrap_or(0)
}

fn after_leaving(observed: &Observed) -> usize {
    let counts = observed.fleet.values().map(RefusalRecord::after_leaving);
    counts.sum()
}

/// Each instance went on sending to servers that had asked it for rest, as they were nearly empty.
#[tokio::test(start_paused = true)]
async fn resting_servers_are_left_alone_in_fleets_of_all_sizes() {
    for load in loads(Trouble::Rest) {
        let observed = Fleet::play(load).await;

        let most = most_in_rest(&observed);
        assert!(most <= ALLOWED_IN_REST, "{load:?}: {most}");
        let refused = observed.refused.len();
        assert!(refused * 50 <= observed.served, "{load:?}: {refused}");
    }
}

/// Requests were sent to resting servers, or held until their callers gave up, where all servers rested.
#[tokio::test(start_paused = true)]
async fn requests_are_refused_at_once_while_all_servers_rest() {
    for load in loads(Trouble::Rest) {
        let load = Load {
            troubled: load.servers,
            ..load
        };

        let observed = Fleet::play(load).await;

        let most = most_in_rest(&observed);
        assert!(most <= ALLOWED_IN_REST, "{load:?}: {most}");
        assert!(observed.refused.len() > 50, "{load:?}");
        let honest = |(wait, delay): &(Duration, Duration)| *wait <= MAX_WAIT && *delay <= REST;
        assert!(observed.refused.iter().all(honest), "{load:?}");
    }
}

/// Instances learned only from the store that a server leaves, or each for itself.
#[tokio::test(start_paused = true)]
async fn servers_that_leave_get_nothing_from_fleets_of_all_sizes() {
    for load in loads(Trouble::Leave) {
        let observed = Fleet::play(load).await;

        let late = after_leaving(&observed);
        assert_eq!(late, 0, "{load:?}");
        let refused = observed.refused.len();
        assert!(refused * 50 <= observed.served, "{load:?}: {refused}");
    }
}

/// The load has to be large enough for the checks to find instances that take no notice.
#[tokio::test(start_paused = true)]
async fn checks_find_fleets_that_take_no_notice() {
    for trouble in [Trouble::Rest, Trouble::Leave] {
        for load in loads(trouble) {
            let load = Load {
                notice: Notice::Ignored,
                ..load
            };

            let observed = Fleet::play(load).await;

            match trouble {
                Trouble::Rest => assert!(most_in_rest(&observed) > ALLOWED_IN_REST, "{load:?}"),
                Trouble::Leave => assert!(after_leaving(&observed) > 0, "{load:?}"),
            }
        }
    }
}

//! All pools of one instance, and the tasks that ask each backend server for its load.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::catalogue::Catalogue;
use crate::changelog;
use crate::frame::FloorKind;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::object::{BackendServer, Level};
use crate::placement;
use crate::pool::{Limits, Pool, Preemption, ServerId};
use crate::settings::Settings;

/// Backend servers of one pool that an instance sends to at most.
const SUBSET: usize = 64;
/// Time between two load reports of one server.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Reports missed in a row from which a server counts as down.
const MISSED: u32 = 2;
/// Shortest time between two messages about changed floors.
const TELL: Duration = Duration::from_millis(60);
/// Time between two looks at what waits too long.
const TICK: Duration = Duration::from_millis(20);

/// All pools of one instance.
pub struct Pools {
    instance: SmolStr,
    data_centre: SmolStr,
    limits: Limits,
    by_name: Mutex<HashMap<SmolStr, Arc<Pool>>>,
}

impl Pools {
    /// No pools yet.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let limits = Limits {
            queue_bytes: settings.limits.queue_bytes,
            unstarted: u32::try_from(settings.limits.unstarted).unwrap_or(u32::MAX),
        };
        Self {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            limits,
            by_name: Mutex::default(),
        }
    }

    /// The pool of that name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<Arc<Pool>> {
        self.lock().get(name).cloned()
    }

    /// All pools.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Pool>> {
        self.lock().values().cloned().collect()
    }

    /// The floors that this instance asks for, by pool.
    #[must_use]
    pub fn wanted_floors(&self) -> Vec<(SmolStr, FloorKind, Level)> {
        let mut floors = Vec::new();
        for pool in self.all() {
            for kind in [FloorKind::Hold, FloorKind::Evict] {
                let level = pool.wanted_floor(kind);
                if level != Level::MAX {
                    floors.push((pool.name().clone(), kind, level));
                }
            }
        }
        floors.sort();
        floors
    }

    /// Takes over the servers of a configuration.
    pub fn declare(&self, node: &Arc<Node>, catalogue: &Catalogue) {
        let mut by_pool: BTreeMap<SmolStr, Vec<&BackendServer>> = BTreeMap::new();
        for server in catalogue.servers() {
            by_pool.entry(server.pool()).or_default().push(server);
        }
        for pool in self.all() {
            if !by_pool.contains_key(pool.name()) {
                pool.declare(&[], &self.data_centre);
            }
        }
        for (name, servers) in by_pool {
            let pool = self.open(&node.metrics, &name, Preemption::Here);
            let chosen = self.subset(servers);
            let known: Vec<ServerId> = pool.servers().iter().map(|(id, _)| *id).collect();
            pool.declare(&chosen, &self.data_centre);
            let new = pool
                .servers()
                .into_iter()
                .filter(|(id, _)| !known.contains(id));
            for (id, server) in new {
                tokio::spawn(poll(Arc::clone(node), Arc::clone(&pool), id, server));
            }
        }
    }

    /// Takes over the servers of one pool whose servers tell their load along with answers, and see to
    /// the order of their requests themselves.
    pub fn replace(&self, metrics: &Arc<Metrics>, name: &SmolStr, servers: &[&BackendServer]) {
        let pool = self.open(metrics, name, Preemption::AtServer);
        pool.declare(servers, &self.data_centre);
    }

    fn open(&self, metrics: &Arc<Metrics>, name: &SmolStr, preemption: Preemption) -> Arc<Pool> {
        let mut pools = self.lock();
        let pool = pools.entry(name.clone()).or_insert_with(|| {
            let seed = placement::rendezvous(placement::hash(name.as_bytes()), &self.instance);
            let metrics = Arc::clone(metrics);
            Pool::with_preemption(name.clone(), self.limits, metrics, seed, preemption)
        });
        Arc::clone(pool)
    }

    /// The servers that this instance sends to: those in its own data centre first, and among equals
    /// those with the highest weight, so that each server has about as many instances as any other.
    fn subset<'a>(&self, mut servers: Vec<&'a BackendServer>) -> Vec<&'a BackendServer> {
        let own = placement::hash(self.instance.as_bytes());
        servers.sort_by_key(|s| {
            let remote = s.data_centre != self.data_centre;
            (
                remote,
                std::cmp::Reverse(placement::rendezvous(own, &s.name)),
            )
        });
        servers.truncate(SUBSET);
        servers
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SmolStr, Arc<Pool>>> {
        self.by_name.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Looks at every pool again and again.
pub async fn tick(node: Arc<Node>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut told = Vec::new();
    let mut told_at = Instant::now();
    loop {
        interval.tick().await;
        for pool in node.pools.all() {
            let hold = node.fleet.floor(pool.name(), FloorKind::Hold);
            let evict = node.fleet.floor(pool.name(), FloorKind::Evict);
            pool.set_floors(hold, evict);
            pool.tick();
        }
        let wanted = node.pools.wanted_floors();
        if wanted != told && told_at.elapsed() >= TELL {
            node.fleet.broadcast(&node.beat(), None);
            told = wanted;
            told_at = Instant::now();
        }
    }
}

/// Asks one server for its load until it is gone from the pool.
async fn poll(node: Arc<Node>, pool: Arc<Pool>, id: ServerId, server: BackendServer) {
    let mut missed = 0;
    loop {
        if let Ok(report) = node.backends.report(server.address).await {
            missed = 0;
            if report.leaving {
                let now_ms = changelog::now_ms();
                node.departures.heard(&node, &server.name, now_ms, None);
            }
            pool.heard(id, report);
        } else {
            missed += 1;
            if missed >= MISSED {
                pool.failed(id, true);
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
        let known = pool.servers().into_iter().find(|(other, _)| *other == id);
        if known.is_none() {
            return;
        }
    }
}

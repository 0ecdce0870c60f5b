//! All pools of one instance.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};

use smol_str::SmolStr;

use crate::config::catalogue::Catalogue;
use crate::config::object::{BackendServer, Level};
use crate::load::pool::{Limits, Pool, Preemption, ServerId};
use crate::load::pressure::FloorKind;
use crate::metrics::Metrics;
use crate::rendezvous;
use crate::settings::Settings;

/// Backend servers of one pool that an instance sends to at most.
const SUBSET: usize = 64;
/// A server that a pool didn't have before.
pub struct NewServer {
    /// The pool.
    pub pool: Arc<Pool>,
    /// The server's id there.
    pub id: ServerId,
    /// The server as declared.
    pub declared: BackendServer,
}

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
    pub fn requested_floors(&self) -> Vec<(SmolStr, FloorKind, Level)> {
        let mut floors = Vec::new();
        for pool in self.all() {
            for kind in [FloorKind::Hold, FloorKind::Evict] {
                let level = pool.requested_floor(kind);
                if level != Level::MAX {
                    floors.push((pool.name().clone(), kind, level));
                }
            }
        }
        floors.sort();
        floors
    }

    /// Takes over the servers of a configuration, and tells which are new to their pools.
    pub fn update_servers(&self, metrics: &Arc<Metrics>, catalogue: &Catalogue) -> Vec<NewServer> {
        let mut all_new = Vec::new();
        let mut by_pool: BTreeMap<SmolStr, Vec<&BackendServer>> = BTreeMap::new();
        for server in catalogue.servers() {
            by_pool.entry(server.pool()).or_default().push(server);
        }
        for pool in self.all() {
            if !by_pool.contains_key(pool.name()) {
                pool.update_servers(&[], &self.data_centre);
            }
        }
        for (name, servers) in by_pool {
            let pool = self.open(metrics, &name, Preemption::Here);
            let chosen = self.subset(servers);
            let known: Vec<ServerId> = pool.servers().iter().map(|(id, _)| *id).collect();
            pool.update_servers(&chosen, &self.data_centre);
            let new = pool
                .servers()
                .into_iter()
                .filter(|(id, _)| !known.contains(id));
            all_new.extend(new.map(|(id, declared)| NewServer {
                pool: Arc::clone(&pool),
                id,
                declared,
            }));
        }
        all_new
    }

    /// Takes over the servers of one pool whose servers tell their load along with answers, and see to
    /// the order of their requests themselves.
    pub fn update_pool(&self, metrics: &Arc<Metrics>, name: &SmolStr, servers: &[&BackendServer]) {
        let pool = self.open(metrics, name, Preemption::AtServer);
        pool.update_servers(servers, &self.data_centre);
    }

    fn open(&self, metrics: &Arc<Metrics>, name: &SmolStr, preemption: Preemption) -> Arc<Pool> {
        let mut pools = self.lock();
        let pool = pools.entry(name.clone()).or_insert_with(|| {
            let seed = rendezvous::weight(rendezvous::hash(name.as_bytes()), &self.instance);
            let metrics = Arc::clone(metrics);
            Pool::with_preemption(name.clone(), self.limits, metrics, seed, preemption)
        });
        Arc::clone(pool)
    }

    /// The servers that this instance sends to: those in its own data centre first, and among equals
    /// those with the highest weight, so that each server has about as many instances as any other.
    fn subset<'a>(&self, mut servers: Vec<&'a BackendServer>) -> Vec<&'a BackendServer> {
        let own = rendezvous::hash(self.instance.as_bytes());
        servers.sort_by_key(|s| {
            let remote = s.data_centre != self.data_centre;
            (remote, std::cmp::Reverse(rendezvous::weight(own, &s.name)))
        });
        servers.truncate(SUBSET);
        servers
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SmolStr, Arc<Pool>>> {
        self.by_name.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

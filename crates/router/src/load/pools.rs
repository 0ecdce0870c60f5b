//! The pools of one instance, and which backend servers of each it uses.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::config::catalogue::Catalogue;
use crate::config::object::{BackendServer, Level};
use crate::load::admission_floors::FloorKind;
use crate::load::crash_evidence::CrashNotices;
use crate::load::fleet_demand::ClassSummary;
use crate::load::pool::{Limits, Pool, Preemption, ServerId};
use crate::load::quarantine;
use crate::load::rate_limit::{Members, Notice};
use crate::load::server_speed::SpeedSummary;
use crate::metrics::Metrics;
use crate::rendezvous;
use crate::settings::Settings;

/// Maximum number of backend servers of one pool that an instance sends requests to.
const SUBSET_SIZE: usize = 64;
/// Maximum number of unknown pools of which peers' notices are kept.
const MAX_EARLY_POOLS: usize = 32;
/// Maximum number of notices that are kept for each of them.
const MAX_EARLY_NOTICES: usize = 512;

/// Time for which it is remembered that a server is leaving.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of servers of which that is remembered.
const MAX_LEAVING: usize = 4_096;

/// A server that was added to a pool.
pub struct NewServer {
    /// The pool that it was added to.
    pub pool: Arc<Pool>,
    /// Its key in that pool.
    pub id: ServerId,
    /// Its declaration in the configuration.
    pub declared: BackendServer,
}

/// All pools of one instance, by name.
pub struct Pools {
    instance: SmolStr,
    data_centre: SmolStr,
    limits: Limits,
    by_name: Mutex<HashMap<SmolStr, Arc<Pool>>>,
    /// Number of calls of [`Self::next_demand`].
    demand_turn: AtomicUsize,
    /// Servers that are known to be leaving, declared or not, with the time of the last notice.
    leaving: Mutex<HashMap<SmolStr, Instant>>,
    /// What peers said of crashes in pools that this instance doesn't know yet.
    early_crashes: Mutex<HashMap<SmolStr, CrashNotices>>,
}

/// Demand for one pool, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Name of the pool.
    #[serde(rename = "p")]
    pub pool: SmolStr,
    /// Demand of the average instance by class.
    #[serde(rename = "c")]
    pub classes: Vec<ClassSummary>,
    /// Speed of some of the servers; empty if they are alike.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<SpeedSummary>,
}

/// What was heard of the rate limits of one pool's servers, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolLimits {
    /// Name of the pool.
    #[serde(rename = "p")]
    pub pool: SmolStr,
    /// The limits.
    #[serde(rename = "l")]
    pub limits: Vec<Notice>,
}

/// That the servers of one pool say that they are brittle, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittlePool {
    /// Name of the pool.
    #[serde(rename = "p")]
    pub pool: SmolStr,
    /// Time since an instance last heard it from a server, in ms.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// What is known of crashes of one pool's servers, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCrashes {
    /// Name of the pool.
    #[serde(rename = "p")]
    pub pool: SmolStr,
    /// What is known of prompt segments.
    #[serde(rename = "n")]
    pub segments: Vec<quarantine::Notice>,
    /// What is known of requests; older builds neither send nor read it.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub requests: Vec<quarantine::Notice>,
}

impl Pools {
    /// Creates an empty set of pools.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let limits = Limits {
            queue_bytes: settings.limits.queue_bytes,
            unstarted: u32::try_from(settings.limits.unstarted).unwrap_or(u32::MAX),
            room_limit: settings.limits.room,
        };
        Self {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            limits,
            by_name: Mutex::default(),
            demand_turn: AtomicUsize::new(0),
            leaving: Mutex::default(),
            early_crashes: Mutex::default(),
        }
    }

    /// The pool of that name, or `None` if no configuration has named it.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<Arc<Pool>> {
        self.lock().get(name).cloned()
    }

    /// All pools, in no particular order.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Pool>> {
        self.lock().values().cloned().collect()
    }

    /// The admission floors that this instance requests, sorted by pool name and kind. Pools
    /// without a floor are left out.
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

    /// The demand for one of the pools, another one at each call, so that the size of a heartbeat doesn't
    /// grow with the number of pools. Pools with fewer than two classes and without known speeds are left out.
    #[must_use]
    pub fn next_demand(&self) -> Option<PoolDemand> {
        let of_pool = |pool: &Arc<Pool>| PoolDemand {
            pool: pool.name().clone(),
            classes: pool.demand(),
            speeds: pool.speeds(),
        };
        let mut demand: Vec<PoolDemand> = self.all().iter().map(of_pool).collect();
        demand.retain(|d| d.classes.len() > 1 || !d.speeds.is_empty());
        demand.sort_by(|a, b| a.pool.cmp(&b.pool));
        let turn = self.demand_turn.fetch_add(1, Ordering::Relaxed);
        let index = turn.checked_rem(demand.len())?;
        Some(demand.swap_remove(index))
    }

    /// Takes the demand known to a peer into account.
    pub fn merge_demand(&self, peer: &PoolDemand) {
        if let Some(pool) = self.get(&peer.pool) {
            pool.merge_demand(&peer.classes);
            pool.merge_speeds(&peer.speeds);
        }
    }

    /// Records a notice that a server is leaving. It also holds for a declaration that comes later, unless the servers of
    /// the pool are polled, and say so themselves.
    pub fn mark_leaving(&self, server: &SmolStr) {
        let now = Instant::now();
        let mut leaving = self.lock_leaving();
        leaving.retain(|_, at| now.saturating_duration_since(*at) < LEAVING_RETENTION);
        if leaving.len() < MAX_LEAVING || leaving.contains_key(server) {
            leaving.insert(server.clone(), now);
        } else {
            log::warn!("server={server} leaving=not_kept reason=\"too many servers are leaving\"");
        }
        drop(leaving);
        for pool in self.all() {
            pool.mark_leaving(server, now);
        }
    }

    fn apply_leaving(&self, pool: &Pool) {
        for (server, at) in self.lock_leaving().iter() {
            pool.mark_leaving(server, *at);
        }
    }

    fn lock_leaving(&self) -> MutexGuard<'_, HashMap<SmolStr, Instant>> {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the instances among which the rate limits of servers are divided.
    pub fn set_members(&self, members: &Arc<Members>) {
        for pool in self.all() {
            pool.set_members(Arc::clone(members));
        }
    }

    /// Takes the notices of rate limits that are due to be sent to the other instances.
    #[must_use]
    pub fn take_limit_notices(&self) -> Vec<PoolLimits> {
        self.collect_limits(Pool::take_limit_notices)
    }

    /// Notices of all rate limits in force, for an instance that has just been linked.
    #[must_use]
    pub fn limit_notices(&self) -> Vec<PoolLimits> {
        self.collect_limits(Pool::limit_notices)
    }

    fn collect_limits(&self, notices: impl Fn(&Pool) -> Vec<Notice>) -> Vec<PoolLimits> {
        let pools = self.all();
        let collected = pools.iter().map(|pool| PoolLimits {
            pool: pool.name().clone(),
            limits: notices(pool),
        });
        collected.filter(|p| !p.limits.is_empty()).collect()
    }

    /// Takes into account what a peer has heard of rate limits.
    pub fn merge_limits(&self, peer: &[PoolLimits]) {
        for PoolLimits { pool, limits } in peer {
            if let Some(pool) = self.get(pool) {
                pool.merge_limits(limits);
            }
        }
    }

    /// Takes the pools of which it is to be announced that their servers are brittle.
    #[must_use]
    pub fn take_brittle(&self) -> Vec<BrittlePool> {
        let pools = self.all();
        let announced = pools.iter().filter_map(|pool| {
            let age = pool.take_brittleness()?;
            Some(BrittlePool {
                pool: pool.name().clone(),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        announced.collect()
    }

    /// Takes into account what a peer has heard of brittle servers.
    pub fn merge_brittle(&self, peer: &[BrittlePool]) {
        for BrittlePool { pool, age_ms } in peer {
            if let Some(pool) = self.get(pool) {
                pool.merge_brittleness(Duration::from_millis((*age_ms).into()));
            }
        }
    }

    /// Takes the notices on crashes that are due to be sent to the other instances.
    #[must_use]
    pub fn take_crash_notices(&self) -> Vec<PoolCrashes> {
        self.collect_crashes(Pool::take_crash_notices)
    }

    /// All that is known of crashes, for an instance that has just been linked.
    #[must_use]
    pub fn crash_notices(&self) -> Vec<PoolCrashes> {
        self.collect_crashes(Pool::crash_notices)
    }

    fn collect_crashes(&self, notices: impl Fn(&Pool) -> CrashNotices) -> Vec<PoolCrashes> {
        let mut collected = Vec::new();
        for pool in self.all() {
            let notices = notices(&pool);
            if !notices.is_empty() {
                collected.push(PoolCrashes {
                    pool: pool.name().clone(),
                    segments: notices.segments,
                    requests: notices.requests,
                });
            }
        }
        collected
    }

    /// Takes into account what a peer, or the platform's store, knows of crashes. An instance that has just started
    /// may learn of them before it knows the pool.
    pub fn merge_crashes(&self, known: Vec<PoolCrashes>) {
        for PoolCrashes {
            pool,
            segments,
            requests,
        } in known
        {
            let notices = CrashNotices { segments, requests };
            match self.get(&pool) {
                Some(pool) => pool.merge_crashes(&notices),
                None => self.keep_early(pool, notices),
            }
        }
    }

    fn keep_early(&self, pool: SmolStr, notices: CrashNotices) {
        let mut early = self.lock_early();
        if early.len() >= MAX_EARLY_POOLS && !early.contains_key(&pool) {
            log::warn!("pool={pool} crashes=dropped reason=\"too many unknown pools\"");
            return;
        }
        let kept = early.entry(pool).or_default();
        extend(&mut kept.segments, notices.segments);
        extend(&mut kept.requests, notices.requests);
    }

    fn lock_early(&self) -> MutexGuard<'_, HashMap<SmolStr, CrashNotices>> {
        let early = self.early_crashes.lock();
        early.unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates all pools to the servers of a configuration, and returns the servers that were
    /// added. Pools that it doesn't name lose their servers.
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
            let pool = self.get_or_create(metrics, &name, Preemption::ByRouter);
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

    /// Updates one pool, without selecting a subset, whose servers report their load with their
    /// responses and preempt requests themselves.
    pub fn update_pool(&self, metrics: &Arc<Metrics>, name: &SmolStr, servers: &[&BackendServer]) {
        let pool = self.get_or_create(metrics, name, Preemption::ByServer);
        pool.update_servers(servers, &self.data_centre);
        self.apply_leaving(&pool);
    }

    /// Takes into account that `server`, of the pool `name`, was there for a while and is gone, or has changed since.
    pub fn record_past_server(
        &self,
        metrics: &Arc<Metrics>,
        name: &SmolStr,
        server: &BackendServer,
    ) {
        let pool = self.get_or_create(metrics, name, Preemption::ByServer);
        pool.record_past_server(server);
    }

    fn get_or_create(
        &self,
        metrics: &Arc<Metrics>,
        name: &SmolStr,
        preemption: Preemption,
    ) -> Arc<Pool> {
        let mut pools = self.lock();
        let pool = pools.entry(name.clone()).or_insert_with(|| {
            let seed = rendezvous::weight(rendezvous::hash(name.as_bytes()), &self.instance);
            let metrics = Arc::clone(metrics);
            let pool = Pool::with_preemption(name.clone(), self.limits, metrics, seed, preemption);
            if let Some(early) = self.lock_early().remove(name) {
                pool.merge_crashes(&early);
            }
            pool
        });
        Arc::clone(pool)
    }

    /// The servers that this instance sends requests to: those in its data centre first, then by
    /// rendezvous weight, so that every server is used by about the same number of instances.
    fn subset<'a>(&self, mut servers: Vec<&'a BackendServer>) -> Vec<&'a BackendServer> {
        let instance_hash = rendezvous::hash(self.instance.as_bytes());
        servers.sort_by_key(|s| {
            let remote = s.data_centre != self.data_centre;
            (
                remote,
                std::cmp::Reverse(rendezvous::weight(instance_hash, &s.name)),
            )
        });
        servers.truncate(SUBSET_SIZE);
        servers
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SmolStr, Arc<Pool>>> {
        self.by_name.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds as many notices as there is room for.
fn extend(kept: &mut Vec<quarantine::Notice>, notices: Vec<quarantine::Notice>) {
    let room = MAX_EARLY_NOTICES.saturating_sub(kept.len());
    kept.extend(notices.into_iter().take(room));
}

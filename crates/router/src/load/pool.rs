//! A pool: the backend servers of a model or generic service, and the requests of this instance
//! that wait for them.
//!
//! Backend servers of models schedule by priority, so the requests of all instances are ordered in
//! the queue of the server. An instance keeps only a few unstarted requests (sent, but without a
//! first token) at each server, and the rest in its own queue. Unstarted requests of less important
//! tiers don't delay a more important request.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::config::object::{BackendServer, Level};
use crate::error::{Fault, Kind};
use crate::load::admission_floors::{AdmissionFloors, FloorKind};
use crate::load::arrival_rates::ArrivalRates;
use crate::load::brittleness::Brittleness;
use crate::load::crash_evidence::CrashEvidence;
use crate::load::demand::Demand;
use crate::load::fleet_demand::{ClassSummary, FleetDemand};
use crate::load::partition::Partition;
use crate::load::prompt_placement::Prompt;
use crate::load::queue::{EntryId, Queue};
use crate::load::room::Room;
pub use crate::load::server::ServerId;
use crate::load::server::{Declaration, LoadReport, Server};
use crate::load::server_speed::{ServerSpeeds, SpeedSummary};
use crate::metrics::Metrics;

mod admission;
mod brittle_servers;
mod crashes;
mod dispatch;
mod periodic;
mod permit;
mod prompts;
mod rate_limits;
mod rests;
mod room;
mod state;
mod supply;
mod suspects;
mod versions;

pub use admission::{AdmissionRequest, Directive, Limits, LostServer, Preemption, Stats};
pub use crashes::SuspectedCrash;
pub use permit::Permit;
pub use room::Patience;

use state::{State, Waiter};
pub use versions::CommonVersion;
use versions::VersionHistory;

new_key_type! {
    /// Key of a request that holds a permit.
    struct GrantId;
}

/// Retry tokens added per complete response.
const RETRY_TOKENS_PER_SUCCESS: f64 = 0.2;
/// Capacity of the retry token bucket.
const RETRY_TOKENS_MAX: f64 = 100.0;
/// Retry tokens of a new pool.
const RETRY_TOKENS_INITIAL: f64 = 20.0;
/// Weight of a new sample in the moving average of tokens per response of a class.
const COST_EWMA_WEIGHT: f64 = 0.1;

type PendingReply = (
    oneshot::Sender<Result<Permit, Fault>>,
    Result<Permit, Fault>,
);

/// A pool as seen by one instance.
pub struct Pool {
    name: SmolStr,
    limits: Limits,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates a pool without servers that preempts requests itself. `seed` seeds its random
    /// choices.
    #[must_use]
    pub fn new(name: SmolStr, limits: Limits, metrics: Arc<Metrics>, seed: u64) -> Arc<Self> {
        Self::with_preemption(name, limits, metrics, seed, Preemption::ByRouter)
    }

    /// Creates a pool as [`Self::new`] does, with the given mode of preemption.
    #[must_use]
    pub fn with_preemption(
        name: SmolStr,
        limits: Limits,
        metrics: Arc<Metrics>,
        seed: u64,
        preemption: Preemption,
    ) -> Arc<Self> {
        let state = State {
            preemption,
            queue: Queue::default(),
            servers: SlotMap::with_key(),
            versions: VersionHistory::default(),
            grants: SlotMap::with_key(),
            classes: HashMap::new(),
            floors: AdmissionFloors::default(),
            arrivals: ArrivalRates::default(),
            demand: Demand::default(),
            fleet_demand: FleetDemand::default(),
            partition: Partition::default(),
            speeds: ServerSpeeds::default(),
            room: Room::default(),
            instances: 1,
            members: Arc::default(),
            undeclared_limits: HashMap::new(),
            rests: HashMap::new(),
            announcements: BTreeSet::new(),
            brittleness: Brittleness::default(),
            shares_assigned: false,
            evidence: CrashEvidence::new(Instant::now()),
            losses: HashMap::new(),
            partitioned: None,
            retry_tokens: RETRY_TOKENS_INITIAL,
            cached_prefixes: HashMap::new(),
            last_tick: Instant::now(),
            measure_after: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
        };
        Arc::new(Self {
            name,
            limits,
            metrics,
            state: Mutex::new(state),
        })
    }

    /// The pool's name.
    #[must_use]
    pub const fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Replaces the servers of the pool. Those that stay keep their state. Removed ones are marked
    /// as leaving, and dropped as soon as they have no request of this instance.
    /// `data_centre` is that of this instance.
    pub fn update_servers(self: &Arc<Self>, declared: &[&BackendServer], data_centre: &str) {
        let now = Instant::now();
        let mut state = self.lock();
        state.versions.update(declared, now);
        let removed: Vec<ServerId> = state
            .servers
            .iter()
            .filter(|(_, s)| !declared.iter().any(|d| same_server(d, &s.declared)))
            .map(|(id, _)| id)
            .collect();
        for id in removed {
            state.servers[id].declared.leaving = true;
            state.servers[id].declaration = Declaration::Removed;
            if state.servers[id].in_flight() == 0 {
                state.remove_server(id);
            }
        }
        for server in declared {
            let known = state
                .servers
                .values_mut()
                .find(|s| same_server(server, &s.declared));
            if let Some(known) = known {
                known.declared = (*server).clone();
                known.declaration = Declaration::Current;
            } else {
                let local = server.data_centre == data_centre;
                state.add_server(Server::new((*server).clone(), local), now);
            }
        }
        state.assign_shares();
        drop(state);
        self.dispatch_waiting();
    }

    /// Waits for a permit to send a request to one of the servers.
    ///
    /// # Errors
    /// `overloaded` if the request is below the evict floor, is evicted or reaches its longest
    /// wait; `no_backend_server` if it reaches its longest wait while no server is available;
    /// `prompt_quarantined` or `request_quarantined` if it crashes servers, `request_suspected` if it may and another
    /// instance is to try it.
    pub async fn acquire(self: &Arc<Self>, admission: AdmissionRequest) -> Result<Permit, Fault> {
        self.acquire_for_prompt(admission, Prompt::default()).await
    }

    /// Waits for a permit for the server that is expected to finish the prefill of `prompt` first. A request that
    /// only servers of one version may take waits outside of the queue, so that it doesn't hold up others.
    ///
    /// # Errors
    /// As for [`Self::acquire`]; `no_backend_server` at once if no server has the version.
    pub async fn acquire_for_prompt(
        self: &Arc<Self>,
        mut admission: AdmissionRequest,
        prompt: Prompt,
    ) -> Result<Permit, Fault> {
        let trial = self.wait_for_suspect(&admission).await?;
        if admission.version.is_some() {
            return self.acquire_for_version(&admission, prompt).await;
        }
        let now = Instant::now();
        let (reply, receiver) = oneshot::channel();
        let id = {
            let mut state = self.lock();
            admission.attributes.cost = state.cost(&admission.attributes.class);
            state.arrivals.record(admission.attributes.level, now);
            if let Some(fault) = state.check_rate_limits(&admission, now) {
                self.metrics.count("shed.rate_limit");
                return Err(fault);
            }
            if let Some(fault) = state.check_rests(&admission, now) {
                self.metrics.count("shed.rest");
                return Err(fault);
            }
            if let Some(fault) = state.check_admission(&admission, now) {
                self.metrics.count("shed.floor");
                return Err(fault);
            }
            state.start_progress_timer(&admission.attributes.class, now);
            let attributes = admission.attributes.clone();
            state.queue.push(
                attributes,
                now,
                Waiter {
                    admission,
                    prompt,
                    trial,
                    reply,
                },
            )
        };
        let cancel = CancelOnDrop { pool: self, id };
        self.dispatch_waiting();
        let result = receiver
            .await
            .unwrap_or_else(|_| Err(Fault::new(Kind::Internal, "the pool dropped the request")));
        drop(cancel);
        result
    }

    /// Issues a permit for the server of that name without waiting, to resume a stream that the
    /// server holds. `None` if the pool has no such server.
    #[must_use]
    pub fn acquire_on(
        self: &Arc<Self>,
        server: &str,
        admission: &AdmissionRequest,
    ) -> Option<Permit> {
        let mut state = self.lock();
        let (id, _) = state.servers.iter().find(|(_, s)| s.name() == server)?;
        Some(self.issue_permit(
            &mut state,
            id,
            admission,
            Prompt::default(),
            false,
            Instant::now(),
        ))
    }

    /// Takes a token from the retry token bucket; `false` if it is empty and the request must not
    /// be retried.
    pub fn take_retry_token(&self) -> bool {
        let mut state = self.lock();
        let taken = state.retry_tokens >= 1.0;
        if taken {
            state.retry_tokens -= 1.0;
        }
        taken
    }

    /// Records a load report of a server, which also closes its circuit breaker.
    pub fn record_load(self: &Arc<Self>, server: ServerId, report: LoadReport) {
        let now = Instant::now();
        let mut state = self.lock();
        let State {
            servers,
            speeds,
            room,
            ..
        } = &mut *state;
        if let Some(server) = servers.get_mut(server) {
            room.record_load(report, server.declared.slots, now);
            server.record_load(report, now);
            if let Some(percent) = server.work_percent() {
                speeds.record(server.name(), percent);
            }
            if server.record_success() {
                log::info!("server={} state=up", server.name());
            }
        }
        drop(state);
        self.dispatch_waiting();
    }

    /// Records a failure of a server and opens its circuit breaker. If the server is `unreachable`,
    /// its requests are sent [`Directive::ServerDown`].
    pub fn record_failure(self: &Arc<Self>, server: ServerId, unreachable: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        let jitter = state.rng.random_range(0.0..1.0);
        if let Some(server) = state.servers.get_mut(server)
            && server.record_failure(now, jitter)
        {
            log::warn!("server={} state=down", server.name());
            self.metrics.count("server.down");
        }
        if unreachable {
            let grants = state.grants.values().filter(|g| g.server == server);
            for grant in grants {
                grant.directive.send_replace(Directive::ServerDown);
            }
        }
    }

    /// Closes all circuit breakers, after failures that this instance was the cause of.
    pub fn forget_failures(self: &Arc<Self>) {
        let mut state = self.lock();
        for server in state.servers.values_mut() {
            server.record_success();
        }
        drop(state);
        self.dispatch_waiting();
    }

    /// Records a notice of that time that the server of that name is leaving.
    pub fn mark_leaving(&self, server: &str, at: Instant) {
        let mut state = self.lock();
        for server in state.servers.values_mut().filter(|s| s.name() == server) {
            server.mark_leaving(at);
        }
    }

    /// The keys and declarations of all servers, including those that are leaving.
    #[must_use]
    pub fn servers(&self) -> Vec<(ServerId, BackendServer)> {
        let state = self.lock();
        let servers = state.servers.iter();
        servers.map(|(id, s)| (id, s.declared.clone())).collect()
    }

    /// Whether the pool has any server, available or not.
    #[must_use]
    pub fn has_servers(&self) -> bool {
        !self.lock().servers.is_empty()
    }

    /// Returns the counters for the status reply.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let now = Instant::now();
        let state = self.lock();
        Stats {
            waiting: state.queue.len(),
            in_flight: state.grants.len(),
            servers: state.servers.len(),
            available: state.servers.values().filter(|s| s.available(now)).count(),
            limited: state.servers.values().filter(|s| s.is_limited()).count(),
            quarantined: state.evidence.quarantined(now).count(),
        }
    }

    /// The floor of a kind that this instance requests of all instances; `Level::MAX` for none.
    #[must_use]
    pub fn requested_floor(&self, kind: FloorKind) -> Level {
        let now = Instant::now();
        let state = self.lock();
        match kind {
            FloorKind::Hold => state.floors.requested_hold(now),
            FloorKind::Evict => state.floors.requested_evict(now),
        }
    }

    /// Sets the floors that the other instances request; `Level::MAX` for none.
    pub fn set_floors(&self, hold: Level, evict: Level) {
        self.lock().floors.set_fleet_floors(hold, evict);
    }

    /// The demand of the average instance, to be sent to peers.
    #[must_use]
    pub fn demand(&self) -> Vec<ClassSummary> {
        self.lock().fleet_demand.summaries()
    }

    /// Takes the demand known to a peer into account.
    pub fn merge_demand(&self, peer: &[ClassSummary]) {
        self.lock().fleet_demand.merge(peer);
    }

    /// What is known of the speed of some of the servers, to be sent to a peer.
    #[must_use]
    pub fn speeds(&self) -> Vec<SpeedSummary> {
        let mut state = self.lock();
        let start = state.rng.random_range(0..=u16::MAX);
        state.speeds.summaries(start.into())
    }

    /// Takes what a peer knows of the speed of the servers into account.
    pub fn merge_speeds(&self, peer: &[SpeedSummary]) {
        self.lock().speeds.merge(peer);
    }

    /// Sets the number of instances that send requests to the pool, this one included.
    pub fn set_instances(&self, instances: usize) {
        self.lock().instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
    }

    fn cancel(&self, id: EntryId) {
        self.lock().queue.remove(id);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn same_server(a: &BackendServer, b: &BackendServer) -> bool {
    a.name == b.name && a.address == b.address
}

/// Removes a request from the queue when its caller disconnects and the future is dropped.
struct CancelOnDrop<'a> {
    pool: &'a Arc<Pool>,
    id: EntryId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.pool.cancel(self.id);
    }
}

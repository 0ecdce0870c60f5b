//! A pool: the backend servers of a model or generic service, and the requests of this instance
//! that wait for them.
//!
//! Backend servers of models schedule by priority, so the requests of all instances are ordered in
//! the queue of the server. An instance keeps only a few unstarted requests (sent, but without a
//! first token) at each server, and the rest in its own queue. Unstarted requests of less important
//! tiers don't delay a more important request.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::config::object::{BackendServer, Level};
use crate::error::{Fault, Kind};
use crate::load::admission_floors::{AdmissionFloors, FloorKind};
use crate::load::arrival_rates::ArrivalRates;
use crate::load::demand::Demand;
use crate::load::fleet_demand::{ClassSummary, FleetDemand};
use crate::load::partition::Partition;
use crate::load::placement::Choice;
use crate::load::prompt_placement::Prompt;
use crate::load::queue::{EntryId, Queue, RequestAttributes};
pub use crate::load::server::ServerId;
use crate::load::server::{Declaration, LoadReport, Server};
use crate::metrics::Metrics;

mod periodic;
mod permit;
mod prompts;
mod rate_limits;
mod state;
mod versions;

pub use permit::Permit;

use state::{Grant, Stage, State, Waiter};
use versions::SeenVersions;

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

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Attributes used by the queue. The pool sets `cost` on admission.
    pub attributes: RequestAttributes,
    /// Hash of the prompt's prefix for cache affinity, or 0 for none.
    pub prefix_hash: u64,
    /// Target for the time to first token; `None` if the class has none.
    pub first_token_target: Option<Duration>,
    /// Target for the longest pause between events of the response; `None` if the class has none.
    pub gap_target: Option<Duration>,
    /// Whether the class has any latency target; stragglers are avoided then.
    pub latency_sensitive: bool,
    /// Longest time that the class may wait without any of its requests being sent (starvation
    /// bound).
    pub starvation_bound: Duration,
    /// Longest time in the queue, after which the request is rejected.
    pub max_wait: Duration,
    /// The software version that a server must have to take the request; `None` for any.
    pub version: Option<SmolStr>,
    /// Servers that have failed this request; they are used only if no other has capacity.
    pub avoid: Vec<ServerId>,
    /// The server that holds the request's paused stream, if any; it is preferred.
    pub prefer: Option<ServerId>,
}

/// Instruction of the pool to a request that holds a permit. Later variants take precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Directive {
    /// Continue.
    Continue,
    /// Migrate to another server if possible, because this one is a straggler.
    Migrate,
    /// Release the slot for a more important request, and queue again.
    Preempt,
    /// The server can't be reached.
    ServerDown,
}

/// Limits of one pool at one instance.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of waiting requests above which requests are evicted once the evict floor has reached
    /// the other instances, and above twice of which they are evicted at once.
    pub queue_bytes: usize,
    /// Unstarted requests that this instance may have at a server without a free slot.
    pub unstarted: u32,
}

/// Who preempts less important requests at a full server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// The pool, by sending [`Directive::Preempt`] to a running request.
    ByRouter,
    /// The server, by the priorities of its requests.
    ByServer,
}

/// Counters for the status reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests in the queue of this instance.
    pub waiting: usize,
    /// Requests that hold a permit.
    pub in_flight: usize,
    /// Servers, including removed ones that still have requests of this instance.
    pub servers: usize,
    /// Servers that take new requests.
    pub available: usize,
    /// Servers with a rate limit.
    pub limited: usize,
}

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
            seen_versions: SeenVersions::default(),
            grants: SlotMap::with_key(),
            classes: HashMap::new(),
            floors: AdmissionFloors::default(),
            arrivals: ArrivalRates::default(),
            demand: Demand::default(),
            fleet_demand: FleetDemand::default(),
            partition: Partition::default(),
            instances: 1,
            members: Arc::default(),
            undeclared_limits: HashMap::new(),
            announcements: BTreeSet::new(),
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
        state.seen_versions.update(declared, now);
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
        drop(state);
        self.dispatch_waiting();
    }

    /// Waits for a permit to send a request to one of the servers.
    ///
    /// # Errors
    /// `overloaded` if the request is below the evict floor, is evicted or reaches its longest
    /// wait; `no_backend_server` if it reaches its longest wait while no server is available.
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
        if let Some(server) = state.servers.get_mut(server) {
            server.record_load(report, now);
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

    /// Records a peer's notice that the server of that name is leaving.
    pub fn mark_leaving(&self, server: &str) {
        let now = Instant::now();
        let mut state = self.lock();
        for server in state.servers.values_mut().filter(|s| s.name() == server) {
            server.mark_leaving(now);
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

    /// Sets the number of instances that send requests to the pool, this one included.
    pub fn set_instances(&self, instances: usize) {
        self.lock().instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
    }

    /// Issues permits to waiting requests while servers have capacity, those of starving classes
    /// first.
    fn dispatch_waiting(self: &Arc<Self>) {
        let now = Instant::now();
        let mut state = self.lock();
        let mut replies = Vec::new();
        self.grant_starving(&mut state, now, &mut replies);
        while let Some((entry, server)) = state.next_dispatch(self.limits.unstarted, now) {
            self.dispatch(&mut state, entry, server, false, now, &mut replies);
        }
        drop(state);
        send_replies(replies);
    }

    fn dispatch(
        self: &Arc<Self>,
        state: &mut State,
        entry: EntryId,
        server: ServerId,
        guard: bool,
        now: Instant,
        replies: &mut Vec<PendingReply>,
    ) {
        if let Some(dequeued) = state.queue.dequeue(entry) {
            state.record_progress(&dequeued.attributes.class, now);
            let (admission, prompt) = (&dequeued.item.admission, dequeued.item.prompt);
            let permit = self.issue_permit(state, server, admission, prompt, guard, now);
            replies.push((dequeued.item.reply, Ok(permit)));
        }
    }

    fn issue_permit(
        self: &Arc<Self>,
        state: &mut State,
        server: ServerId,
        admission: &AdmissionRequest,
        prompt: Prompt,
        guard: bool,
        now: Instant,
    ) -> Permit {
        let (directive, receiver) = watch::channel(Directive::Continue);
        let level = admission.attributes.level;
        let uncached = state.record_prefix(server, admission.prefix_hash, prompt, now);
        if prompt.is_known() {
            let class = &admission.attributes.class;
            state
                .demand
                .record_sent(class, admission.gap_target, uncached);
        }
        let grant = state.grants.insert(Grant {
            server,
            attributes: admission.attributes.clone(),
            first_token_target: admission.first_token_target,
            latency_sensitive: admission.latency_sensitive,
            uncached,
            guard,
            sent: now,
            stage: Stage::Unstarted,
            directive,
        });
        let known = &mut state.servers[server];
        known.record_sent(level);
        let version = known.version(now).cloned();
        let usage = known.rate_limit_mut().and_then(|limit| limit.take(now));
        if usage.is_some() {
            self.metrics.count("rate_limit.sent");
        }
        Permit {
            pool: Arc::clone(self),
            grant,
            server,
            declared: known.declared.clone(),
            priority: if guard { 0 } else { level },
            version,
            usage,
            directive: receiver,
        }
    }

    /// Issues a permit with the highest priority to the oldest request of each starving class
    /// (starvation guard).
    fn grant_starving(
        self: &Arc<Self>,
        state: &mut State,
        now: Instant,
        replies: &mut Vec<PendingReply>,
    ) {
        for entry in state.starving(now) {
            let Some(waiter) = state.queue.item(entry) else {
                continue;
            };
            let (admission, prompt) = (waiter.admission.clone(), waiter.prompt);
            let choice = state.choose(&admission, prompt, 0, true, self.limits.unstarted, now);
            if let Choice::Server(server) = choice {
                self.metrics.count("guard.granted");
                self.dispatch(state, entry, server, true, now, replies);
            }
        }
    }

    fn cancel(&self, id: EntryId) {
        self.lock().queue.remove(id);
    }

    fn mark_started(self: &Arc<Self>, grant: GrantId) {
        let now = Instant::now();
        let mut state = self.lock();
        let State {
            grants,
            servers,
            demand,
            preemption,
            ..
        } = &mut *state;
        if let Some(grant) = grants.get_mut(grant).filter(|g| g.stage != Stage::Started) {
            grant.stage = Stage::Started;
            let took = now.saturating_duration_since(grant.sent);
            demand.record_first_token(grant.uncached, took);
            if let Some(server) = servers.get_mut(grant.server) {
                server.remove_unstarted(grant.attributes.level);
                server.record_newest_started(grant.attributes.level, grant.sent);
                if *preemption == Preemption::ByRouter && grant.preemptible() {
                    server.record_preemptible(grant.attributes.level, true);
                }
            }
        }
        drop(state);
        self.dispatch_waiting();
    }

    fn release(self: &Arc<Self>, grant: GrantId) {
        let mut state = self.lock();
        let by_router = state.preemption == Preemption::ByRouter;
        if let Some(grant) = state.grants.remove(grant)
            && let Some(server) = state.servers.get_mut(grant.server)
        {
            server.record_end(grant.attributes.level, grant.stage == Stage::Started);
            if by_router && grant.preemptible() {
                server.record_preemptible(grant.attributes.level, false);
            }
            if server.declaration == Declaration::Removed && server.in_flight() == 0 {
                state.remove_server(grant.server);
            }
        }
        drop(state);
        self.dispatch_waiting();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn same_server(a: &BackendServer, b: &BackendServer) -> bool {
    a.name == b.name && a.address == b.address
}

fn send_replies(replies: Vec<PendingReply>) {
    for (reply, result) in replies {
        // If the caller has disconnected, the permit is dropped here, which releases the slot.
        let _ = reply.send(result);
    }
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

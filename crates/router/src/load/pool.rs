//! One pool: the backend servers of a model or plain service, and the requests that wait for them.
//!
//! Engines honour priorities, so the point where the requests of all instances meet is the engine's
//! own queue. An instance keeps only a few unstarted requests at each engine, and holds the rest here
//! in its own order. A more important request isn't held up by less important unstarted ones.

use std::collections::HashMap;
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
use crate::load::placement::{Choice, Prompt};
use crate::load::pressure::{FloorKind, Pressure};
use crate::load::queue::{EntryId, Queue, RequestAttributes, Taken};
pub use crate::load::server::ServerId;
use crate::load::server::{LoadReport, Server};
use crate::metrics::Metrics;

mod permit;
mod state;

pub use permit::Permit;

use state::{Grant, Stage, State, Waiter};

new_key_type! {
    /// A request that a server was chosen for.
    struct GrantId;
}

/// Retries that one success pays for.
const RETRY_SHARE: f64 = 0.2;
/// Retries saved up at most.
const RETRY_CAP: f64 = 100.0;
/// Retries available at the start.
const RETRY_START: f64 = 20.0;
/// Weight of a new sample in a class's mean number of tokens.
const COST_WEIGHT: f64 = 0.1;

/// What a pool needs to know of a request.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The queue's part.
    pub attributes: RequestAttributes,
    /// Hash of the prompt's beginning, or 0.
    pub prefix_hash: u64,
    /// Target for the first token.
    pub first_token_target: Option<Duration>,
    /// Whether the class has any latency target.
    pub targeted: bool,
    /// Bound within which the class makes progress.
    pub starvation_bound: Duration,
    /// Longest wait.
    pub max_wait: Duration,
    /// Servers that failed this request already.
    pub avoid: Vec<ServerId>,
    /// The server that holds the request's paused stream.
    pub prefer: Option<ServerId>,
}

/// What a running request is told; later variants are more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Directive {
    /// Go on.
    Continue,
    /// Go on at another server, if that is possible, as this one is too slow.
    Migrate,
    /// Give the slot to a more important request, and come back.
    Preempt,
    /// The server is down.
    ServerDown,
}

/// Limits of one pool at one instance.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of waiting requests.
    pub queue_bytes: usize,
    /// Unstarted requests at a server that looks full.
    pub unstarted: u32,
}

/// Who makes room for more important work at a full server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// The pool tells a running request to come back later.
    Here,
    /// The server itself, by the priorities of its requests.
    AtServer,
}

/// Counts that the status answer shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests that wait here.
    pub waiting: usize,
    /// Requests sent and not ended.
    pub in_flight: usize,
    /// Servers declared.
    pub servers: usize,
    /// Servers that get work now.
    pub available: usize,
}

type Reply = (
    oneshot::Sender<Result<Permit, Fault>>,
    Result<Permit, Fault>,
);

/// One pool at one instance.
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
    /// A pool without servers.
    #[must_use]
    pub fn new(name: SmolStr, limits: Limits, metrics: Arc<Metrics>, seed: u64) -> Arc<Self> {
        Self::with_preemption(name, limits, metrics, seed, Preemption::Here)
    }

    /// The same, with a choice of who makes room for more important work.
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
            grants: SlotMap::with_key(),
            classes: HashMap::new(),
            pressure: Pressure::default(),
            retries: RETRY_START,
            warm: HashMap::new(),
            ticked: Instant::now(),
            quiet_until: Instant::now(),
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

    /// Takes over the declared servers; those that stay keep what is known of them.
    pub fn update_servers(self: &Arc<Self>, declared: &[&BackendServer], data_centre: &str) {
        let mut state = self.lock();
        let gone: Vec<ServerId> = state
            .servers
            .iter()
            .filter(|(_, s)| !declared.iter().any(|d| same_server(d, &s.declared)))
            .map(|(id, _)| id)
            .collect();
        for id in gone {
            state.servers[id].declared.leaving = true;
            if state.servers[id].in_flight() == 0 {
                state.servers.remove(id);
            }
        }
        for server in declared {
            let known = state
                .servers
                .values_mut()
                .find(|s| same_server(server, &s.declared));
            if let Some(known) = known {
                known.declared = (*server).clone();
            } else {
                let local = server.data_centre == data_centre;
                state.servers.insert(Server::new((*server).clone(), local));
            }
        }
        drop(state);
        self.pump();
    }

    /// Waits for a server.
    ///
    /// # Errors
    /// `overloaded` when the request gives way, `deadline_exceeded` or `no_backend_server` when its
    /// time is over.
    pub async fn acquire(self: &Arc<Self>, admission: AdmissionRequest) -> Result<Permit, Fault> {
        self.acquire_for_prompt(admission, Prompt::default()).await
    }

    /// Waits for the server that reads `prompt` soonest.
    ///
    /// # Errors
    /// As for `acquire`.
    pub async fn acquire_for_prompt(
        self: &Arc<Self>,
        mut admission: AdmissionRequest,
        prompt: Prompt,
    ) -> Result<Permit, Fault> {
        let now = Instant::now();
        let (reply, answer) = oneshot::channel();
        let id = {
            let mut state = self.lock();
            admission.attributes.cost = state.cost(&admission.attributes.class);
            if let Some(fault) = state.refuse(&admission, now) {
                self.metrics.count("shed.floor");
                return Err(fault);
            }
            state.progress(&admission.attributes.class, now);
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
        let waiting = Waiting { pool: self, id };
        self.pump();
        let result = answer
            .await
            .unwrap_or_else(|_| Err(Fault::new(Kind::Internal, "the pool went away")));
        drop(waiting);
        result
    }

    /// A permit for one server without waiting, to go on with a stream that it holds.
    #[must_use]
    pub fn acquire_on(
        self: &Arc<Self>,
        server: &str,
        admission: &AdmissionRequest,
    ) -> Option<Permit> {
        let mut state = self.lock();
        let (id, _) = state.servers.iter().find(|(_, s)| s.name() == server)?;
        Some(self.grant(
            &mut state,
            id,
            admission,
            Prompt::default(),
            false,
            Instant::now(),
        ))
    }

    /// Pays for one retry, or tells that there have been too many.
    pub fn take_retry_token(&self) -> bool {
        let mut state = self.lock();
        let paid = state.retries >= 1.0;
        if paid {
            state.retries -= 1.0;
        }
        paid
    }

    /// Takes in a server's load report.
    pub fn record_load(self: &Arc<Self>, server: ServerId, report: LoadReport) {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some(server) = state.servers.get_mut(server) {
            server.record_load(report, now);
            if server.succeeded() {
                log::info!("server={} state=up", server.name());
            }
        }
        drop(state);
        self.pump();
    }

    /// Takes in that a server can't be reached: it gets no work for a while, and its requests are told.
    pub fn record_failure(self: &Arc<Self>, server: ServerId, down: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        let jitter = state.rng.random_range(0.0..1.0);
        if let Some(server) = state.servers.get_mut(server)
            && server.record_failure(now, jitter)
        {
            log::warn!("server={} state=down", server.name());
            self.metrics.count("server.down");
        }
        if down {
            let grants = state.grants.values().filter(|g| g.server == server);
            for grant in grants {
                grant.directive.send_replace(Directive::ServerDown);
            }
        }
    }

    /// Takes in a peer's word that a server is leaving.
    pub fn mark_leaving(&self, server: &str) {
        let now = Instant::now();
        let mut state = self.lock();
        for server in state.servers.values_mut().filter(|s| s.name() == server) {
            server.leave(now);
        }
    }

    /// The servers, for those that poll them.
    #[must_use]
    pub fn servers(&self) -> Vec<(ServerId, BackendServer)> {
        let state = self.lock();
        let servers = state.servers.iter();
        servers.map(|(id, s)| (id, s.declared.clone())).collect()
    }

    /// Whether the pool has a server that takes work by declaration.
    #[must_use]
    pub fn has_servers(&self) -> bool {
        !self.lock().servers.is_empty()
    }

    /// Counts for the status answer.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let now = Instant::now();
        let state = self.lock();
        Stats {
            waiting: state.queue.len(),
            in_flight: state.grants.len(),
            servers: state.servers.len(),
            available: state.servers.values().filter(|s| s.open(now)).count(),
        }
    }

    /// The floor of a kind that this instance asks of all; `Level::MAX` for none.
    #[must_use]
    pub fn requested_floor(&self, kind: FloorKind) -> Level {
        let now = Instant::now();
        let state = self.lock();
        match kind {
            FloorKind::Hold => state.pressure.wanted_hold(now),
            FloorKind::Evict => state.pressure.wanted(now),
        }
    }

    /// Takes in the floors that other instances ask for.
    pub fn set_floors(&self, hold: Level, evict: Level) {
        self.lock().pressure.set_fleet(hold, evict);
    }

    /// Ends what waited too long, preempts for what is late, and judges the servers' speed.
    pub fn tick(self: &Arc<Self>) {
        let now = Instant::now();
        let replies = {
            let mut state = self.lock();
            let mut replies = Vec::new();
            state.notice_pause(now);
            state.feel_pressure(now, self.limits.queue_bytes);
            self.evict(&mut state, now, &mut replies);
            self.expire(&mut state, now, &mut replies);
            let preempted = state.preempt(now);
            self.metrics.add("preempted", preempted);
            state.judge();
            state.cool(now);
            replies
        };
        answer(replies);
        self.pump();
    }

    /// Sends out as much waiting work as there is room for.
    fn pump(self: &Arc<Self>) {
        let now = Instant::now();
        let mut state = self.lock();
        let mut replies = Vec::new();
        self.guard(&mut state, now, &mut replies);
        while let Some((entry, server)) = state.next(self.limits.unstarted, now) {
            self.send(&mut state, entry, server, false, now, &mut replies);
        }
        drop(state);
        answer(replies);
    }

    fn send(
        self: &Arc<Self>,
        state: &mut State,
        entry: EntryId,
        server: ServerId,
        guard: bool,
        now: Instant,
        replies: &mut Vec<Reply>,
    ) {
        if let Some(taken) = state.queue.take(entry) {
            state.progressed(&taken.attributes.class, now);
            let (admission, prompt) = (&taken.item.admission, taken.item.prompt);
            let permit = self.grant(state, server, admission, prompt, guard, now);
            replies.push((taken.item.reply, Ok(permit)));
        }
    }

    fn grant(
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
        let unread = state.unread(server, admission.prefix_hash, prompt, now);
        let grant = state.grants.insert(Grant {
            server,
            attributes: admission.attributes.clone(),
            first_token_target: admission.first_token_target,
            targeted: admission.targeted,
            unread,
            guard,
            sent: now,
            stage: Stage::Unstarted,
            directive,
        });
        let known = &mut state.servers[server];
        known.sent(level);
        Permit {
            pool: Arc::clone(self),
            grant,
            server,
            declared: known.declared.clone(),
            priority: if guard { 0 } else { level },
            directive: receiver,
        }
    }

    /// Gives a slot to each class that has waited near its bound without progress.
    fn guard(self: &Arc<Self>, state: &mut State, now: Instant, replies: &mut Vec<Reply>) {
        for entry in state.starving(now) {
            let Some(waiter) = state.queue.item(entry) else {
                continue;
            };
            let (admission, prompt) = (waiter.admission.clone(), waiter.prompt);
            let choice = state.choose(&admission, prompt, 0, true, self.limits.unstarted, now);
            if let Choice::Server(server) = choice {
                self.metrics.count("guard.granted");
                self.send(state, entry, server, true, now, replies);
            }
        }
    }

    fn evict(&self, state: &mut State, now: Instant, replies: &mut Vec<Reply>) {
        let floor = state.pressure.floor(now);
        while let Some(victim) = state.queue.victim(Some(floor)) {
            self.shed(state, victim, now, replies);
        }
        while state.queue.bytes() > self.limits.queue_bytes {
            let lowest = state.queue.levels().next_back().unwrap_or(Level::MAX);
            let settled = state.pressure.settled(lowest, now);
            let hard = state.queue.bytes() > self.limits.queue_bytes * 2;
            match state.queue.victim(None) {
                Some(victim) if settled || hard => self.shed(state, victim, now, replies),
                _ => break,
            }
        }
    }

    fn shed(&self, state: &mut State, victim: EntryId, now: Instant, replies: &mut Vec<Reply>) {
        if let Some(taken) = state.queue.remove(victim) {
            self.metrics.count("shed.evicted");
            let fault = state.overloaded(&taken.attributes, now);
            replies.push((taken.item.reply, Err(fault)));
        }
    }

    fn expire(&self, state: &mut State, now: Instant, replies: &mut Vec<Reply>) {
        let late: Vec<EntryId> = state
            .queue
            .fronts()
            .filter(|id| {
                let partial = state
                    .queue
                    .get(*id)
                    .is_none_or(|(attributes, _)| attributes.partial);
                !partial && state.waited_share(*id, now) >= 1.0
            })
            .collect();
        for id in late {
            let reachable = state.servers.values().any(|s| s.open(now));
            if let Some(Taken {
                attributes, item, ..
            }) = state.queue.remove(id)
            {
                self.metrics.count("shed.expired");
                let fault = if reachable {
                    state.overloaded(&attributes, now)
                } else {
                    Fault::new(Kind::NoBackendServer, "no backend server can be reached")
                        .retry_after(Duration::from_secs(2))
                };
                replies.push((item.reply, Err(fault)));
            }
        }
    }

    fn leave(&self, id: EntryId) {
        self.lock().queue.remove(id);
    }

    fn mark_started(self: &Arc<Self>, grant: GrantId) {
        let mut state = self.lock();
        let State {
            grants,
            servers,
            preemption,
            ..
        } = &mut *state;
        if let Some(grant) = grants.get_mut(grant).filter(|g| g.stage != Stage::Started) {
            grant.stage = Stage::Started;
            if let Some(server) = servers.get_mut(grant.server) {
                server.started(grant.attributes.level);
                server.begun(grant.attributes.level, grant.sent);
                if *preemption == Preemption::Here && grant.can_yield() {
                    server.yields(grant.attributes.level, true);
                }
            }
        }
        drop(state);
        self.pump();
    }

    fn ended(self: &Arc<Self>, grant: GrantId) {
        let mut state = self.lock();
        let here = state.preemption == Preemption::Here;
        if let Some(grant) = state.grants.remove(grant)
            && let Some(server) = state.servers.get_mut(grant.server)
        {
            server.ended(grant.attributes.level, grant.stage == Stage::Started);
            if here && grant.can_yield() {
                server.yields(grant.attributes.level, false);
            }
        }
        drop(state);
        self.pump();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn same_server(a: &BackendServer, b: &BackendServer) -> bool {
    a.name == b.name && a.address == b.address
}

fn answer(replies: Vec<Reply>) {
    for (reply, result) in replies {
        // A caller that has gone drops its permit, which gives the slot back.
        let _ = reply.send(result);
    }
}

/// Takes a request out of the queue when its caller goes away.
struct Waiting<'a> {
    pool: &'a Arc<Pool>,
    id: EntryId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.pool.leave(self.id);
    }
}

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

use crate::error::{Fault, Kind};
use crate::frame::FloorKind;
use crate::metrics::Metrics;
use crate::object::{BackendServer, Level};
use crate::placement::{self, Choice, Wish};
use crate::pressure::Pressure;
use crate::queue::{EntryId, Label, Queue, Taken};
use crate::server::{Report, Server};

new_key_type! {
    /// A backend server of a pool.
    pub struct ServerId;
    /// A request that a server was chosen for.
    struct GrantId;
}

/// Share of a class's bound after which the starvation guard acts.
const GUARD_SHARE: f64 = 0.5;
/// Share of the first-token target that a request is unstarted before it takes a running one's slot.
const PREEMPT_SHARE: f64 = 0.1;
/// Time between two ticks from which this instance is taken to have stood still.
const PAUSE: Duration = Duration::from_millis(250);
/// Time after a pause in which no server's speed is measured.
const QUIET: Duration = Duration::from_millis(500);
/// Retries that one success pays for.
const RETRY_SHARE: f64 = 0.2;
/// Retries saved up at most.
const RETRY_CAP: f64 = 100.0;
/// Retries available at the start.
const RETRY_START: f64 = 20.0;
/// Weight of a new sample in a class's mean number of tokens.
const COST_WEIGHT: f64 = 0.1;
/// Tokens expected of a class that nothing is known of.
const COST_START: f64 = 64.0;

/// What a pool needs to know of a request.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The queue's part.
    pub label: Label,
    /// Hash of the prompt's beginning, or 0.
    pub prefix: u64,
    /// Target for the first token.
    pub first_token: Option<Duration>,
    /// Whether the class has any latency target.
    pub targeted: bool,
    /// Bound within which the class makes progress.
    pub starvation: Duration,
    /// Longest wait.
    pub wait: Duration,
    /// Servers that failed this request already.
    pub avoid: Vec<ServerId>,
    /// The server that holds the request's paused stream.
    pub prefer: Option<ServerId>,
}

/// What a running request is told; later variants are more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Order {
    /// Go on.
    Run,
    /// Go on at another server, if that is possible, as this one is too slow.
    Move,
    /// Give the slot to a more important request, and come back.
    Preempt,
    /// The server is down.
    ServerDown,
}

/// Leave to send one request to one server; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    pool: Arc<Pool>,
    grant: GrantId,
    /// The server's key in the pool.
    pub server: ServerId,
    /// The server as declared.
    pub declared: BackendServer,
    /// The priority to send along; 0 is the most important.
    pub priority: Level,
    /// What the pool says while the request runs.
    pub order: watch::Receiver<Order>,
}

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    reply: oneshot::Sender<Result<Permit, Fault>>,
}

/// How far a sent request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No token has come.
    Unstarted,
    /// No token has come, and a running request was told to make room.
    Preempting,
    /// Tokens come.
    Started,
}

#[derive(Debug)]
struct Grant {
    server: ServerId,
    label: Label,
    first_token: Option<Duration>,
    targeted: bool,
    guard: bool,
    sent: Instant,
    stage: Stage,
    order: watch::Sender<Order>,
}

impl Grant {
    /// Whether it runs, and may be told to make room for more important work.
    const fn can_yield(&self) -> bool {
        matches!(self.stage, Stage::Started) && !self.guard
    }
}

#[derive(Debug)]
struct ClassStat {
    progress: Instant,
    cost: f64,
}

#[derive(Debug)]
struct State {
    queue: Queue<Waiter>,
    servers: SlotMap<ServerId, Server>,
    grants: SlotMap<GrantId, Grant>,
    classes: HashMap<SmolStr, ClassStat>,
    pressure: Pressure,
    retries: f64,
    ticked: Instant,
    quiet_until: Instant,
    rng: SmallRng,
}

/// Limits of one pool at one instance.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of waiting requests.
    pub queue_bytes: usize,
    /// Unstarted requests at a server that looks full.
    pub unstarted: u32,
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
    pub open: usize,
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
        let state = State {
            queue: Queue::default(),
            servers: SlotMap::with_key(),
            grants: SlotMap::with_key(),
            classes: HashMap::new(),
            pressure: Pressure::default(),
            retries: RETRY_START,
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
    pub fn declare(self: &Arc<Self>, declared: &[&BackendServer], data_centre: &str) {
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
    pub async fn enter(self: &Arc<Self>, mut ticket: Ticket) -> Result<Permit, Fault> {
        let now = Instant::now();
        let (reply, answer) = oneshot::channel();
        let id = {
            let mut state = self.lock();
            ticket.label.cost = state.cost(&ticket.label.class);
            if let Some(fault) = state.refuse(&ticket, now) {
                self.metrics.count("shed.floor");
                return Err(fault);
            }
            state.progress(&ticket.label.class, now);
            let label = ticket.label.clone();
            state.queue.push(label, now, Waiter { ticket, reply })
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
    pub fn rejoin(self: &Arc<Self>, server: &str, ticket: &Ticket) -> Option<Permit> {
        let mut state = self.lock();
        let (id, _) = state.servers.iter().find(|(_, s)| s.name() == server)?;
        Some(self.grant(&mut state, id, ticket, false, Instant::now()))
    }

    /// Pays for one retry, or tells that there have been too many.
    pub fn retry(&self) -> bool {
        let mut state = self.lock();
        let paid = state.retries >= 1.0;
        if paid {
            state.retries -= 1.0;
        }
        paid
    }

    /// Takes in a server's load report.
    pub fn heard(self: &Arc<Self>, server: ServerId, report: Report) {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some(server) = state.servers.get_mut(server) {
            server.heard(report, now);
            if server.succeeded() {
                log::info!("server={} state=up", server.name());
            }
        }
        drop(state);
        self.pump();
    }

    /// Takes in that a server can't be reached: it gets no work for a while, and its requests are told.
    pub fn failed(self: &Arc<Self>, server: ServerId, down: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        let jitter = state.rng.random_range(0.0..1.0);
        if let Some(server) = state.servers.get_mut(server)
            && server.failed(now, jitter)
        {
            log::warn!("server={} state=down", server.name());
            self.metrics.count("server.down");
        }
        if down {
            let grants = state.grants.values().filter(|g| g.server == server);
            for grant in grants {
                grant.order.send_replace(Order::ServerDown);
            }
        }
    }

    /// Takes in a peer's word that a server is leaving.
    pub fn leaving(&self, server: &str) {
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
    pub fn serves(&self) -> bool {
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
            open: state.servers.values().filter(|s| s.open(now)).count(),
        }
    }

    /// The floor of a kind that this instance asks of all; `Level::MAX` for none.
    #[must_use]
    pub fn wanted_floor(&self, kind: FloorKind) -> Level {
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
            state.progressed(&taken.label.class, now);
            let permit = self.grant(state, server, &taken.item.ticket, guard, now);
            replies.push((taken.item.reply, Ok(permit)));
        }
    }

    fn grant(
        self: &Arc<Self>,
        state: &mut State,
        server: ServerId,
        ticket: &Ticket,
        guard: bool,
        now: Instant,
    ) -> Permit {
        let (order, receiver) = watch::channel(Order::Run);
        let level = ticket.label.level;
        let grant = state.grants.insert(Grant {
            server,
            label: ticket.label.clone(),
            first_token: ticket.first_token,
            targeted: ticket.targeted,
            guard,
            sent: now,
            stage: Stage::Unstarted,
            order,
        });
        let known = &mut state.servers[server];
        known.sent(level);
        Permit {
            pool: Arc::clone(self),
            grant,
            server,
            declared: known.declared.clone(),
            priority: if guard { 0 } else { level },
            order: receiver,
        }
    }

    /// Gives a slot to each class that has waited near its bound without progress.
    fn guard(self: &Arc<Self>, state: &mut State, now: Instant, replies: &mut Vec<Reply>) {
        for entry in state.starving(now) {
            let Some(waiter) = state.queue.item(entry) else {
                continue;
            };
            let ticket = waiter.ticket.clone();
            let choice = state.choose(&ticket, 0, true, self.limits.unstarted, now);
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
            let fault = state.overloaded(&taken.label, now);
            replies.push((taken.item.reply, Err(fault)));
        }
    }

    fn expire(&self, state: &mut State, now: Instant, replies: &mut Vec<Reply>) {
        let late: Vec<EntryId> = state
            .queue
            .fronts()
            .filter(|id| {
                let begun = state.queue.get(*id).is_none_or(|(label, _)| label.begun);
                !begun && state.waited_share(*id, now) >= 1.0
            })
            .collect();
        for id in late {
            let reachable = state.servers.values().any(|s| s.open(now));
            if let Some(Taken { label, item, .. }) = state.queue.remove(id) {
                self.metrics.count("shed.expired");
                let fault = if reachable {
                    state.overloaded(&label, now)
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

    fn started(self: &Arc<Self>, grant: GrantId) {
        let mut state = self.lock();
        let State {
            grants, servers, ..
        } = &mut *state;
        if let Some(grant) = grants.get_mut(grant).filter(|g| g.stage != Stage::Started) {
            grant.stage = Stage::Started;
            if let Some(server) = servers.get_mut(grant.server) {
                server.started(grant.label.level);
                if grant.can_yield() {
                    server.yields(grant.label.level, true);
                }
            }
        }
        drop(state);
        self.pump();
    }

    fn ended(self: &Arc<Self>, grant: GrantId) {
        let mut state = self.lock();
        if let Some(grant) = state.grants.remove(grant)
            && let Some(server) = state.servers.get_mut(grant.server)
        {
            server.ended(grant.label.level, grant.stage == Stage::Started);
            if grant.can_yield() {
                server.yields(grant.label.level, false);
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

impl State {
    fn next(&mut self, unstarted: u32, now: Instant) -> Option<(EntryId, ServerId)> {
        let levels: Vec<Level> = self.queue.levels().collect();
        let hold = self.pressure.startable();
        for level in levels.into_iter().filter(|level| *level <= hold) {
            let entry = self.queue.head(level)?;
            let ticket = self.queue.item(entry)?.ticket.clone();
            match self.choose(&ticket, level, false, unstarted, now) {
                Choice::Server(server) => return Some((entry, server)),
                Choice::Straggler => {}
                Choice::Full => return None,
            }
        }
        None
    }

    fn choose(
        &mut self,
        ticket: &Ticket,
        level: Level,
        guard: bool,
        unstarted: u32,
        now: Instant,
    ) -> Choice {
        let wish = Wish {
            level,
            prefix: ticket.prefix,
            targeted: ticket.targeted,
            guard,
            avoid: &ticket.avoid,
            prefer: ticket.prefer,
            unstarted,
        };
        let choice = placement::choose(&self.servers, &wish, now, &mut self.rng);
        // A request that failed everywhere may go back to where it failed.
        match choice {
            Choice::Full if !ticket.avoid.is_empty() => {
                let wish = Wish { avoid: &[], ..wish };
                placement::choose(&self.servers, &wish, now, &mut self.rng)
            }
            choice => choice,
        }
    }

    /// The oldest request of each class whose wait without progress nears its bound.
    fn starving(&self, now: Instant) -> Vec<EntryId> {
        let due = self.classes.iter().filter(|(class, stat)| {
            let idle = now.saturating_duration_since(stat.progress);
            self.queue.waiting(class) > 0 && idle > Duration::from_millis(100)
        });
        let oldest = due.filter_map(|(class, stat)| {
            let id = self.queue.oldest(class)?;
            let waiter = self.queue.item(id)?;
            let bound = waiter.ticket.starvation.mul_f64(GUARD_SHARE);
            (now.saturating_duration_since(stat.progress) >= bound).then_some(id)
        });
        oldest.collect()
    }

    /// Starts a class's clock when its first request comes in.
    fn progress(&mut self, class: &SmolStr, now: Instant) {
        if self.queue.waiting(class) == 0 {
            self.progressed(class, now);
        }
    }

    fn progressed(&mut self, class: &SmolStr, now: Instant) {
        let stat = self.classes.entry(class.clone()).or_insert(ClassStat {
            progress: now,
            cost: COST_START,
        });
        stat.progress = now;
    }

    fn cost(&self, class: &str) -> u64 {
        let cost = self.classes.get(class).map_or(COST_START, |s| s.cost);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small and positive"
        )]
        let cost = cost as u64;
        cost.max(1)
    }

    fn refuse(&self, ticket: &Ticket, now: Instant) -> Option<Fault> {
        let label = &ticket.label;
        let below = label.level > self.pressure.floor(now);
        let guarded = self.queue.waiting(&label.class) == 0;
        (below && !guarded && !label.begun).then(|| self.overloaded(label, now))
    }

    fn overloaded(&self, label: &Label, now: Instant) -> Fault {
        let message = format!("{} gives way to more important work", label.class);
        Fault::new(Kind::Overloaded, message).retry_after(self.pressure.retry_after(now))
    }

    /// How much of its longest wait a request has waited; 1.0 is all of it.
    fn waited_share(&self, id: EntryId, now: Instant) -> f64 {
        let since = self.queue.get(id).map_or(now, |(_, since)| since);
        let wait = self.queue.item(id).map_or(Duration::MAX, |w| w.ticket.wait);
        now.saturating_duration_since(since).as_secs_f64() / wait.as_secs_f64().max(0.001)
    }

    fn feel_pressure(&mut self, now: Instant, queue_bytes: usize) {
        let late = self
            .queue
            .fronts()
            .filter(|id| self.waited_share(*id, now) >= Pressure::LATE_SHARE)
            .filter_map(|id| self.queue.get(id).map(|(label, _)| label.level))
            .min();
        let lowest = self.queue.levels().next_back();
        let full = lowest.filter(|_| self.queue.bytes() * 2 > queue_bytes);
        self.pressure
            .update(late.into_iter().chain(full).min(), now);
        let waiting = self.queue.fronts().filter(|id| {
            let since = self.queue.get(*id).map_or(now, |(_, since)| since);
            now.saturating_duration_since(since) >= Pressure::HOLD_AFTER
        });
        let levels = waiting.filter_map(|id| self.queue.get(id).map(|(label, _)| label.level));
        let held = levels.min();
        self.pressure.update_hold(held, now);
    }

    /// Makes room for unstarted requests that would miss their first-token target, by telling a less
    /// important running request of this instance at the same server to come back later.
    fn preempt(&mut self, now: Instant) -> u64 {
        let late: Vec<(GrantId, ServerId, Level)> = self
            .grants
            .iter()
            .filter(|(_, g)| g.stage == Stage::Unstarted)
            .filter(|(_, g)| {
                let target = g.first_token.map(|t| t.mul_f64(PREEMPT_SHARE));
                target.is_some_and(|t| now.saturating_duration_since(g.sent) > t)
            })
            .map(|(id, g)| (id, g.server, g.label.level))
            .collect();
        let mut preempted = 0;
        for (id, server, level) in late {
            let victim = self
                .grants
                .values()
                .filter(|g| g.server == server && g.can_yield())
                .filter(|g| g.label.level > level && *g.order.borrow() == Order::Run)
                .max_by_key(|g| (g.label.level, g.sent));
            if let Some(victim) = victim {
                victim.order.send_replace(Order::Preempt);
                self.grants[id].stage = Stage::Preempting;
                preempted += 1;
            }
        }
        preempted
    }

    /// Notices that this instance itself stood still, so that no server is blamed for it.
    fn notice_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.ticked) > PAUSE {
            self.quiet_until = now + QUIET;
        }
        self.ticked = now;
    }

    fn judge(&mut self) {
        let mut gaps: Vec<f64> = self.servers.values().filter_map(Server::gap_ms).collect();
        if gaps.len() < 3 {
            return;
        }
        gaps.sort_by(f64::total_cmp);
        let median = gaps[gaps.len() / 2];
        for (id, server) in &mut self.servers {
            if server.judge(median) {
                let slow = self
                    .grants
                    .values()
                    .filter(|g| g.server == id && g.targeted);
                for grant in slow.filter(|_| server.straggling()) {
                    grant.order.send_replace(Order::Move);
                }
                log::warn!(
                    "server={} straggling={}",
                    server.name(),
                    server.straggling()
                );
            }
        }
    }
}

impl Permit {
    /// Says that the first token has come.
    pub fn started(&self) {
        self.pool.started(self.grant);
    }

    /// Takes in the server's load, as it told along with an answer.
    pub fn heard(&self, report: Report) {
        self.pool.heard(self.server, report);
    }

    /// Takes in the mean gap between tokens over a stretch of the answer, in ms.
    pub fn glimpsed(&self, gap_ms: f64) {
        let now = Instant::now();
        let mut state = self.pool.lock();
        let standing = now.saturating_duration_since(state.ticked) > PAUSE;
        if standing || now < state.quiet_until {
            return;
        }
        if let Some(server) = state.servers.get_mut(self.server) {
            server.glimpsed(gap_ms);
        }
    }

    /// Takes in the size of a complete answer, in tokens.
    pub fn completed(&self, tokens: u64) {
        let mut state = self.pool.lock();
        state.retries = (state.retries + RETRY_SHARE).min(RETRY_CAP);
        let class = state.grants.get(self.grant).map(|g| g.label.class.clone());
        if let Some(stat) = class.and_then(|c| state.classes.get_mut(&c)) {
            #[expect(
                clippy::cast_precision_loss,
                reason = "answers are short of 2^52 tokens"
            )]
            let tokens = tokens as f64;
            stat.cost += COST_WEIGHT * (tokens - stat.cost);
        }
    }

    /// Says that the server failed this request; `down` when it can't be reached at all.
    pub fn failed(&self, down: bool) {
        self.pool.failed(self.server, down);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.ended(self.grant);
    }
}

//! The choice of a backend server for one request.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use slotmap::SlotMap;
use tokio::time::Instant;

use crate::config::object::Level;
use crate::load::server::{Server, ServerId};
use crate::rendezvous;

/// How much fuller than the emptiest candidate the preferred server may be.
const AFFINITY_SLACK: f64 = 0.25;
/// Fullness that a server in another data centre is taken to have on top.
const REMOTE_PENALTY: f64 = 0.25;

/// Prompt tokens that a millisecond without a first token counts for.
const AGE_TOKENS_PER_MS: f64 = 10.0;
/// Prompt tokens that a full batch counts for.
const FULL_TOKENS: f64 = 20_000.0;
/// Weight of tokens that have to be read again: under load they delay every request behind them.
const AGAIN_WEIGHT: f64 = 10.0;
/// Prompt tokens that the way to another data centre is worth.
const REMOTE_TOKENS: f64 = 400.0;
/// Prompt tokens that a straggler delays a request by.
const STRAGGLER_TOKENS: f64 = 60_000.0;
/// Share of a common beginning that the second server in its order is taken to lack.
const SECOND_LACKS: f64 = 0.5;

/// The size of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens at its beginning that other requests share.
    pub shared: u32,
    /// The other tokens.
    pub unique: u32,
}

/// What this instance has sent to a server and has no token of yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Prompt tokens that the server has to read.
    pub tokens: u32,
    /// How long the first of these requests has been waiting.
    pub age: Duration,
}

/// What the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The tier's rank.
    pub level: Level,
    /// Hash of the prompt's beginning; equal prefixes prefer the same server.
    pub prefix: u64,
    /// Whether the class has a latency target, so that a straggler won't do.
    pub targeted: bool,
    /// Whether the starvation guard asks, which may wait at a full server.
    pub guard: bool,
    /// Servers that failed this request already.
    pub avoid: &'a [ServerId],
    /// The server that holds the request's paused stream.
    pub prefer: Option<ServerId>,
    /// Unstarted requests that a server may have from here when it looks full.
    pub unstarted: u32,
}

/// The outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The request goes to this server.
    Server(ServerId),
    /// Only stragglers have room, and they won't do for this request.
    Straggler,
    /// No server has room.
    Full,
}

/// Chooses a server for `wish`: the one that holds its stream, the one that likely caches its
/// prefix, or the emptier of two drawn at random.
pub fn choose(
    servers: &SlotMap<ServerId, Server>,
    wish: &Wish<'_>,
    now: Instant,
    rng: &mut impl RngExt,
) -> Choice {
    let roomy: Vec<(ServerId, &Server)> = servers
        .iter()
        .filter(|(id, s)| has_room(s, wish, now) && !wish.avoid.contains(id))
        .collect();
    if roomy.is_empty() {
        return Choice::Full;
    }
    if let Some(held) = wish.prefer.filter(|p| roomy.iter().any(|(id, _)| id == p)) {
        return Choice::Server(held);
    }
    let mut fast: Vec<(ServerId, f64)> = roomy
        .iter()
        .filter(|(_, s)| !s.straggling() || !wish.targeted)
        .map(|(id, s)| (*id, score(s, now)))
        .collect();
    let soon: Vec<(ServerId, f64)> = fast
        .iter()
        .filter(|(id, _)| starts_soon(&servers[*id], wish, now))
        .copied()
        .collect();
    if wish.targeted && !soon.is_empty() {
        fast = soon;
    }
    match fast.len() {
        0 => Choice::Straggler,
        1 => Choice::Server(fast[0].0),
        _ => Choice::Server(prefer_prefix(servers, &fast, wish, now, rng)),
    }
}

fn has_room(server: &Server, wish: &Wish<'_>, now: Instant) -> bool {
    let allowance = wish.unstarted + u32::from(wish.guard);
    let behind = server.unstarted(wish.level) < allowance;
    server.open(now) && (server.free(now) > 0 || behind)
}

fn score(server: &Server, now: Instant) -> f64 {
    let remote = if server.local { 0.0 } else { REMOTE_PENALTY };
    let slow = if server.straggling() { 1.0 } else { 0.0 };
    server.fullness(now) + remote + slow
}

/// Whether a slot is free, or a running request of this instance can make room.
fn starts_soon(server: &Server, wish: &Wish<'_>, now: Instant) -> bool {
    server.free(now) > 0 || server.can_yield(wish.level)
}

fn prefer_prefix(
    servers: &SlotMap<ServerId, Server>,
    fast: &[(ServerId, f64)],
    wish: &Wish<'_>,
    now: Instant,
    rng: &mut impl RngExt,
) -> ServerId {
    let least = fast.iter().map(|(_, s)| *s).fold(f64::INFINITY, f64::min);
    // A cached prefix saves a few steps; a place in a queue costs a request with a target more.
    let near = fast.iter().filter(|(id, s)| {
        let waits = wish.targeted && servers[*id].free(now) == 0;
        *s <= least + AFFINITY_SLACK && !waits
    });
    let cached = near.max_by_key(|(id, _)| rendezvous::weight(wish.prefix, servers[*id].name()));
    match cached {
        Some((id, _)) if wish.prefix != 0 => *id,
        _ => two_choices(fast, rng),
    }
}

fn two_choices(fast: &[(ServerId, f64)], rng: &mut impl RngExt) -> ServerId {
    let first = rng.random_range(0..fast.len());
    let second = (first + rng.random_range(1..fast.len())) % fast.len();
    if fast[first].1 <= fast[second].1 {
        fast[first].0
    } else {
        fast[second].0
    }
}

/// What is known beside the servers themselves when a prompt is placed.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// What waits at each server.
    pub backlogs: &'a HashMap<ServerId, Backlog>,
    /// Servers that read the prompt's common beginning a moment ago.
    pub warm: &'a [ServerId],
}

/// Chooses a server for a prompt: the one where it is read soonest, counted in tokens to be read before
/// its end. A common beginning has one home among the open servers, the same for every instance, so that
/// it is read once; what the home can't take goes to the second in the order.
#[must_use]
pub fn choose_for_prompt(
    servers: &SlotMap<ServerId, Server>,
    wish: &Wish<'_>,
    prompt: Prompt,
    view: &View<'_>,
    now: Instant,
) -> Choice {
    let mut order: Vec<(u64, ServerId)> = servers
        .iter()
        .filter(|(_, s)| s.open(now))
        .map(|(id, s)| (rendezvous::weight(wish.prefix, s.name()), id))
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    let roomy = order
        .iter()
        .enumerate()
        .filter(|(_, (_, id))| has_room(&servers[*id], wish, now) && !wish.avoid.contains(id));
    let costs = roomy.map(|(rank, (_, id))| {
        let lacks = match rank {
            _ if view.warm.contains(id) => 0.0,
            0 => 0.0,
            1 => SECOND_LACKS,
            _ => 1.0,
        };
        let backlog = view.backlogs.get(id).copied().unwrap_or_default();
        let again = f64::from(prompt.shared) * lacks * AGAIN_WEIGHT;
        (again + delay(&servers[*id], backlog, now), *id)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map_or(Choice::Full, |(_, id)| Choice::Server(id))
}

/// Tokens that a server reads before it comes to another request.
fn delay(server: &Server, backlog: Backlog, now: Instant) -> f64 {
    let waiting = f64::from(backlog.tokens);
    let stuck = backlog.age.as_secs_f64() * 1_000.0 * AGE_TOKENS_PER_MS;
    let remote = if server.local { 0.0 } else { REMOTE_TOKENS };
    let slow = if server.straggling() {
        STRAGGLER_TOKENS
    } else {
        0.0
    };
    waiting.max(stuck) + server.fullness(now) * FULL_TOKENS + remote + slow
}

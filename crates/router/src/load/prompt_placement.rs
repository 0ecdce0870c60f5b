//! Selection of a backend server for a request with a known prompt, by the expected time to its
//! first token and the responses that its prefill disturbs.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::load::demand::Demand;
use crate::load::partition::{self, Partition};
use crate::load::placement::{self, Choice, Criteria};
use crate::load::server::{Server, ServerId};
use crate::rendezvous;

/// Fraction of the time for which a server has left a request without a first token by which a new
/// request is expected to be delayed.
const STALL_FRACTION: f64 = 0.25;
/// Delay, in ms, at a server whose slots are all taken.
const FULL_BATCH_MS: f64 = 500.0;
/// Weight of prompt tokens whose prefill has to be repeated: under load they delay every request
/// queued behind them.
const REPREFILL_WEIGHT: f64 = 10.0;
/// Cost, in ms, of sending a request to another data centre.
const REMOTE_PENALTY_MS: f64 = 10.0;
/// Cost, in ms, of sending a request to a straggler.
const STRAGGLER_PENALTY_MS: f64 = 1_500.0;
/// Fraction of a shared prefix that is assumed not to be cached at the second server in rendezvous
/// order.
const SECOND_UNCACHED_RATIO: f64 = 0.5;
/// Target for the time to first token of a request without one, in ms.
const DEFAULT_TARGET_MS: f64 = 1_000.0;

/// Estimated length of a prompt. All zero if the length is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prefix that other requests have in common with it.
    pub shared: u32,
    /// Tokens after the shared prefix.
    pub unique: u32,
}

impl Prompt {
    /// Whether the length is known.
    #[must_use]
    pub fn is_known(self) -> bool {
        self != Self::default()
    }
}

/// Requests of this instance at one server that have no first token yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Prompt tokens that the server has to prefill.
    pub tokens: u32,
    /// Time since the oldest of these requests was sent.
    pub age: Duration,
}

/// A request with a known prompt, as far as its placement depends on it.
#[derive(Clone, Copy, Debug)]
pub struct PromptRequest<'a> {
    /// Length of the prompt.
    pub prompt: Prompt,
    /// Name of the request class.
    pub class: &'a str,
    /// Target for the time to first token.
    pub first_token_target: Option<Duration>,
    /// Target for the longest pause between the events of the response.
    pub gap_target: Option<Duration>,
}

/// State other than that of the servers that [`choose`] takes into account.
#[derive(Clone, Copy, Debug)]
pub struct PoolLoad<'a> {
    /// Backlog of each server; servers without an entry have none.
    pub backlogs: &'a HashMap<ServerId, Backlog>,
    /// Servers that prefilled the prompt's shared prefix recently and are assumed to have it
    /// cached.
    pub cached: &'a [ServerId],
    /// Prefill rate, and demand of the classes.
    pub demand: &'a Demand,
    /// The servers that each class prefers.
    pub partition: &'a Partition,
}

/// Selects the server with the least expected delay of the request's first token, plus the
/// latency targets that are expected to be missed because of the choice.
///
/// Rendezvous hashing gives each shared prefix one preferred server among those of the class's
/// part, the same at every instance, so that it is prefilled once; requests that this server can't
/// take go to the second in the order.
#[must_use]
pub fn choose(
    servers: &SlotMap<ServerId, Server>,
    criteria: &Criteria<'_>,
    request: &PromptRequest<'_>,
    load: &PoolLoad<'_>,
    now: Instant,
) -> Choice {
    let own = load.partition.of_class(request.class);
    let elsewhere = |id| own.is_some_and(|part| load.partition.of_server(id) != part);
    let mut order: Vec<(bool, f64, ServerId)> = servers
        .iter()
        .filter(|(_, s)| s.accepts(now))
        .map(|(id, s)| {
            let share = 1.0 / s.slowness();
            let weight = rendezvous::shared_weight(criteria.prefix_hash, s.name(), share);
            (!elsewhere(id), weight, id)
        })
        .collect();
    order.sort_unstable_by(|a, b| {
        let by_part = b.0.cmp(&a.0);
        by_part.then(b.1.total_cmp(&a.1)).then(b.2.cmp(&a.2))
    });
    let candidates = order.iter().enumerate().filter(|(_, (_, _, id))| {
        placement::has_room(&servers[*id], criteria, now) && !criteria.avoid.contains(id)
    });
    let costs = candidates.map(|(rank, (_, _, id))| {
        let uncached_ratio = match rank {
            _ if load.cached.contains(id) => 0.0,
            0 => 0.0,
            1 => SECOND_UNCACHED_RATIO,
            _ => 1.0,
        };
        let server = &servers[*id];
        let slowness = server.slowness_now(now);
        let own_cost = prompt_cost_ms(request, uncached_ratio, slowness, *id, load);
        (own_cost + delay_ms(server, slowness, *id, load, now), *id)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map_or(Choice::Full, |(_, id)| Choice::Server(id))
}

/// Cost, in ms, of prefilling the prompt at a server that lacks a fraction of its shared prefix: the
/// repeated prefill, what the prefill takes longer than at the median server, and the latency targets that are missed
/// because of the choice.
fn prompt_cost_ms(
    request: &PromptRequest<'_>,
    uncached_ratio: f64,
    slowness: f64,
    server: ServerId,
    load: &PoolLoad<'_>,
) -> f64 {
    let uncached = f64::from(request.prompt.shared) * uncached_ratio;
    let unique = f64::from(request.prompt.unique);
    let reprefill = load.demand.prefill_ms(uncached) * REPREFILL_WEIGHT;
    let usual = load.demand.prefill_ms(uncached + unique);
    let prefill = usual * slowness;
    let own = reprefill + prefill - usual;
    match load.partition.of_class(request.class) {
        Some(part) if load.partition.of_server(server) != part => {
            own + missed_ms(request, prefill, server, load.partition)
        }
        _ => own,
    }
}

/// Cost, in ms, of sending a request to a server of another part: its latency target, as far as its
/// prefill disturbs the responses there, or the prompts there disturb its response.
fn missed_ms(
    request: &PromptRequest<'_>,
    prefill_ms: f64,
    server: ServerId,
    partition: &Partition,
) -> f64 {
    let millis = |d: Duration| d.as_secs_f64() * 1_000.0;
    let target_ms = request.first_token_target.map_or(DEFAULT_TARGET_MS, millis);
    let gap_ms = request.gap_target.map_or(f64::INFINITY, millis);
    let part = &partition.parts()[partition.of_server(server)];
    let caused = partition::disturbance(prefill_ms, part.gap_ms);
    let suffered = partition::disturbance(part.prefill_ms, gap_ms);
    target_ms * caused.max(suffered)
}

/// Expected delay of a new request at a server, in ms.
fn delay_ms(
    server: &Server,
    slowness: f64,
    id: ServerId,
    load: &PoolLoad<'_>,
    now: Instant,
) -> f64 {
    let backlog = load.backlogs.get(&id).copied().unwrap_or_default();
    let waiting = load.demand.prefill_ms(f64::from(backlog.tokens)) * slowness;
    let stalled = backlog.age.as_secs_f64() * 1_000.0 * STALL_FRACTION;
    let remote = if server.local { 0.0 } else { REMOTE_PENALTY_MS };
    let straggling = if server.straggling() {
        STRAGGLER_PENALTY_MS
    } else {
        0.0
    };
    waiting.max(stalled) + server.fullness(now) * FULL_BATCH_MS + remote + straggling
}

//! Selection of a backend server for one request whose prompt is unknown.

use rand::RngExt;
use slotmap::SlotMap;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::config::object::Level;
use crate::load::server::{Server, ServerId};
use crate::rendezvous;

/// Difference in load score (1.0 is a full server) by which the server preferred for a prefix may
/// exceed the best candidate.
const AFFINITY_MARGIN: f64 = 0.25;
/// Added to the load score of a server in another data centre.
const REMOTE_PENALTY: f64 = 0.25;

/// Properties of a request that decide which servers may take it.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Priority level of the tier; 0 is the most important.
    pub level: Level,
    /// Hash of the prompt's prefix, or 0 for none; equal hashes prefer the same server.
    pub prefix_hash: u64,
    /// Whether the class has a latency target; [`choose`] excludes stragglers for it.
    pub latency_sensitive: bool,
    /// Whether the starvation guard placed the request; it may exceed `max_unstarted` by one.
    pub guard: bool,
    /// Servers that have failed this request.
    pub avoid: &'a [ServerId],
    /// The software version that a server must have to take the request; `None` for any.
    pub version: Option<&'a str>,
    /// The server that holds the paused stream of the request, if any.
    pub prefer: Option<ServerId>,
    /// Number of requests without a first token that this instance may have at a server without a
    /// free slot.
    pub max_unstarted: u32,
}

/// Result of the selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The request is sent to this server.
    Server(ServerId),
    /// Only stragglers have capacity, and the request has a latency target.
    OnlyStragglers,
    /// No server has capacity.
    Full,
}

/// Selects a server: the one that holds the request's paused stream, else the one that probably has
/// its prefix cached, else the less loaded of two random ones (power of two choices).
pub fn choose(
    servers: &SlotMap<ServerId, Server>,
    criteria: &Criteria<'_>,
    now: Instant,
    rng: &mut impl RngExt,
) -> Choice {
    let candidates: Vec<(ServerId, &Server)> = servers
        .iter()
        .filter(|(id, s)| has_room(s, criteria, now) && !criteria.avoid.contains(id))
        .collect();
    if candidates.is_empty() {
        return Choice::Full;
    }
    if let Some(holder) = criteria
        .prefer
        .filter(|p| candidates.iter().any(|(id, _)| id == p))
    {
        return Choice::Server(holder);
    }
    let mut eligible: Vec<(ServerId, f64)> = candidates
        .iter()
        .filter(|(_, s)| !s.straggling() || !criteria.latency_sensitive)
        .map(|(id, s)| (*id, score(s, now)))
        .collect();
    let immediate: Vec<(ServerId, f64)> = eligible
        .iter()
        .filter(|(id, _)| can_start_now(&servers[*id], criteria, now))
        .copied()
        .collect();
    if criteria.latency_sensitive && !immediate.is_empty() {
        eligible = immediate;
    }
    match eligible.len() {
        0 => Choice::OnlyStragglers,
        1 => Choice::Server(eligible[0].0),
        _ => Choice::Server(prefer_prefix(servers, &eligible, criteria, now, rng)),
    }
}

pub(super) fn has_room(server: &Server, criteria: &Criteria<'_>, now: Instant) -> bool {
    let allowance = criteria.max_unstarted + u32::from(criteria.guard);
    let below_allowance = server.unstarted(criteria.level) < allowance;
    let fits =
        criteria.version.is_none() || criteria.version == server.version(now).map(SmolStr::as_str);
    fits && server.accepts(now) && (server.free_slots(now) > 0 || below_allowance)
}

fn score(server: &Server, now: Instant) -> f64 {
    let remote = if server.local { 0.0 } else { REMOTE_PENALTY };
    let slow = if server.straggling() { 1.0 } else { 0.0 };
    server.fullness(now) + remote + slow
}

/// Whether a slot is free, or a running request of this instance can be preempted.
fn can_start_now(server: &Server, criteria: &Criteria<'_>, now: Instant) -> bool {
    server.free_slots(now) > 0 || server.can_preempt_for(criteria.level)
}

fn prefer_prefix(
    servers: &SlotMap<ServerId, Server>,
    eligible: &[(ServerId, f64)],
    criteria: &Criteria<'_>,
    now: Instant,
    rng: &mut impl RngExt,
) -> ServerId {
    let least = eligible
        .iter()
        .map(|(_, s)| *s)
        .fold(f64::INFINITY, f64::min);
    // For a request with a latency target, queueing at the server costs more than a cached prefix
    // saves.
    let affine = eligible.iter().filter(|(id, s)| {
        let would_queue = criteria.latency_sensitive && servers[*id].free_slots(now) == 0;
        *s <= least + AFFINITY_MARGIN && !would_queue
    });
    let cached =
        affine.max_by_key(|(id, _)| rendezvous::weight(criteria.prefix_hash, servers[*id].name()));
    match cached {
        Some((id, _)) if criteria.prefix_hash != 0 => *id,
        _ => two_choices(eligible, rng),
    }
}

fn two_choices(eligible: &[(ServerId, f64)], rng: &mut impl RngExt) -> ServerId {
    let first = rng.random_range(0..eligible.len());
    let second = (first + rng.random_range(1..eligible.len())) % eligible.len();
    if eligible[first].1 <= eligible[second].1 {
        eligible[first].0
    } else {
        eligible[second].0
    }
}

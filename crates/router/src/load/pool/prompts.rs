//! State of a pool that concerns prompts: their placement, cached prefixes, and the partition of the
//! servers.

use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use super::state::{Stage, State};
use super::{GrantId, ServerId};
use crate::load::placement::{self, Choice, Criteria};
use crate::load::prompt_placement::{self, Backlog, PoolLoad, Prompt, PromptRequest};

/// Time for which a server is assumed to have a prefix cached after a request with it was sent
/// there.
const PREFIX_TTL: Duration = Duration::from_secs(20);
/// Time between two adaptations of the partition of the servers.
const PARTITION_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a crash in which the other servers carry the load of the crashed one, or its cache is cold.
const LOSS_TIME: Duration = Duration::from_secs(10);
/// One server of this many that crashes in this time shows in the pauses at the others.
const SERVERS_PER_LOSS: usize = 10;
/// Bounds of the number of crashes that this means. More may not be remembered.
const LOST_SERVERS: RangeInclusive<usize> = 2..=32;

impl State {
    pub(super) fn place(
        &mut self,
        criteria: &Criteria<'_>,
        request: &PromptRequest<'_>,
        now: Instant,
    ) -> Choice {
        if !request.prompt.is_known() {
            return placement::choose(&self.servers, criteria, now, &mut self.rng);
        }
        let backlogs = self.backlogs(now);
        let cached = self.servers_with_prefix(criteria.prefix_hash);
        let load = PoolLoad {
            backlogs: &backlogs,
            cached: &cached,
            demand: &self.demand,
            partition: &self.partition,
        };
        prompt_placement::choose(&self.servers, criteria, request, &load, now)
    }

    /// Unstarted requests of this instance by server.
    fn backlogs(&self, now: Instant) -> HashMap<ServerId, Backlog> {
        let mut backlogs: HashMap<ServerId, Backlog> = HashMap::new();
        let unstarted = self.grants.values().filter(|g| g.stage != Stage::Started);
        for grant in unstarted {
            let backlog = backlogs.entry(grant.server).or_default();
            backlog.tokens = backlog.tokens.saturating_add(grant.uncached);
            let age = now.saturating_duration_since(grant.sent);
            backlog.age = backlog.age.max(age);
        }
        backlogs
    }

    fn servers_with_prefix(&self, prefix_hash: u64) -> Vec<ServerId> {
        let cached = self.cached_prefixes.get(&prefix_hash).into_iter().flatten();
        cached.map(|(id, _)| *id).collect()
    }

    /// Records that a server is about to prefill a prefix, and returns the prompt tokens that it
    /// has to prefill for the request. A `prefix_hash` of 0 isn't recorded.
    pub(super) fn record_prefix(
        &mut self,
        server: ServerId,
        prefix_hash: u64,
        prompt: Prompt,
        now: Instant,
    ) -> u32 {
        if prefix_hash == 0 {
            return prompt.shared + prompt.unique;
        }
        let cached = self.cached_prefixes.entry(prefix_hash).or_default();
        let known = cached.iter().position(|(id, _)| *id == server);
        match known {
            Some(position) => cached[position].1 = now,
            None => cached.push((server, now)),
        }
        let shared = if known.is_some() { 0 } else { prompt.shared };
        shared + prompt.unique
    }

    /// Adapts the partition of the servers to the demand, unless that was done recently.
    pub(super) fn update_partition(&mut self, now: Instant) {
        let due = self
            .partitioned
            .is_none_or(|at| now.saturating_duration_since(at) >= PARTITION_INTERVAL);
        if !due {
            return;
        }
        self.partitioned = Some(now);
        let mut in_flight: HashMap<SmolStr, u32> = HashMap::new();
        for grant in self.grants.values() {
            *in_flight.entry(grant.attributes.class.clone()).or_default() += 1;
        }
        self.demand.update(&in_flight, now);
        let slots = self.mean_slots();
        self.fleet_demand.observe(self.demand.summaries(slots));
        let before = self.partition.to_string();
        let mut demand = self.fleet_demand.summaries();
        if self.speeds.is_empty() {
            // Only where machines differ do own requests crowd some servers and not others.
            for class in &mut demand {
                class.crowded = 0.0;
            }
        }
        let instances = f64::from(self.instances);
        let lost_servers = self.has_lost_servers(now);
        self.partition.keep_sharing(lost_servers);
        self.partition.update(&self.servers, &demand, instances);
        let after = self.partition.to_string();
        if after != before {
            log::info!("partition={after} before={before}");
        }
        self.update_speeds(now);
    }

    fn update_speeds(&mut self, now: Instant) {
        let names = self.servers.values().map(|s| s.name().as_str());
        for name in self.speeds.update(names, now) {
            let slowness = self.speeds.slowness(name);
            log::info!("server={name} slowness={slowness}");
        }
        for server in self.servers.values_mut() {
            server.set_slowness(self.speeds.slowness(server.name()));
        }
    }

    /// Whether so many servers crashed lately that pauses show the load that they left to the others, and their cold
    /// caches, rather than how classes disturb each other.
    fn has_lost_servers(&self, now: Instant) -> bool {
        let many = self.servers.len() / SERVERS_PER_LOSS;
        let many = many.clamp(*LOST_SERVERS.start(), *LOST_SERVERS.end());
        self.evidence.crashes_within(LOSS_TIME, now) >= many
    }

    /// Mean number of slots of the servers; 1 without servers.
    fn mean_slots(&self) -> f64 {
        let slots = self.servers.values().map(|s| f64::from(s.declared.slots));
        let servers = u32::try_from(self.servers.len()).unwrap_or(u32::MAX);
        slots.sum::<f64>().max(1.0) / f64::from(servers.max(1))
    }

    /// Records a pause between two events of the response to a request.
    pub(super) fn record_pause(&mut self, grant: GrantId, pause: Duration, now: Instant) {
        if self.recently_paused(now) || self.has_lost_servers(now) {
            return;
        }
        let Some(grant) = self.grants.get(grant) else {
            return;
        };
        let partition = &self.partition;
        let class = &grant.attributes.class;
        self.demand
            .record_pause(pause, class, |class| partition.shares(grant.server, class));
    }

    /// Removes prefixes that servers have probably evicted from their caches.
    pub(super) fn expire_prefixes(&mut self, now: Instant) {
        self.cached_prefixes.retain(|_, servers| {
            servers.retain(|(_, at)| now.saturating_duration_since(*at) < PREFIX_TTL);
            !servers.is_empty()
        });
    }
}

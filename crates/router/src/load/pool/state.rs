//! State of a pool behind its lock, and the scheduling decisions based on it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use slotmap::SlotMap;
use smol_str::SmolStr;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::crashes::Loss;
use super::versions::VersionHistory;
use super::{AdmissionRequest, Directive, GrantId, Permit, Preemption, ServerId};
use crate::config::object::Level;
use crate::error::{Fault, Kind};
use crate::load::admission_floors::AdmissionFloors;
use crate::load::arrival_rates::ArrivalRates;
use crate::load::brittleness::Brittleness;
use crate::load::crash_evidence::CrashEvidence;
use crate::load::demand::Demand;
use crate::load::fleet_demand::FleetDemand;
use crate::load::partition::Partition;
use crate::load::placement::{Choice, Criteria};
use crate::load::prompt_placement::{Prompt, PromptRequest};
use crate::load::quarantine::RequestIdentity;
use crate::load::queue::{EntryId, Queue, RequestAttributes};
use crate::load::rate_limit::{Members, Statement};
use crate::load::room::Room;
use crate::load::server::Server;
use crate::load::server_speed::ServerSpeeds;

/// Fraction of the starvation bound without progress after which the starvation guard acts for a
/// class.
const GUARD_FRACTION: f64 = 0.5;
/// Fraction of the target for the time to first token after which an unstarted request preempts a
/// running one.
const PREEMPT_FRACTION: f64 = 0.1;
/// Expected tokens per response of a class without samples.
const COST_INITIAL: f64 = 64.0;
/// Time after a pause of this instance in which samples of the inter-token gap are discarded.
const MEASUREMENT_HOLDOFF: Duration = Duration::from_millis(500);
/// Time between two ticks above which this instance is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);

#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) admission: AdmissionRequest,
    pub(super) prompt: Prompt,
    /// Whether it is known that the request may crash a server, and it is tried nevertheless.
    pub(super) trial: bool,
    pub(super) reply: oneshot::Sender<Result<Permit, Fault>>,
}

/// Progress of a request that holds a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Sent, without a first token.
    Unstarted,
    /// As `Unstarted`, and a running request has been preempted for it.
    Preempting,
    /// The first token has arrived.
    Started,
}

#[derive(Debug)]
pub(super) struct Grant {
    pub(super) server: ServerId,
    pub(super) attributes: RequestAttributes,
    pub(super) first_token_target: Option<Duration>,
    pub(super) latency_sensitive: bool,
    /// Prompt tokens that the server has to prefill for it.
    pub(super) uncached: u32,
    pub(super) guard: bool,
    pub(super) identity: Arc<RequestIdentity>,
    /// Whether the response has gone past its beginning.
    pub(super) sound: bool,
    pub(super) sent: Instant,
    pub(super) stage: Stage,
    pub(super) directive: watch::Sender<Directive>,
}

impl Grant {
    /// Whether it runs and may be preempted. Requests sent by the starvation guard aren't
    /// preempted.
    pub(super) const fn preemptible(&self) -> bool {
        matches!(self.stage, Stage::Started) && !self.guard
    }
}

#[derive(Debug)]
pub(super) struct ClassStats {
    pub(super) last_progress: Instant,
    pub(super) cost: f64,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) preemption: Preemption,
    pub(super) queue: Queue<Waiter>,
    pub(super) servers: SlotMap<ServerId, Server>,
    pub(super) versions: VersionHistory,
    pub(super) grants: SlotMap<GrantId, Grant>,
    pub(super) classes: HashMap<SmolStr, ClassStats>,
    pub(super) floors: AdmissionFloors,
    pub(super) arrivals: ArrivalRates,
    /// Servers assumed to have a prefix cached, by its hash, with the time of the last request that
    /// used it.
    pub(super) cached_prefixes: HashMap<u64, Vec<(ServerId, Instant)>>,
    pub(super) demand: Demand,
    pub(super) fleet_demand: FleetDemand,
    pub(super) partition: Partition,
    /// What is admitted while the servers are crowded.
    pub(super) room: Room,
    pub(super) speeds: ServerSpeeds,
    /// Instances that send requests to the pool.
    pub(super) instances: u32,
    /// The instances among which rate limits are divided.
    pub(super) members: Arc<Members>,
    /// What was heard of the rate limits of servers that aren't declared yet, or not any more.
    pub(super) undeclared_limits: HashMap<SmolStr, Statement>,
    /// Until when servers, declared or not, want no requests of this instance, by their names.
    pub(super) rests: HashMap<SmolStr, Instant>,
    /// Servers whose rate limits are to be announced to the other instances.
    pub(super) announcements: BTreeSet<SmolStr>,
    /// Whether the servers fall over when they refuse too many requests.
    pub(super) brittleness: Brittleness,
    /// Whether this instance has parts of the servers' slots because they are brittle.
    pub(super) shares_assigned: bool,
    /// Crashes of servers, and the prompt segments and requests that cause them.
    pub(super) evidence: CrashEvidence,
    /// Lost connections of which it isn't known yet whether the server crashed, by its name.
    pub(super) losses: HashMap<SmolStr, Loss>,
    /// When the partition was last adapted to the demand.
    pub(super) partitioned: Option<Instant>,
    pub(super) retry_tokens: f64,
    pub(super) last_tick: Instant,
    pub(super) measure_after: Instant,
    pub(super) rng: SmallRng,
}

impl State {
    pub(super) fn next_dispatch(
        &mut self,
        max_unstarted: u32,
        now: Instant,
    ) -> Option<(EntryId, ServerId)> {
        let levels: Vec<Level> = self.queue.levels().collect();
        let hold = self.floors.hold_floor();
        for level in levels.into_iter().filter(|level| *level <= hold) {
            let entry = self.queue.head(level)?;
            let waiter = self.queue.item(entry)?;
            let (admission, prompt) = (waiter.admission.clone(), waiter.prompt);
            match self.choose(&admission, prompt, level, false, max_unstarted, now) {
                Choice::Server(server) => return Some((entry, server)),
                Choice::OnlyStragglers => {}
                Choice::Full => return None,
            }
        }
        None
    }

    pub(super) fn choose(
        &mut self,
        admission: &AdmissionRequest,
        prompt: Prompt,
        level: Level,
        guard: bool,
        max_unstarted: u32,
        now: Instant,
    ) -> Choice {
        let criteria = Criteria {
            level,
            prefix_hash: admission.prefix_hash,
            latency_sensitive: admission.latency_sensitive,
            guard,
            avoid: &admission.avoid,
            version: admission.version.as_deref(),
            prefer: admission.prefer,
            max_unstarted,
        };
        if let Some(server) = self.server_to_recheck(&criteria, now) {
            return Choice::Server(server);
        }
        let request = PromptRequest {
            prompt,
            class: &admission.attributes.class,
            first_token_target: admission.first_token_target,
            gap_target: admission.gap_target,
        };
        let choice = self.place(&criteria, &request, now);
        // If only servers that failed the request have capacity, it is sent to one of them again.
        match choice {
            Choice::Full if !admission.avoid.is_empty() => {
                let criteria = Criteria {
                    avoid: &[],
                    ..criteria
                };
                self.place(&criteria, &request, now)
            }
            choice => choice,
        }
    }

    /// The oldest request of each class that has gone without progress for a fraction `GUARD_FRACTION`
    /// of its starvation bound.
    pub(super) fn starving(&self, now: Instant) -> Vec<EntryId> {
        let due = self.classes.iter().filter(|(class, stat)| {
            let idle = now.saturating_duration_since(stat.last_progress);
            self.queue.class_len(class) > 0 && idle > Duration::from_millis(100)
        });
        let oldest = due.filter_map(|(class, stat)| {
            let id = self.queue.oldest(class)?;
            let waiter = self.queue.item(id)?;
            let bound = waiter.admission.starvation_bound.mul_f64(GUARD_FRACTION);
            (now.saturating_duration_since(stat.last_progress) >= bound).then_some(id)
        });
        oldest.collect()
    }

    /// Restarts the starvation timer of a class when a request arrives while none of the class is
    /// waiting.
    pub(super) fn start_progress_timer(&mut self, class: &SmolStr, now: Instant) {
        if self.queue.class_len(class) == 0 {
            self.record_progress(class, now);
        }
    }

    pub(super) fn record_progress(&mut self, class: &SmolStr, now: Instant) {
        let stat = self.classes.entry(class.clone()).or_insert(ClassStats {
            last_progress: now,
            cost: COST_INITIAL,
        });
        stat.last_progress = now;
    }

    pub(super) fn cost(&self, class: &str) -> u64 {
        let cost = self.classes.get(class).map_or(COST_INITIAL, |s| s.cost);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small and positive"
        )]
        let cost = cost as u64;
        cost.max(1)
    }

    pub(super) fn check_admission(
        &self,
        admission: &AdmissionRequest,
        now: Instant,
    ) -> Option<Fault> {
        let attributes = &admission.attributes;
        let below = attributes.level > self.floors.evict_floor(now);
        let guarded = self.queue.class_len(&attributes.class) == 0;
        (below && !guarded && !attributes.partial).then(|| self.overloaded(attributes, now))
    }

    pub(super) fn overloaded(&self, attributes: &RequestAttributes, now: Instant) -> Fault {
        let message = format!(
            "requests of class {} are being rejected because of overload",
            attributes.class
        );
        Fault::new(Kind::Overloaded, message).retry_after(self.floors.retry_after(now))
    }

    /// Time that a request has been in the queue as a fraction of its longest wait.
    pub(super) fn waited_fraction(&self, id: EntryId, now: Instant) -> f64 {
        let since = self.queue.get(id).map_or(now, |(_, since)| since);
        let wait = self
            .queue
            .item(id)
            .map_or(Duration::MAX, |w| w.admission.max_wait);
        now.saturating_duration_since(since).as_secs_f64() / wait.as_secs_f64().max(0.001)
    }

    pub(super) fn update_floors(&mut self, now: Instant, queue_bytes: usize) {
        // Other instances may send to the servers that rest from this one.
        let rests = self.rest_left(now).is_some();
        let late = self
            .queue
            .flow_fronts()
            .filter(|_| !rests)
            .filter(|id| self.waited_fraction(*id, now) >= AdmissionFloors::LATE_FRACTION)
            .filter_map(|id| self.queue.get(id).map(|(attributes, _)| attributes.level))
            .min();
        let lowest = self.queue.levels().next_back();
        let full = lowest.filter(|_| self.queue.bytes() * 2 > queue_bytes);
        self.floors
            .update_evict(late.into_iter().chain(full).min(), now);
        let waiting = self.queue.flow_fronts().filter(|id| {
            let since = self.queue.get(*id).map_or(now, |(_, since)| since);
            !rests && now.saturating_duration_since(since) >= AdmissionFloors::HOLD_AFTER
        });
        let levels =
            waiting.filter_map(|id| self.queue.get(id).map(|(attributes, _)| attributes.level));
        let most_important = levels.min();
        self.floors.update_hold(most_important, now);
    }

    /// For each unstarted request that would miss its target for the time to first token, preempts
    /// a less important running request of this instance at the same server. Returns the number of
    /// preempted requests.
    pub(super) fn preempt(&mut self, now: Instant) -> u64 {
        if self.preemption == Preemption::ByServer {
            return 0;
        }
        let late: Vec<(GrantId, ServerId, Level)> = self
            .grants
            .iter()
            .filter(|(_, g)| g.stage == Stage::Unstarted)
            .filter(|(_, g)| {
                let target = g.first_token_target.map(|t| t.mul_f64(PREEMPT_FRACTION));
                target.is_some_and(|t| now.saturating_duration_since(g.sent) > t)
            })
            .map(|(id, g)| (id, g.server, g.attributes.level))
            .collect();
        let mut preempted = 0;
        for (id, server, level) in late {
            let victim = self
                .grants
                .values()
                .filter(|g| g.server == server && g.preemptible())
                .filter(|g| {
                    g.attributes.level > level && *g.directive.borrow() == Directive::Continue
                })
                .max_by_key(|g| (g.attributes.level, g.sent));
            if let Some(victim) = victim {
                victim.directive.send_replace(Directive::Preempt);
                self.grants[id].stage = Stage::Preempting;
                preempted += 1;
            }
        }
        preempted
    }

    /// Detects that this instance itself was paused, so that the delay isn't attributed to the
    /// servers.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_tick) > PAUSE_THRESHOLD {
            self.measure_after = now + MEASUREMENT_HOLDOFF;
        }
        self.last_tick = now;
    }

    /// Whether this instance is or recently was paused.
    pub(super) fn recently_paused(&self, now: Instant) -> bool {
        let paused = now.saturating_duration_since(self.last_tick) > PAUSE_THRESHOLD;
        paused || now < self.measure_after
    }

    pub(super) fn update_stragglers(&mut self) {
        let mut gaps: Vec<f64> = self.servers.values().filter_map(Server::gap_ms).collect();
        if gaps.len() < 3 {
            return;
        }
        gaps.sort_by(f64::total_cmp);
        let median = gaps[gaps.len() / 2];
        for (id, server) in &mut self.servers {
            if server.update_straggling(median) {
                let slow = self
                    .grants
                    .values()
                    .filter(|g| g.server == id && g.latency_sensitive);
                for grant in slow.filter(|_| server.straggling()) {
                    grant.directive.send_replace(Directive::Migrate);
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

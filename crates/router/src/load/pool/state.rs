//! What a pool knows, and the decisions that it takes from it.

use std::collections::HashMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use slotmap::SlotMap;
use smol_str::SmolStr;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::{AdmissionRequest, Directive, GrantId, Permit, Preemption, ServerId};
use crate::config::object::Level;
use crate::error::{Fault, Kind};
use crate::load::placement::{self, Backlog, Choice, Prompt, View, Wish};
use crate::load::pressure::Pressure;
use crate::load::queue::{EntryId, Queue, RequestAttributes};
use crate::load::server::Server;

/// Share of a class's bound after which the starvation guard acts.
const GUARD_SHARE: f64 = 0.5;
/// Share of the first-token target that a request is unstarted before it takes a running one's slot.
const PREEMPT_SHARE: f64 = 0.1;
/// Tokens expected of a class that nothing is known of.
const COST_START: f64 = 64.0;
/// Time after a pause in which no server's speed is measured.
const QUIET: Duration = Duration::from_millis(500);
/// Time for which an engine is taken to have a common beginning that it read.
const WARM: Duration = Duration::from_secs(20);
/// Time between two ticks from which this instance is taken to have stood still.
const PAUSE: Duration = Duration::from_millis(250);

#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) admission: AdmissionRequest,
    pub(super) prompt: Prompt,
    pub(super) reply: oneshot::Sender<Result<Permit, Fault>>,
}

/// How far a sent request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No token has come.
    Unstarted,
    /// No token has come, and a running request was told to make room.
    Preempting,
    /// Tokens come.
    Started,
}

#[derive(Debug)]
pub(super) struct Grant {
    pub(super) server: ServerId,
    pub(super) attributes: RequestAttributes,
    pub(super) first_token_target: Option<Duration>,
    pub(super) targeted: bool,
    /// Prompt tokens that the server had to read for it.
    pub(super) unread: u32,
    pub(super) guard: bool,
    pub(super) sent: Instant,
    pub(super) stage: Stage,
    pub(super) directive: watch::Sender<Directive>,
}

impl Grant {
    /// Whether it runs, and may be told to make room for more important work.
    pub(super) const fn can_yield(&self) -> bool {
        matches!(self.stage, Stage::Started) && !self.guard
    }
}

#[derive(Debug)]
pub(super) struct ClassStat {
    pub(super) progress: Instant,
    pub(super) cost: f64,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) preemption: Preemption,
    pub(super) queue: Queue<Waiter>,
    pub(super) servers: SlotMap<ServerId, Server>,
    pub(super) grants: SlotMap<GrantId, Grant>,
    pub(super) classes: HashMap<SmolStr, ClassStat>,
    pub(super) pressure: Pressure,
    /// When a server last read the common beginning of some prompts.
    pub(super) warm: HashMap<u64, Vec<(ServerId, Instant)>>,
    pub(super) retries: f64,
    pub(super) ticked: Instant,
    pub(super) quiet_until: Instant,
    pub(super) rng: SmallRng,
}

impl State {
    pub(super) fn next(&mut self, unstarted: u32, now: Instant) -> Option<(EntryId, ServerId)> {
        let levels: Vec<Level> = self.queue.levels().collect();
        let hold = self.pressure.startable();
        for level in levels.into_iter().filter(|level| *level <= hold) {
            let entry = self.queue.head(level)?;
            let waiter = self.queue.item(entry)?;
            let (admission, prompt) = (waiter.admission.clone(), waiter.prompt);
            match self.choose(&admission, prompt, level, false, unstarted, now) {
                Choice::Server(server) => return Some((entry, server)),
                Choice::Straggler => {}
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
        unstarted: u32,
        now: Instant,
    ) -> Choice {
        let wish = Wish {
            level,
            prefix: admission.prefix_hash,
            targeted: admission.targeted,
            guard,
            avoid: &admission.avoid,
            prefer: admission.prefer,
            unstarted,
        };
        let choice = self.place(&wish, prompt, now);
        // A request that failed everywhere may go back to where it failed.
        match choice {
            Choice::Full if !admission.avoid.is_empty() => {
                let wish = Wish { avoid: &[], ..wish };
                self.place(&wish, prompt, now)
            }
            choice => choice,
        }
    }

    fn place(&mut self, wish: &Wish<'_>, prompt: Prompt, now: Instant) -> Choice {
        if prompt == Prompt::default() {
            return placement::choose(&self.servers, wish, now, &mut self.rng);
        }
        let backlogs = self.backlogs(now);
        let warm = self.warm_servers(wish.prefix);
        let view = View {
            backlogs: &backlogs,
            warm: &warm,
        };
        placement::choose_for_prompt(&self.servers, wish, prompt, &view, now)
    }

    /// What was sent to each server and has no token yet.
    fn backlogs(&self, now: Instant) -> HashMap<ServerId, Backlog> {
        let mut backlogs: HashMap<ServerId, Backlog> = HashMap::new();
        let unstarted = self.grants.values().filter(|g| g.stage != Stage::Started);
        for grant in unstarted {
            let backlog = backlogs.entry(grant.server).or_default();
            backlog.tokens = backlog.tokens.saturating_add(grant.unread);
            let age = now.saturating_duration_since(grant.sent);
            backlog.age = backlog.age.max(age);
        }
        backlogs
    }

    fn warm_servers(&self, prefix: u64) -> Vec<ServerId> {
        let warm = self.warm.get(&prefix).into_iter().flatten();
        warm.map(|(id, _)| *id).collect()
    }

    /// Prompt tokens that a server has to read for a request that is sent to it now.
    pub(super) fn unread(
        &mut self,
        server: ServerId,
        prefix: u64,
        prompt: Prompt,
        now: Instant,
    ) -> u32 {
        if prefix == 0 {
            return prompt.shared + prompt.unique;
        }
        let warm = self.warm.entry(prefix).or_default();
        let known = warm.iter().position(|(id, _)| *id == server);
        match known {
            Some(position) => warm[position].1 = now,
            None => warm.push((server, now)),
        }
        let shared = if known.is_some() { 0 } else { prompt.shared };
        shared + prompt.unique
    }

    /// Forgets what servers read too long ago to have it still.
    pub(super) fn cool(&mut self, now: Instant) {
        self.warm.retain(|_, servers| {
            servers.retain(|(_, at)| now.saturating_duration_since(*at) < WARM);
            !servers.is_empty()
        });
    }

    /// The oldest request of each class whose wait without progress nears its bound.
    pub(super) fn starving(&self, now: Instant) -> Vec<EntryId> {
        let due = self.classes.iter().filter(|(class, stat)| {
            let idle = now.saturating_duration_since(stat.progress);
            self.queue.waiting(class) > 0 && idle > Duration::from_millis(100)
        });
        let oldest = due.filter_map(|(class, stat)| {
            let id = self.queue.oldest(class)?;
            let waiter = self.queue.item(id)?;
            let bound = waiter.admission.starvation_bound.mul_f64(GUARD_SHARE);
            (now.saturating_duration_since(stat.progress) >= bound).then_some(id)
        });
        oldest.collect()
    }

    /// Starts a class's clock when its first request comes in.
    pub(super) fn progress(&mut self, class: &SmolStr, now: Instant) {
        if self.queue.waiting(class) == 0 {
            self.progressed(class, now);
        }
    }

    pub(super) fn progressed(&mut self, class: &SmolStr, now: Instant) {
        let stat = self.classes.entry(class.clone()).or_insert(ClassStat {
            progress: now,
            cost: COST_START,
        });
        stat.progress = now;
    }

    pub(super) fn cost(&self, class: &str) -> u64 {
        let cost = self.classes.get(class).map_or(COST_START, |s| s.cost);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small and positive"
        )]
        let cost = cost as u64;
        cost.max(1)
    }

    pub(super) fn refuse(&self, admission: &AdmissionRequest, now: Instant) -> Option<Fault> {
        let attributes = &admission.attributes;
        let below = attributes.level > self.pressure.floor(now);
        let guarded = self.queue.waiting(&attributes.class) == 0;
        (below && !guarded && !attributes.partial).then(|| self.overloaded(attributes, now))
    }

    pub(super) fn overloaded(&self, attributes: &RequestAttributes, now: Instant) -> Fault {
        let message = format!("{} gives way to more important work", attributes.class);
        Fault::new(Kind::Overloaded, message).retry_after(self.pressure.retry_after(now))
    }

    /// How much of its longest wait a request has waited; 1.0 is all of it.
    pub(super) fn waited_share(&self, id: EntryId, now: Instant) -> f64 {
        let since = self.queue.get(id).map_or(now, |(_, since)| since);
        let wait = self
            .queue
            .item(id)
            .map_or(Duration::MAX, |w| w.admission.max_wait);
        now.saturating_duration_since(since).as_secs_f64() / wait.as_secs_f64().max(0.001)
    }

    pub(super) fn feel_pressure(&mut self, now: Instant, queue_bytes: usize) {
        let late = self
            .queue
            .fronts()
            .filter(|id| self.waited_share(*id, now) >= Pressure::LATE_SHARE)
            .filter_map(|id| self.queue.get(id).map(|(attributes, _)| attributes.level))
            .min();
        let lowest = self.queue.levels().next_back();
        let full = lowest.filter(|_| self.queue.bytes() * 2 > queue_bytes);
        self.pressure
            .update(late.into_iter().chain(full).min(), now);
        let waiting = self.queue.fronts().filter(|id| {
            let since = self.queue.get(*id).map_or(now, |(_, since)| since);
            now.saturating_duration_since(since) >= Pressure::HOLD_AFTER
        });
        let levels =
            waiting.filter_map(|id| self.queue.get(id).map(|(attributes, _)| attributes.level));
        let held = levels.min();
        self.pressure.update_hold(held, now);
    }

    /// Makes room for unstarted requests that would miss their first-token target, by telling a less
    /// important running request of this instance at the same server to come back later.
    pub(super) fn preempt(&mut self, now: Instant) -> u64 {
        if self.preemption == Preemption::AtServer {
            return 0;
        }
        let late: Vec<(GrantId, ServerId, Level)> = self
            .grants
            .iter()
            .filter(|(_, g)| g.stage == Stage::Unstarted)
            .filter(|(_, g)| {
                let target = g.first_token_target.map(|t| t.mul_f64(PREEMPT_SHARE));
                target.is_some_and(|t| now.saturating_duration_since(g.sent) > t)
            })
            .map(|(id, g)| (id, g.server, g.attributes.level))
            .collect();
        let mut preempted = 0;
        for (id, server, level) in late {
            let victim = self
                .grants
                .values()
                .filter(|g| g.server == server && g.can_yield())
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

    /// Notices that this instance itself stood still, so that no server is blamed for it.
    pub(super) fn notice_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.ticked) > PAUSE {
            self.quiet_until = now + QUIET;
        }
        self.ticked = now;
    }

    /// Whether this instance itself stands still, or did a moment ago.
    pub(super) fn stood_still(&self, now: Instant) -> bool {
        let standing = now.saturating_duration_since(self.ticked) > PAUSE;
        standing || now < self.quiet_until
    }

    pub(super) fn judge(&mut self) {
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

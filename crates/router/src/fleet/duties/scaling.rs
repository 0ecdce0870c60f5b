//! Orders servers for the pools whose number of servers follows their demand, while this instance holds the duty.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use log::Level;
use smol_str::SmolStr;
use tokio::time::{self, Instant, MissedTickBehavior};

use crate::event::Line;
use crate::fleet::duties::{CallError, DutyPlatform, Permission, Token};
use crate::forward::config_snapshot::CurrentConfig;
use crate::load::scaling::{Bounds, Observation, Order, Outcome, Planner, Reason};
use crate::metrics::ServerCounts;
use crate::node::Node;

/// Time between two decisions.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time within which the platform must answer a call. It is a part of what a permission lasts.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Most calls of one decision; what is left follows with the next one.
const CALLS_MAX: usize = 12;
/// Pause after a call that the platform didn't answer or was too busy for; it doubles with each further one.
const PAUSE_MIN: Duration = Duration::from_secs(1);
const PAUSE_MAX: Duration = Duration::from_secs(8);

/// Orders servers whenever `permission` allows it, for the pools that have bounds in the configuration. Never returns.
pub async fn run<D: DutyPlatform, P: Permission>(
    node: Arc<Node>,
    config: Arc<CurrentConfig>,
    platform: Arc<D>,
    permission: Arc<P>,
) {
    let mut interval = time::interval(INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut orders = None;
    loop {
        interval.tick().await;
        let bounds = &config.get().scaling;
        let held = permission.check(Duration::ZERO);
        let Some((_, token)) = held.filter(|_| !bounds.is_empty()) else {
            if orders.take().is_some() {
                node.metrics.set_server_counts(&[]);
            }
            continue;
        };
        let orders = orders.get_or_insert_with(|| Orders::new(Arc::clone(&node)));
        let due = orders.due(bounds, Instant::now());
        orders
            .send(platform.as_ref(), permission.as_ref(), token, due)
            .await;
        node.metrics.set_server_counts(&orders.counts());
    }
}

/// The decisions of one holder.
struct Orders {
    node: Arc<Node>,
    planners: BTreeMap<SmolStr, Planner>,
    /// No calls before this time.
    paused_until: Option<Instant>,
    pause: Duration,
}

impl Orders {
    const fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            planners: BTreeMap::new(),
            paused_until: None,
            pause: Duration::ZERO,
        }
    }

    /// The orders that are due in all pools. What was due before and isn't any more is left out.
    fn due(&mut self, bounds: &BTreeMap<SmolStr, Bounds>, now: Instant) -> Vec<(Order, Reason)> {
        self.planners.retain(|pool, _| bounds.contains_key(pool));
        let mut due = Vec::new();
        for (pool, bounds) in bounds {
            let Some(seen) = observe(&self.node, pool) else {
                continue;
            };
            let planner = self.planners.entry(pool.clone());
            let planner =
                planner.or_insert_with(|| Planner::new(pool.clone(), bounds.clone(), now));
            planner.set_bounds(bounds);
            let before = planner.total();
            due.extend(planner.orders(&seen, now));
            if planner.total() != before {
                log_wanted(pool, planner.total(), before, &seen);
            }
        }
        if self.paused_until.is_some_and(|until| until > now) {
            due.clear();
        }
        due.truncate(CALLS_MAX);
        due
    }

    async fn send<D: DutyPlatform, P: Permission>(
        &mut self,
        platform: &D,
        permission: &P,
        token: Token,
        due: Vec<(Order, Reason)>,
    ) {
        let calls = due.into_iter().map(|(order, reason)| async move {
            let sent = Instant::now();
            let result = platform.order_servers(permission, &order, CALL_TIMEOUT);
            let result = result.await;
            (order, reason, result, sent.elapsed())
        });
        for (order, reason, result, took) in future::join_all(calls).await {
            self.log_sent(&order, reason, result, (token, took));
            self.record(&order, result);
        }
    }

    fn record(&mut self, order: &Order, result: Result<(), CallError>) {
        let now = Instant::now();
        let (outcome, counter) = match result {
            Ok(()) => (Outcome::Taken, "orders.taken"),
            Err(CallError::NoneAvailable) => (Outcome::NoneAvailable, "orders.none_available"),
            Err(CallError::NoResponse) => (Outcome::Unknown, "orders.no_response"),
            Err(CallError::Busy) => (Outcome::Refused, "orders.busy"),
            Err(CallError::Rejected) => (Outcome::Refused, "orders.rejected"),
            Err(CallError::NotHeld) => (Outcome::Refused, "orders.not_held"),
        };
        self.node.metrics.count(counter);
        match result {
            Ok(()) | Err(CallError::NoneAvailable) => self.pause = Duration::ZERO,
            Err(CallError::NotHeld) => {}
            Err(CallError::Busy | CallError::NoResponse | CallError::Rejected) => self.wait(now),
        }
        if let Some(planner) = self.planners.get_mut(&order.pool) {
            planner.record(order, outcome, now);
        }
    }

    /// Makes no calls for a while; several failures of one decision count once.
    fn wait(&mut self, now: Instant) {
        if self.paused_until.is_none_or(|until| until <= now) {
            self.pause = (self.pause * 2).clamp(PAUSE_MIN, PAUSE_MAX);
            self.paused_until = Some(now + self.pause);
        }
    }

    fn counts(&self) -> Vec<ServerCounts> {
        let planners = self.planners.iter();
        let counts = planners.flat_map(|(pool, planner)| {
            let groups = planner.standing();
            groups.map(|(group, ordered, ready)| ServerCounts {
                pool: pool.clone(),
                data_centre: group.data_centre.clone(),
                kind: kind(group.spot),
                ordered,
                ready,
            })
        });
        counts.collect()
    }

    fn log_sent(
        &self,
        order: &Order,
        reason: Reason,
        result: Result<(), CallError>,
        (token, took): (Token, Duration),
    ) {
        let planner = self.planners.get(&order.pool);
        let standing = planner.into_iter().flat_map(Planner::standing);
        let mut same =
            standing.filter(|(g, ..)| g.spot == order.spot && g.data_centre == order.data_centre);
        let (before, ready) = same
            .next()
            .map_or((0, 0), |(_, count, ready)| (count, ready));
        Line::new("orders.sent")
            .field("pool", &order.pool)
            .field("data_centre", &order.data_centre)
            .field("kind", kind(order.spot))
            .field("count", order.count)
            .field("before", before)
            .field("ready", ready)
            .field("reason", reason.as_str())
            .field("token", token)
            .field("outcome", outcome(result))
            .field("took_ms", took.as_millis())
            .write(if result.is_ok() {
                Level::Info
            } else {
                Level::Warn
            });
    }
}

/// What this instance knows of a pool; `None` if it doesn't know the pool yet.
fn observe(node: &Node, pool: &str) -> Option<Observation> {
    let mut seen = node.pools.get(pool)?.observation();
    for record in node.membership.alive() {
        *seen.instances.entry(record.data_centre).or_default() += 1;
    }
    Some(seen)
}

fn log_wanted(pool: &str, servers: u32, before: u32, seen: &Observation) {
    let ready: u32 = seen.present.values().map(|present| present.ready).sum();
    let busy = seen.busy.map(|busy| format!("{busy:.1}"));
    Line::new("orders.wanted")
        .field("pool", pool)
        .field("servers", servers)
        .field("before", before)
        .field("ready", ready)
        .optional_field("busy", busy)
        .field("overload", seen.waiting.is_overload())
        .write(Level::Info);
}

const fn kind(spot: bool) -> &'static str {
    if spot { "spot" } else { "regular" }
}

const fn outcome(result: Result<(), CallError>) -> &'static str {
    match result {
        Ok(()) => "taken",
        Err(CallError::NoneAvailable) => "none_available",
        Err(CallError::Busy) => "busy",
        Err(CallError::NoResponse) => "no_response",
        Err(CallError::Rejected) => "rejected",
        Err(CallError::NotHeld) => "not_held",
    }
}

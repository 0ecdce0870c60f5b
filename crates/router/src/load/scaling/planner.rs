//! The decision for one pool.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use super::allocation::{self, Place};
use super::demand_window::DemandWindow;
use super::standing::Standing;
use super::{
    Bounds, Group, LOSS_UTILISATION, Observation, Order, Outcome, Reason, UTILISATION, servers_for,
};

/// One of so many servers may be a spot server: when two data centres lose theirs in a row, what is left bears the
/// demand.
const SPOT_DIVISOR: u32 = 2;
/// One of so many servers is added at a time while requests wait.
const OVERLOAD_DIVISOR: u32 = 4;
/// At most one of so many servers is given up at a time, so that it shows whether the rest bear the demand.
const DECLINE_DIVISOR: u32 = 4;
/// Servers are given up only if the demand is this much less than what they are for.
const DECLINE_MARGIN: f64 = 1.1;
/// One of so many servers that is missing counts as a loss, after which none is given up for a while.
const LOSS_DIVISOR: u32 = 8;
/// Most servers of all data centres, so that a wrong configuration doesn't take long to work through.
const SERVERS_MAX: u32 = 10_000;

/// Decides how many servers a pool should have in each data centre.
#[derive(Clone, Debug)]
pub struct Planner {
    pool: SmolStr,
    bounds: Bounds,
    demand: DemandWindow,
    groups: BTreeMap<Group, Standing>,
    /// Most instances seen in each data centre.
    callers: BTreeMap<SmolStr, u32>,
    /// Servers that all data centres together should have.
    total: u32,
    overloaded_since: Option<Instant>,
    /// When there was last trouble, or the demand became known.
    troubled: Instant,
    declined: Option<Instant>,
}

impl Planner {
    /// Creates a planner that knows neither demand nor servers.
    #[must_use]
    pub fn new(pool: SmolStr, bounds: Bounds, now: Instant) -> Self {
        Self {
            pool,
            bounds,
            demand: DemandWindow::default(),
            groups: BTreeMap::new(),
            callers: BTreeMap::new(),
            total: 0,
            overloaded_since: None,
            troubled: now,
            declined: None,
        }
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: &Bounds) {
        if self.bounds != *bounds {
            self.bounds.clone_from(bounds);
        }
    }

    /// The number that stands for each group, and the servers that are ready.
    pub fn standing(&self) -> impl Iterator<Item = (&Group, u32, u32)> {
        let groups = self.groups.iter();
        groups.map(|(group, standing)| (group, standing.count, standing.present.ready))
    }

    /// Servers that all data centres together should have.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.total
    }

    /// The orders that are due. None before the demand is known.
    pub fn orders(&mut self, seen: &Observation, now: Instant) -> Vec<(Order, Reason)> {
        self.observe(seen, now);
        if !self.update_total(now) {
            return Vec::new();
        }
        let mut orders = Vec::new();
        let wishes = self.wishes(now);
        for (data_centre, (regular, spot)) in &wishes {
            self.due(data_centre, *regular, *spot, now, &mut orders);
        }
        orders
    }

    /// Records what became of an order.
    pub fn record(&mut self, order: &Order, outcome: Outcome, now: Instant) {
        let backoff = self.bounds.start_time();
        let standing = self.groups.entry(group(&order.data_centre, order.spot));
        let standing = standing.or_default();
        standing.record(order.count, outcome, backoff, now);
    }

    fn observe(&mut self, seen: &Observation, now: Instant) {
        if let Some(busy) = seen.busy.filter(|busy| busy.is_finite()) {
            if self.demand.is_empty() {
                self.troubled = now;
            }
            self.demand.record(busy, self.bounds.calm_time(), now);
        }
        for (data_centre, count) in &seen.instances {
            let callers = self.callers.entry(data_centre.clone()).or_default();
            *callers = (*callers).max(*count);
        }
        for group in self.known_groups(seen) {
            let present = seen.present.get(&group).copied().unwrap_or_default();
            let spot = group.spot;
            let backoff = self.bounds.start_time();
            let standing = self.groups.entry(group).or_default();
            if standing.observe(present, spot, now) {
                standing.block(backoff, now);
                self.troubled = now;
            }
        }
        if seen.waiting.is_overload() {
            self.overloaded_since.get_or_insert(now);
        } else {
            self.overloaded_since = None;
        }
        if self.overloaded_since.is_some() || self.has_loss() {
            self.troubled = now;
        }
    }

    fn known_groups(&self, seen: &Observation) -> BTreeSet<Group> {
        let priced = self.bounds.prices.keys();
        let data_centres = priced.chain(seen.present.keys().map(|g| &g.data_centre));
        let both = data_centres.flat_map(|name| [false, true].map(|spot| group(name, spot)));
        both.chain(self.groups.keys().cloned()).collect()
    }

    /// Whether many of the servers that stand are missing.
    fn has_loss(&self) -> bool {
        let count: u32 = self.groups.values().map(|s| s.count).sum();
        let ready = self.groups.values().map(|s| s.present.ready.min(s.count));
        let missing = count.saturating_sub(ready.sum());
        missing > 0 && missing * LOSS_DIVISOR >= count
    }

    /// Whether fewer servers are ordered than all data centres together should have.
    fn is_short(&self) -> bool {
        let count: u32 = self.groups.values().map(|s| s.count).sum();
        count < self.total
    }

    fn is_calm(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.troubled) >= self.bounds.calm_time()
    }

    /// Adapts the total to the demand. `false` if the demand isn't known yet.
    fn update_total(&mut self, now: Instant) -> bool {
        let ready: u32 = self.groups.values().map(|s| s.present.ready).sum();
        let growth_time = self.bounds.growth_time();
        let Some(sustained) = self.demand.sustained(growth_time, now) else {
            self.total = self.total.max(ready);
            return false;
        };
        let mut wanted = servers_for(sustained, UTILISATION);
        let overloaded = self.overloaded_since;
        if overloaded.is_some_and(|at| now.saturating_duration_since(at) >= growth_time) {
            wanted = wanted.max(ready + ready.div_ceil(OVERLOAD_DIVISOR));
        }
        let enough = servers_for(self.demand.peak() * DECLINE_MARGIN, UTILISATION);
        if wanted > self.total {
            self.total = wanted;
            self.troubled = now;
        } else if enough < self.total && self.may_decline(now) {
            let step = self.total.div_ceil(DECLINE_DIVISOR);
            self.total = enough.max(self.total - step);
            self.declined = Some(now);
        }
        let data_centres = self.data_centres();
        let places = u32::try_from(data_centres.len()).unwrap_or(u32::MAX);
        let least = self.bounds.min.saturating_mul(places);
        let most = self.bounds.max.saturating_mul(places).min(SERVERS_MAX);
        self.total = self.total.clamp(least.min(most), most);
        true
    }

    fn may_decline(&self, now: Instant) -> bool {
        let settled = self.declined.is_none_or(|at| {
            now.saturating_duration_since(at) >= self.bounds.boot.max(Duration::from_secs(1))
        });
        settled && self.is_calm(now)
    }

    fn data_centres(&self) -> BTreeSet<SmolStr> {
        let groups = self.groups.keys();
        groups.map(|group| group.data_centre.clone()).collect()
    }

    fn get(&self, data_centre: &SmolStr, spot: bool) -> Standing {
        let standing = self.groups.get(&group(data_centre, spot));
        standing.cloned().unwrap_or_default()
    }

    /// Regular and spot servers that each data centre should have.
    fn wishes(&self, now: Instant) -> BTreeMap<SmolStr, (u32, u32)> {
        let data_centres = self.data_centres();
        let places = data_centres.iter().map(|name| self.place(name, now));
        let places: Vec<Place> = places.collect();
        let counts = allocation::divide(self.total, &places);
        let needed = servers_for(self.demand.peak(), UTILISATION).min(self.total);
        let most_lost = f64::from(needed) * (1.0 - UTILISATION / LOSS_UTILISATION);
        let wishes = counts.into_iter().map(|(name, count)| {
            let share = u64::from(count) * u64::from(needed) / u64::from(self.total.max(1));
            let share = u32::try_from(share).unwrap_or(u32::MAX) / SPOT_DIVISOR;
            let spot = if self.bounds.has_spot() {
                share.min(servers_for(most_lost.floor(), 1.0))
            } else {
                0
            };
            let wish = self.split(&name, count, spot, now);
            (name, wish)
        });
        wishes.collect()
    }

    fn place(&self, data_centre: &SmolStr, now: Instant) -> Place {
        let regular = self.get(data_centre, false);
        let spot = self.get(data_centre, true);
        let Bounds { min, max, .. } = self.bounds;
        let ready = regular.present.ready + spot.present.ready;
        let most = match (regular.is_blocked(now), spot.is_blocked(now)) {
            (true, true) => ready,
            (true, false) if !self.bounds.has_spot() => ready,
            (true, false) => regular.present.ready * SPOT_DIVISOR,
            (false, _) => max,
        };
        let most = most.clamp(min.min(max), max);
        Place {
            data_centre: data_centre.clone(),
            weight: allocation::weight(&self.bounds, data_centre, &self.callers),
            min: min.min(most),
            max: most,
        }
    }

    /// Divides the servers of a data centre between the kinds; what one can't provide, the other does.
    fn split(&self, data_centre: &SmolStr, count: u32, spot: u32, now: Instant) -> (u32, u32) {
        let regular_standing = self.get(data_centre, false);
        let spot_standing = self.get(data_centre, true);
        if spot_standing.is_blocked(now) {
            let regular = count.saturating_sub(spot_standing.present.ready);
            return (regular, spot_standing.count);
        }
        if regular_standing.is_blocked(now) && self.bounds.has_spot() {
            let regular = regular_standing.count;
            let missing = count.saturating_sub(regular_standing.present.ready);
            let room = self.bounds.max.saturating_sub(regular);
            return (regular, missing.max(spot).min(room));
        }
        (count - spot.min(count), spot.min(count))
    }

    /// Adds the orders that are due in a data centre: those for fewer servers first.
    fn due(
        &self,
        data_centre: &SmolStr,
        regular: u32,
        spot: u32,
        now: Instant,
        orders: &mut Vec<(Order, Reason)>,
    ) {
        let kinds = [(false, regular), (true, spot)];
        let standings = [false, true].map(|spot| self.get(data_centre, spot));
        for (index, (spot, wish)) in kinds.into_iter().enumerate() {
            let (own, other) = (&standings[index], &standings[1 - index]);
            let room = self.bounds.max.saturating_sub(other.upper());
            let other_wish = kinds[1 - index].1;
            let other_room = self.bounds.max.saturating_sub(own.upper());
            let tight = other_wish > other_room;
            let replaced = other.is_complete() && other.count >= other_wish.min(other_room);
            let count = wish.min(room.max(own.count));
            let Some(reason) = self.reason(own, count, (tight, replaced), now) else {
                continue;
            };
            let order = Order {
                pool: self.pool.clone(),
                data_centre: data_centre.clone(),
                spot,
                count,
            };
            orders.push((order, reason));
        }
        orders.sort_by_key(|(_, reason)| *reason != Reason::Decline);
    }

    /// Why `count` servers are to be ordered now; `None` if they aren't. `tight` tells that the standing order leaves too
    /// little room for servers of the other kind, `replaced` that those take requests.
    fn reason(
        &self,
        own: &Standing,
        count: u32,
        (tight, replaced): (bool, bool),
        now: Instant,
    ) -> Option<Reason> {
        let blocked = own.is_blocked(now);
        let calm = self.is_calm(now) && replaced;
        let repeat = own.is_repeat_due(self.bounds.start_time(), now);
        match count.cmp(&own.count) {
            Ordering::Greater if blocked => None,
            Ordering::Greater => (self.is_short() || self.is_calm(now)).then_some(Reason::Growth),
            Ordering::Less => calm.then_some(Reason::Decline),
            Ordering::Equal if tight && own.upper() > own.count => Some(Reason::Decline),
            Ordering::Equal => (repeat && !blocked).then_some(Reason::Repeat),
        }
    }
}

fn group(data_centre: &SmolStr, spot: bool) -> Group {
    Group {
        data_centre: data_centre.clone(),
        spot,
    }
}

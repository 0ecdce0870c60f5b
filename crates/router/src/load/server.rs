//! State that an instance keeps of one backend server: load, token rate and health.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::config::object::{BackendServer, Level};
use crate::load::brittleness::SlotShare;
use crate::load::rate_limit::{LimitChange, Members, Rate, RateLimit};

new_key_type! {
    /// Key of a backend server in its pool.
    pub struct ServerId;
}

/// Number of priority levels that are counted separately; less important ones are counted with the
/// last.
const TRACKED_LEVELS: usize = 10;
/// Weight of a new sample in the moving average of the inter-token gap.
const EWMA_WEIGHT: f64 = 0.1;
/// Age at which the load in a report is given half its weight.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Age at which a reported work time is given half its weight.
const WORK_TIME_HALF_LIFE: Duration = Duration::from_millis(200);
/// Bounds of a reported work time, in percent of the usual one.
const WORK_PERCENT: RangeInclusive<u32> = 25..=1_000;
/// Time for which the circuit breaker stays open after the first failure, without jitter.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest time for which the circuit breaker stays open before a trial request, without jitter.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// A server is a straggler if its mean inter-token gap exceeds the pool's median by this factor.
const STRAGGLER_RATIO: f64 = 2.5;
/// Time after a failed connection for which the server's version is in doubt: another version may have started
/// under its id, and its entry may be out of date.
const VERSION_DOUBT: Duration = Duration::from_secs(3);
/// Time for which a notice that a server is leaving takes precedence over load reports that don't say so.
const LEAVING_NOTICE_PRECEDENCE: Duration = Duration::from_secs(10);
/// Samples of the inter-token gap that are needed to classify a server as a straggler.
const STRAGGLER_SAMPLES: u32 = 20;

/// Load of a backend server, as reported by the server itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running requests, of all instances.
    pub running: u32,
    /// Requests accepted and not yet started, of all instances.
    pub waiting: u32,
    /// Whether the server is leaving: it finishes its requests and takes no new ones.
    #[serde(default)]
    pub leaving: bool,
    /// How long work takes on the server's machine at the moment, in percent of the usual time; `None` if the server
    /// doesn't say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_percent: Option<u32>,
}

/// Response of a backend server to a poll of its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Its load.
    #[serde(flatten)]
    pub load: LoadReport,
    /// Requests a second that it takes from all instances together; `None` if it has no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_limit: Option<Rate>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    report: LoadReport,
    in_flight: u32,
    received: Instant,
}

/// State of the circuit breaker. `Open` lets no requests through until `until`, and then one trial
/// request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Circuit {
    Closed,
    Open { until: Instant, backoff: Duration },
}

/// Whether the configuration declares a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declaration {
    /// The configuration in effect declares it.
    Current,
    /// An earlier configuration declared it, and a request of this instance may still run there.
    Removed,
}

/// State of one backend server as seen by this instance.
#[derive(Debug)]
pub struct Server {
    /// The server's declaration in the configuration.
    pub declared: BackendServer,
    /// Whether the server is in this instance's data centre.
    pub local: bool,
    /// Whether the configuration still declares the server.
    pub declaration: Declaration,
    reported_leaving: bool,
    /// When it was last heard, not by a load report, that this start of the server is leaving.
    leaving_noticed: Option<Instant>,
    in_flight: u32,
    preemptible: [u32; TRACKED_LEVELS],
    unstarted: [u32; TRACKED_LEVELS],
    /// Send time of the most recently sent request that has started, by level.
    newest_started: [Option<Instant>; TRACKED_LEVELS],
    last_load: Option<ReceivedLoad>,
    gap_ms: f64,
    gap_samples: u32,
    straggling: bool,
    circuit: Circuit,
    /// When a connection to the server last couldn't be opened.
    connect_failed: Option<Instant>,
    /// What is known of the server's rate limit; `None` if it never named one.
    rate_limit: Option<RateLimit>,
    /// This instance's part of the slots; `None` if the server isn't brittle.
    slot_share: Option<SlotShare>,
    /// Until when the server wants no requests of this instance.
    rest_until: Option<Instant>,
    /// How many times as long work usually takes as at the pool's median server.
    slowness: f64,
}

impl Server {
    /// Creates a server without load or measurements and with a closed circuit breaker.
    #[must_use]
    pub const fn new(declared: BackendServer, local: bool) -> Self {
        Self {
            declared,
            local,
            declaration: Declaration::Current,
            reported_leaving: false,
            leaving_noticed: None,
            in_flight: 0,
            preemptible: [0; TRACKED_LEVELS],
            unstarted: [0; TRACKED_LEVELS],
            newest_started: [None; TRACKED_LEVELS],
            last_load: None,
            gap_ms: 0.0,
            gap_samples: 0,
            straggling: false,
            circuit: Circuit::Closed,
            connect_failed: None,
            rate_limit: None,
            slot_share: None,
            rest_until: None,
            slowness: 1.0,
        }
    }

    /// The server's name.
    #[must_use]
    pub const fn name(&self) -> &SmolStr {
        &self.declared.name
    }

    /// The address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.declared.address
    }

    /// Whether the server takes new requests: it isn't leaving, and its circuit breaker is closed
    /// or due for a trial request.
    #[must_use]
    pub fn available(&self, now: Instant) -> bool {
        let closed = match self.circuit {
            Circuit::Closed => true,
            Circuit::Open { until, .. } => until <= now && self.in_flight == 0,
        };
        closed && !self.leaving()
    }

    /// Whether the server takes a new request now: it is available and doesn't rest, and its rate limit and, if it is
    /// brittle, its slots leave room for one of this instance.
    #[must_use]
    pub fn accepts(&self, now: Instant) -> bool {
        let in_flight = self.in_flight;
        let has_slot = self.slot_share.is_none_or(|s| s.is_open(in_flight, now));
        let limit = self.rate_limit;
        let rests = self.rest_until.is_some_and(|until| until > now);
        let has_rate = limit.is_none_or(|limit| limit.is_open(now));
        self.available(now) && !rests && has_slot && has_rate
    }

    /// Until when the server wants no requests of this instance; `None` if it hasn't said so.
    #[must_use]
    pub const fn rest_until(&self) -> Option<Instant> {
        self.rest_until
    }

    /// Sets the time until which the server wants no requests of this instance.
    pub const fn set_rest(&mut self, until: Option<Instant>) {
        self.rest_until = until;
    }

    /// This instance's part of the slots; `None` if the server isn't brittle.
    #[must_use]
    pub const fn slot_share(&self) -> Option<&SlotShare> {
        self.slot_share.as_ref()
    }

    /// Sets this instance's part of the slots; `None` if the server isn't brittle.
    pub const fn set_slot_share(&mut self, share: Option<SlotShare>) {
        self.slot_share = share;
    }

    /// How many times as long work usually takes as at the pool's median server.
    #[must_use]
    pub const fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Sets [`Self::slowness`].
    pub const fn set_slowness(&mut self, slowness: f64) {
        self.slowness = slowness;
    }

    /// How long work took on the server's machine at its last load report, in percent of the usual time.
    #[must_use]
    pub fn work_percent(&self) -> Option<u32> {
        self.last_load.and_then(|load| load.report.work_percent)
    }

    /// How many times as long work takes now as at the pool's median server, as far as a recent load report tells.
    #[must_use]
    pub fn slowness_now(&self, now: Instant) -> f64 {
        let present = self.last_load.and_then(|load| {
            let percent = load.report.work_percent?;
            let age = now.saturating_duration_since(load.received);
            let weight = 0.5_f64.powf(age.as_secs_f64() / WORK_TIME_HALF_LIFE.as_secs_f64());
            Some((f64::from(percent) / 100.0 - self.slowness) * weight)
        });
        self.slowness + present.unwrap_or(0.0)
    }

    /// Whether this instance may use any slot of the server.
    #[must_use]
    pub fn has_slots(&self) -> bool {
        self.slot_share.is_none_or(|share| share.slots() > 0)
    }

    /// Records that the server had no room for a request of this instance; returns whether it is brittle.
    pub fn refuse_brittle(&mut self, now: Instant) -> bool {
        let others = self.in_flight.saturating_sub(1);
        if let Some(share) = &mut self.slot_share {
            share.refuse(others, now);
        }
        self.slot_share.is_some()
    }

    /// Records that a connection to the server couldn't be opened.
    pub fn record_connect_failure(&mut self, now: Instant) {
        self.connect_failed = Some(now);
    }

    /// The version of the server's software; `None` if it isn't known, or in doubt.
    #[must_use]
    pub fn version(&self, now: Instant) -> Option<&SmolStr> {
        let failed = self.connect_failed;
        let doubted = failed.is_some_and(|at| now.saturating_duration_since(at) < VERSION_DOUBT);
        self.declared.version.as_ref().filter(|_| !doubted)
    }

    /// What is known of the server's rate limit; `None` if it never named one.
    #[must_use]
    pub const fn rate_limit(&self) -> Option<&RateLimit> {
        self.rate_limit.as_ref()
    }

    /// As [`Self::rate_limit`], to change it.
    pub const fn rate_limit_mut(&mut self) -> Option<&mut RateLimit> {
        self.rate_limit.as_mut()
    }

    /// Whether the server names a rate limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate().is_some()
    }

    /// Whether the server names a rate limit of which this instance holds no part.
    #[must_use]
    pub fn is_held_by_others(&self) -> bool {
        let share = self.rate_limit.and_then(|limit| limit.share());
        share.is_some_and(|share| share <= 0.0)
    }

    /// Whether the rate limit leaves the server less than one request a second for each slot.
    #[must_use]
    pub fn is_constrained(&self) -> bool {
        let slots = f64::from(self.declared.slots);
        self.rate().is_some_and(|rate| rate < slots)
    }

    fn rate(&self) -> Option<Rate> {
        self.rate_limit.and_then(|limit| limit.rate())
    }

    /// Changes what is known of the server's rate limit, and adapts this instance's part in it.
    pub fn update_rate_limit(
        &mut self,
        change: impl FnOnce(&mut RateLimit) -> LimitChange,
        members: &Members,
        now: Instant,
    ) -> LimitChange {
        let limit = self
            .rate_limit
            .get_or_insert_with(|| RateLimit::unlimited(now));
        let changed = change(limit);
        if changed != LimitChange::None {
            limit.assign(&self.declared.name, members, now);
        }
        changed
    }

    /// Whether the server is leaving according to the configuration, its last load report, or a
    /// notice.
    #[must_use]
    pub const fn leaving(&self) -> bool {
        self.reported_leaving || self.leaving_noticed.is_some() || self.declared.leaving
    }

    /// Records a notice of that time, from a response or a peer, that the server is leaving. It holds until a later load
    /// report says otherwise.
    pub fn mark_leaving(&mut self, at: Instant) {
        self.leaving_noticed = self.leaving_noticed.max(Some(at));
    }

    /// Whether the server generates tokens much more slowly than the others of its pool.
    #[must_use]
    pub const fn straggling(&self) -> bool {
        self.straggling
    }

    /// Number of requests that this instance has at the server.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of this instance's requests at the server without a first token, of `level` or more
    /// important.
    #[must_use]
    pub fn unstarted(&self, level: Level) -> u32 {
        self.unstarted[..=level_index(level)].iter().sum()
    }

    /// Estimated number of free slots, from this instance's requests and the last load report.
    #[must_use]
    pub fn free_slots(&self, now: Instant) -> u32 {
        self.declared.slots.saturating_sub(self.occupied_slots(now))
    }

    /// Estimated ratio of requests to slots: 1.0 when every slot is taken, more when requests wait.
    #[must_use]
    pub fn fullness(&self, now: Instant) -> f64 {
        f64::from(self.occupied_slots(now)) / f64::from(self.declared.slots.max(1))
    }

    fn occupied_slots(&self, now: Instant) -> u32 {
        let others = self.last_load.map_or(0.0, |last_load| {
            let total = last_load.report.running + last_load.report.waiting;
            let others = f64::from(total.saturating_sub(last_load.in_flight));
            let age = now.saturating_duration_since(last_load.received);
            others * 0.5_f64.powf(age.as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64())
        });
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small and positive"
        )]
        let others = others.round() as u32;
        self.in_flight + others
    }

    /// Counts a request that was sent to the server.
    pub fn record_sent(&mut self, level: Level) {
        self.in_flight += 1;
        self.unstarted[level_index(level)] += 1;
    }

    /// Records that a request of `level`, sent at `sent`, has started.
    pub fn record_newest_started(&mut self, level: Level, sent: Instant) {
        let newest = &mut self.newest_started[level_index(level)];
        *newest = (*newest).max(Some(sent));
    }

    /// Whether a request that was sent after `sent` and isn't more important than `level` has
    /// started.
    #[must_use]
    pub fn started_newer(&self, level: Level, sent: Instant) -> bool {
        let later = self.newest_started[level_index(level)..].iter().flatten();
        later.copied().any(|other| other > sent)
    }

    /// Counts that a request no longer waits for its first token.
    pub fn remove_unstarted(&mut self, level: Level) {
        let n = &mut self.unstarted[level_index(level)];
        *n = n.saturating_sub(1);
    }

    /// Counts a running request of this instance that can be preempted, or its end if `more` is
    /// false.
    pub fn record_preemptible(&mut self, level: Level, more: bool) {
        let n = &mut self.preemptible[level_index(level)];
        *n = if more { *n + 1 } else { n.saturating_sub(1) };
    }

    /// Whether a running request of this instance can be preempted for one of `level`.
    #[must_use]
    pub fn can_preempt_for(&self, level: Level) -> bool {
        self.preemptible[level_index(level) + 1..]
            .iter()
            .any(|n| *n > 0)
    }

    /// Counts the end of a request. `started` says whether it was reported as started before.
    pub fn record_end(&mut self, level: Level, started: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !started {
            self.remove_unstarted(level);
        }
    }

    /// Replaces the last load report.
    pub fn record_load(&mut self, mut report: LoadReport, now: Instant) {
        report.work_percent = report.work_percent.filter(|p| WORK_PERCENT.contains(p));
        self.reported_leaving = report.leaving;
        let outdated =
            |at: &Instant| now.saturating_duration_since(*at) >= LEAVING_NOTICE_PRECEDENCE;
        if !report.leaving && self.leaving_noticed.as_ref().is_some_and(outdated) {
            self.leaving_noticed = None;
        }
        self.last_load = Some(ReceivedLoad {
            report,
            in_flight: self.in_flight,
            received: now,
        });
    }

    /// The last load report if it isn't older than `age`.
    #[must_use]
    pub fn last_report(&self, age: Duration, now: Instant) -> Option<LoadReport> {
        let recent = |load: &ReceivedLoad| now.saturating_duration_since(load.received) <= age;
        self.last_load.filter(recent).map(|load| load.report)
    }

    /// Adds a sample of the inter-token gap, in ms, to the moving average.
    pub fn update_gap(&mut self, gap_ms: f64) {
        self.gap_ms = match self.gap_samples {
            0 => gap_ms,
            _ => self.gap_ms + EWMA_WEIGHT * (gap_ms - self.gap_ms),
        };
        self.gap_samples = self.gap_samples.saturating_add(1);
    }

    /// Adds the mean inter-token gap, in ms, of a part of a response. Once there are enough
    /// samples, one that exceeds the mean by the straggler ratio has three times the weight, so
    /// that a server that slows down is noticed early.
    pub fn record_gap(&mut self, gap_ms: f64) {
        if self.gap_samples < STRAGGLER_SAMPLES || gap_ms < self.gap_ms * STRAGGLER_RATIO {
            self.update_gap(gap_ms);
        } else {
            self.gap_ms += EWMA_WEIGHT * 3.0 * (gap_ms - self.gap_ms);
        }
    }

    /// The mean inter-token gap, in ms, or `None` while there are too few samples.
    #[must_use]
    pub fn gap_ms(&self) -> Option<f64> {
        (self.gap_samples >= STRAGGLER_SAMPLES).then_some(self.gap_ms)
    }

    /// Compares the mean inter-token gap with the pool's median, in ms, and returns whether
    /// [`Self::straggling`] changed.
    pub fn update_straggling(&mut self, median_ms: f64) -> bool {
        let straggling = self
            .gap_ms()
            .is_some_and(|gap| gap > median_ms * STRAGGLER_RATIO);
        let new = straggling != self.straggling;
        self.straggling = straggling;
        new
    }

    /// Opens the circuit breaker, for twice as long if a trial request failed. `jitter` from 0 to 1
    /// extends the time by up to half. Returns whether the breaker was closed.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) -> bool {
        let (was_closed, backoff) = match self.circuit {
            Circuit::Closed => (true, BACKOFF_MIN),
            Circuit::Open { until, backoff } if until > now => (false, backoff),
            Circuit::Open { backoff, .. } => (false, (backoff * 2).min(BACKOFF_MAX)),
        };
        let until = now + backoff.mul_f64(1.0 + jitter * 0.5);
        self.circuit = Circuit::Open { until, backoff };
        self.last_load = None;
        was_closed
    }

    /// Closes the circuit breaker, and returns whether it was open.
    pub fn record_success(&mut self) -> bool {
        let was_open = self.circuit != Circuit::Closed;
        self.circuit = Circuit::Closed;
        was_open
    }
}

fn level_index(level: Level) -> usize {
    usize::from(level).min(TRACKED_LEVELS - 1)
}

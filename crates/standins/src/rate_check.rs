//! Checks that a fleet keeps to the request rate that a backend server names in its responses, from what
//! the server receives and what callers see.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Length of the sliding window in which arrivals are counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Time after a server first names a limit from which arrivals are counted.
pub const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time after an instance has passed on a response with the limit from which its requests count.
pub const REACTION_TIME: Duration = Duration::from_millis(500);
/// Arrivals allowed per window, as a multiple of the named rate.
const TOLERANCE: f64 = 1.5;
/// Arrivals allowed per window in addition.
const SLACK: f64 = 5.0;

/// Index of an instance in the fleet.
pub type InstanceIndex = usize;

/// What one server named and received, and what callers saw of it.
#[derive(Clone, Debug, Default)]
pub struct RateRecord {
    /// The rates that the server named, in requests a second, each from the given time; `None` for no limit.
    named: Vec<(Instant, Option<f64>)>,
    arrivals: Vec<(Instant, InstanceIndex)>,
    informed: HashMap<InstanceIndex, Instant>,
}

/// A window with more arrivals than allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Arrivals in the window.
    pub arrivals: usize,
    /// Arrivals that the named rate allows.
    pub allowed: f64,
    /// Time from the first naming to the end of the window.
    pub end: Duration,
}

impl RateRecord {
    /// Records that the server names `rate` from `at` on, or no limit. A limit that is named again after it
    /// was withdrawn has to be passed on again before requests count.
    pub fn name(&mut self, at: Instant, rate: Option<f64>) {
        if self.named.last().is_none_or(|(_, last)| last.is_none()) {
            self.informed.clear();
        }
        self.named.push((at, rate));
    }

    /// Records a request that arrived from an instance.
    pub fn arrive(&mut self, at: Instant, instance: InstanceIndex) {
        self.arrivals.push((at, instance));
    }

    /// Records that a caller got a response with a limit from an instance.
    pub fn inform(&mut self, at: Instant, instance: InstanceIndex) {
        self.informed.entry(instance).or_insert(at);
    }

    /// Removes an instance that was restarted, paused or cut off, so that its requests don't count until it
    /// passes on the limit again.
    pub fn excuse(&mut self, at: Instant, instance: InstanceIndex) {
        self.informed.remove(&instance);
        self.arrivals
            .retain(|(time, other)| *other != instance || *time > at);
    }

    /// The number of arrivals in total.
    #[must_use]
    pub fn arrivals(&self) -> usize {
        self.arrivals.len()
    }

    /// The window with the most arrivals beyond what is allowed; `None` if there is no excess.
    #[must_use]
    pub fn excess(&self) -> Option<Excess> {
        let first = self.named.iter().find(|(_, rate)| rate.is_some())?.0;
        let mut counted: Vec<Instant> = self
            .arrivals
            .iter()
            .filter(|(at, instance)| {
                let informed = self.informed.get(instance);
                informed.is_some_and(|since| *at >= *since + REACTION_TIME)
            })
            .map(|(at, _)| *at)
            .filter(|at| *at >= first + SETTLING_TIME)
            .collect();
        counted.sort_unstable();
        let windows = counted.iter().enumerate().filter_map(|(last, end)| {
            let start = *end - WINDOW;
            let before = counted.partition_point(|at| *at < start);
            let arrivals = last + 1 - before;
            let allowed = self.allowed(start, *end)?;
            Some(Excess {
                arrivals,
                allowed,
                end: end.duration_since(first),
            })
        });
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let excess = |e: &Excess| e.arrivals as f64 - e.allowed;
        windows
            .filter(|e| excess(e) > 0.0)
            .max_by(|a, b| excess(a).total_cmp(&excess(b)))
    }

    /// Arrivals allowed from `start` to `end`; `None` if the server named no limit for a part of that time.
    fn allowed(&self, start: Instant, end: Instant) -> Option<f64> {
        let mut requests = 0.0;
        let ends = self.named.iter().skip(1).map(|(at, _)| *at);
        let spans = self.named.iter().zip(ends.chain([end.max(start)]));
        for ((from, rate), until) in spans {
            // A lowered limit takes effect once the instances can have passed it on.
            let (from, until) = (*from, (until + REACTION_TIME).min(end));
            let span = until.saturating_duration_since(from.max(start));
            if span.is_zero() {
                continue;
            }
            requests += (*rate)? * span.as_secs_f64();
        }
        Some(TOLERANCE * requests + SLACK)
    }
}

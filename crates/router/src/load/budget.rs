//! Retry budget of a service: in any sliding window, retries are limited to a ratio of the requests
//! plus a constant slack.
//!
//! Instances don't coordinate: each one's budget grows with the requests that it received itself,
//! and the slack is divided equally between them.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Limits on the retries of one service, for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per request, 0 or more.
    pub ratio: f64,
    /// Retries allowed per window in addition, without any requests.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Fraction of the limit that is used at most, as a retry may arrive in a later window than it was
/// counted in.
const SAFETY_FACTOR: f64 = 0.75;

/// Smallest divisor of the slack, even if fewer instances are known.
const INSTANCES_MIN: usize = 12;

/// Returns the number by which each instance divides the slack when `known` instances are known. It
/// is a quarter larger than `known`, to allow for instances that join in the meantime.
#[must_use]
pub fn slack_divisor(known: usize) -> u32 {
    let instances = (known + known.div_ceil(4)).max(INSTANCES_MIN);
    u32::try_from(instances).unwrap_or(u32::MAX)
}

/// The part of one service's retry budget that this instance may use.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Counts a request of a caller, which increases the budget. Retries aren't counted here.
    pub fn record_request(&mut self, limits: &BudgetLimits, now: Instant) {
        self.requests.push_back(now);
        self.prune(limits, now);
    }

    /// Counts a retry if the budget allows one, and returns whether it does. `instances` is the
    /// divisor of the slack, see [`slack_divisor`]; 0 counts as 1.
    pub fn try_spend(&mut self, limits: &BudgetLimits, instances: u32, now: Instant) -> bool {
        self.prune(limits, now);
        let earned = limits.ratio * count(&self.requests);
        let slack = limits.slack / f64::from(instances.max(1));
        let allowed = count(&self.retries) + 1.0 <= SAFETY_FACTOR * (earned + slack);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    fn prune(&mut self, limits: &BudgetLimits, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|t| now.saturating_duration_since(*t) > limits.window)
            {
                times.pop_front();
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn count(times: &VecDeque<Instant>) -> f64 {
    times.len() as f64
}

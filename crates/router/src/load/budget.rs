//! The budget of second sends: a share of a service's requests plus a slack, in any window of time.
//!
//! Instances spend without a word between them: each earns by the requests that it took itself, and holds
//! an equal part of the slack.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The budget's bounds for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends that need no request.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// Share of the bound that is spent at most: sends may arrive in another window than they were counted in.
const SHARE: f64 = 0.75;

/// Instances among which the slack is divided at least, whatever is known of the fleet.
const INSTANCES_MIN: usize = 12;

/// Among how many instances the slack is divided when `known` ones are known: a quarter more, for those
/// that come meanwhile.
#[must_use]
pub fn slack_divisor(known: usize) -> u32 {
    let instances = (known + known.div_ceil(4)).max(INSTANCES_MIN);
    u32::try_from(instances).unwrap_or(u32::MAX)
}

/// One instance's part of one service's budget.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, terms: &BudgetLimits, now: Instant) {
        self.requests.push_back(now);
        self.forget(terms, now);
    }

    /// Pays for a second send; tells whether there was enough. `instances` is the size of the fleet.
    pub fn try_spend(&mut self, terms: &BudgetLimits, instances: u32, now: Instant) -> bool {
        self.forget(terms, now);
        let earned = terms.ratio * count(&self.requests);
        let slack = terms.slack / f64::from(instances.max(1));
        let allowed = count(&self.repeats) + 1.0 <= SHARE * (earned + slack);
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }

    fn forget(&mut self, terms: &BudgetLimits, now: Instant) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|t| now.saturating_duration_since(*t) > terms.window)
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

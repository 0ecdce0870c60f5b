//! The order that stands for the servers of one group.

use std::time::Duration;

use tokio::time::Instant;

use super::{Outcome, Present};

/// Longest time for which servers that weren't to be had aren't asked for again.
const BACKOFF_MAX: Duration = Duration::from_mins(1);

/// The order that stands for a group, and the servers that are there.
#[derive(Clone, Debug, Default)]
pub(super) struct Standing {
    /// The number that was ordered; before the first order, the most that were there.
    pub(super) count: u32,
    /// The most servers that the platform may still provide by an order that didn't succeed, or was undone.
    doubtful: Option<u32>,
    /// The servers that are there.
    pub(super) present: Present,
    ordered: bool,
    /// Since when servers have been missing.
    missing_since: Option<Instant>,
    blocked_until: Option<Instant>,
    backoff: Duration,
}

impl Standing {
    /// Takes the servers that are there into account. Returns whether the platform has begun to take half or more of
    /// them back.
    pub(super) fn observe(&mut self, present: Present, spot: bool, now: Instant) -> bool {
        let before = self.present;
        self.present = present;
        if !self.ordered && self.doubtful.is_none() {
            self.count = self.count.max(present.ready);
        }
        if present.ready >= self.count {
            self.missing_since = None;
        } else {
            self.missing_since.get_or_insert(now);
        }
        let fewer = present.ready < before.ready && present.leaving > before.leaving;
        spot && fewer && present.ready < self.count && present.leaving >= present.ready
    }

    /// Whether the servers can't be had at the moment.
    pub(super) fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| until > now)
    }

    /// Counts on no more servers than are there, and doesn't ask for more for a while, at first `backoff`, and each
    /// time for twice as long.
    pub(super) fn block(&mut self, backoff: Duration, now: Instant) {
        if self.present.ready < self.count {
            self.doubtful = Some(self.upper());
            self.count = self.present.ready;
        }
        self.missing_since = None;
        self.backoff = (self.backoff * 2).clamp(backoff, BACKOFF_MAX.max(backoff));
        self.blocked_until = Some(now + self.backoff);
    }

    /// The most servers that the platform may be about to provide.
    pub(super) fn upper(&self) -> u32 {
        self.count.max(self.doubtful.unwrap_or_default())
    }

    /// Whether all servers that were ordered are there.
    pub(super) const fn is_complete(&self) -> bool {
        self.present.ready >= self.count
    }

    /// Whether the order should be sent again: its outcome isn't known, or servers have been missing for `time`.
    pub(super) fn is_repeat_due(&self, time: Duration, now: Instant) -> bool {
        let missing = self.missing_since;
        let overdue = missing.is_some_and(|at| now.saturating_duration_since(at) >= time);
        self.doubtful.is_some() || overdue
    }

    /// Records what became of an order for `count` servers.
    pub(super) fn record(&mut self, count: u32, outcome: Outcome, backoff: Duration, now: Instant) {
        match outcome {
            Outcome::Taken => {
                self.count = count;
                self.doubtful = None;
                self.ordered = true;
                self.backoff = Duration::ZERO;
                self.missing_since = (self.present.ready < count).then_some(now);
            }
            Outcome::NoneAvailable => self.block(backoff, now),
            Outcome::Unknown => self.doubtful = Some(self.upper().max(count)),
            Outcome::Refused => {}
        }
    }
}

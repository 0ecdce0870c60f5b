//! Backend servers that fall over when they have to turn too many requests away, by their own account.
//!
//! All instances together then keep no more requests open at such a server than it has slots, so that it needs no
//! room for waiting ones. Rendezvous hashing over the members of the fleet divides the slots without messages.

use std::time::Duration;

use tokio::time::Instant;

use crate::load::rate_limit::Members;

/// Time without news after which servers don't count as brittle any more.
const EXPIRY: Duration = Duration::from_secs(20);
/// Time between two announcements to the other instances while servers say that they are brittle.
const REPEAT_AFTER: Duration = Duration::from_secs(1);
/// Time for which an instance uses fewer slots of a server that has refused a request.
const REDUCTION_TIME: Duration = Duration::from_secs(3);
/// Time after a refusal in which an instance sends the server nothing.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

/// What is known of the servers of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Brittleness {
    /// When any instance last heard from a server that they are brittle; `None` if they aren't.
    heard: Option<Instant>,
    /// When this instance learned that they are.
    noted: Option<Instant>,
    /// When a server last said that they aren't.
    ended: Option<Instant>,
    announced: Option<Instant>,
}

impl Brittleness {
    /// Whether the servers are brittle.
    #[must_use]
    pub fn is_brittle(&self, now: Instant) -> bool {
        let heard = self.heard;
        heard.is_some_and(|at| now.saturating_duration_since(at) < EXPIRY)
    }

    /// Records whether a response to a request that was sent at `sent` says that its server is brittle. That it
    /// isn't counts only if the request was sent after the contrary was noted.
    pub fn observe(&mut self, brittle: bool, sent: Instant, now: Instant) {
        if brittle {
            self.noted = self.noted.filter(|_| self.is_brittle(now)).or(Some(now));
            self.heard = Some(now);
        } else if self.noted.is_some_and(|noted| sent > noted) {
            self.heard = None;
            self.noted = None;
            self.ended = Some(now);
        }
    }

    /// Records that another instance heard it `age` ago.
    pub fn merge(&mut self, age: Duration, now: Instant) {
        let heard = now.checked_sub(age).unwrap_or(now);
        let news = self.heard.is_none_or(|at| heard > at + REPEAT_AFTER);
        if news && self.ended.is_none_or(|ended| heard > ended) && age < EXPIRY {
            self.noted = self.noted.filter(|_| self.is_brittle(now)).or(Some(now));
            self.heard = Some(heard);
        }
    }

    /// The time since it was last heard, if that is to be announced to the other instances now. It then counts as
    /// announced.
    pub fn announce(&mut self, now: Instant) -> Option<Duration> {
        let heard = self.heard.filter(|_| self.is_brittle(now))?;
        let due = self.announced.is_none_or(|at| heard >= at + REPEAT_AFTER);
        if !due {
            return None;
        }
        self.announced = Some(now);
        Some(now.saturating_duration_since(heard))
    }
}

/// This instance's part of the slots of one brittle server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotShare {
    slots: u32,
    /// Slots used after a refusal, and when it came.
    reduced: Option<(u32, Instant)>,
}

impl SlotShare {
    /// The part of the member `members` belong to, in a server with this many slots.
    #[must_use]
    pub fn new(server: &str, slots: u32, members: &Members) -> Self {
        let count = u32::try_from(members.count()).unwrap_or(u32::MAX).max(1);
        let rank = members.rank(server).and_then(|r| u32::try_from(r).ok());
        let slots = match rank {
            Some(rank) => slots / count + u32::from(rank < slots % count),
            None => 0,
        };
        Self {
            slots,
            reduced: None,
        }
    }

    /// Slots that this instance may use.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether another request may be sent while `in_flight` are open.
    #[must_use]
    pub fn is_open(&self, in_flight: u32, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        match self.reduced {
            Some((_, at)) if since(at) < REFUSAL_PAUSE => false,
            Some((slots, at)) if since(at) < REDUCTION_TIME => in_flight < slots,
            _ => in_flight < self.slots,
        }
    }

    /// Records that the server had no room for a request while `in_flight` others of this instance were open.
    pub fn refuse(&mut self, in_flight: u32, now: Instant) {
        let slots = (in_flight / 2).clamp(1, self.slots.max(1));
        self.reduced = Some((slots, now));
    }
}

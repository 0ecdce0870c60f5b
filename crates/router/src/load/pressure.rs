//! Admission floors of one pool, used for load shedding.
//!
//! A floor is the least important tier that is still admitted while more important requests are
//! waiting. Each instance requests floors, and applies those that the other instances request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::config::object::Level;

/// Time for which an evict floor stays in force after its cause ended.
const EVICT_LINGER: Duration = Duration::from_secs(1);
/// Time for which a hold floor stays in force after the last more important request waited.
const HOLD_LINGER: Duration = Duration::from_millis(300);
/// Time after which a requested floor is assumed to have reached every instance.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Lower bound of the advised retry delay.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Upper bound of the advised retry delay.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// What happens to requests of tiers less important than a floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FloorKind {
    /// They stay in the queue, because a more important request waits at some instance.
    #[serde(rename = "h")]
    Hold,
    /// They are rejected and evicted, because a more important request would otherwise be rejected
    /// soon.
    #[serde(rename = "e")]
    Evict,
}

/// Floors that this instance requests, and those that the other instances request. `Level::MAX`
/// means no floor.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionFloors {
    /// Evict floor that this instance requests until `evict_until`.
    local_evict: Level,
    /// When `local_evict` was first requested at its level.
    evict_since: Option<Instant>,
    evict_until: Option<Instant>,
    /// When the first evict floor of the present overload was requested; `None` without overload.
    overload_since: Option<Instant>,
    /// Evict floor that the other instances request.
    fleet_evict: Level,
    /// Hold floor that this instance requests until `hold_until`.
    local_hold: Level,
    hold_until: Option<Instant>,
    /// Hold floor that the other instances request.
    fleet_hold: Level,
}

impl Default for AdmissionFloors {
    fn default() -> Self {
        Self {
            local_evict: Level::MAX,
            evict_since: None,
            evict_until: None,
            overload_since: None,
            fleet_evict: Level::MAX,
            local_hold: Level::MAX,
            hold_until: None,
            fleet_hold: Level::MAX,
        }
    }
}

impl AdmissionFloors {
    /// Fraction of its longest wait after which a request is late, so that an evict floor is
    /// requested.
    pub const LATE_FRACTION: f64 = 0.9;
    /// Time in the queue after which a request causes this instance to request a hold floor.
    pub const HOLD_AFTER: Duration = Duration::from_millis(40);

    /// Sets the evict floor to the most important tier in which requests are late or the queue is
    /// too full, if any. A less important tier takes effect once the floor in force has expired.
    pub fn update_evict(&mut self, requested: Option<Level>, now: Instant) {
        match requested {
            Some(level) if level <= self.local_evict => {
                if level < self.local_evict {
                    self.evict_since = Some(now);
                    self.overload_since = self.overload_since.or(Some(now));
                }
                self.local_evict = level;
                self.evict_until = Some(now + EVICT_LINGER);
            }
            _ if self.evict_until.is_some_and(|until| until <= now) => {
                let next = requested.unwrap_or(Level::MAX);
                self.local_evict = next;
                self.evict_since = requested.map(|_| now);
                self.evict_until = requested.map(|_| now + EVICT_LINGER);
                self.overload_since = requested.and(self.overload_since);
            }
            _ => {}
        }
    }

    /// The evict floor that this instance requests; `Level::MAX` for none.
    #[must_use]
    pub fn requested_evict(&self, now: Instant) -> Level {
        match self.evict_until {
            Some(until) if until > now => self.local_evict,
            _ => Level::MAX,
        }
    }

    /// The evict floor in force at this instance, the stricter of its own and the fleet's;
    /// `Level::MAX` for none.
    #[must_use]
    pub fn evict_floor(&self, now: Instant) -> Level {
        self.requested_evict(now).min(self.fleet_evict)
    }

    /// Sets the hold floor to the most important tier in which requests wait at this instance, if
    /// any. A less important tier takes effect once the floor in force has expired.
    pub fn update_hold(&mut self, waiting: Option<Level>, now: Instant) {
        let expired = self.hold_until.is_none_or(|until| until <= now);
        match waiting {
            Some(level) if level <= self.local_hold || expired => {
                self.local_hold = level;
                self.hold_until = Some(now + HOLD_LINGER);
            }
            None if expired => self.local_hold = Level::MAX,
            _ => {}
        }
    }

    /// The hold floor that this instance requests of the others; `Level::MAX` for none.
    #[must_use]
    pub fn requested_hold(&self, now: Instant) -> Level {
        match self.hold_until {
            Some(until) if until > now => self.local_hold,
            _ => Level::MAX,
        }
    }

    /// The hold floor that the other instances request; `Level::MAX` for none. The hold floor
    /// that this instance requests isn't included.
    #[must_use]
    pub const fn hold_floor(&self) -> Level {
        self.fleet_hold
    }

    /// Sets the floors that the other instances request; `Level::MAX` for none.
    pub const fn set_fleet_floors(&mut self, hold: Level, evict: Level) {
        self.fleet_hold = hold;
        self.fleet_evict = evict;
    }

    /// Whether an evict floor at `level` or above has been requested for long enough that every
    /// instance has evicted its less important requests.
    #[must_use]
    pub fn propagated(&self, level: Level, now: Instant) -> bool {
        let since = self.evict_since.filter(|_| self.local_evict <= level);
        since.is_some_and(|since| now.saturating_duration_since(since) >= PROPAGATION_TIME)
    }

    /// Advised retry delay for a rejected request. It grows with the duration of the overload.
    #[must_use]
    pub fn retry_after(&self, now: Instant) -> Duration {
        let duration = self
            .overload_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        duration.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}

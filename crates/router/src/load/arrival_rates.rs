//! Recent rate of arriving requests by tier.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::config::object::Level;
use crate::load::rate_limit::Rate;

/// Time after which an arrival has lost most of its weight.
const MEMORY: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Decaying {
    rate: Rate,
    updated: Instant,
}

impl Decaying {
    fn at(&self, now: Instant) -> Rate {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate * (-age / MEMORY.as_secs_f64()).exp()
    }
}

/// Exponentially weighted rates of arrival, by tier.
#[derive(Clone, Debug, Default)]
pub struct ArrivalRates {
    by_level: BTreeMap<Level, Decaying>,
}

impl ArrivalRates {
    /// Counts a request of a tier.
    pub fn record(&mut self, level: Level, now: Instant) {
        let before = self.by_level.get(&level).map_or(0.0, |d| d.at(now));
        let decaying = Decaying {
            rate: before + 1.0 / MEMORY.as_secs_f64(),
            updated: now,
        };
        self.by_level.insert(level, decaying);
    }

    /// Requests a second of all tiers that are more important than `level`.
    #[must_use]
    pub fn above(&self, level: Level, now: Instant) -> Rate {
        let more_important = self.by_level.range(..level);
        more_important.map(|(_, decaying)| decaying.at(now)).sum()
    }
}

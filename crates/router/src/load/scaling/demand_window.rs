//! The demand of the recent past.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Samples of the demand within a time.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandWindow {
    samples: VecDeque<(Instant, f64)>,
    first: Option<Instant>,
}

impl DemandWindow {
    /// Adds a sample, and forgets those that are older than `kept`.
    pub(super) fn record(&mut self, busy: f64, kept: Duration, now: Instant) {
        self.first.get_or_insert(now);
        self.samples.push_back((now, busy));
        while let Some((at, _)) = self.samples.front()
            && now.saturating_duration_since(*at) > kept
        {
            self.samples.pop_front();
        }
    }

    /// Whether no demand was ever observed.
    pub(super) const fn is_empty(&self) -> bool {
        self.first.is_none()
    }

    /// The least demand within the last `time`; `None` if it hasn't been observed for so long.
    pub(super) fn sustained(&self, time: Duration, now: Instant) -> Option<f64> {
        let first = self.first?;
        if now.saturating_duration_since(first) < time {
            return None;
        }
        let recent = self.samples.iter().rev();
        let recent = recent.take_while(|(at, _)| now.saturating_duration_since(*at) <= time);
        recent.map(|(_, busy)| *busy).reduce(f64::min)
    }

    /// The most demand of all samples.
    pub(super) fn peak(&self) -> f64 {
        let samples = self.samples.iter().map(|(_, busy)| *busy);
        samples.fold(0.0, f64::max)
    }
}

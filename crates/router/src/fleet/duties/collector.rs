//! The counts of all instances, as collected by the holder of the usage reports.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::counter::{organisation_counts, window_end_ms};
use super::poll::InstanceCounts;
use super::{UsageReport, WindowId};
use crate::fleet::membership::InstanceId;

/// Instances that may have stopped and whose counts are still kept.
const MAX_STARTS: usize = 8_192;

/// What is known of one start of an instance.
#[derive(Debug, Default)]
struct InstanceState {
    /// The latest time by its own clock at which it replied.
    replied_ms: u64,
    windows: BTreeMap<WindowId, BTreeMap<SmolStr, u64>>,
}

/// The counts of all instances. A count only grows, so that repeated and late replies change nothing.
#[derive(Debug, Default)]
pub struct Collector {
    instances: BTreeMap<(InstanceId, u64), InstanceState>,
    /// How far the clock of each instance is ahead of this one, in ms.
    offsets: BTreeMap<InstanceId, i64>,
}

impl Collector {
    /// Adds the reply of an instance, which arrived at `now_ms`.
    pub fn merge(&mut self, counts: &InstanceCounts, now_ms: u64) {
        let key = (counts.instance.clone(), counts.start);
        if self.instances.len() >= MAX_STARTS && !self.instances.contains_key(&key) {
            return;
        }
        let offset = counts
            .now_ms
            .cast_signed()
            .saturating_sub(now_ms.cast_signed());
        self.offsets.insert(counts.instance.clone(), offset);
        let state = self.instances.entry(key).or_default();
        state.replied_ms = state.replied_ms.max(counts.now_ms);
        for report in &counts.windows {
            let known = state.windows.entry(report.window).or_default();
            for count in &report.counts {
                let entry = known.entry(count.organisation.clone()).or_default();
                *entry = (*entry).max(count.requests);
            }
        }
    }

    /// The time of day by the middle one of the instances' clocks, so that no single wrong clock matters.
    #[must_use]
    pub fn time_ms(&self, now_ms: u64) -> u64 {
        let mut offsets: Vec<i64> = self.offsets.values().copied().collect();
        offsets.sort_unstable();
        let median = offsets
            .get(offsets.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or_default();
        now_ms.saturating_add_signed(median)
    }

    /// Whether all these instances have replied.
    #[must_use]
    pub fn knows(&self, alive: &[InstanceId]) -> bool {
        alive.iter().all(|id| self.offsets.contains_key(id))
    }

    /// Whether all these instances have replied since the end of the window.
    #[must_use]
    pub fn is_complete(&self, window: WindowId, length: Duration, alive: &[InstanceId]) -> bool {
        let end_ms = window_end_ms(window, length);
        alive.iter().all(|id| {
            let starts = self
                .instances
                .range((id.clone(), 0)..=(id.clone(), u64::MAX));
            starts.last().is_some_and(|(_, s)| s.replied_ms >= end_ms)
        })
    }

    /// The counts of a window of all instances together.
    #[must_use]
    pub fn report(&self, window: WindowId) -> UsageReport {
        let mut total: BTreeMap<SmolStr, u64> = BTreeMap::new();
        let windows = self.instances.values();
        for counts in windows.filter_map(|s| s.windows.get(&window)) {
            for (organisation, requests) in counts {
                let sum = total.entry(organisation.clone()).or_default();
                *sum = sum.saturating_add(*requests);
            }
        }
        UsageReport {
            window,
            counts: organisation_counts(&total),
        }
    }

    /// Forgets the windows up to and including `window`, instances without counts of later ones, and the clocks of
    /// instances that aren't there any more.
    pub fn forget(&mut self, window: WindowId, alive: &[InstanceId]) {
        for state in self.instances.values_mut() {
            state.windows.retain(|w, _| *w > window);
        }
        self.instances
            .retain(|(id, _), s| !s.windows.is_empty() || alive.contains(id));
        self.offsets.retain(|id, _| alive.contains(id));
    }
}

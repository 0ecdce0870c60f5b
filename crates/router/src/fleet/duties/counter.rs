//! Counts of the requests that servers began, by organisation and window, as seen by this instance.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use smol_str::SmolStr;

use super::{OrganisationCount, UsageReport, WindowId};

/// Number of windows for which counts are kept, including the current one.
const KEPT_WINDOWS: u64 = 12;
/// Most organisations that are counted in a window.
const MAX_ORGANISATIONS: usize = 4_096;

/// Requests by organisation.
type Counts = BTreeMap<SmolStr, u64>;

/// The window at a time in ms since the Unix epoch.
#[must_use]
pub fn window_at(now_ms: u64, length: Duration) -> WindowId {
    now_ms / millis(length)
}

/// When a window ends, in ms since the Unix epoch.
#[must_use]
pub fn window_end_ms(window: WindowId, length: Duration) -> u64 {
    (window + 1).saturating_mul(millis(length))
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}

/// The counts of one instance.
#[derive(Debug)]
pub struct UsageCounter {
    window: Duration,
    counts: Mutex<BTreeMap<WindowId, Counts>>,
}

impl UsageCounter {
    /// Counts in windows of this length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            counts: Mutex::default(),
        }
    }

    /// Counts a request that a server began at this time.
    pub fn count(&self, now_ms: u64, organisation: &SmolStr) {
        let window = window_at(now_ms, self.window);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let of_window = counts.entry(window).or_default();
        if of_window.len() < MAX_ORGANISATIONS || of_window.contains_key(organisation) {
            *of_window.entry(organisation.clone()).or_default() += 1;
        }
        // A clock that was ahead for a while leaves windows of the future behind.
        let kept = window.saturating_sub(KEPT_WINDOWS - 1)..=window.saturating_add(KEPT_WINDOWS);
        counts.retain(|w, _| kept.contains(w));
    }

    /// The counts of the windows from `first` on.
    #[must_use]
    pub fn since(&self, first: WindowId) -> Vec<UsageReport> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let windows = counts.range(first..);
        let report = |(window, counts): (&WindowId, &Counts)| UsageReport {
            window: *window,
            counts: organisation_counts(counts),
        };
        windows.map(report).collect()
    }
}

/// Counts in the order of their organisations.
#[must_use]
pub fn organisation_counts(counts: &BTreeMap<SmolStr, u64>) -> Vec<OrganisationCount> {
    let count = |(organisation, requests): (&SmolStr, &u64)| OrganisationCount {
        organisation: organisation.clone(),
        requests: *requests,
    };
    counts.iter().map(count).collect()
}

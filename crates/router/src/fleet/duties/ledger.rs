//! Which windows have been reported, as kept in the store with the duty's lease.

use serde::{Deserialize, Serialize};

use super::{UsageReport, WindowId};

/// The reports that were made, and those that are fixed but not known to be taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// The window up to which nothing more is owed; 0 if none was ever reported.
    pub done: WindowId,
    /// Later windows whose counts are fixed, in ascending order. They are sent with these counts or not at all.
    pub fixed: Vec<UsageReport>,
}

impl Ledger {
    /// The window up to which counts are fixed or done with.
    #[must_use]
    pub fn last(&self) -> WindowId {
        self.fixed.last().map_or(self.done, |r| r.window)
    }

    /// Adds the fixed counts of the next window.
    pub fn fix(&mut self, report: UsageReport) {
        if report.window > self.last() {
            self.fixed.push(report);
        }
    }

    /// Records that nothing more is owed up to and including `window`.
    pub fn finish(&mut self, window: WindowId) {
        self.done = self.done.max(window);
        self.fixed.retain(|r| r.window > window);
    }

    /// Adds what another copy knows. Of two different counts for a window, the own ones are kept.
    pub fn merge(&mut self, other: &Self) {
        self.finish(other.done);
        for report in &other.fixed {
            let known = self.fixed.iter().any(|r| r.window == report.window);
            if !known && report.window > self.done {
                self.fixed.push(report.clone());
            }
        }
        self.fixed.sort_by_key(|r| r.window);
    }
}

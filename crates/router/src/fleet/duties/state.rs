//! The duties of an instance, as shared by its tasks, links and requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use smol_str::SmolStr;

use super::clock::Clocks;
use super::counter::UsageCounter;
use super::held::HeldDuty;
use super::poll::{InstanceCounts, Poll, Polls};
use super::{Duty, DutySettings};
use crate::fleet::membership::InstanceRecord;

/// One duty of an instance.
pub struct DutyState {
    /// Its lease.
    pub held: Arc<HeldDuty>,
    /// Requests of its holder.
    pub polls: Polls,
}

/// The duties of an instance.
pub struct Duties {
    /// The settings.
    pub settings: DutySettings,
    /// Counts of this instance; `None` if usage isn't reported.
    pub counter: Option<UsageCounter>,
    /// When the last report was taken that this instance made, in ms since the Unix epoch; 0 if none was.
    pub reported_ms: AtomicU64,
    instance: SmolStr,
    start: u64,
    clocks: Clocks,
    states: BTreeMap<Duty, DutyState>,
}

impl Duties {
    /// The duties of the instance with this record.
    #[must_use]
    pub fn new(settings: &DutySettings, record: &InstanceRecord, clocks: Clocks) -> Self {
        let state = |duty: &Duty| {
            let (id, start) = (record.id.clone(), record.incarnation);
            let state = DutyState {
                held: Arc::new(HeldDuty::new(*duty, id, start, settings.lease, clocks)),
                polls: Polls::default(),
            };
            (*duty, state)
        };
        let usage = settings.duties.contains(&Duty::UsageReports);
        Self {
            settings: settings.clone(),
            counter: usage.then(|| UsageCounter::new(settings.window)),
            reported_ms: AtomicU64::new(0),
            instance: record.id.clone(),
            start: record.incarnation,
            clocks,
            states: settings.duties.iter().map(state).collect(),
        }
    }

    /// One duty; `None` if the deployment doesn't have it.
    #[must_use]
    pub fn get(&self, duty: Duty) -> Option<&DutyState> {
        self.states.get(&duty)
    }

    /// Counts a request that a server began now.
    pub fn count(&self, organisation: &SmolStr) {
        if let Some(counter) = &self.counter {
            counter.count((self.clocks.wall_ms)(), organisation);
        }
    }

    /// The reply to a request for counts; `None` if it wants none.
    #[must_use]
    pub fn reply(&self, poll: &Poll) -> Option<InstanceCounts> {
        let counter = self.counter.as_ref()?;
        Some(InstanceCounts {
            token: poll.token,
            round: poll.round,
            instance: self.instance.clone(),
            start: self.start,
            now_ms: (self.clocks.wall_ms)(),
            windows: counter.since(poll.first?),
        })
    }

    /// Values for the instance's metrics.
    #[must_use]
    pub fn gauges(&self) -> Vec<(&'static str, u64)> {
        let mut gauges = Vec::new();
        for (duty, state) in &self.states {
            let token = state.held.token();
            let (held, number) = match duty {
                Duty::UsageReports => ("duty_usage_held", "duty_usage_token"),
                Duty::ServerOrders => ("duty_orders_held", "duty_orders_token"),
            };
            gauges.push((held, token.is_some().into()));
            gauges.push((number, token.unwrap_or_default()));
        }
        if let Some(usage) = self.get(Duty::UsageReports) {
            let reported_ms = self.reported_ms.load(Ordering::Relaxed);
            let since_ms = (self.clocks.wall_ms)().saturating_sub(reported_ms);
            let age = if reported_ms == 0 {
                0
            } else {
                since_ms / 1_000
            };
            let owed = usage.held.lease().ledger.fixed.len();
            gauges.push(("duty_usage_report_age_s", age));
            gauges.push(("duty_usage_windows_owed", owed as u64));
        }
        gauges
    }
}

//! What a pool knows of its servers and of the demand for them.

use std::time::Duration;

use tokio::time::Instant;

use super::Pool;
use super::state::State;
use crate::config::object::Level;
use crate::load::scaling::{self, Group, Observation, Present, Waiting};
use crate::load::server::Declaration;

/// Age up to which a load report tells whether requests wait at a server now.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

impl Pool {
    /// The servers that are there, the demand of the whole fleet for them, and signs that requests wait. The instances by
    /// data centre are left out.
    #[must_use]
    pub fn observation(&self) -> Observation {
        let now = Instant::now();
        let state = self.lock();
        let classes = state.fleet_demand.summaries();
        let mut seen = Observation {
            busy: scaling::busy_servers(&classes, state.instances),
            waiting: state.waiting(now),
            ..Observation::default()
        };
        let current = state.servers.values();
        for server in current.filter(|s| s.declaration == Declaration::Current) {
            let group = Group {
                data_centre: server.declared.data_centre.clone(),
                spot: server.declared.spot,
            };
            let present: &mut Present = seen.present.entry(group).or_default();
            if server.leaving() {
                present.leaving += 1;
            } else {
                present.ready += 1;
            }
        }
        seen
    }
}

impl State {
    fn waiting(&self, now: Instant) -> Waiting {
        let mut waiting = Waiting {
            held: self.floors.requested_hold(now) != Level::MAX,
            rejected: self.floors.evict_floor(now) != Level::MAX,
            ..Waiting::default()
        };
        let servers = self.servers.values();
        for report in servers.filter_map(|s| s.last_report(REPORT_AGE_MAX, now)) {
            waiting.reports += 1;
            waiting.requests = waiting.requests.saturating_add(report.waiting);
        }
        waiting
    }
}

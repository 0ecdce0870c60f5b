//! Rest that servers of a pool ask this instance for when they refuse its requests.

use std::sync::Arc;
use std::time::Duration;

use log::Level as LogLevel;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::state::State;
use super::{AdmissionRequest, Pool};
use crate::error::{Fault, Kind};
use crate::event::Line;

/// Longest rest that a server is given, whatever it asks for.
const REST_MAX: Duration = Duration::from_mins(5);

impl Pool {
    /// Records that a server wants no requests of this instance for so long, as it says in the response to the request
    /// `id`.
    pub(super) fn record_rest(self: &Arc<Self>, server: &SmolStr, rest: Duration, id: &str) {
        let now = Instant::now();
        let rest = rest.min(REST_MAX);
        let mut state = self.lock();
        if state.rest(server, now + rest, now) {
            self.metrics.count("server.rest");
            Line::new("server.rest")
                .field("server", server)
                .field("rest_ms", rest.as_millis())
                .field("id", id)
                .write(LogLevel::Info);
        }
    }

    /// Time after which the first server takes requests of this instance again; `None` unless all of them rest.
    #[must_use]
    pub fn rest_left(&self) -> Option<Duration> {
        self.lock().rest_left(Instant::now())
    }
}

impl State {
    /// Lets a server rest until that time, unless it does so for longer. Returns whether that is news.
    fn rest(&mut self, server: &SmolStr, until: Instant, now: Instant) -> bool {
        self.rests.retain(|_, until| *until > now);
        let known = self.rests.get(server);
        let news = until > now && known.is_none_or(|known| until > *known);
        if news {
            self.rests.insert(server.clone(), until);
            self.apply_rests();
        }
        news
    }

    /// Tells the servers of their rests, also one that was declared anew meanwhile.
    pub(super) fn apply_rests(&mut self) {
        for server in self.servers.values_mut() {
            let until = self.rests.get(server.name()).copied();
            server.set_rest(until);
        }
    }

    pub(super) fn rest_left(&self, now: Instant) -> Option<Duration> {
        let mut first = None;
        for server in self.servers.values().filter(|s| s.available(now)) {
            let until = server.rest_until().filter(|until| *until > now)?;
            first = Some(first.map_or(until, |other: Instant| other.min(until)));
        }
        first.map(|until| until - now)
    }

    /// The fault for a request that would have to wait for too long because all servers rest.
    pub(super) fn check_rests(&self, admission: &AdmissionRequest, now: Instant) -> Option<Fault> {
        let left = self.rest_left(now)?;
        let refused = left > admission.max_wait && !admission.attributes.partial;
        refused.then(|| rest_fault(left))
    }
}

/// The fault for a request that isn't sent as all servers rest for so long.
pub(super) fn rest_fault(left: Duration) -> Fault {
    let message = "all backend servers have asked for rest";
    Fault::new(Kind::Overloaded, message).retry_after(left)
}

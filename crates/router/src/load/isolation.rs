//! Decides whether this instance is cut off from all backend servers, from what its connections show and from
//! probes.
//!
//! A failed connection or silence makes it probe; only if no server can be reached at all, it is isolated. Servers
//! that are slow, full or silent for a while still accept connections.

use std::time::Duration;

use tokio::time::Instant;

/// Silence of all servers, while responses are awaited, after which they are probed.
const SILENCE: Duration = Duration::from_millis(500);
/// Time between two rounds of probes while servers can be reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// The same if nothing but silence speaks against the servers.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two rounds of probes while the instance is isolated.
const RETURN_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// What the connections to all servers show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signs {
    /// When a connection was last opened.
    pub connected: Option<Instant>,
    /// When a connection last failed, or couldn't be opened.
    pub failed: Option<Instant>,
    /// Since when responses have been awaited without a byte from any server; `None` if none is awaited.
    pub silent_since: Option<Instant>,
}

impl Signs {
    /// Whether responses have been awaited for long without a byte from any server.
    #[must_use]
    pub fn is_silent(&self, now: Instant) -> bool {
        let since = self.silent_since;
        since.is_some_and(|at| now.saturating_duration_since(at) >= SILENCE)
    }

    /// Whether the last attempt to use a connection failed.
    fn is_failing(&self) -> bool {
        self.failed > self.connected
    }
}

/// A change of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IsolationChange {
    /// No server can be reached any more.
    Begun,
    /// A server can be reached again.
    Ended,
}

/// Whether this instance is cut off from all backend servers.
#[derive(Debug, Default)]
pub struct Isolation {
    isolated: bool,
    /// When the last round of probes ended.
    probed: Option<Instant>,
}

impl Isolation {
    /// Whether a round of probes is due.
    #[must_use]
    pub fn is_probe_due(&self, signs: &Signs, now: Instant) -> bool {
        let interval = if self.isolated {
            RETURN_PROBE_INTERVAL
        } else if signs.is_failing() {
            PROBE_INTERVAL
        } else if signs.is_silent(now) {
            SILENT_PROBE_INTERVAL
        } else {
            return false;
        };
        let probed = self.probed;
        probed.is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }

    /// Records a round of probes, which reached at least one server or none.
    pub fn record_round(&mut self, reached: bool, now: Instant) -> Option<IsolationChange> {
        self.probed = Some(now);
        let before = std::mem::replace(&mut self.isolated, !reached);
        match (before, self.isolated) {
            (false, true) => Some(IsolationChange::Begun),
            (true, false) => Some(IsolationChange::Ended),
            _ => None,
        }
    }
}

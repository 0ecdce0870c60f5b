//! When an instance requests all instance records of a peer.

use std::time::Duration;

use tokio::time::Instant;

/// Minimum time between two requests for all instance records of a peer.
const INTERVAL: Duration = Duration::from_secs(3);

/// The comparisons with the records of one peer.
#[derive(Debug, Default)]
pub struct RecordSync {
    /// The digests of the peer's records and the own ones at the last heartbeat.
    last: Option<(u64, u64)>,
    requested: Option<Instant>,
}

impl RecordSync {
    /// Takes the digests at a heartbeat into account. Returns whether the peer's records are to be requested: they
    /// differ, and neither side has heard anything new since the last heartbeat, so that no update on its way
    /// will mend the difference.
    pub fn is_due(&mut self, peer: u64, own: u64, now: Instant) -> bool {
        let settled = self.last.replace((peer, own)) == Some((peer, own));
        let recent = |at: Instant| now.saturating_duration_since(at) < INTERVAL;
        let due = peer != own && settled && !self.requested.is_some_and(recent);
        if due {
            self.requested = Some(now);
        }
        due
    }
}

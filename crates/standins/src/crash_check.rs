//! Checks how a fleet treats requests with a prompt segment that crashes backend servers, from what the servers
//! receive and what callers see.

use std::time::Duration;

use tokio::time::Instant;

/// Crashes after which the fleet has to keep the segment from the servers.
pub const KNOWN_CRASHES: usize = 5;
/// Requests with the segment that may still be sent later than the reaction time after the last of these crashes.
pub const LATE_REQUESTS: usize = 3;

/// What servers and callers saw.
#[derive(Clone, Debug, Default)]
pub struct CrashRecord {
    crashes: Vec<Instant>,
    /// When requests with the crashing segment reached a server.
    arrivals: Vec<Instant>,
    /// Sound requests, by the time at which they were sent, and whether they began at the first attempt.
    sound: Vec<(Instant, bool)>,
}

impl CrashRecord {
    /// Records that a server crashed.
    pub fn crash(&mut self, at: Instant) {
        self.crashes.push(at);
    }

    /// Records that a request with the crashing segment reached a server.
    pub fn arrive(&mut self, at: Instant) {
        self.arrivals.push(at);
    }

    /// Records a sound request that shares segments or its organisation with crashing ones.
    pub fn sound(&mut self, sent: Instant, begun: bool) {
        self.sound.push((sent, begun));
    }

    /// Number of crashes.
    #[must_use]
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Requests with the segment that reached servers later than `reaction` after the fifth crash.
    #[must_use]
    pub fn late_requests(&self, reaction: Duration) -> usize {
        let Some(fifth) = self.crashes.get(KNOWN_CRASHES - 1) else {
            return 0;
        };
        let late = self.arrivals.iter().filter(|at| **at > *fifth + reaction);
        late.count()
    }

    /// Sound requests sent later than twice `reaction` after the fifth crash, or the last if there are fewer: how
    /// many began at the first attempt, and how many there were.
    #[must_use]
    pub fn sound_after(&self, reaction: Duration) -> (usize, usize) {
        let known = self.crashes.len().min(KNOWN_CRASHES);
        let last = self.crashes[..known].last();
        let since = last.map(|at| *at + reaction * 2);
        let counted = self
            .sound
            .iter()
            .filter(|(sent, _)| since.is_none_or(|since| *sent > since));
        let begun = counted.clone().filter(|(_, begun)| *begun).count();
        (begun, counted.count())
    }
}

//! Checks how a fleet treats requests that crash backend servers, from what the servers receive and what callers see.

use std::time::Duration;

use tokio::time::Instant;

/// Crashing requests that may still be sent later than the reaction time after the crashes by which the fleet has to
/// know their cause.
pub const LATE_REQUESTS: usize = 3;

/// What the crashing requests have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cause {
    /// A segment of their prompts.
    #[default]
    PromptSegment,
    /// Everything: it is one request that comes again.
    Request,
}

impl Cause {
    /// Crashes after which the fleet has to keep such requests from the servers.
    #[must_use]
    pub const fn known_crashes(self) -> usize {
        match self {
            Self::PromptSegment => 5,
            Self::Request => 3,
        }
    }
}

/// What servers and callers saw.
#[derive(Clone, Debug, Default)]
pub struct CrashRecord {
    cause: Cause,
    crashes: Vec<Instant>,
    /// When crashing requests reached a server.
    arrivals: Vec<Instant>,
    /// Sound requests, by the time at which they were sent, and whether they began at the first attempt.
    sound: Vec<(Instant, bool)>,
}

impl CrashRecord {
    /// Creates a record without crashes.
    #[must_use]
    pub fn new(cause: Cause) -> Self {
        Self {
            cause,
            ..Self::default()
        }
    }

    /// Records that a server crashed.
    pub fn crash(&mut self, at: Instant) {
        self.crashes.push(at);
    }

    /// Records that a crashing request reached a server.
    pub fn arrive(&mut self, at: Instant) {
        self.arrivals.push(at);
    }

    /// Records a sound request that has something in common with crashing ones.
    pub fn sound(&mut self, sent: Instant, begun: bool) {
        self.sound.push((sent, begun));
    }

    /// Number of crashes.
    #[must_use]
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Crashing requests that reached servers later than `reaction` after the cause had to be known.
    #[must_use]
    pub fn late_requests(&self, reaction: Duration) -> usize {
        let Some(known) = self.crashes.get(self.cause.known_crashes() - 1) else {
            return 0;
        };
        let late = self.arrivals.iter().filter(|at| **at > *known + reaction);
        late.count()
    }

    /// Sound requests sent later than twice `reaction` after the cause had to be known, or after the last crash if there
    /// are fewer: how many began at the first attempt, and how many there were.
    #[must_use]
    pub fn sound_after(&self, reaction: Duration) -> (usize, usize) {
        let known = self.crashes.len().min(self.cause.known_crashes());
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

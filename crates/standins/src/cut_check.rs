//! Checks how callers of instances that are cut off from all backend servers are served, compared with those of the
//! other instances.

use std::time::Duration;

use tokio::time::Instant;

/// First attempts that may fail at the cut instances, whatever their number.
const FAILURES_ALLOWED: usize = 10;
/// One more may fail for each of this many first attempts.
const ATTEMPTS_PER_FAILURE: usize = 50;

/// First attempts of callers while some instances were cut off.
#[derive(Clone, Debug, Default)]
pub struct CutRecord {
    /// By the time at which they were sent: whether the instance was cut off, and whether the attempt was served.
    attempts: Vec<(Instant, bool, bool)>,
}

/// Served and all attempts, at one group of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Attempts that were served.
    pub served: usize,
    /// All attempts.
    pub all: usize,
}

impl CutRecord {
    /// Records a caller's first attempt.
    pub fn attempt(&mut self, sent: Instant, cut: bool, served: bool) {
        self.attempts.push((sent, cut, served));
    }

    /// The service of the instances that were cut off, or of the others, from `reaction` after the cut at `from`
    /// until `to`.
    #[must_use]
    pub fn service(&self, cut: bool, from: Instant, to: Instant, reaction: Duration) -> Service {
        let counted = self
            .attempts
            .iter()
            .filter(|(sent, at_cut, _)| *at_cut == cut && *sent > from + reaction && *sent < to);
        Service {
            served: counted.clone().filter(|(.., served)| *served).count(),
            all: counted.count(),
        }
    }
}

/// Whether callers of the instances that are cut off are served so much worse that they should have been helped.
#[must_use]
pub fn is_worse(cut: Service, others: Service) -> bool {
    let failed = cut.all - cut.served;
    let many = failed > FAILURES_ALLOWED + cut.all / ATTEMPTS_PER_FAILURE;
    // Less than two thirds as often.
    many && cut.served * others.all * 3 < others.served * cut.all * 2
}

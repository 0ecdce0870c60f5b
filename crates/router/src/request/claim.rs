//! The claim of one request that must not run twice, and what may be said when it ends.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use uuid::Uuid;

use crate::error::{Fault, Kind, Ran};
use crate::fleet::claims::{Action, AttemptId, Entry, Operation, Outcome, Progress};
use crate::node::Node;
use crate::random;

/// Bound on one operation, over the instance that tends the shard and this one.
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time between two tries of an operation that has to be confirmed some time.
const PERSIST: Duration = Duration::from_secs(1);

/// The idempotency key of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The key.
    pub key: Uuid,
    /// Whether the caller says that it has not submitted the key before.
    pub first: bool,
}

/// A key that this request's attempt has won.
pub struct Claim {
    node: Arc<Node>,
    submission: Submission,
    attempt: AttemptId,
    /// Whether the request may have reached a backend server.
    pub dispatched: bool,
}

impl Claim {
    fn new(node: &Arc<Node>, submission: Submission) -> Self {
        Self {
            node: Arc::clone(node),
            submission,
            attempt: random::id(),
            dispatched: false,
        }
    }

    /// Wins a key, or tells how the request that has it went.
    ///
    /// # Errors
    /// `idempotency_key_running`, `idempotency_key_complete`, `idempotency_key_not_run`,
    /// `outcome_unknown`, `idempotency_key_stale`, `idempotency_key_outside_window`, or
    /// `platform_unavailable`.
    pub async fn win(node: &Arc<Node>, submission: Submission) -> Result<Self, Fault> {
        let claim = Self::new(node, submission);
        let outcome = claim.submit(Action::Claim).await;
        if outcome == Outcome::Done {
            return Ok(claim);
        }
        let fault = claim.lost(outcome);
        if outcome == Outcome::Unconfirmed {
            // The write may land yet: give the key back, so that the caller may try again.
            tokio::spawn(claim.persist(Action::Release));
        }
        Err(fault)
    }

    /// Why the key isn't this attempt's.
    fn lost(&self, outcome: Outcome) -> Fault {
        let first = self.submission.first;
        match outcome {
            Outcome::Taken(entry) => taken(&self.node, &entry),
            Outcome::OutsideWindow => {
                let kind = if first {
                    Kind::KeyStale
                } else {
                    Kind::KeyOutsideWindow
                };
                Fault::new(
                    kind,
                    "the key's time is outside the window in which it can be claimed",
                )
            }
            Outcome::Done | Outcome::Unconfirmed => {
                self.node.metrics.count("claims.unconfirmed");
                let fault = Fault::new(Kind::PlatformUnavailable, "the platform didn't confirm");
                let fault = fault.retry_after(Duration::from_secs(2));
                if first { fault } else { fault.unsure() }
            }
        }
    }

    /// Notes how a dispatched request went, without holding up its answer.
    pub fn settle(self, progress: Progress) {
        tokio::spawn(self.persist(Action::Settle(progress)));
    }

    /// Ends a request whose caller has gone, without holding anything up.
    pub fn abandon(self) {
        if self.dispatched {
            self.settle(Progress::Unknown);
        } else {
            let action = self.giving_back();
            tokio::spawn(self.persist(action));
        }
    }

    /// Gives the key of an undispatched request back, or notes that it never runs where another
    /// submission may be under way. Tells whether the platform has confirmed it.
    async fn give_back(self) -> bool {
        let action = self.giving_back();
        let confirmed = self.submit(action).await == Outcome::Done;
        if !confirmed {
            tokio::spawn(self.persist(action));
        }
        confirmed
    }

    const fn giving_back(&self) -> Action {
        if self.submission.first {
            Action::Release
        } else {
            Action::Refuse
        }
    }

    /// Tries an operation until the platform confirms it, or the key's window is over anyway. Without
    /// it a key that nobody works on would look as if it ran for as long as this instance does.
    async fn persist(self, action: Action) {
        let window = Duration::from_millis(self.node.settings.limits.claim_window_ms);
        let deadline = Instant::now() + window;
        while self.submit(action).await == Outcome::Unconfirmed && Instant::now() < deadline {
            tokio::time::sleep(PERSIST).await;
        }
    }

    async fn submit(&self, action: Action) -> Outcome {
        let operation = Operation {
            key: self.submission.key,
            attempt: self.attempt,
            holder: self.node.membership.own().holder(),
            action,
        };
        match tokio::time::timeout(TIMEOUT, self.node.claim(operation)).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unconfirmed,
        }
    }
}

/// What a caller is told whose key another attempt has.
fn taken(node: &Node, entry: &Entry) -> Fault {
    match entry.progress {
        Progress::Complete => {
            let message = "the request with this key was answered completely";
            Fault::new(Kind::KeyComplete, message)
        }
        Progress::NotRun => {
            let message = "the request with this key was refused; a new try needs a new key";
            Fault::new(Kind::KeyNotRun, message)
        }
        Progress::Running if node.membership.is_holder_running(entry.holder) => {
            Fault::new(Kind::KeyRunning, "the request with this key is running")
                .retry_after(Duration::from_secs(1))
        }
        Progress::Running | Progress::Unknown => {
            let message = "nobody can tell whether the request with this key ran";
            Fault::new(Kind::OutcomeUnknown, message)
        }
    }
}

/// Ends a request that failed, and makes its fault say only what is certain. `reached` tells whether
/// any byte may have reached a backend server.
///
/// "Not run" is said of a keyed request only when this is its first submission, or when the platform
/// holds the note that the key never runs: an earlier submission may be waiting at another instance.
pub async fn truthful(
    node: &Arc<Node>,
    submission: Option<Submission>,
    claim: Option<Claim>,
    reached: bool,
    fault: Fault,
) -> Fault {
    let certain = match (claim, submission) {
        (Some(claim), _) if claim.dispatched => {
            claim.settle(Progress::Unknown);
            false
        }
        (Some(claim), _) => claim.give_back().await,
        (None, Some(submission)) if !submission.first && needs_note(&fault) => {
            let claim = Claim::new(node, submission);
            match claim.submit(Action::Refuse).await {
                Outcome::Done => true,
                outcome => return claim.lost(outcome),
            }
        }
        (None, _) => true,
    };
    if certain && !reached {
        fault
    } else {
        fault.unsure()
    }
}

/// Whether the fault says that the request wasn't run, without having that from the platform.
fn needs_note(fault: &Fault) -> bool {
    fault.ran() == Ran::No && fault.kind != Kind::KeyNotRun
}

//! Claim on the idempotency key of a request that must not run twice, and the error reported when such a
//! request fails.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use uuid::Uuid;

use crate::error::{Fault, Kind, Ran};
use crate::fleet::claims::{Action, AttemptId, Entry, Operation, Outcome, Progress};
use crate::node::Node;
use crate::random;

/// Timeout of one operation, which covers the call to the instance that owns the shard and the fallback
/// to a write by this instance.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay between retries of an operation that is repeated until the platform confirms it.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// One submission of a request under an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The idempotency key, a `UUIDv7`.
    pub key: Uuid,
    /// Whether the caller states that it has not submitted this key before (`x-submission: first`).
    pub first: bool,
}

/// An idempotency key that is claimed for this request.
pub struct Claim {
    node: Arc<Node>,
    submission: Submission,
    attempt: AttemptId,
    /// Whether the request may have reached a backend server; set before it is sent, and cleared when it
    /// is known not to have run.
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

    /// Claims a key.
    ///
    /// # Errors
    /// The state of the request that holds the key, or why the key cannot be claimed:
    /// `idempotency_key_running`, `idempotency_key_complete`, `idempotency_key_not_run`,
    /// `outcome_unknown`, `idempotency_key_stale`, `idempotency_key_outside_window`, or
    /// `platform_unavailable`.
    pub async fn acquire(node: &Arc<Node>, submission: Submission) -> Result<Self, Fault> {
        let claim = Self::new(node, submission);
        let outcome = claim.submit(Action::Claim).await;
        if outcome == Outcome::Done {
            return Ok(claim);
        }
        let fault = claim.fault(outcome);
        if outcome == Outcome::Unconfirmed {
            // The write may still take effect: release the key, so that the caller can retry.
            tokio::spawn(claim.submit_until_confirmed(Action::Release));
        }
        Err(fault)
    }

    /// The error for an operation that did not succeed.
    fn fault(&self, outcome: Outcome) -> Fault {
        let first = self.submission.first;
        match outcome {
            Outcome::Taken(entry) => conflict_fault(&self.node, &entry),
            Outcome::OutsideWindow => {
                let kind = if first {
                    Kind::KeyStale
                } else {
                    Kind::KeyOutsideWindow
                };
                Fault::new(
                    kind,
                    "the timestamp of the idempotency key is outside the window in which it can be claimed",
                )
            }
            Outcome::Done | Outcome::Unconfirmed => {
                self.node.metrics.count("claims.unconfirmed");
                let fault = Fault::new(
                    Kind::PlatformUnavailable,
                    "the platform did not confirm the operation on the idempotency key in time",
                );
                let fault = fault.retry_after(Duration::from_secs(2));
                if first { fault } else { fault.possibly_run() }
            }
        }
    }

    /// Records the result of a dispatched request in the background, without delaying its response.
    pub fn settle(self, progress: Progress) {
        tokio::spawn(self.submit_until_confirmed(Action::Settle(progress)));
    }

    /// Settles or withdraws the claim in the background after the caller disconnected.
    pub fn abandon(self) {
        if self.dispatched {
            self.settle(Progress::Unknown);
        } else {
            let action = self.withdrawal();
            tokio::spawn(self.submit_until_confirmed(action));
        }
    }

    /// Withdraws the claim of a request that was not dispatched. Returns whether the platform confirmed
    /// the withdrawal; if not, it is retried in the background.
    async fn withdraw(self) -> bool {
        let action = self.withdrawal();
        let confirmed = self.submit(action).await == Outcome::Done;
        if !confirmed {
            tokio::spawn(self.submit_until_confirmed(action));
        }
        confirmed
    }

    /// Releases the key of a first submission. Any other key is marked as never to run, as another
    /// submission of it may be in progress.
    const fn withdrawal(&self) -> Action {
        if self.submission.first {
            Action::Release
        } else {
            Action::Refuse
        }
    }

    /// Retries an operation until the platform confirms it or the claim window has passed. Without this,
    /// the key of an ended request would be reported as running for as long as this instance is alive.
    async fn submit_until_confirmed(self, action: Action) {
        let window = Duration::from_millis(self.node.settings.limits.claim_window_ms);
        let deadline = Instant::now() + window;
        while self.submit(action).await == Outcome::Unconfirmed && Instant::now() < deadline {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn submit(&self, action: Action) -> Outcome {
        let operation = Operation {
            key: self.submission.key,
            attempt: self.attempt,
            holder: self.node.membership.own().holder(),
            action,
        };
        match tokio::time::timeout(OPERATION_TIMEOUT, self.node.claim(operation)).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unconfirmed,
        }
    }
}

/// The error for a key that another attempt has claimed.
fn conflict_fault(node: &Node, entry: &Entry) -> Fault {
    match entry.progress {
        Progress::Complete => {
            let message = "the request with this idempotency key has already been completed";
            Fault::new(Kind::KeyComplete, message)
        }
        Progress::NotRun => {
            let message =
                "the request with this idempotency key was refused; a retry needs a new key";
            Fault::new(Kind::KeyNotRun, message)
        }
        Progress::Running if node.membership.is_holder_running(entry.holder) => Fault::new(
            Kind::KeyRunning,
            "the request with this idempotency key is running",
        )
        .retry_after(Duration::from_secs(1)),
        Progress::Running | Progress::Unknown => {
            let message = "it is unknown whether the request with this idempotency key ran";
            Fault::new(Kind::OutcomeUnknown, message)
        }
    }
}

/// Resolves the claim of a failed request, and returns the fault that may be reported to the caller.
/// `may_have_run` is whether any attempt may have run at a backend server.
///
/// A request with an idempotency key is reported as not run only if this is its first submission, or if
/// the platform has recorded that the key never runs: an earlier submission may be waiting at another
/// instance.
pub async fn resolve_fault(
    node: &Arc<Node>,
    submission: Option<Submission>,
    claim: Option<Claim>,
    may_have_run: bool,
    fault: Fault,
) -> Fault {
    let not_run = match (claim, submission) {
        (Some(claim), _) if claim.dispatched => {
            claim.settle(Progress::Unknown);
            false
        }
        (Some(claim), _) => claim.withdraw().await,
        (None, Some(submission)) if !submission.first && needs_refusal(&fault) => {
            let claim = Claim::new(node, submission);
            match claim.submit(Action::Refuse).await {
                Outcome::Done => true,
                outcome => return claim.fault(outcome),
            }
        }
        (None, _) => true,
    };
    if not_run && !may_have_run {
        fault
    } else {
        fault.possibly_run()
    }
}

/// Whether the fault states that the request was not run without a record of that at the platform.
fn needs_refusal(fault: &Fault) -> bool {
    fault.ran() == Ran::No && fault.kind != Kind::KeyNotRun
}

//! The claim of one request that must not run twice.

use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::claims::{Action, Attempt, Entry, Operation, Outcome, Progress};
use crate::error::{Fault, Kind};
use crate::node::{self, Node};

/// A key that this request's attempt has won.
pub struct Claim {
    node: Arc<Node>,
    key: Uuid,
    attempt: Attempt,
    /// Whether the request may have reached a backend server.
    pub dispatched: bool,
}

impl Claim {
    /// Wins `key`, or tells how the request that has it went.
    ///
    /// # Errors
    /// `idempotency_key_running`, `idempotency_key_complete`, `outcome_unknown`,
    /// `idempotency_key_outside_window`, or `platform_unavailable`.
    pub async fn win(node: &Arc<Node>, key: Uuid) -> Result<Self, Fault> {
        let claim = Self {
            node: Arc::clone(node),
            key,
            attempt: node::random_id(),
            dispatched: false,
        };
        match claim.submit(Action::Claim).await {
            Outcome::Done => Ok(claim),
            Outcome::Taken(entry) => Err(taken(node, &entry)),
            Outcome::OutsideWindow => Err(Fault::new(
                Kind::KeyOutsideWindow,
                "the key's time is outside the window in which it can be claimed",
            )),
            Outcome::Unconfirmed => {
                node.metrics.count("claims.unconfirmed");
                // The write may land yet: give the key back, so that the caller may try again.
                tokio::spawn(async move { claim.release().await });
                Err(Fault::new(
                    Kind::PlatformUnavailable,
                    "the platform didn't confirm the claim, and the request was not run",
                )
                .retry_after(Duration::from_secs(2)))
            }
        }
    }

    /// Notes how the request went, without holding up its answer.
    pub fn settle(self, progress: Progress) {
        tokio::spawn(async move { self.submit(Action::Settle(progress)).await });
    }

    /// Gives the key back; tells whether the platform has confirmed it.
    pub async fn release(self) -> bool {
        self.submit(Action::Release).await == Outcome::Done
    }

    async fn submit(&self, action: Action) -> Outcome {
        let operation = Operation {
            key: self.key,
            attempt: self.attempt,
            holder: self.node.membership.own().incarnation,
            action,
        };
        self.node.claim(operation).await
    }
}

/// What a caller is told whose key another attempt has.
fn taken(node: &Node, entry: &Entry) -> Fault {
    match entry.progress {
        Progress::Complete => Fault::new(
            Kind::KeyComplete,
            "the request with this key was answered completely",
        ),
        Progress::Running if node.membership.runs(entry.holder) => {
            Fault::new(Kind::KeyRunning, "the request with this key is running")
                .retry_after(Duration::from_secs(1))
        }
        Progress::Running | Progress::Unknown => Fault::new(
            Kind::OutcomeUnknown,
            "nobody can tell whether the request with this key ran",
        ),
    }
}

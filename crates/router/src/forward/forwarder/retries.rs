//! Decides whether a request is tried again at another backend server.

use tokio::time::Instant;

use super::Forwarder;
use crate::forward::attempt::{Denial, Failure};
use crate::forward::backend_protocol::BackendProtocol;
use crate::load::budget;
use crate::load::pool::Permit;

/// Limit on attempts that fail before a byte is sent. They don't count as attempts of the route.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

impl<P: BackendProtocol> Forwarder<'_, '_, P> {
    /// Prepares a retry after `failure`: charges the retry budget where that is due. `unsent` is the number of attempts
    /// that failed before a byte was sent.
    ///
    /// # Errors
    /// Returns why the request can't be retried.
    pub(super) fn retry(&self, failure: Failure, unsent: u32) -> Result<(), Denial> {
        if unsent >= MAX_UNSENT_ATTEMPTS {
            return Err(Denial::Unsent);
        }
        if !self.binding.is_served_by(&self.pool, None) {
            self.context.node.metrics.count("stream.no_version");
            return Err(Denial::Version);
        }
        // The budget was charged before the request went to the other instance.
        let paid = failure == Failure::Outdated;
        let max_attempts = self.request.route.max_attempts;
        match self.request.route.kind {
            _ if paid || (failure.is_unsent() && self.attempts == 0) => Ok(()),
            kind if self.may_have_run && !kind.is_retryable() => Err(Denial::Kind),
            _ if self.attempts >= max_attempts => Err(Denial::Attempts),
            _ if !self.spend_retry() => Err(Denial::Budget),
            _ => Ok(()),
        }
    }

    /// Whether the request may be moved from its current server to another one, if that one takes it.
    pub(super) fn may_move(&self, permit: &Permit) -> bool {
        self.has_attempt_left() && self.binding.is_served_by(&self.pool, Some(permit.server))
    }

    /// Whether the route allows another attempt after the current one, however it ends.
    pub(super) fn has_attempt_left(&self) -> bool {
        let route = &self.request.route;
        route.kind.is_retryable() && self.attempts + 1 < route.max_attempts
    }

    /// Charges the service's retry budget; returns whether it covers another retry.
    pub(super) fn spend_retry(&self) -> bool {
        let limits = &self.context.limits;
        let instances = budget::slack_divisor(self.context.node.membership.size());
        let now = Instant::now();
        self.context
            .with_budget(self.service, |b| b.try_spend(limits, instances, now))
    }
}

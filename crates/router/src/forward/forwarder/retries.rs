//! Decides whether and when a request is tried again at another backend server.

use std::time::Duration;

use tokio::time::{self, Instant};

use super::{Forwarder, RECHECK_INTERVAL};
use crate::forward::attempt::{Denial, Failure};
use crate::forward::backend_protocol::BackendProtocol;
use crate::load::budget;
use crate::load::pool::Permit;

/// Limit on attempts that fail before a byte is sent. They don't count as attempts of the route.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// A stream counts as stalled after a pause of this many times the route's gap target.
const STALL_GAP_FACTOR: u32 = 3;
/// Shortest pause that counts as a stall, whatever the gap target.
const MIN_STALL: Duration = Duration::from_secs(1);

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
        // The budget was already charged, when the attempt was abandoned or before it went to the other instance.
        let paid = matches!(failure, Failure::Stalled | Failure::Outdated);
        let max_attempts = self.request.route.max_attempts;
        match self.request.route.kind {
            _ if paid || (failure.is_unsent() && self.attempts == 0) => Ok(()),
            kind if self.may_have_run && !kind.is_retryable() => Err(Denial::Kind),
            _ if self.attempts >= max_attempts => Err(Denial::Attempts),
            _ if !self.spend_retry() => Err(Denial::Budget),
            _ => Ok(()),
        }
    }

    /// Whether the current attempt may be abandoned for one at another server, however it ends.
    pub(super) fn may_move(&self, permit: &Permit) -> bool {
        let route = &self.request.route;
        let left = route.kind.is_retryable() && self.attempts + 1 < route.max_attempts;
        left && self.binding.is_served_by(&self.pool, Some(permit.server))
    }

    /// Completes when the attempt should be abandoned in favour of a retry: the latency target has passed,
    /// the server has started later requests first, and the retry budget was charged. A server that is merely
    /// slow keeps its requests, as retrying them would add to the load.
    pub(super) async fn wait_overtaken(&self, permit: &Permit) {
        if !self.may_move(permit) {
            return std::future::pending().await;
        }
        time::sleep(self.request.route.latency_target).await;
        while !(permit.overtaken() && self.spend_retry()) {
            time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Completes when a stream should be abandoned in favour of a retry: it has paused for too long, or this
    /// instance is cut off, and the retry budget was charged. Before the first event, the pause is judged as in
    /// `wait_overtaken`. Never completes for a stream of another instance, which watches it.
    pub(super) async fn wait_stalled(&self, permit: Option<&Permit>, started: bool) {
        let Some(permit) = permit else {
            return std::future::pending().await;
        };
        tokio::select! {
            () = self.wait_paused(permit, started) => {}
            () = self.wait_cut(permit) => {}
        }
    }

    async fn wait_paused(&self, permit: &Permit, started: bool) {
        if !started {
            return self.wait_overtaken(permit).await;
        }
        if !self.may_move(permit) {
            return std::future::pending().await;
        }
        let gap = self.request.route.gap_target.unwrap_or_default() * STALL_GAP_FACTOR;
        time::sleep(gap.max(MIN_STALL)).await;
        while !self.spend_retry() {
            time::sleep(RECHECK_INTERVAL).await;
        }
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

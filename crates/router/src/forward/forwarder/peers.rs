//! Passes a request on to another instance while this one can't send it to a server.

use tokio::time::{self, Instant};

use super::{AttemptResult, ForwardError, Forwarder, RECHECK_INTERVAL};
use crate::fleet::membership::InstanceRecord;
use crate::forward::backend_protocol::BackendProtocol;
use crate::forward::peer;
use crate::forward::request::ForwardedBy;
use crate::load::pool::Permit;

impl<P: BackendProtocol> Forwarder<'_, '_, P> {
    /// The instance that the request is passed on to; `None` if this instance may send to the servers itself, or no
    /// other one can help.
    pub(super) fn next_peer(&self) -> Option<InstanceRecord> {
        let node = &self.context.node;
        if self.request.forwarded_by.is_some() {
            return None;
        }
        let holders = self.pool.slot_holders();
        if holders.is_none() && !node.isolated.is_own() {
            return None;
        }
        let candidates = peer::candidates(node, self.request, holders.as_deref());
        let mut untried = candidates.into_iter();
        untried.find(|p| !self.tried_peers.contains(&p.id))
    }

    /// Completes when there is such an instance.
    pub(super) async fn wait_for_peer(&self) -> InstanceRecord {
        if self.request.forwarded_by.is_some() {
            return std::future::pending().await;
        }
        loop {
            self.context.node.isolated.wait_own().await;
            if let Some(peer) = self.next_peer() {
                return peer;
            }
            time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Completes when a request that is open at a server should be abandoned for an attempt at another instance: this
    /// one is cut off, also from that server, and the retry budget was charged.
    pub(super) async fn wait_cut(&self, permit: &Permit) {
        if !self.may_move(permit) {
            return std::future::pending().await;
        }
        loop {
            self.wait_for_peer().await;
            let silent = self.context.connections.signs().is_silent(Instant::now());
            if silent && self.spend_retry() {
                return;
            }
            time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Passes the request on to another instance. One that can't be reached or refuses is followed by the next.
    pub(super) async fn run_at_peer(
        &mut self,
        peer: &InstanceRecord,
    ) -> Result<AttemptResult, ForwardError> {
        let context = self.context;
        self.tried_peers.push(peer.id.clone());
        self.log.start_forwarding(&peer.id);
        context.node.metrics.count("peer.sent");
        let forwarded_by = ForwardedBy {
            instance: context.node.settings.instance.clone(),
            attempts: self.attempts,
        };
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let response = peer::send(
            &context.peers,
            &context.protocol,
            self.request,
            peer,
            forwarded_by,
            self.resume_after,
        );
        match response.await {
            Ok(response)
                if self.request.route.kind.is_stream() && response.head.status.is_success() =>
            {
                self.forward_stream(None, response).await
            }
            Ok(response) => self.forward_buffered(None, response).await,
            Err(error) => {
                if error.failure.is_certainly_not_run() {
                    self.may_have_run = ran_before;
                }
                context.node.metrics.count("peer.failed");
                match error.refusal {
                    Some(refusal) if !refusal.elsewhere || self.next_peer().is_none() => {
                        Err(ForwardError::Fault(refusal.fault()))
                    }
                    _ => Ok(AttemptResult::Failed(error.failure)),
                }
            }
        }
    }
}

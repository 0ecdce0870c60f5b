//! Passes a request on to another instance if this one can't, or isn't to, send it to a server.

use tokio::time::{self, Instant};

use super::{AttemptResult, ForwardError, Forwarder, RECHECK_INTERVAL};
use crate::fleet::membership::InstanceRecord;
use crate::forward::attempt::Failure;
use crate::forward::backend_protocol::BackendProtocol;
use crate::forward::connection_pool::BackendResponse;
use crate::forward::peer::{self, PeerFailure};
use crate::forward::request::ForwardedBy;
use crate::load::pool::Permit;

impl<'a, P: BackendProtocol> Forwarder<'a, '_, P> {
    /// The instance that the request is passed on to; `None` if this instance may send to the servers itself, or no
    /// other one can help.
    pub(super) fn next_peer(&self) -> Option<InstanceRecord> {
        let node = &self.context.node;
        if self.request.forwarded_by.is_some() {
            return None;
        }
        if let Some(suspect) = self.pool.suspected_request(&self.admission.identity) {
            let instance = peer::trial_instance(node, suspect, &self.outdated_peers);
            let own = node.membership.own().id;
            return instance.filter(|r| r.id != own && !self.tried_peers.contains(&r.id));
        }
        let holders = self.pool.slot_holders();
        if holders.is_none() && !node.isolated.is_own() {
            return None;
        }
        let candidates = peer::candidates(node, self.request, holders.as_deref());
        let mut untried = candidates.into_iter();
        untried.find(|p| !self.tried_peers.contains(&p.id))
    }

    /// Whether this instance tries the request if servers crashed under it: all such attempts are made by one instance,
    /// for itself and for the others.
    pub(super) fn may_try(&self) -> bool {
        let node = &self.context.node;
        let suspect = self.pool.suspected_request(&self.admission.identity);
        let outdated = &self.outdated_peers;
        let instance = suspect.and_then(|id| peer::trial_instance(node, id, outdated));
        let own = node.membership.own().id;
        self.request.forwarded_by.is_some() || instance.is_some_and(|r| r.id == own)
    }

    /// Whether the request may be sent to a server, by this instance or another one, perhaps later.
    pub(super) fn may_be_sent(&self) -> bool {
        let suspect = self.pool.suspected_request(&self.admission.identity);
        suspect.is_none() || self.may_try() || self.next_peer().is_some()
    }

    /// Completes when there is another instance that the request is passed on to.
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

    /// Waits for an instance to which a request that is open at a server should be moved: this one is cut off, also from
    /// that server, and the retry budget was charged.
    pub(super) async fn wait_cut(&self, permit: &Permit) -> InstanceRecord {
        loop {
            let peer = self.wait_for_peer().await;
            let silent = self.context.connections.signs().is_silent(Instant::now());
            if self.may_move(permit) && silent && self.spend_retry() {
                return peer;
            }
            time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Sends the request to another instance, after this number of `attempts`, and waits for the head of the response.
    pub(super) async fn send_to_peer(
        &mut self,
        peer: &InstanceRecord,
        attempts: u32,
    ) -> Result<BackendResponse, PeerFailure> {
        let context = self.context;
        self.tried_peers.push(peer.id.clone());
        context.node.metrics.count("peer.sent");
        let forwarded_by = ForwardedBy {
            instance: context.node.settings.instance.clone(),
            attempts,
            config: Some(self.request.config),
        };
        let response = peer::send(
            &context.peers,
            &context.protocol,
            self.request,
            peer,
            forwarded_by,
            self.resume_after,
        );
        let response = response.await;
        if let Err(error) = &response {
            context.node.metrics.count("peer.failed");
            if error.failure == Failure::Outdated {
                context.node.metrics.count("peer.outdated");
                self.outdated_peers.push(peer.id.clone());
            }
        }
        response
    }

    /// Passes the request on to another instance. One that can't be reached or refuses is followed by the next.
    pub(super) async fn run_at_peer(
        &mut self,
        peer: &InstanceRecord,
    ) -> Result<AttemptResult<'a>, ForwardError> {
        self.log.start_forwarding(&peer.id);
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let error = match self.send_to_peer(peer, self.attempts).await {
            Ok(response) => return self.forward_response(None, response).await,
            Err(error) => error,
        };
        if error.failure.is_certainly_not_run() {
            self.may_have_run = ran_before;
        }
        let goes_on = || self.next_peer().is_some() || self.may_try();
        match error.refusal {
            Some(refusal) if !refusal.elsewhere || !goes_on() => {
                Err(ForwardError::Fault(refusal.fault()))
            }
            _ => Ok(AttemptResult::Failed(error.failure)),
        }
    }
}

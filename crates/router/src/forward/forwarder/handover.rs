//! Moves a request from its backend server to another one, or to another instance. The server that has the request is let go
//! only once the other one has taken it: it may still be at work, and what the other one refuses would be lost.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tokio::time;

use super::{Forwarder, NextAttempt, RECHECK_INTERVAL, Target};
use crate::event::Line;
use crate::fleet::membership::InstanceRecord;
use crate::forward::attempt::{self, Failure};
use crate::forward::backend_protocol::BackendProtocol;
use crate::forward::connection_pool::BackendResponse;
use crate::load::pool::{Permit, ServerId};

/// A stream counts as stalled after a pause of this many times the route's gap target.
const STALL_GAP_FACTOR: u32 = 3;
/// Shortest pause that counts as a stall, whatever the gap target.
const MIN_STALL: Duration = Duration::from_secs(1);
/// Pause after no other server could be had.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a server says that it doesn't take a request. After that the request counts as taken, so that two servers
/// don't work on it.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

/// Result of an attempt to move a request, where `C` stands for the current attempt.
pub(super) enum Handover<'a, C> {
    /// The other one didn't take the request, which stays where it is.
    Kept(C),
    /// The other one has the request, and the current attempt has ended.
    Moved(NextAttempt<'a>),
}

impl<'a, P: BackendProtocol> Forwarder<'a, '_, P> {
    /// Completes when a request that is open at a server should be moved: to a server that has room if it is stalled or
    /// overtaken, to another instance if this one is cut off. The retry budget was charged. `started` tells whether an event
    /// of a stream has arrived. Never completes without an attempt left, or for a request that another instance sent to a
    /// server, as that one watches it.
    pub(super) async fn wait_move(&self, permit: Option<&Permit>, started: bool) -> Target {
        let Some(permit) = permit.filter(|_| self.has_attempt_left()) else {
            return std::future::pending().await;
        };
        tokio::select! {
            next = self.wait_server(permit, started) => Target::Server(next),
            peer = self.wait_cut(permit) => Target::Peer(peer),
        }
    }

    /// Waits until the request should leave the server of `current`, and for a permit for another one.
    async fn wait_server(&self, current: &Permit, started: bool) -> Permit {
        if started {
            let gap = self.request.route.gap_target.unwrap_or_default() * STALL_GAP_FACTOR;
            time::sleep(gap.max(MIN_STALL)).await;
        } else {
            time::sleep(self.request.route.latency_target).await;
        }
        let mut avoid = self.admission.avoid.clone();
        avoid.push(current.server);
        loop {
            // A server that is merely slow keeps its requests, as retrying them would add to the load.
            while !(self.may_move(current) && (started || current.overtaken())) {
                time::sleep(RECHECK_INTERVAL).await;
            }
            match self.acquire_other(current, &avoid).await {
                Some(permit) if !self.connect(&permit).await => avoid.push(permit.server),
                Some(permit) if self.spend_retry() => return permit,
                Some(_) | None => {}
            }
            time::sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Waits for a permit for a server other than that of `current`, if possible for none of `avoid`.
    async fn acquire_other(&self, current: &Permit, avoid: &[ServerId]) -> Option<Permit> {
        let mut admission = self.admission().ok()?;
        admission.avoid = avoid.to_vec();
        let permit = self.pool.acquire_for_prompt(admission, self.prompt()).await;
        permit.ok().filter(|p| p.server != current.server)
    }

    async fn connect(&self, permit: &Permit) -> bool {
        let connected = attempt::connect(&self.context.connections, permit).await;
        connected.is_ok()
    }

    /// Sends the request to `target`, and ends the attempt `current` once it is taken there.
    pub(super) async fn hand_over<C>(&mut self, current: C, target: Target) -> Handover<'a, C> {
        match target {
            Target::Server(permit) => self.hand_to_server(current, Arc::new(permit)).await,
            Target::Peer(peer) => self.hand_to_peer(current, peer).await,
        }
    }

    async fn hand_to_server<C>(&mut self, current: C, permit: Arc<Permit>) -> Handover<'a, C> {
        let mut response = self.send(&permit);
        let Ok(answer) = time::timeout(REFUSAL_TIME, &mut response).await else {
            drop(current);
            self.log_handover(&permit.declared.name, "unanswered");
            return Handover::Moved(NextAttempt::Server { permit, response });
        };
        match self.check(answer) {
            Ok(head) => {
                drop(current);
                self.log_handover(&permit.declared.name, "taken");
                let response = Box::pin(std::future::ready(Ok(head)));
                Handover::Moved(NextAttempt::Server { permit, response })
            }
            Err(failure) => {
                self.log_handover(&permit.declared.name, failure.as_str());
                self.record_failed(&permit, failure);
                Handover::Kept(current)
            }
        }
    }

    /// A peer may take its time, as it waits for a server. It is asked when this instance is cut off, so that the current
    /// attempt is most likely lost.
    async fn hand_to_peer<C>(&mut self, current: C, peer: InstanceRecord) -> Handover<'a, C> {
        let answer = self.send_to_peer(&peer, self.attempts + 1).await;
        match self.check(answer.map_err(|error| error.failure)) {
            Ok(response) => {
                drop(current);
                self.log_handover(&peer.id, "taken");
                Handover::Moved(NextAttempt::Peer {
                    peer: peer.id,
                    response: Box::new(response),
                })
            }
            Err(failure) => {
                self.log_handover(&peer.id, failure.as_str());
                Handover::Kept(current)
            }
        }
    }

    /// Takes a response that is no better than none for a failure, as the current attempt may still bring a better one.
    fn check(&self, answer: Result<BackendResponse, Failure>) -> Result<BackendResponse, Failure> {
        answer.and_then(|response| {
            let failed = response.head.status.is_server_error() || !self.fits(&response.head);
            if failed {
                Err(Failure::Failed)
            } else {
                Ok(response)
            }
        })
    }

    fn log_handover(&self, target: &str, outcome: &str) {
        self.context.node.metrics.count(match outcome {
            "taken" | "unanswered" => "handover.moved",
            _ => "handover.kept",
        });
        Line::new("request.handover")
            .field("id", &self.request.id)
            .field("target", target)
            .field("outcome", outcome)
            .optional_field("version", self.log.version.as_ref())
            .write(Level::Info);
    }

    /// Records that an attempt at a server failed.
    pub(super) fn record_failed(&mut self, permit: &Permit, failure: Failure) {
        if matches!(failure, Failure::NoAnswer | Failure::Broken) {
            self.record_loss(permit);
        }
        self.admission.avoid.push(permit.server);
    }
}

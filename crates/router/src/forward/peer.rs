//! Passes requests on to other instances while this one is cut off from all backend servers, has no part of their
//! slots, or isn't the one that tries a request under which servers crashed.
//!
//! A peer gets the request on its address for callers, as the caller sent it, and treats it as its own: it
//! authenticates, queues, limits and retries it. It never passes it on again. One whose configuration is older than the one
//! under which the request was taken refuses it.

use std::time::Duration;

use http::StatusCode;
use http_body_util::Full;
use tokio::time::Instant;

use super::attempt::{Failure, RETURN_MARGIN};
use super::backend_protocol::{BackendProtocol, ForwardMetadata, ResponseClass};
use super::connection_pool::{self, BackendResponse, ConnectionPool};
use super::request::{EventId, ForwardedBy, Request};
use super::retry_after::{self, RestStatement};
use crate::error::{Fault, Kind};
use crate::fleet::membership::{InstanceId, InstanceRecord};
use crate::load::quarantine::SuspectId;
use crate::node::Node;
use crate::rendezvous;

/// Number of peers to which a request is passed on at most, one after the other.
const MAX_PEERS: usize = 3;
/// Retry delay advised if a peer that refuses a request gives none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Why a peer did not respond with the answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerFailure {
    /// The failure.
    pub failure: Failure,
    /// What the peer says, if it refused the request.
    pub refusal: Option<Refusal>,
}

/// A peer's refusal of a request, which has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether another instance may take it, as the reason lies in this peer.
    pub elsewhere: bool,
    /// When the caller may retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// The fault for the caller.
    #[must_use]
    pub fn fault(self) -> Fault {
        let kind = if self.elsewhere {
            Kind::NoBackendServer
        } else {
            Kind::Overloaded
        };
        let message = "another instance, to which the request was passed on, refuses it";
        Fault::new(kind, message).retry_after(self.retry_after)
    }
}

impl From<Failure> for PeerFailure {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            refusal: None,
        }
    }
}

/// The peers that may take a request, in the order in which they are tried. `holders` are the only ones that may send
/// to its servers; `None` if all may.
#[must_use]
pub fn candidates(
    node: &Node,
    request: &Request,
    holders: Option<&[InstanceId]>,
) -> Vec<InstanceRecord> {
    let own = node.membership.own().id;
    let mut peers = node.membership.alive();
    let may_send = |r: &InstanceRecord| holders.is_none_or(|holders| holders.contains(&r.id));
    peers.retain(|r| r.id != own && !node.isolated.contains(r) && may_send(r));
    select(peers, &request.id)
}

/// The only instance that tries a request under which servers crashed: the first in rendezvous order of those that reach
/// backend servers and whose configuration isn't known to be too old. `None` if there is none.
#[must_use]
pub fn trial_instance(
    node: &Node,
    suspect: SuspectId,
    outdated: &[InstanceId],
) -> Option<InstanceRecord> {
    let own = node.membership.own().id;
    let reaches_servers = |r: &InstanceRecord| {
        let isolated = if r.id == own {
            node.isolated.is_own()
        } else {
            node.isolated.contains(r)
        };
        !isolated && !outdated.contains(&r.id)
    };
    let alive = node.membership.alive().into_iter();
    alive
        .filter(reaches_servers)
        .max_by_key(|r| rendezvous::weight(suspect, &r.id))
}

/// Selects from the peers that reach backend servers. Rendezvous hashing by the request's id spreads the requests of
/// all isolated instances over all of them.
#[must_use]
pub fn select(mut peers: Vec<InstanceRecord>, request: &str) -> Vec<InstanceRecord> {
    let key = rendezvous::hash(request.as_bytes());
    peers.sort_by_key(|r| std::cmp::Reverse(rendezvous::weight(key, &r.id)));
    peers.truncate(MAX_PEERS);
    peers
}

/// Sends `request` to a peer and waits for the head of the response.
///
/// # Errors
/// Returns why there is none from a backend server.
pub async fn send<P: BackendProtocol>(
    connections: &ConnectionPool,
    protocol: &P,
    request: &Request,
    peer: &InstanceRecord,
    forwarded_by: ForwardedBy,
    resume_after: Option<EventId>,
) -> Result<BackendResponse, PeerFailure> {
    let left = request.deadline.map(|_| {
        let left = request
            .expires_at()
            .saturating_duration_since(Instant::now());
        left.saturating_sub(RETURN_MARGIN)
    });
    let metadata = ForwardMetadata {
        forwarded_by,
        left,
        resume_after,
    };
    let mut outgoing = http::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = protocol.forward_headers(request, &metadata);
    let non_retryable = !request.route.kind.is_retryable();
    let response = connections
        .send(peer.callers, outgoing, non_retryable)
        .await
        .map_err(|error| match error {
            connection_pool::Error::NotSent(_) => Failure::NotSent,
            connection_pool::Error::NoAnswer(_) => Failure::NoAnswer,
        })?;
    match protocol.classify_forwarded(request, &response.head) {
        ResponseClass::Answered => Ok(response),
        ResponseClass::NotRun | ResponseClass::WrongServer => Err(PeerFailure {
            failure: if protocol.is_outdated(&response.head.headers) {
                Failure::Outdated
            } else {
                Failure::Refused
            },
            refusal: Some(Refusal {
                elsewhere: response.head.status == StatusCode::SERVICE_UNAVAILABLE,
                retry_after: match retry_after::parse(&response.head.headers) {
                    RestStatement::Rest(delay) => delay,
                    RestStatement::Unstated | RestStatement::Unreadable => DEFAULT_RETRY_AFTER,
                },
            }),
        }),
        ResponseClass::Misleading => Err(Failure::Failed.into()),
        ResponseClass::Foreign => Err(Failure::Foreign.into()),
    }
}

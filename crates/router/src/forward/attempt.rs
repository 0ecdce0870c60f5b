//! One attempt: sends a request to one backend server and classifies the response or the failure.

use std::time::Duration;

use http_body_util::Full;
use tokio::time::Instant;

use super::backend_protocol::{AttemptMetadata, BackendProtocol, RateStatement, ResponseClass};
use super::connection_pool::{self, BackendResponse, ConnectionPool};
use super::request::{EventId, Request};
use super::retry_after::RestStatement;
use crate::config::changelog;
use crate::load::pool::Permit;
use crate::node::Node;

/// Part of the caller's remaining time that is kept for passing the response back to it.
pub(super) const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Rest that a server is given if it asks for an unreadable time.
const UNREADABLE_REST: Duration = Duration::from_secs(1);

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The backend server reports that it didn't run the request.
    NotRun,
    /// The address belongs to another backend server; the request didn't run.
    WrongServer,
    /// Another instance, to which the request was passed on, refuses it without having run it.
    Refused,
    /// Another instance, to which the request was passed on, sent it nowhere, as its configuration is older than the one
    /// under which the request was taken.
    Outdated,
    /// The request was sent and may have run, but no response was received.
    NoAnswer,
    /// The response isn't to this request, or not from a backend server.
    Foreign,
    /// The connection failed in the middle of the response.
    Broken,
    /// The response or its next event is late: the backend server started later requests first, or the
    /// stream paused for too long.
    Stalled,
    /// The backend server ran the request and responded with an error, or with something that can't continue
    /// the stream.
    Failed,
}

impl Failure {
    /// The name used in logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::WrongServer => "wrong_server",
            Self::Refused => "refused",
            Self::Outdated => "outdated",
            Self::NoAnswer => "no_answer",
            Self::Foreign => "foreign",
            Self::Broken => "broken",
            Self::Stalled => "stalled",
            Self::Failed => "failed",
        }
    }

    /// Whether the attempt counts as none of the route's.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent | Self::Refused | Self::Outdated)
    }

    /// Whether it is certain that the request didn't run in this attempt.
    #[must_use]
    pub const fn is_certainly_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::NotRun | Self::WrongServer | Self::Refused | Self::Outdated
        )
    }
}

/// Why a request isn't retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Too many attempts failed before a byte was sent.
    Unsent,
    /// No server has the version that began the stream.
    Version,
    /// It may have run and isn't idempotent.
    Kind,
    /// The route allows no further attempt.
    Attempts,
    /// The retry budget is used up.
    Budget,
}

impl Denial {
    /// The name used in logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Version => "version",
            Self::Kind => "kind",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
        }
    }
}

/// Makes sure that there is a connection to the permit's backend server.
///
/// # Errors
/// `NotSent` if none can be opened, which is recorded for the server.
pub async fn connect(connections: &ConnectionPool, permit: &Permit) -> Result<(), Failure> {
    let connected = connections.prepare(permit.declared.address).await;
    connected.map_err(|error| record_unsent(permit, &error))
}

fn record_unsent(permit: &Permit, error: &connection_pool::Error) -> Failure {
    log::debug!("server={} {error}", permit.declared.name);
    permit.record_connect_failure();
    permit.record_failure(false);
    Failure::NotSent
}

/// Sends `request` to the permit's backend server and waits for the head of the response. A load report in
/// the response, and a failed connection, are recorded for the server.
///
/// # Errors
/// Returns why the attempt failed; also for a response that doesn't belong to the request.
pub async fn send<P: BackendProtocol>(
    node: &Node,
    connections: &ConnectionPool,
    protocol: &P,
    request: &Request,
    permit: &Permit,
    resume_after: Option<EventId>,
) -> Result<BackendResponse, Failure> {
    let outgoing = build_request(protocol, request, permit, resume_after);
    let non_retryable = !request.route.kind.is_retryable();
    let response = match connections
        .send(permit.declared.address, outgoing, non_retryable)
        .await
    {
        Ok(response) => response,
        Err(error @ connection_pool::Error::NotSent(_)) => {
            return Err(record_unsent(permit, &error));
        }
        Err(error @ connection_pool::Error::NoAnswer(_)) => {
            log::debug!("server={} {error}", permit.declared.name);
            permit.record_failure(false);
            return Err(Failure::NoAnswer);
        }
    };
    let class = protocol.classify(request, &response.head);
    record_rate_limit(protocol, request, permit, &response, class);
    if matches!(class, ResponseClass::Answered | ResponseClass::NotRun) {
        if let Some(report) = protocol.load_report(&response.head.headers) {
            permit.record_load(report);
        }
        let brittle = protocol.is_brittle(&response.head.headers);
        permit.record_brittleness(brittle, class == ResponseClass::NotRun);
        record_rest(permit, protocol.rest(&response.head), &request.id);
        if protocol.is_leaving(&response.head.headers) {
            node.mark_server_leaving(&permit.declared.name, changelog::now_ms(), None);
        }
    }
    match class {
        ResponseClass::Answered => Ok(response),
        ResponseClass::NotRun => Err(Failure::NotRun),
        ResponseClass::WrongServer => Err(Failure::WrongServer),
        ResponseClass::Misleading => Err(Failure::Failed),
        ResponseClass::Foreign => Err(Failure::Foreign),
    }
}

/// Records what the response says of the server's rate limit. A response that refuses the request may lack
/// a limit that is still in force, and one from elsewhere says nothing.
fn record_rate_limit<P: BackendProtocol>(
    protocol: &P,
    request: &Request,
    permit: &Permit,
    response: &BackendResponse,
    class: ResponseClass,
) {
    match (class, protocol.rate_limit(&response.head.headers)) {
        (ResponseClass::Answered | ResponseClass::NotRun, RateStatement::Limited(rate)) => {
            permit.record_rate_limit(Some(rate), &request.id);
        }
        (ResponseClass::Answered, RateStatement::Unlimited) => {
            permit.record_rate_limit(None, &request.id);
        }
        (_, RateStatement::Unreadable) => {
            let server = &permit.declared.name;
            log::warn!("server={server} limit=unreadable id={}", request.id);
        }
        _ => {}
    }
}

/// Records for how long the server wants no requests of this instance. One that states an unreadable time rests for a
/// while, as it asks for something.
fn record_rest(permit: &Permit, rest: RestStatement, id: &str) {
    match rest {
        RestStatement::Unstated => {}
        RestStatement::Rest(rest) => permit.record_rest(rest, id),
        RestStatement::Unreadable => {
            let server = &permit.declared.name;
            log::warn!("server={server} rest=unreadable id={id}");
            permit.record_rest(UNREADABLE_REST, id);
        }
    }
}

fn build_request<P: BackendProtocol>(
    protocol: &P,
    request: &Request,
    permit: &Permit,
    resume_after: Option<EventId>,
) -> http::Request<Full<bytes::Bytes>> {
    let left = request.deadline.map(|_| {
        let left = request
            .expires_at()
            .saturating_duration_since(Instant::now());
        left.saturating_sub(RETURN_MARGIN)
    });
    let metadata = AttemptMetadata {
        server: &permit.declared,
        level: permit.priority,
        left,
        resume_after,
    };
    let mut outgoing = http::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = protocol.headers(request, &metadata);
    outgoing
}

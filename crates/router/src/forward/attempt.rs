//! One sending of a request to one backend server, and what is known of it afterwards.

use std::time::Duration;

use http_body_util::Full;
use tokio::time::Instant;

use super::backend_protocol::{AttemptMetadata, BackendProtocol, ResponseClass};
use super::connection_pool::{self, BackendResponse, ConnectionPool};
use super::request::{EventId, Request};
use crate::load::pool::Permit;

/// Time that an answer takes on its way back to the caller.
const WAY_BACK: Duration = Duration::from_millis(5);

/// How a sending failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request has left.
    NotSent,
    /// The backend server says that it didn't run it.
    NotRun,
    /// Another backend server has the address.
    WrongServer,
    /// The request may have run, and there is no answer.
    NoAnswer,
    /// What came doesn't belong to this request.
    Foreign,
    /// The answer broke off.
    Broken,
    /// The backend server went on with others and left this one waiting.
    Stalled,
    /// The backend server ran it and failed.
    Failed,
}

impl Failure {
    /// The failure's name in logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::WrongServer => "wrong_server",
            Self::NoAnswer => "no_answer",
            Self::Foreign => "foreign",
            Self::Broken => "broken",
            Self::Stalled => "stalled",
            Self::Failed => "failed",
        }
    }

    /// Whether the request surely didn't run in this sending.
    #[must_use]
    pub const fn surely_not_run(&self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun | Self::WrongServer)
    }
}

/// Sends `request` to the permit's server and waits for the head of an answer that belongs to it.
///
/// # Errors
/// The way in which it failed.
pub async fn send<D: BackendProtocol>(
    channels: &ConnectionPool,
    dialect: &D,
    request: &Request,
    permit: &Permit,
    after: Option<EventId>,
) -> Result<BackendResponse, Failure> {
    let call = call(dialect, request, permit, after);
    let once = !request.route.kind.is_retryable();
    let answer = match channels.send(permit.declared.address, call, once).await {
        Ok(answer) => answer,
        Err(error @ connection_pool::Error::NotSent(_)) => {
            log::debug!("server={} {error}", permit.declared.name);
            permit.record_failure(false);
            return Err(Failure::NotSent);
        }
        Err(error @ connection_pool::Error::NoAnswer(_)) => {
            log::debug!("server={} {error}", permit.declared.name);
            permit.record_failure(false);
            return Err(Failure::NoAnswer);
        }
    };
    if let Some(report) = dialect.load_report(&answer.head.headers) {
        permit.record_load(report);
    }
    match dialect.classify(request, &answer.head) {
        ResponseClass::Answered => Ok(answer),
        ResponseClass::NotRun => Err(Failure::NotRun),
        ResponseClass::WrongServer => Err(Failure::WrongServer),
        ResponseClass::Foreign => Err(Failure::Foreign),
    }
}

fn call<D: BackendProtocol>(
    dialect: &D,
    request: &Request,
    permit: &Permit,
    after: Option<EventId>,
) -> http::Request<Full<bytes::Bytes>> {
    let left = request.deadline.map(|_| {
        let left = request
            .expires_at()
            .saturating_duration_since(Instant::now());
        left.saturating_sub(WAY_BACK)
    });
    let addition = AttemptMetadata {
        server: &permit.declared,
        level: permit.priority,
        left,
        resume_after: after,
    };
    let mut call = http::Request::new(Full::new(request.body.clone()));
    *call.method_mut() = request.method.clone();
    *call.uri_mut() = request.target.clone();
    *call.headers_mut() = dialect.headers(request, &addition);
    call
}

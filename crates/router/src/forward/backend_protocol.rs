//! Interface to the protocol of backend servers: how requests are encoded and responses interpreted.

use std::time::Duration;

use http::HeaderMap;
use http::response;

use super::request::{EventId, ForwardedBy, Request};
use super::retry_after::RestStatement;
use crate::config::object::{BackendServer, Level};
use crate::load::rate_limit::Rate;
use crate::load::server::LoadReport;

/// What is sent with one attempt in addition to the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptMetadata<'a> {
    /// The backend server that the request is meant for.
    pub server: &'a BackendServer,
    /// The priority level to send; 0 is the most important.
    pub level: Level,
    /// Time left for the response; `None` if the caller gave no deadline.
    pub left: Option<Duration>,
    /// The last event that the caller already has, if the attempt resumes a stream.
    pub resume_after: Option<EventId>,
}

/// What is sent in addition to the caller's request with one that is passed on to another instance.
#[derive(Clone, Debug)]
pub struct ForwardMetadata {
    /// The instance that passes it on.
    pub forwarded_by: ForwardedBy,
    /// Time left for the response; `None` if the caller gave no deadline.
    pub left: Option<Duration>,
    /// The last event that the caller already has, if the request resumes a stream.
    pub resume_after: Option<EventId>,
}

/// What the head of a response means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A backend server responded to this request, whatever the status.
    Answered,
    /// The backend server reports that it didn't run the request.
    NotRun,
    /// The address belongs to another backend server; the request didn't run.
    WrongServer,
    /// The request may have run, but the status would tell its caller that it didn't.
    Misleading,
    /// The response isn't to this request, or not from a backend server.
    Foreign,
}

/// What a response says of its backend server's limit on the requests that it takes from all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateStatement {
    /// The server takes requests at this rate.
    Limited(Rate),
    /// The server has no limit.
    Unlimited,
    /// The response names a limit that isn't a rate.
    Unreadable,
}

/// Encodes requests to, and interprets responses of, one kind of backend server.
pub trait BackendProtocol: Send + Sync + 'static {
    /// Returns the header fields of an attempt.
    fn headers(&self, request: &Request, metadata: &AttemptMetadata<'_>) -> HeaderMap;

    /// Interprets the head of a response to `request`.
    fn classify(&self, request: &Request, head: &response::Parts) -> ResponseClass;

    /// Returns the header fields of a request that is passed on to another instance.
    fn forward_headers(&self, request: &Request, metadata: &ForwardMetadata) -> HeaderMap;

    /// Interprets the head of another instance's response to `request`: `Answered` also for an error of that
    /// instance that is to be passed on, `NotRun` if it refuses the request.
    fn classify_forwarded(&self, request: &Request, head: &response::Parts) -> ResponseClass;

    /// Returns whether the header fields of another instance's refusal say that its configuration is older than the one
    /// under which the request was taken.
    fn is_outdated(&self, headers: &HeaderMap) -> bool;

    /// Returns the load report in the header fields of a response; `None` if there is none.
    fn load_report(&self, headers: &HeaderMap) -> Option<LoadReport>;

    /// Returns whether the header fields of a response say that the server is leaving.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Returns whether the header fields of a response say that the server falls over when it has to refuse many
    /// requests.
    fn is_brittle(&self, headers: &HeaderMap) -> bool;

    /// Returns for how long the server wants no requests of this instance, according to the head of a response.
    fn rest(&self, head: &response::Parts) -> RestStatement;

    /// Returns what the header fields of a response say of the server's rate limit.
    fn rate_limit(&self, headers: &HeaderMap) -> RateStatement;
}

//! The port to backend servers: how a request and an answer are spelled.

use std::time::Duration;

use http::HeaderMap;
use http::response;

use super::request::{EventId, Request};
use crate::config::object::{BackendServer, Level};
use crate::load::server::LoadReport;

/// What an attempt adds to the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptMetadata<'a> {
    /// The backend server that is meant.
    pub server: &'a BackendServer,
    /// The rank to send along; 0 is the most important.
    pub level: Level,
    /// Time that is left for the answer, where the caller named one.
    pub left: Option<Duration>,
    /// The last event that the caller has.
    pub resume_after: Option<EventId>,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It answers this request, and carries the proof of a backend server.
    Answered,
    /// The backend server says that it didn't run the request.
    NotRun,
    /// Another backend server has the address; the request didn't run.
    WrongServer,
    /// It isn't an answer to this request.
    Foreign,
}

/// How one kind of backend server spells requests and answers.
pub trait BackendProtocol: Send + Sync + 'static {
    /// The header fields of an attempt.
    fn headers(&self, request: &Request, addition: &AttemptMetadata<'_>) -> HeaderMap;

    /// What the head of an answer says.
    fn classify(&self, request: &Request, head: &response::Parts) -> ResponseClass;

    /// The load that an answer tells of, if any.
    fn load_report(&self, headers: &HeaderMap) -> Option<LoadReport>;
}

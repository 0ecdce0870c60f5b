//! What happened to a request, for its log line and the metrics. Written when the request ends, however
//! it ends.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use log::Level;
use tokio::time::Instant;

use super::attempt::Failure;
use super::config_snapshot::ConfigVersion;
use super::request::Request;
use crate::error::Fault;
use crate::event::{self, Line};
use crate::metrics::{Metrics, RequestSummary};

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A backend server's answer was passed on whole, with this status.
    Answered(StatusCode),
    /// The caller was told of this fault.
    Refused(Fault),
    /// The answer had begun and could not be completed; the connection is broken.
    Cut(Fault),
    /// The caller left.
    CallerGone,
}

impl Outcome {
    const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused(_) => "refused",
            Self::Cut(_) => "cut",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// One sending.
#[derive(Clone, Debug)]
struct Attempt {
    server: smol_str::SmolStr,
    at: Duration,
    failure: Option<Failure>,
}

/// The record of one request; writes itself when dropped.
pub struct AccessLog<'a> {
    request: &'a Request,
    metrics: Arc<Metrics>,
    config: ConfigVersion,
    waited: Duration,
    attempts: Vec<Attempt>,
    events: u64,
    last_event: Option<Instant>,
    /// How it ended; a request that is dropped before that has lost its caller.
    pub outcome: Outcome,
}

impl<'a> AccessLog<'a> {
    /// The record of a request that was admitted under version `config`.
    pub const fn new(request: &'a Request, config: ConfigVersion, metrics: Arc<Metrics>) -> Self {
        Self {
            request,
            metrics,
            config,
            waited: Duration::ZERO,
            attempts: Vec::new(),
            events: 0,
            last_event: None,
            outcome: Outcome::CallerGone,
        }
    }

    /// Notes how long the request waited for a server.
    pub fn waited(&mut self, since: Instant) {
        self.waited += since.elapsed();
    }

    /// Notes that a sending begins.
    pub fn sending(&mut self, server: &smol_str::SmolStr) {
        self.attempts.push(Attempt {
            server: server.clone(),
            at: self.request.received.elapsed(),
            failure: None,
        });
    }

    /// Notes that events were passed on.
    pub fn passed(&mut self) {
        self.events += 1;
        self.last_event = Some(Instant::now());
    }

    /// Notes that the last sending failed, and whether another may follow.
    pub fn failed(&mut self, failure: Failure, allowed: bool) {
        let left = self
            .request
            .expires_at()
            .saturating_duration_since(Instant::now());
        let sendings = self.attempts.len();
        let Some(attempt) = self.attempts.last_mut() else {
            return;
        };
        Line::new("request.again")
            .field("id", &self.request.id)
            .field("server", &attempt.server)
            .field("cause", failure.as_str())
            .field("allowed", allowed)
            .field("sendings", sendings)
            .field("left_ms", left.as_millis())
            .write(Level::Info);
        attempt.failure = Some(failure);
    }

    fn attempts(&self) -> String {
        let mut text = String::new();
        for (n, attempt) in self.attempts.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            let became = attempt.failure.as_ref().map_or("ok", Failure::as_str);
            // Writing to a string can't fail.
            let _ = write!(
                text,
                "{separator}{}@{}ms:{became}",
                attempt.server,
                attempt.at.as_millis()
            );
        }
        text
    }

    fn line(&self, rate: u32) -> Line {
        let (status, fault) = match &self.outcome {
            Outcome::Answered(status) => (Some(status.as_u16()), None),
            Outcome::Refused(fault) => (Some(fault.kind.spec().status), Some(fault)),
            Outcome::Cut(fault) => (None, Some(fault)),
            Outcome::CallerGone => (None, None),
        };
        let cause = fault.map(|f| format!("{}: {}", f.kind.spec().name, f.message));
        let retry = fault.and_then(|f| f.retry_after).map(|d| d.as_millis());
        let request = self.request;
        let events = self
            .last_event
            .map(|at| format!("{}@-{}ms", self.events, at.elapsed().as_millis()));
        Line::new("request.end")
            .field("id", &request.id)
            .field("route", &request.route.name)
            .optional_field("organisation", request.organisation.as_ref())
            .field("tier", request.level)
            .field("config", self.config)
            .field("outcome", self.outcome.as_str())
            .optional_field("cause", cause)
            .optional_field("status", status)
            .optional_field("ran", fault.map(|f| f.ran().as_str()))
            .field("took_ms", request.received.elapsed().as_millis())
            .field("waited_ms", self.waited.as_millis())
            .optional_field("retry_after_ms", retry)
            .field("attempts", self.attempts())
            .optional_field("events", events)
            .optional_field("after", request.resume_after)
            .optional_field("rate", (rate > 1).then_some(rate))
    }
}

impl Drop for AccessLog<'_> {
    fn drop(&mut self) {
        let cause = match &self.outcome {
            Outcome::Refused(fault) | Outcome::Cut(fault) => fault.kind.spec().name,
            Outcome::Answered(status) if status.is_server_error() => "server_error",
            Outcome::Answered(_) | Outcome::CallerGone => "none",
        };
        self.metrics.record_request(&RequestSummary {
            route: self.request.route.name.clone(),
            tier: self.request.level,
            outcome: self.outcome.as_str(),
            cause,
            took: self.request.received.elapsed(),
            waited: self.waited,
        });
        let well = matches!(&self.outcome, Outcome::Answered(s) if !s.is_server_error());
        let plain = well && self.attempts.len() == 1;
        let rate = if plain { event::sample() } else { Some(1) };
        if let Some(rate) = rate {
            self.line(rate)
                .write(if well { Level::Info } else { Level::Warn });
        }
    }
}

//! Access log: collects what happened to a request, and writes its log line and metrics when the request
//! ends in any way.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use log::Level;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use super::attempt::{Denial, Failure};
use super::request::Request;
use crate::config;
use crate::error::Fault;
use crate::event::{self, Line};
use crate::load::pool::Permit;
use crate::load::quarantine::RequestIdentity;
use crate::load::rate_limit::Usage;
use crate::metrics::{Metrics, RequestSummary};

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A backend server's complete response, with this status, was sent to the caller.
    Answered(StatusCode),
    /// The caller gets an error response for this fault.
    Refused(Fault),
    /// The response had started and couldn't be completed; the caller's connection is closed.
    Cut(Fault),
    /// The caller disconnected.
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

/// One attempt, for the `attempts` field of the log line.
#[derive(Clone, Debug)]
struct Attempt {
    /// The server, or the instance as `peer:NAME`.
    server: SmolStr,
    /// Time from the receipt of the request to the start of the attempt.
    started: Duration,
    /// Why it failed; `None` if it succeeded or is still running.
    failure: Option<Failure>,
    /// How it counts under the server's rate limit; `None` if it has none.
    usage: Option<Usage>,
    /// The priority that it was sent with; `None` if it went to another instance.
    priority: Option<config::object::Level>,
}

/// The access log entry of one request; written when dropped.
pub struct AccessLog<'a> {
    request: &'a Request,
    metrics: Arc<Metrics>,
    /// Total time spent waiting for a backend server.
    waited: Duration,
    attempts: Vec<Attempt>,
    /// The version that the stream is bound to, if any.
    pub version: Option<SmolStr>,
    events: u64,
    first_event: Option<Duration>,
    last_event: Option<Instant>,
    longest_pause: Duration,
    /// How the request ended. It is `CallerGone` until set, as a request is dropped early only if its caller
    /// disconnects.
    pub outcome: Outcome,
}

impl<'a> AccessLog<'a> {
    /// Creates the entry of a request.
    pub const fn new(request: &'a Request, metrics: Arc<Metrics>) -> Self {
        Self {
            request,
            metrics,
            waited: Duration::ZERO,
            attempts: Vec::new(),
            version: None,
            events: 0,
            first_event: None,
            last_event: None,
            longest_pause: Duration::ZERO,
            outcome: Outcome::CallerGone,
        }
    }

    /// Adds the time since `since` to the time that the request waited for a backend server.
    pub fn add_wait(&mut self, since: Instant) {
        self.waited += since.elapsed();
    }

    /// Records the start of an attempt.
    pub fn start_attempt(&mut self, permit: &Permit) {
        self.attempts.push(Attempt {
            server: permit.declared.name.clone(),
            started: self.request.received.elapsed(),
            failure: None,
            usage: permit.usage,
            priority: Some(permit.priority),
        });
    }

    /// Records that the request is passed on to another instance.
    pub fn start_forwarding(&mut self, peer: &str) {
        self.attempts.push(Attempt {
            server: format_smolstr!("peer:{peer}"),
            started: self.request.received.elapsed(),
            failure: None,
            usage: None,
            priority: None,
        });
    }

    /// Records a batch of events that is being forwarded to the caller; a batch counts as one event.
    pub fn record_events(&mut self) {
        let now = Instant::now();
        self.events += 1;
        match self.last_event.replace(now) {
            Some(last) => self.longest_pause = self.longest_pause.max(now - last),
            None => self.first_event = Some(self.request.received.elapsed()),
        }
    }

    /// Number of batches of events that were forwarded to the caller.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Writes a log line that the connection to the server was lost.
    pub fn lose(&self, server: &str, begun: bool, identity: &RequestIdentity) {
        let segments: Vec<String> = identity.shared.iter().map(|s| format!("{s:x}")).collect();
        let request = identity.request.map(|id| format!("{id:x}"));
        Line::new("request.lost")
            .field("id", &self.request.id)
            .field("server", server)
            .field("begun", begun)
            .field("segments", segments.join(","))
            .optional_field("request", request)
            .write(Level::Info);
    }

    /// Records that the latest attempt failed, and writes a log line that says why there is no retry, or that it is allowed
    /// if `denial` is `None`.
    pub fn fail_attempt(&mut self, failure: Failure, denial: Option<Denial>) {
        let left = self
            .request
            .expires_at()
            .saturating_duration_since(Instant::now());
        let count = self.attempts.len();
        let Some(attempt) = self.attempts.last_mut() else {
            return;
        };
        Line::new("request.again")
            .field("id", &self.request.id)
            .field("server", &attempt.server)
            .field("cause", failure.as_str())
            .field("allowed", denial.is_none())
            .optional_field("denied", denial.map(|d| d.as_str()))
            .optional_field("version", self.version.as_ref())
            .field("sendings", count)
            .field("left_ms", left.as_millis())
            .write(Level::Info);
        attempt.failure = Some(failure);
    }

    fn attempts(&self) -> String {
        let mut text = String::new();
        for (n, attempt) in self.attempts.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            let result = attempt.failure.as_ref().map_or("ok", Failure::as_str);
            // Writing to a `String` never fails.
            let _ = write!(
                text,
                "{separator}{}@{}ms:{result}",
                attempt.server,
                attempt.started.as_millis()
            );
        }
        text
    }

    /// The rate limits of the servers that the request was sent to, as `SERVER:RATE/SHARE@AGE`; `None` if they
    /// had none.
    fn limits(&self) -> Option<String> {
        let mut text = String::new();
        for attempt in &self.attempts {
            let Some(usage) = attempt.usage else {
                continue;
            };
            let separator = if text.is_empty() { "" } else { "," };
            // Writing to a `String` never fails.
            let _ = write!(
                text,
                "{separator}{}:{}/{}@{}ms",
                attempt.server,
                usage.rate,
                usage.share,
                usage.age.as_millis()
            );
        }
        (!text.is_empty()).then_some(text)
    }

    /// The priorities that the attempts at servers were sent with; `None` if there were none.
    fn priorities(&self) -> Option<String> {
        let attempts = self.attempts.iter();
        let sent: Vec<String> = attempts
            .filter_map(|attempt| attempt.priority.map(|p| p.to_string()))
            .collect();
        (!sent.is_empty()).then(|| sent.join(","))
    }

    /// Builds the `request.end` line; `rate` is the number of requests that the line stands for.
    fn build_line(&self, rate: u32) -> Line {
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
            .field("route_tier", request.route.level)
            .optional_field("priority", self.priorities())
            .field("config", request.config)
            .field("outcome", self.outcome.as_str())
            .optional_field("cause", cause)
            .optional_field("status", status)
            .optional_field("ran", fault.map(|f| f.ran().as_str()))
            .field("took_ms", request.received.elapsed().as_millis())
            .field("waited_ms", self.waited.as_millis())
            .optional_field("retry_after_ms", retry)
            .field("attempts", self.attempts())
            .optional_field("limits", self.limits())
            .optional_field(
                "forwarded_by",
                request.forwarded_by.as_ref().map(|f| &f.instance),
            )
            .optional_field("version", self.version.as_ref())
            .optional_field("first_ms", self.first_event.map(|d| d.as_millis()))
            .optional_field("events", events)
            .optional_field(
                "pause_ms",
                self.first_event.map(|_| self.longest_pause.as_millis()),
            )
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
        let succeeded = matches!(&self.outcome, Outcome::Answered(s) if !s.is_server_error());
        // Only lines on requests that succeeded at the first attempt, without a rate limit, are sampled.
        let limited = self.attempts.iter().any(|a| a.usage.is_some());
        let first_try = succeeded && self.attempts.len() == 1 && !limited;
        let rate = if first_try { event::sample() } else { Some(1) };
        if let Some(rate) = rate {
            self.build_line(rate)
                .write(if succeeded { Level::Info } else { Level::Warn });
        }
    }
}

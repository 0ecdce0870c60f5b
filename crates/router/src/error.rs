//! The closed list of error kinds and the answer that belongs to each.

use std::fmt;
use std::time::Duration;

/// Whether a request was run by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// No byte of the request can have reached a backend server, or the server said so itself.
    No,
    /// A backend server ran at least a part of it.
    Yes,
    /// Nobody can tell.
    Unknown,
}

impl Ran {
    /// The word used in answers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// What a caller is told about one error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorSpec {
    /// The kind's name in answers, metrics and documents.
    pub name: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// The `type` in the `OpenAI` error shape.
    pub shape: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => ($name:literal, $status:literal, $shape:literal, $ran:ident);)*) => {
        /// Every way in which a request or a change can fail.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Kind { $($(#[$doc])* $kind,)* }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The row of the table that belongs to this kind.
            #[must_use]
            pub const fn spec(self) -> ErrorSpec {
                match self {
                    $(Self::$kind => ErrorSpec { name: $name, status: $status, shape: $shape, ran: Ran::$ran },)*
                }
            }
        }
    };
}

kinds! {
    /// The request can't be understood.
    BadRequest => ("bad_request", 400, "invalid_request_error", No);
    /// The key is missing or unknown.
    Unauthorized => ("unauthorized", 401, "authentication_error", No);
    /// The organisation may not use the class.
    ClassForbidden => ("class_forbidden", 403, "permission_error", No);
    /// No such class.
    UnknownClass => ("unknown_class", 400, "invalid_request_error", No);
    /// No backend server serves the model.
    UnknownModel => ("unknown_model", 404, "invalid_request_error", No);
    /// No backend server serves the plain service.
    UnknownService => ("unknown_service", 404, "invalid_request_error", No);
    /// No such path.
    NotFound => ("not_found", 404, "invalid_request_error", No);
    /// The path exists, but not for this method.
    MethodNotAllowed => ("method_not_allowed", 405, "invalid_request_error", No);
    /// The body is over the limit.
    BodyTooLarge => ("body_too_large", 413, "invalid_request_error", No);
    /// The head is over the limit.
    HeadTooLarge => ("head_too_large", 431, "invalid_request_error", No);
    /// The caller sent its request too slowly.
    CallerTooSlow => ("caller_too_slow", 408, "invalid_request_error", No);
    /// The instance has as many connections as it may have.
    TooManyConnections => ("too_many_connections", 503, "overloaded_error", No);
    /// A class that must not run twice needs an idempotency key.
    KeyRequired => ("idempotency_key_required", 400, "invalid_request_error", No);
    /// The idempotency key of a first submission is older than the window in which it can be claimed,
    /// or lies in the future.
    KeyStale => ("idempotency_key_stale", 409, "invalid_request_error", No);
    /// The same for a submission that may not be the first.
    KeyOutsideWindow => ("idempotency_key_outside_window", 409, "invalid_request_error", Unknown);
    /// The idempotency key's request is running.
    KeyRunning => ("idempotency_key_running", 409, "conflict_error", Unknown);
    /// The idempotency key's request was answered completely.
    KeyComplete => ("idempotency_key_complete", 409, "conflict_error", Yes);
    /// The idempotency key's request was refused for good, and never runs.
    KeyNotRun => ("idempotency_key_not_run", 409, "conflict_error", No);
    /// The pool has more work than it can do; this request gave way.
    Overloaded => ("overloaded", 429, "overloaded_error", No);
    /// The caller's deadline can't be met any more.
    DeadlineExceeded => ("deadline_exceeded", 504, "timeout_error", No);
    /// The instance is leaving.
    Draining => ("draining", 503, "overloaded_error", No);
    /// The platform's service can't be reached, and the request needs it.
    PlatformUnavailable => ("platform_unavailable", 503, "server_error", No);
    /// No backend server of the pool can be reached.
    NoBackendServer => ("no_backend_server", 503, "server_error", No);
    /// The backend server refused the request itself.
    BackendRefused => ("backend_refused", 400, "invalid_request_error", No);
    /// The request may or may not have run.
    OutcomeUnknown => ("outcome_unknown", 502, "server_error", Unknown);
    /// The request was sent, and its time ended before its answer came.
    AnswerTimeout => ("answer_timeout", 504, "timeout_error", Unknown);
    /// The backend server failed in the middle of the answer, and no other could continue it.
    AnswerCut => ("answer_cut", 502, "server_error", Yes);
    /// The stream to be resumed is gone.
    StreamLost => ("stream_lost", 410, "invalid_request_error", Yes);
    /// The stream token is altered, or another organisation's.
    BadStreamToken => ("bad_stream_token", 400, "invalid_request_error", No);
    /// A change names something that isn't there, or takes away something in use.
    ChangeRefused => ("change_refused", 400, "invalid_request_error", No);
    /// Nothing of that name is declared.
    UnknownObject => ("unknown_object", 404, "invalid_request_error", No);
    /// A fault of the router itself.
    Internal => ("internal", 500, "server_error", Unknown);
}

/// An error with its kind, a message for people, and when to come back.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Fault {
    /// Which of the closed list.
    pub kind: Kind,
    /// One line for people.
    pub message: String,
    /// When it's worth trying again, if it is.
    pub retry_after: Option<Duration>,
    /// Whether it can't be ruled out that the request ran, though the kind says that it didn't.
    pub possibly_run: bool,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.spec().name, self.message)
    }
}

impl Fault {
    /// An error of `kind` that isn't worth retrying unchanged.
    #[must_use]
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
            possibly_run: false,
        }
    }

    /// The same error of a request that may have run in an earlier try or submission.
    #[must_use]
    pub const fn possibly_run(mut self) -> Self {
        self.possibly_run = true;
        self
    }

    /// Whether the request ran.
    #[must_use]
    pub const fn ran(&self) -> Ran {
        match self.kind.spec().ran {
            Ran::No if self.possibly_run => Ran::Unknown,
            ran => ran,
        }
    }

    /// The same error, worth another try after `delay`.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// The JSON body in the `OpenAI` error shape, with `kind`, `ran` and `retry_after_ms`.
    #[must_use]
    pub fn body(&self) -> String {
        let spec = self.kind.spec();
        serde_json::json!({
            "error": {
                "message": self.message,
                "type": spec.shape,
                "param": null,
                "code": spec.name,
                "kind": spec.name,
                "ran": self.ran().as_str(),
                "retry_after_ms": self.retry_after.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
            }
        })
        .to_string()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_distinct() {
        let mut names: Vec<_> = Kind::ALL.iter().map(|k| k.spec().name).collect();

        names.sort_unstable();
        names.dedup();

        assert_eq!(names.len(), Kind::ALL.len());
    }

    #[test]
    fn body_names_kind_and_ran() {
        let fault = Fault::new(Kind::Overloaded, "full").retry_after(Duration::from_millis(1500));

        let body: serde_json::Value = serde_json::from_str(&fault.body()).expect("JSON");

        assert_eq!(body["error"]["kind"], "overloaded");
        assert_eq!(body["error"]["ran"], "no");
        assert_eq!(body["error"]["retry_after_ms"], 1500);
    }
}

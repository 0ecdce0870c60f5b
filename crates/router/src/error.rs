//! Error kinds of requests and configuration changes, and the response that each maps to.

use std::fmt;
use std::time::Duration;

/// Whether a backend server executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// No part of the request can have reached a backend server, or the server reported that it did not
    /// execute it.
    No,
    /// A backend server executed at least a part of the request.
    Yes,
    /// The request may or may not have been executed.
    Unknown,
}

impl Ran {
    /// The value used in responses and log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Fixed properties of an error kind, as reported to callers.
#[derive(Clone, Copy, Debug)]
pub struct ErrorSpec {
    /// Name of the kind in responses, metrics and log lines.
    pub name: &'static str,
    /// HTTP status of the response.
    pub status: u16,
    /// The `type` field of an error in the `OpenAI` format.
    pub openai_type: &'static str,
    /// Whether the request was executed. `Fault::possibly_run` can turn `No` into `Unknown`.
    pub ran: Ran,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => ($name:literal, $status:literal, $openai_type:literal, $ran:ident);)*) => {
        /// Kind of failure of a request or a configuration change.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Kind { $($(#[$doc])* $kind,)* }

        impl Kind {
            /// All kinds in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The fixed properties of this kind.
            #[must_use]
            pub const fn spec(self) -> ErrorSpec {
                match self {
                    $(Self::$kind => ErrorSpec { name: $name, status: $status, openai_type: $openai_type, ran: Ran::$ran },)*
                }
            }
        }
    };
}

kinds! {
    /// The request is malformed.
    BadRequest => ("bad_request", 400, "invalid_request_error", No);
    /// The API key or operator token is missing or unknown.
    Unauthorized => ("unauthorized", 401, "authentication_error", No);
    /// The organisation is not allowed to use the class.
    ClassForbidden => ("class_forbidden", 403, "permission_error", No);
    /// The class doesn't exist, or no class is named and the organisation has no default.
    UnknownClass => ("unknown_class", 400, "invalid_request_error", No);
    /// No backend server serves the model.
    UnknownModel => ("unknown_model", 404, "invalid_request_error", No);
    /// No backend server provides the generic service.
    UnknownService => ("unknown_service", 404, "invalid_request_error", No);
    /// The path doesn't exist.
    NotFound => ("not_found", 404, "invalid_request_error", No);
    /// The path doesn't support the method.
    MethodNotAllowed => ("method_not_allowed", 405, "invalid_request_error", No);
    /// The request body is larger than the limit.
    BodyTooLarge => ("body_too_large", 413, "invalid_request_error", No);
    /// The head of the request is larger than the limit.
    HeadTooLarge => ("head_too_large", 431, "invalid_request_error", No);
    /// The request did not arrive within the timeout.
    CallerTooSlow => ("caller_too_slow", 408, "invalid_request_error", No);
    /// The instance has reached its limit of connections.
    TooManyConnections => ("too_many_connections", 503, "overloaded_error", No);
    /// The request has no valid idempotency key, which its non-idempotent class requires.
    KeyRequired => ("idempotency_key_required", 400, "invalid_request_error", No);
    /// The timestamp in the idempotency key of a first submission is older than the claim window or in the
    /// future.
    KeyStale => ("idempotency_key_stale", 409, "invalid_request_error", No);
    /// The same as `KeyStale` for a submission that may not be the first: an earlier one may have run.
    KeyOutsideWindow => ("idempotency_key_outside_window", 409, "invalid_request_error", Unknown);
    /// The request with this idempotency key is running.
    KeyRunning => ("idempotency_key_running", 409, "conflict_error", Unknown);
    /// The request with this idempotency key has received its complete response.
    KeyComplete => ("idempotency_key_complete", 409, "conflict_error", Yes);
    /// The request with this idempotency key was rejected finally and never runs.
    KeyNotRun => ("idempotency_key_not_run", 409, "conflict_error", No);
    /// The pool is overloaded and the request was shed.
    Overloaded => ("overloaded", 429, "overloaded_error", No);
    /// Backend servers crash under a segment of the prompt, which is kept from them for now.
    PromptQuarantined => ("prompt_quarantined", 503, "invalid_request_error", No);
    /// Backend servers crash under the request, which is kept from them for now.
    RequestQuarantined => ("request_quarantined", 503, "invalid_request_error", No);
    /// Backend servers crashed under the request, and it isn't tried now.
    RequestSuspected => ("request_suspected", 503, "server_error", No);
    /// The deadline of the caller can no longer be met.
    DeadlineExceeded => ("deadline_exceeded", 504, "timeout_error", No);
    /// The instance is draining and accepts no new requests.
    Draining => ("draining", 503, "overloaded_error", No);
    /// The request needs the platform's object service, which is unavailable.
    PlatformUnavailable => ("platform_unavailable", 503, "server_error", No);
    /// Another instance took the request under a newer configuration than this one has.
    ConfigOutdated => ("config_outdated", 503, "server_error", No);
    /// No backend server of the pool is reachable.
    NoBackendServer => ("no_backend_server", 503, "server_error", No);
    /// The backend server rejected the request as invalid.
    BackendRefused => ("backend_refused", 400, "invalid_request_error", No);
    /// The connection failed after the request was sent, so it may or may not have run.
    OutcomeUnknown => ("outcome_unknown", 502, "server_error", Unknown);
    /// The request was sent, and timed out before the response arrived.
    AnswerTimeout => ("answer_timeout", 504, "timeout_error", Unknown);
    /// The backend server failed during the response, and no other server could continue it.
    AnswerCut => ("answer_cut", 502, "server_error", Yes);
    /// The stream to resume no longer exists.
    StreamLost => ("stream_lost", 410, "invalid_request_error", Yes);
    /// The stream token has an invalid signature or belongs to another organisation.
    BadStreamToken => ("bad_stream_token", 400, "invalid_request_error", No);
    /// The change is invalid, for example because it refers to an object that doesn't exist or deletes one
    /// that is in use.
    ChangeRefused => ("change_refused", 400, "invalid_request_error", No);
    /// No object of this name is declared.
    UnknownObject => ("unknown_object", 404, "invalid_request_error", No);
    /// Internal error of the router.
    Internal => ("internal", 500, "server_error", Unknown);
}

/// An error that is reported to a caller or operator.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Fault {
    /// The kind, which determines the response.
    pub kind: Kind,
    /// Human-readable description on one line.
    pub message: String,
    /// Delay after which the caller may retry; `None` if a retry of the same request can't succeed.
    pub retry_after: Option<Duration>,
    /// Whether the request may have run in an earlier attempt or submission although the kind implies that
    /// it did not.
    pub possibly_run: bool,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.spec().name, self.message)
    }
}

impl Fault {
    /// Creates an error of `kind` without a retry delay.
    #[must_use]
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
            possibly_run: false,
        }
    }

    /// Marks the request as possibly run in an earlier attempt or submission.
    #[must_use]
    pub const fn possibly_run(mut self) -> Self {
        self.possibly_run = true;
        self
    }

    /// Whether the request was executed, with `possibly_run` taken into account.
    #[must_use]
    pub const fn ran(&self) -> Ran {
        match self.kind.spec().ran {
            Ran::No if self.possibly_run => Ran::Unknown,
            ran => ran,
        }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the response body: JSON in the `OpenAI` error format, extended by `kind`, `ran` and
    /// `retry_after_ms`.
    #[must_use]
    pub fn body(&self) -> String {
        let spec = self.kind.spec();
        serde_json::json!({
            "error": {
                "message": self.message,
                "type": spec.openai_type,
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
    fn kind_names_are_distinct() {
        let mut names: Vec<_> = Kind::ALL.iter().map(|k| k.spec().name).collect();

        names.sort_unstable();
        names.dedup();

        assert_eq!(names.len(), Kind::ALL.len());
    }

    #[test]
    fn body_contains_kind_ran_and_retry_delay() {
        let fault = Fault::new(Kind::Overloaded, "full").retry_after(Duration::from_millis(1500));

        let body: serde_json::Value = serde_json::from_str(&fault.body()).expect("JSON");

        assert_eq!(body["error"]["kind"], "overloaded");
        assert_eq!(body["error"]["ran"], "no");
        assert_eq!(body["error"]["retry_after_ms"], 1500);
    }
}

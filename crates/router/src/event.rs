//! Structured log lines: the table of events with their fields, and the functions that format them.

use std::fmt::{Display, Write as _};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::Level;

/// Description of an event that is logged.
#[derive(Clone, Copy, Debug)]
pub struct EventSpec {
    /// Name of the event, the value of `event=`.
    pub name: &'static str,
    /// Fields that lines of this event may have. Each line has a subset of them.
    pub fields: &'static [&'static str],
    /// When the event is logged, and the meaning of its values.
    pub meaning: &'static str,
}

/// All events, as documented for operators.
pub const EVENTS: &[EventSpec] = &[
    EventSpec {
        name: "process.start",
        fields: &["data_centre", "callers", "peers", "store"],
        meaning: "the process has started and opened its listeners",
    },
    EventSpec {
        name: "process.leave",
        fields: &["requests"],
        meaning: "the process was asked to shut down; `requests` is the number of requests in flight",
    },
    EventSpec {
        name: "process.stop",
        fields: &["cut"],
        meaning: "the process exits; `cut` is the number of requests still in flight at the end of the grace period",
    },
    EventSpec {
        name: "settings.reload",
        fields: &["outcome", "reason"],
        meaning: "the settings file was reloaded; the outcome is `applied`, `unchanged` or `refused`",
    },
    EventSpec {
        name: "store.lost",
        fields: &["kind", "reason"],
        meaning: "a call to the store for this kind of object failed; the last known objects stay in effect",
    },
    EventSpec {
        name: "store.regained",
        fields: &["kind", "away_ms"],
        meaning: "calls to the store for this kind of object succeed again",
    },
    EventSpec {
        name: "store.asked",
        fields: &["kind", "reason", "age_ms"],
        meaning: "an instance that learns from its peers asks the store itself for this kind of object: it has none yet (`first`), nobody confirmed its copy for `age_ms` (`unconfirmed`), or a decision needs the present list (`requested`)",
    },
    EventSpec {
        name: "store.outage",
        fields: &["kind", "ended_ms"],
        meaning: "the store is taken to have been away, as seen by this instance or by peers, and entries that expired meanwhile are kept until servers had the time to renew them; `ended_ms` is the time since it came back",
    },
    EventSpec {
        name: "replica.received",
        fields: &["kind", "peer", "revision", "bytes", "took_ms"],
        meaning: "a peer sent changes of the store's objects that took long; `bytes` came over the link, `took_ms` after they were requested",
    },
    EventSpec {
        name: "versions.read",
        fields: &[
            "service",
            "version",
            "lifetime_ms",
            "past_ms",
            "age_ms",
            "outcome",
        ],
        meaning: "the store has a record since when all servers of the service have had one version, and how long its streams can last (`lifetime_ms`; `past_ms` beyond what the configuration says of their routes; not in records of older builds); the outcome is `trusted`, or `other` if this instance has seen another one",
    },
    EventSpec {
        name: "versions.recorded",
        fields: &[
            "service",
            "version",
            "since_ms",
            "lifetime_ms",
            "past_ms",
            "list_revision",
            "outcome",
        ],
        meaning: "this instance writes since when all servers of the service have had one version, or that they have several (no `version`), and how long its streams can last (`lifetime_ms`; `past_ms` beyond what the configuration says of their routes); the outcome is `written`, `other` if the store has one that this instance didn't know, `gone` if the one to replace is gone, or `failed` if the store rejects it or sends no response, and may write it later; `list_revision` is that of the list of servers on which it is based",
    },
    EventSpec {
        name: "config.taken",
        fields: &["version", "revision", "outcome", "reason"],
        meaning: "a configuration was received; the outcome is `in_force`, `older` than the one in effect, or `refused`",
    },
    EventSpec {
        name: "server.entry",
        fields: &[
            "server", "service", "address", "slots", "version", "state", "revision", "reason",
        ],
        meaning: "the entry of a backend server was added or changed; the state is `ready`, `leaving`, `lapsed` (expired), `gone`, `past` (it was so in between, and is no more) or `unreadable`",
    },
    EventSpec {
        name: "server.history_lost",
        fields: &[],
        meaning: "backend servers may have come and gone unnoticed, as the store no longer has all changes; which versions have served is unknown until now",
    },
    EventSpec {
        name: "server.limit",
        fields: &["server", "state", "rate", "share", "number", "age_ms", "id"],
        meaning: "the rate limit of a backend server was `named`, `changed` or has `ended`; `rate` is for all instances, `share` this instance's part, both in requests a second; `number` counts the changes; `id` is the request whose response said so, and absent if another instance told this one",
    },
    EventSpec {
        name: "server.leaving",
        fields: &["server"],
        meaning: "a backend server says in a response, or a load report, that it is leaving; other instances are told",
    },
    EventSpec {
        name: "server.rest",
        fields: &["server", "rest_ms", "id"],
        meaning: "a backend server refused the request `id` and wants no requests of this instance for so long",
    },
    EventSpec {
        name: "server.crash",
        fields: &["server", "state", "of", "suspects", "source"],
        meaning: "a crash of a backend server was `reported`, with the number of prompt segments or requests (`of`) that may be the cause, or `refuted`, as the server responds; the source is `own` or `peer`",
    },
    EventSpec {
        name: "prompt.quarantine",
        fields: &["segment", "state", "crashes", "source"],
        meaning: "requests with a prompt segment are kept from backend servers, as so many crashed under it (`begun`), or are sent again, as a response to one of them went on (`ended`); the source is `own` or `peer`",
    },
    EventSpec {
        name: "request.quarantine",
        fields: &["request", "state", "crashes", "source"],
        meaning: "a request, which comes again, is kept from backend servers, as so many crashed under it (`begun`), or is sent again, as a response to it went on (`ended`); `request` is the same in all its repeats; the source is `own` or `peer`",
    },
    EventSpec {
        name: "request.lost",
        fields: &["id", "server", "begun", "segments", "request"],
        meaning: "the connection of a request to its backend server was lost; `begun` tells whether the response had gone past its beginning, `segments` names the prompt segments that others have too, `request` is the same in all repeats of the request",
    },
    EventSpec {
        name: "pool.brittle",
        fields: &["pool", "state", "slots"],
        meaning: "the servers of a pool say that they fall over when they refuse many requests (`begun`), or do so no more (`ended`); `slots` is how many of all their slots this instance uses meanwhile",
    },
    EventSpec {
        name: "orders.wanted",
        fields: &["pool", "servers", "before", "ready", "busy", "overload"],
        meaning: "the number of servers that a pool should have in all data centres together has changed; `ready` is how many there are, `busy` how many the demand of all instances would keep busy, `overload` whether requests wait or are rejected",
    },
    EventSpec {
        name: "orders.sent",
        fields: &[
            "pool",
            "data_centre",
            "kind",
            "count",
            "before",
            "ready",
            "reason",
            "token",
            "outcome",
            "took_ms",
        ],
        meaning: "this instance, which holds the duty, has ordered `count` servers of a kind (`regular` or `spot`) for a data centre, after `before`; `ready` is how many there are; the reason is `growth`, `decline` or `repeat`; the outcome is `taken`, `none_available`, `busy`, `no_response`, `rejected` or `not_held`",
    },
    EventSpec {
        name: "pool.room",
        fields: &["pool", "state", "admitted", "crowding"],
        meaning: "the servers of a pool are so full that requests with known prompts are refused (`begun`), the least important first, or aren't any more (`ended`); `admitted` is the part of this instance's demand that is admitted, `crowding` how full the servers are: 1 if all slots are in use, more if requests wait",
    },
    EventSpec {
        name: "instance.isolation",
        fields: &["peer", "state", "number", "source"],
        meaning: "the instance `peer` is cut off from all backend servers (`begun`), or reaches one again (`ended`); `number` counts its changes; the source is `own` or `peer`",
    },
    EventSpec {
        name: "request.refused",
        fields: &["id", "host", "path", "cause", "config", "forwarded_by"],
        meaning: "a request was rejected before its route and organisation were determined; `forwarded_by` is the instance that passed it on",
    },
    EventSpec {
        name: "duty.lease",
        fields: &["duty", "state", "token", "reason"],
        meaning: "whether this instance performs a duty under this fencing token; the state is `taken`, `kept` (again, as nobody else had taken it), `unconfirmed` (a renewal failed and is tried again), `lost` or `handed_over`",
    },
    EventSpec {
        name: "duty.call",
        fields: &[
            "duty", "token", "subject", "number", "outcome", "reason", "took_ms",
        ],
        meaning: "a call to the platform was made under this fencing token; for a usage report, `subject` is the window and `number` counts its requests; the outcome is `taken` or `failed`",
    },
    EventSpec {
        name: "duty.missed",
        fields: &["duty", "first", "last"],
        meaning: "the usage of the windows from `first` to `last` isn't reported any more, as it would be late or may have been reported before the store was restored from an older copy",
    },
    EventSpec {
        name: "stream.origin",
        fields: &[
            "id",
            "first_attempt",
            "outcome",
            "service",
            "version",
            "longest_ms",
            "only_ms",
            "took_ms",
        ],
        meaning: "a caller takes up a stream that the attempt `first_attempt` began; the outcome is `found`, with the service and the version that the stream is bound to, `deduced` if nobody remembers it and all servers have had one version for longer (`only_ms`) than the stream can have lasted (`longest_ms`), or `unknown`, and the stream doesn't go on",
    },
    EventSpec {
        name: "request.handover",
        fields: &["id", "target", "outcome", "version"],
        meaning: "a request that was stalled, overtaken or cut off was sent to another server or instance; `taken` or `unanswered` (it doesn't refuse in time): that one has it now; otherwise why it doesn't take it, and the request stays where it is",
    },
    EventSpec {
        name: "request.again",
        fields: &[
            "id", "server", "cause", "allowed", "denied", "version", "sendings", "left_ms",
        ],
        meaning: "an attempt failed; `allowed` tells whether the request may be retried on another server, `version` the version that this one must have; `denied` why not: `unsent` (too many attempts before a byte was sent), `version` (no server has it), `kind` (it may have run), `attempts` (the route's) or `budget`",
    },
    EventSpec {
        name: "request.end",
        fields: &[
            "id",
            "route",
            "organisation",
            "tier",
            "route_tier",
            "priority",
            "config",
            "outcome",
            "cause",
            "status",
            "ran",
            "took_ms",
            "waited_ms",
            "retry_after_ms",
            "attempts",
            "limits",
            "forwarded_by",
            "version",
            "first_ms",
            "events",
            "pause_ms",
            "after",
            "rate",
        ],
        meaning: "a request ended; the outcome is `answered`, `refused`, `cut` or `caller_gone`; `attempts` lists the server and result of each attempt, `events` the number of streamed events and the time since the last, `first_ms` the time to the first, `pause_ms` the longest pause between two, `limits` the rate limit of each server that has one, with this instance's share and the time since it was heard of, `forwarded_by` the instance that passed the request on, as it is cut off from all servers or another one tries requests under which servers crashed (there, `attempts` names this one as `peer:NAME`), `version` the software version that the stream is bound to, `tier` the rank of the request among all, `route_tier` the level of its route, `priority` what each server was told; a line with `rate=N` represents N such lines",
    },
];

/// Number of lines for successful requests that are logged per second before sampling starts.
const UNSAMPLED_PER_S: u32 = 40;
/// Sampling interval above this rate: one in this many lines is logged.
const SAMPLE_INTERVAL: u32 = 16;

#[derive(Debug)]
struct Sampler {
    window_start: Option<Instant>,
    count: u32,
}

static SAMPLER: Mutex<Sampler> = Mutex::new(Sampler {
    window_start: None,
    count: 0,
});

/// Decides whether to log the next line for a successful request. Returns the number of lines that it
/// represents, which is 1 without sampling, or `None` if it is to be skipped.
#[must_use]
pub fn sample() -> Option<u32> {
    let mut sampler = SAMPLER.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let is_over = |start: Instant| now.saturating_duration_since(start) >= Duration::from_secs(1);
    if sampler.window_start.is_none_or(is_over) {
        sampler.window_start = Some(now);
        sampler.count = 0;
    }
    sampler.count += 1;
    match sampler.count {
        0..=UNSAMPLED_PER_S => Some(1),
        count if count % SAMPLE_INTERVAL == 0 => Some(SAMPLE_INTERVAL),
        _ => None,
    }
}

/// Whether [`EVENTS`] contains the event and, if given, the event's field.
fn is_declared(name: &str, field: Option<&str>) -> bool {
    let spec = EVENTS.iter().find(|e| e.name == name);
    spec.is_some_and(|e| field.is_none_or(|f| e.fields.contains(&f)))
}

/// Builder of a log line.
#[derive(Debug)]
pub struct Line {
    name: &'static str,
    text: String,
}

impl Line {
    /// Starts a line for an event of [`EVENTS`].
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        debug_assert!(
            is_declared(name, None),
            "the event {name} is not declared in EVENTS"
        );
        Self {
            name,
            text: format!("event={name}"),
        }
    }

    /// Adds a field. An empty value, or one with spaces, quotes or characters other than printable ASCII, is
    /// quoted and escaped.
    #[must_use]
    pub fn field(mut self, field: &'static str, value: impl Display) -> Self {
        debug_assert!(
            is_declared(self.name, Some(field)),
            "the event {} has no field {field} in EVENTS",
            self.name
        );
        let value = value.to_string();
        let is_plain =
            !value.is_empty() && value.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
        // Writing to a `String` can't fail.
        let _ = if is_plain {
            write!(self.text, " {field}={value}")
        } else {
            write!(self.text, " {field}={value:?}")
        };
        self
    }

    /// Adds a field if `value` is `Some`.
    #[must_use]
    pub fn optional_field(self, field: &'static str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.field(field, value),
            None => self,
        }
    }

    /// Logs the line at `level`.
    pub fn write(self, level: Level) {
        log::log!(level, "{}", self.text);
    }
}

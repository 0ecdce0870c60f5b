//! A caller's request, independent of the protocol it was received in.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::config_snapshot::ConfigVersion;
use super::route::Route;
use crate::config::object::Level;
use crate::load::quarantine::{RequestIdentity, SuspectId};

/// The id of an event in an event stream; ids increase along the stream.
pub type EventId = u64;

/// A segment of a prompt that other requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the segment's content: segments with the same id have the same tokens.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The prompt of a request to a model, as far as placement needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The segments in order. The last one is specific to this request or its session; the ones before it
    /// are the shared prefix.
    pub segments: Vec<PromptSegment>,
    /// Length of the entire prompt in tokens; 0 if unknown.
    pub tokens: u32,
}

/// Which instance passed a request on, and what it had done with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedBy {
    /// The instance's name.
    pub instance: SmolStr,
    /// Attempts that may have reached a backend server.
    pub attempts: u32,
    /// Version of the configuration under which it took the request; `None` if it doesn't say, as an older build.
    pub config: Option<ConfigVersion>,
}

/// A request that was received, authenticated and matched to a route.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id that the caller gave to this attempt.
    pub id: SmolStr,
    /// Version of the configuration by which this instance authenticated it and matched it to its route.
    pub config: ConfigVersion,
    /// The matched route.
    pub route: Arc<Route>,
    /// The caller's organisation; `None` if the route needs no key.
    pub organisation: Option<SmolStr>,
    /// The API key that the caller sent.
    pub api_key: Option<SmolStr>,
    /// The instance that passed the request on to this one; `None` if it came from a caller.
    pub forwarded_by: Option<ForwardedBy>,
    /// The rank among all requests, from the levels of organisation and route; 0 is the most important.
    pub level: Level,
    /// When the last byte of the request was received.
    pub received: Instant,
    /// When the caller stops waiting; `None` if it didn't say.
    pub deadline: Option<Instant>,
    /// The request method.
    pub method: Method,
    /// Path and query as received.
    pub target: Uri,
    /// The end-to-end header fields, without those that only the router may set.
    pub headers: HeaderMap,
    /// The request body; empty if there is none.
    pub body: Bytes,
    /// What the request has in common with its repeats only.
    pub fingerprint: SuspectId,
    /// The prompt; empty if the request isn't for a model.
    pub prompt: Prompt,
    /// The last event that the caller already has, if it resumes a stream.
    pub resume_after: Option<EventId>,
    /// The caller's attempt that brought the first event of the stream that it resumes, if it says so.
    pub first_attempt: Option<SmolStr>,
}

impl Request {
    /// When the request times out: after the route's timeout or at the caller's deadline, whichever is first.
    #[must_use]
    pub fn expires_at(&self) -> Instant {
        let timeout = self.received + self.route.timeout;
        self.deadline.map_or(timeout, |d| d.min(timeout))
    }

    /// Key for prefix affinity: identifies the longest shared prefix of the prompt. 0 if there is none, or if
    /// the route doesn't use prefix affinity.
    #[must_use]
    pub fn affinity_key(&self) -> u64 {
        let shared = self.shared().last().map_or(0, |segment| segment.id);
        if self.route.prefix_affinity {
            shared
        } else {
            0
        }
    }

    /// Length of the prompt's shared prefix in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|s| s.tokens).sum()
    }

    /// The identity of the request, as far as it may crash a server.
    #[must_use]
    pub fn identity(&self) -> RequestIdentity {
        let own = self.prompt.segments.last().map(|s| s.id);
        RequestIdentity {
            shared: self.shared().iter().map(|s| s.id).collect(),
            prompt: own.unwrap_or_default(),
            request: Some(self.fingerprint),
        }
    }

    /// All segments of the prompt but the last, which is the request's own.
    fn shared(&self) -> &[PromptSegment] {
        let segments = self.prompt.segments.split_last();
        segments.map_or(&[], |(_, shared)| shared)
    }
}

//! A caller's request, whatever protocol it came by.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::route::Route;
use crate::config::object::Level;

/// The id of an event in a stream.
pub type EventId = u64;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Names the part; equal names have equal tokens.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The size of a request for a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last belongs to this request or its session.
    pub segments: Vec<PromptSegment>,
    /// All tokens of the prompt.
    pub tokens: u32,
}

/// A request that was read, authenticated, and matched to a route.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's id for this attempt of its own.
    pub id: SmolStr,
    /// The route that it takes.
    pub route: Arc<Route>,
    /// Whose it is, where callers need a key.
    pub organisation: Option<SmolStr>,
    /// The rank of its tier; 0 is the most important.
    pub level: Level,
    /// When its last byte came.
    pub received: Instant,
    /// When the caller stops waiting, if it said so.
    pub deadline: Option<Instant>,
    /// The method.
    pub method: Method,
    /// Path and query as sent.
    pub target: Uri,
    /// The end-to-end header fields, without those that only the router may set.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The size of its prompt, where it asks a model.
    pub prompt: Prompt,
    /// The last event that the caller has, where it asks for the rest of a stream.
    pub resume_after: Option<EventId>,
}

impl Request {
    /// When the request ends at the latest: the route's timeout, or the caller's deadline.
    #[must_use]
    pub fn expires_at(&self) -> Instant {
        let timeout = self.received + self.route.timeout;
        self.deadline.map_or(timeout, |d| d.min(timeout))
    }

    /// Names the beginning of the prompt that this request shares with the most others; 0 for none.
    #[must_use]
    pub fn affinity_key(&self) -> u64 {
        let shared = self.shared().last().map_or(0, |part| part.id);
        if self.route.prefix_affinity {
            shared
        } else {
            0
        }
    }

    /// Tokens of the prompt that others share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|p| p.tokens).sum()
    }

    /// All parts of the prompt but the request's own.
    fn shared(&self) -> &[PromptSegment] {
        let segments = self.prompt.segments.split_last();
        segments.map_or(&[], |(_, shared)| shared)
    }
}

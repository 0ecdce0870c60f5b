//! What a pool is told of a request, what it tells the request in return, and its limits.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use super::ServerId;
use crate::load::quarantine::RequestIdentity;
use crate::load::queue::RequestAttributes;

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Attributes used by the queue. The pool sets `cost` on admission.
    pub attributes: RequestAttributes,
    /// Hash of the prompt's prefix for cache affinity, or 0 for none.
    pub prefix_hash: u64,
    /// Target for the time to first token; `None` if the class has none.
    pub first_token_target: Option<Duration>,
    /// Target for the longest pause between events of the response; `None` if the class has none.
    pub gap_target: Option<Duration>,
    /// Whether the class has any latency target; stragglers are avoided then.
    pub latency_sensitive: bool,
    /// Longest time that the class may wait without any of its requests being sent (starvation
    /// bound).
    pub starvation_bound: Duration,
    /// Longest time in the queue, after which the request is rejected.
    pub max_wait: Duration,
    /// Identity of the request, as far as it may crash a server.
    pub identity: Arc<RequestIdentity>,
    /// Whether this instance tries the request if it may crash a server; otherwise another one does.
    pub may_try: bool,
    /// The server that was lost under the request's last attempt, before the response had gone past its beginning.
    pub lost: Option<LostServer>,
    /// The software version that a server must have to take the request; `None` for any.
    pub version: Option<SmolStr>,
    /// Servers that have failed this request; they are used only if no other has capacity.
    pub avoid: Vec<ServerId>,
    /// The server that holds the request's paused stream, if any; it is preferred.
    pub prefer: Option<ServerId>,
}

/// A server to which the connection of a request was lost.
#[derive(Clone, Debug)]
pub struct LostServer {
    /// The server's name.
    pub server: SmolStr,
    /// When the connection was lost.
    pub at: Instant,
}

/// Instruction of the pool to a request that holds a permit. Later variants take precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Directive {
    /// Continue.
    Continue,
    /// Migrate to another server if possible, because this one is a straggler.
    Migrate,
    /// Release the slot for a more important request, and queue again.
    Preempt,
    /// The server can't be reached.
    ServerDown,
}

/// Limits of one pool at one instance.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of waiting requests above which requests are evicted once the evict floor has reached
    /// the other instances, and above twice of which they are evicted at once.
    pub queue_bytes: usize,
    /// Unstarted requests that this instance may have at a server without a free slot.
    pub unstarted: u32,
    /// Whether requests are refused while the servers have too little room.
    pub room_limit: bool,
}

/// Who preempts less important requests at a full server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// The pool, by sending [`Directive::Preempt`] to a running request.
    ByRouter,
    /// The server, by the priorities of its requests.
    ByServer,
}

/// Counters for the status reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests in the queue of this instance.
    pub waiting: usize,
    /// Requests that hold a permit.
    pub in_flight: usize,
    /// Servers, including removed ones that still have requests of this instance.
    pub servers: usize,
    /// Servers that take new requests.
    pub available: usize,
    /// Servers with a rate limit.
    pub limited: usize,
    /// Prompt segments in quarantine.
    pub quarantined: usize,
}

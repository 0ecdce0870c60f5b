//! What instances tell each other of where streams began: the service and the software version of the backend
//! server that sent a stream's first event.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::rendezvous;

/// Identifies a stream: the hash of the id of the caller's attempt that brought its first event.
pub type StreamId = u64;

/// The identifier of the stream that began with this attempt of a caller.
#[must_use]
pub fn stream_id(attempt: &str) -> StreamId {
    rendezvous::hash(attempt.as_bytes())
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The name of the service.
    #[serde(rename = "s")]
    pub service: SmolStr,
    /// The software version of the backend server that sent the first event.
    #[serde(rename = "v")]
    pub version: SmolStr,
}

/// Streams with the same origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginGroup {
    /// The origin.
    #[serde(rename = "o")]
    pub origin: Origin,
    /// The streams.
    #[serde(rename = "i")]
    pub streams: Vec<StreamId>,
}

/// A query for the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// A random identifier that the reply repeats.
    #[serde(rename = "c")]
    pub call: u64,
    /// The stream.
    #[serde(rename = "i")]
    pub stream: StreamId,
    /// How often the query may still be passed on. If it is 0, every receiver replies.
    #[serde(rename = "h")]
    pub hops: u8,
}

/// The reply to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// The identifier of the query.
    #[serde(rename = "c")]
    pub call: u64,
    /// The origin; `None` if the sender doesn't know it.
    #[serde(rename = "o")]
    pub origin: Option<Origin>,
}

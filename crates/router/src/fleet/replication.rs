//! Exchange of the store's objects with one peer: what is sent to it, and what its frames lead to.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::event::Line;
use crate::fleet::frame::{self, Frame, LinkError, PACKED_SINCE};
use crate::fleet::packing;
use crate::fleet::replica::{Difference, Kind};
use crate::fleet::replicas::{
    ObjectsPart, ObjectsRequest, ObjectsResponse, PackedResponse, ReplicaStatus, Replicas,
};
use crate::fleet::transit_delay::TransitDelay;
use crate::node::Node;

/// Size of one part of a response, in bytes, so that large objects don't delay heartbeats for long.
const PART_BYTES: usize = 64 << 10;
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Size of an encoded difference from which it is compressed, in bytes.
const MIN_PACKED_BYTES: usize = 4 << 10;
/// Time from a request to its response from which that is logged.
const SLOW: Duration = Duration::from_millis(300);

/// The exchange with one peer.
#[derive(Debug, Default)]
pub struct Replication {
    delay: TransitDelay,
    /// The parts of a response that have arrived.
    parts: Vec<u8>,
    /// The kinds that were requested from the peer.
    awaited: BTreeSet<Kind>,
}

impl Replication {
    /// Takes the state of the peer's copies into account, and returns the frames to be sent to it.
    pub fn receive_statuses(
        &mut self,
        node: &Arc<Node>,
        peer: &str,
        sent_ms: u64,
        statuses: &[ReplicaStatus],
    ) -> Vec<Frame> {
        let delay = self.delay.excess(sent_ms, node.replicas.clock_ms());
        let reaction = node.replicas.receive_statuses(statuses, delay);
        if reaction.announce {
            announce(node, Some(peer));
        }
        let requests = reaction.requests.into_iter();
        let requests = requests.inspect(|r| {
            self.awaited.insert(r.kind.clone());
        });
        requests.map(Frame::RequestObjects).collect()
    }

    /// Takes a part of a response into account.
    ///
    /// # Errors
    /// `Oversized` if the response is too long, `Malformed` if it can't be decoded.
    pub fn receive_part(
        &mut self,
        node: &Arc<Node>,
        peer: &str,
        part: &ObjectsPart,
    ) -> Result<(), LinkError> {
        if self.parts.len() + part.bytes.len() > MAX_RESPONSE_BYTES {
            return Err(LinkError::Oversized);
        }
        self.parts.extend_from_slice(&part.bytes);
        if !part.last {
            self.awaited
                .iter()
                .for_each(|k| node.replicas.record_part(k));
            return Ok(());
        }
        let encoded = EncodedResponse {
            bytes: std::mem::take(&mut self.parts),
            packed: part.packed,
        };
        let response = encoded.decode()?;
        let delay = self.delay.excess(part.sent_ms, node.replicas.clock_ms());
        node.metrics.count("replica.received");
        self.awaited.remove(&response.status.kind);
        log_slow(node, peer, &response, encoded.bytes.len());
        if node.replicas.receive_response(response, delay) {
            announce(node, Some(peer));
        }
        Ok(())
    }
}

/// Logs a response that took long.
fn log_slow(node: &Node, peer: &str, response: &ObjectsResponse, bytes: usize) {
    let status = &response.status;
    let requested = node.replicas.requested(&status.kind);
    let Some(took) = requested.map(|at| at.elapsed()).filter(|t| *t >= SLOW) else {
        return;
    };
    Line::new("replica.received")
        .field("kind", &status.kind)
        .field("peer", peer)
        .field("revision", status.position.revision)
        .field("bytes", bytes)
        .field("took_ms", took.as_millis())
        .write(Level::Info);
}

/// The frame that tells a peer the state of this instance's copies; `None` if there are none.
#[must_use]
pub fn status_frame(node: &Node) -> Option<Frame> {
    let statuses = node.replicas.statuses();
    (!statuses.is_empty()).then(|| Frame::Replicas {
        sent_ms: node.replicas.clock_ms(),
        statuses,
    })
}

/// Tells all peers but `except` the state of this instance's copies.
pub fn announce(node: &Node, except: Option<&str>) {
    if let Some(frame) = status_frame(node) {
        node.links.broadcast(&frame, except);
    }
}

/// A response as it is sent to a peer, in parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedResponse {
    /// The encoded [`ObjectsResponse`] or [`PackedResponse`].
    pub bytes: Vec<u8>,
    /// Whether it is a [`PackedResponse`].
    pub packed: bool,
}

impl EncodedResponse {
    /// Encodes a response of `replicas` for a peer with this version of the peer protocol.
    #[must_use]
    pub fn new(replicas: &Replicas, response: &ObjectsResponse, protocol: u16) -> Self {
        let packed = (protocol >= PACKED_SINCE).then(|| replicas.pack(response, pack));
        match packed.flatten() {
            Some(difference) => Self {
                bytes: frame::encode(&PackedResponse {
                    status: response.status.clone(),
                    difference: difference.to_vec(),
                }),
                packed: true,
            },
            None => Self {
                bytes: frame::encode(response),
                packed: false,
            },
        }
    }

    /// Decodes the response.
    ///
    /// # Errors
    /// `Malformed` if it can't be decoded, `Oversized` if it is too long.
    pub fn decode(&self) -> Result<ObjectsResponse, LinkError> {
        if !self.packed {
            return frame::decode(&self.bytes);
        }
        let packed: PackedResponse = frame::decode(&self.bytes)?;
        let difference = packing::unpack(&packed.difference, MAX_RESPONSE_BYTES)?;
        Ok(ObjectsResponse {
            status: packed.status,
            difference: frame::decode(&difference)?,
        })
    }
}

/// A difference, encoded and compressed; `None` if it is too small to be worth it.
fn pack(difference: &Difference) -> Option<Vec<u8>> {
    let bytes = frame::encode(difference);
    let is_large = bytes.len() >= MIN_PACKED_BYTES;
    is_large.then(|| packing::pack(&bytes)).flatten()
}

/// The frames that respond to a request of a peer with this version of the peer protocol.
#[must_use]
pub fn respond(node: &Node, request: &ObjectsRequest, protocol: u16) -> Vec<Frame> {
    let Some(response) = node.replicas.respond(request) else {
        return Vec::new();
    };
    node.metrics.count("replica.sent");
    let encoded = EncodedResponse::new(&node.replicas, &response, protocol);
    let parts = encoded.bytes.chunks(PART_BYTES);
    let count = parts.len();
    let parts = parts.enumerate().map(|(number, bytes)| {
        Frame::Objects(ObjectsPart {
            sent_ms: node.replicas.clock_ms(),
            last: number + 1 == count,
            packed: encoded.packed,
            bytes: bytes.to_vec(),
        })
    });
    parts.collect()
}

//! Messages between router instances, and their authentication.
//!
//! A sealed frame is `sequence number (8 bytes, big-endian) ‖ tag (16 bytes) ‖ CBOR`. The tag is an
//! HMAC-SHA-256 of sequence number and body, truncated to its first 16 bytes. Its key is derived
//! for one link and direction, so that a forged, altered, repeated or reordered frame is rejected.

use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use smol_str::SmolStr;

use crate::config::object::{Change, ChangeNumber, Level, Object};
use crate::fleet::claims::{Operation, Outcome};
use crate::fleet::duties::poll::{InstanceCounts, Poll};
use crate::fleet::isolated_instances::IsolationRecord;
use crate::fleet::membership::InstanceRecord;
use crate::fleet::origin::{OriginGroup, OriginQuery, OriginReply};
use crate::fleet::packing;
use crate::fleet::replicas::{ObjectsPart, ObjectsRequest, ReplicaStatus};
pub use crate::load::admission_floors::FloorKind;
use crate::load::pools::{BrittlePool, PoolCrashes, PoolDemand, PoolLimits};

/// Newest version of the peer protocol that this build supports.
pub const PROTOCOL: u16 = 6;
/// Oldest version of the peer protocol that this build supports.
pub const PROTOCOL_MIN: u16 = 1;
/// First version of the peer protocol by which instances exchange the store's objects.
pub const REPLICAS_SINCE: u16 = 4;
/// First version of the peer protocol in which changes of the store's objects may be compressed.
pub const PACKED_SINCE: u16 = 6;
/// Maximum size of a sealed frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Size of sequence number and tag before the CBOR body, in bytes.
const HEADER_BYTES: usize = 24;
/// Size of the truncated authentication tag, in bytes.
const MAC_BYTES: usize = 16;

/// An admission floor of one pool, requested by some instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// The pool's name.
    #[serde(rename = "p")]
    pub pool: SmolStr,
    /// Whether less important requests are held back or evicted.
    #[serde(rename = "k")]
    pub kind: FloorKind,
    /// The level of the least important tier that isn't affected.
    #[serde(rename = "l")]
    pub level: Level,
    /// Time after which the floor expires unless it is received again, in ms.
    #[serde(rename = "t")]
    pub ttl_ms: u32,
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sent periodically, and when the requested floors change.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// The number of the last configuration change in effect at the sender.
        number: ChangeNumber,
        /// The digest of the sender's instance records.
        digest: u64,
        /// The floors that the sender requests or has received from others.
        floors: Vec<Floor>,
        /// The demand for one of the sender's pools; older builds don't send it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        demand: Option<PoolDemand>,
    },
    /// Records of instances.
    #[serde(rename = "Facts")]
    Instances(Vec<InstanceRecord>),
    /// Requests all instance records of the receiver.
    #[serde(rename = "WantFacts")]
    RequestInstances,
    /// Requests the configuration changes after a number.
    #[serde(rename = "WantChanges")]
    RequestChanges(ChangeNumber),
    /// Configuration changes in ascending order of their numbers.
    Changes(Vec<Change>),
    /// One part of a complete configuration, sent when the requested changes aren't in memory any
    /// more.
    Snapshot {
        /// The number of the last change that the configuration includes.
        number: ChangeNumber,
        /// The index of the part, from 0.
        part: u32,
        /// The number of parts.
        parts: u32,
        /// The objects in this part.
        objects: Vec<Object>,
    },
    /// Requests an operation on a claim from the shard owner.
    Claim {
        /// A random identifier that the reply repeats.
        call: u64,
        /// The operation to perform.
        operation: Operation,
    },
    /// The reply to a `Claim`.
    ClaimReply {
        /// The identifier of the call.
        call: u64,
        /// The outcome of the operation.
        outcome: Outcome,
    },
    /// A notice that a backend server is leaving.
    ServerLeaving {
        /// The name of the server.
        server: SmolStr,
        /// When the first instance received the notice, in ms since the Unix epoch.
        at_ms: u64,
    },
    /// What was heard of the rate limits of backend servers.
    RateLimits(Vec<PoolLimits>),
    /// Copies of the origins of streams that began at the sender.
    StreamOrigins(Vec<OriginGroup>),
    /// Requests the origins of streams.
    FindOrigins(Vec<OriginQuery>),
    /// Replies to `FindOrigins`.
    FoundOrigins(Vec<OriginReply>),
    /// What is known of crashes of backend servers, and of the prompt segments that cause them.
    Crashes(Vec<PoolCrashes>),
    /// Which instances are cut off from all backend servers.
    Isolation(Vec<IsolationRecord>),
    /// Pools whose servers say that they are brittle.
    Brittle(Vec<BrittlePool>),
    /// The state of the sender's copies of the store's objects.
    Replicas {
        /// When the frame was made, by the sender's clock, in ms.
        sent_ms: u64,
        /// The copies.
        statuses: Vec<ReplicaStatus>,
    },
    /// Requests changes of the store's objects.
    RequestObjects(ObjectsRequest),
    /// A part of the response to `RequestObjects`.
    Objects(ObjectsPart),
    /// The holder of a duty asks all instances for their counts.
    PollDuty(Poll),
    /// The counts of one instance, on their way to the holder of the duty.
    DutyCounts(InstanceCounts),
}

impl Frame {
    /// The first version of the peer protocol that has this frame.
    #[must_use]
    pub const fn since(&self) -> u16 {
        match self {
            Self::RateLimits(_)
            | Self::StreamOrigins(_)
            | Self::FindOrigins(_)
            | Self::FoundOrigins(_) => 2,
            Self::Crashes(_) | Self::Isolation(_) | Self::Brittle(_) => 3,
            Self::Replicas { .. } | Self::RequestObjects(_) | Self::Objects(_) => REPLICAS_SINCE,
            Self::PollDuty(_) | Self::DutyCounts(_) => 5,
            _ => 1,
        }
    }
}

/// The handshake message. The listener sends one without a proof, then the dialer sends one with
/// its proof, and the listener answers with its own proof.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The newest protocol version that the sender supports.
    pub protocol: u16,
    /// The oldest protocol version that the sender supports.
    pub protocol_min: u16,
    /// A random number that is used for one link.
    pub nonce: [u8; 16],
    /// The sender's own record.
    #[serde(rename = "facts")]
    pub record: InstanceRecord,
    /// Proof that the sender has the fleet key; empty in the listener's first message.
    #[serde(with = "serde_bytes")]
    pub proof: Vec<u8>,
}

/// The protocol violation for which a link is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum LinkError {
    /// The bytes can't be decoded as a message.
    #[error("malformed")]
    Malformed,
    /// The sequence number isn't the expected one.
    #[error("replayed")]
    Replayed,
    /// The tag or proof wasn't made with the key of this fleet, link and direction.
    #[error("foreign")]
    Foreign,
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("oversized")]
    Oversized,
    /// The two sides support no common protocol version.
    #[error("protocol version")]
    Version,
}

impl From<packing::Error> for LinkError {
    fn from(error: packing::Error) -> Self {
        match error {
            packing::Error::Malformed => Self::Malformed,
            packing::Error::Oversized => Self::Oversized,
        }
    }
}

impl LinkError {
    /// The name of the metric that counts links closed for this reason.
    #[must_use]
    pub const fn counter(self) -> &'static str {
        match self {
            Self::Malformed => "peers.malformed",
            Self::Replayed => "peers.replayed",
            Self::Foreign => "peers.foreign",
            Self::Oversized => "peers.oversized",
            Self::Version => "peers.version",
        }
    }
}

/// One of the two sides of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Dialer,
    /// The side that accepted the connection.
    Listener,
}

impl Side {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Dialer => b"dialer",
            Self::Listener => b"listener",
        }
    }

    /// The other side.
    #[must_use]
    pub const fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Listener,
            Self::Listener => Self::Dialer,
        }
    }
}

fn hmac_sha256(key: &[u8]) -> Hmac<Sha256> {
    <Hmac<Sha256> as KeyInit>::new_from_slice(key).expect("HMAC takes keys of any length")
}

/// Computes the proof that `side` has the fleet key: an HMAC over the nonces of listener and
/// dialer, in this order, and its own record.
#[must_use]
pub fn proof(
    fleet_key: &str,
    side: Side,
    nonces: &[[u8; 16]; 2],
    record: &InstanceRecord,
) -> Vec<u8> {
    let mut mac = hmac_sha256(fleet_key.as_bytes());
    mac.update(b"jackdawtally link 1\0");
    mac.update(side.label());
    mac.update(&nonces[0]);
    mac.update(&nonces[1]);
    mac.update(&encode(record));
    mac.finalize().into_bytes().to_vec()
}

/// Verifies the proof in `hello`, which was sent by `side`.
///
/// # Errors
/// `Foreign` if the proof wasn't made with `fleet_key`, the nonces and the record in `hello`.
pub fn verify_proof(
    fleet_key: &str,
    side: Side,
    nonces: &[[u8; 16]; 2],
    hello: &Hello,
) -> Result<(), LinkError> {
    let expected = proof(fleet_key, side, nonces, &hello.record);
    let mut mac = hmac_sha256(b"compare");
    mac.update(&expected);
    let expected = mac.clone().finalize().into_bytes();
    let mut given = hmac_sha256(b"compare");
    given.update(&hello.proof);
    given.verify(&expected).map_err(|_| LinkError::Foreign)
}

/// Authenticates the frames of one direction of a link: the sender uses it to seal them, the
/// receiver to open them.
#[derive(Clone)]
pub struct Seal {
    mac: Hmac<Sha256>,
    sequence: u64,
}

impl Seal {
    /// Creates the seal for the frames that `side` sends.
    #[must_use]
    pub fn new(fleet_key: &str, side: Side, nonces: &[[u8; 16]; 2]) -> Self {
        let mut key = hmac_sha256(fleet_key.as_bytes());
        key.update(b"jackdawtally session 1\0");
        key.update(side.label());
        key.update(&nonces[0]);
        key.update(&nonces[1]);
        Self {
            mac: hmac_sha256(&key.finalize().into_bytes()),
            sequence: 0,
        }
    }

    /// Encodes a frame and prepends the next sequence number and the tag.
    #[must_use]
    pub fn seal(&mut self, frame: &Frame) -> Bytes {
        let body = encode(frame);
        self.sequence += 1;
        let sequence = self.sequence.to_be_bytes();
        let tag = self.frame_mac(&sequence, &body).finalize().into_bytes();
        [&sequence[..], &tag[..MAC_BYTES], &body[..]]
            .concat()
            .into()
    }

    /// Verifies and decodes a sealed frame.
    ///
    /// # Errors
    /// `Oversized`, `Malformed`, `Foreign` or `Replayed`; the link has to be closed.
    pub fn open(&mut self, bytes: &[u8]) -> Result<Frame, LinkError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(LinkError::Oversized);
        }
        let (header, body) = bytes
            .split_at_checked(HEADER_BYTES)
            .ok_or(LinkError::Malformed)?;
        let (sequence, tag) = header.split_at(8);
        self.frame_mac(sequence, body)
            .verify_truncated_left(tag)
            .map_err(|_| LinkError::Foreign)?;
        let expected = self.sequence + 1;
        if sequence != expected.to_be_bytes() {
            return Err(LinkError::Replayed);
        }
        self.sequence = expected;
        decode(body)
    }

    fn frame_mac(&self, sequence: &[u8], body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(sequence);
        mac.update(body);
        mac
    }
}

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory fails only for values that CBOR can't represent; the messages have none.
    let _ = ciborium::into_writer(message, &mut bytes);
    bytes
}

/// Decodes a message from CBOR.
///
/// # Errors
/// `Malformed` if the bytes aren't a message of the type.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    ciborium::from_reader(bytes).map_err(|_| LinkError::Malformed)
}

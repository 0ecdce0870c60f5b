//! Messages between instances, and how they are sealed.
//!
//! A sealed frame is `sequence (8 bytes) ‖ code (16 bytes) ‖ CBOR`. The code is HMAC-SHA-256 under a key
//! of the link and the direction, so that a foreign, altered, repeated or reordered frame is refused.

use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use smol_str::SmolStr;

use crate::config::object::{Change, Level, Number, Object};
use crate::fleet::claims::{Operation, Outcome};
use crate::fleet::membership::InstanceRecord;
pub use crate::load::pressure::FloorKind;

/// Version of the protocol that this program speaks.
pub const PROTOCOL: u16 = 1;
/// Oldest version that it still understands.
pub const PROTOCOL_MIN: u16 = 1;
/// Largest frame, in bytes.
pub const FRAME_BYTES: usize = 1 << 20;
/// Bytes before the CBOR part.
const HEAD_BYTES: usize = 24;
/// Bytes of the code.
const CODE_BYTES: usize = 16;

/// A floor that some instance asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// The pool's name.
    #[serde(rename = "p")]
    pub pool: SmolStr,
    /// What it asks.
    #[serde(rename = "k")]
    pub kind: FloorKind,
    /// The least important tier that isn't concerned.
    #[serde(rename = "l")]
    pub level: Level,
    /// How long the floor holds without being heard again, in ms.
    #[serde(rename = "t")]
    pub ttl_ms: u32,
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sent at a steady pace: configuration number, digest of the facts, floors.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// The number in force at the sender.
        number: Number,
        /// The digest of all facts that the sender has.
        digest: u64,
        /// The floors that the sender asks for or has heard of.
        floors: Vec<Floor>,
    },
    /// Facts of instances.
    #[serde(rename = "Facts")]
    Instances(Vec<InstanceRecord>),
    /// Asks for all facts.
    #[serde(rename = "WantFacts")]
    RequestInstances,
    /// Asks for the changes after a number.
    #[serde(rename = "WantChanges")]
    RequestChanges(Number),
    /// Changes, by number.
    Changes(Vec<Change>),
    /// A part of a whole configuration.
    Snapshot {
        /// The configuration's number.
        number: Number,
        /// Which part, from 0.
        part: u32,
        /// How many parts.
        parts: u32,
        /// The objects of the part.
        objects: Vec<Object>,
    },
    /// Asks for an operation on a claim whose shard the receiver tends.
    Claim {
        /// The call's number on this link.
        call: u64,
        /// The operation.
        operation: Operation,
    },
    /// The outcome of an operation.
    ClaimReply {
        /// The call's number.
        call: u64,
        /// How it went.
        outcome: Outcome,
    },
    /// A backend server says that it is leaving.
    ServerLeaving {
        /// The server's name.
        server: SmolStr,
        /// When it was heard, in ms since the Unix epoch.
        at_ms: u64,
    },
}

/// The first message of each side.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The newest version that the sender speaks.
    pub protocol: u16,
    /// The oldest version that it understands.
    pub protocol_min: u16,
    /// A number used once.
    pub nonce: [u8; 16],
    /// The sender's own facts.
    #[serde(rename = "facts")]
    pub record: InstanceRecord,
    /// Proof that the sender has the fleet's key; empty in the first message.
    #[serde(with = "serde_bytes")]
    pub proof: Vec<u8>,
}

/// Why a link was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The bytes aren't a message.
    #[error("malformed")]
    Malformed,
    /// The sequence number isn't the next.
    #[error("replayed")]
    Replayed,
    /// The code isn't one of this fleet and link.
    #[error("foreign")]
    Foreign,
    /// The message is too large.
    #[error("oversized")]
    Oversized,
    /// The other side speaks no version that this one understands.
    #[error("protocol version")]
    Version,
}

impl Refusal {
    /// The counter of links closed for this reason.
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

/// Which side of a link sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The one that connected.
    Dialer,
    /// The one that was connected to.
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

fn keyed(key: &[u8]) -> Hmac<Sha256> {
    <Hmac<Sha256> as KeyInit>::new_from_slice(key).expect("HMAC takes keys of any length")
}

/// What `side` proves its knowledge of the fleet's key with: a code over both numbers used once and
/// its own facts.
#[must_use]
pub fn proof(
    fleet_key: &str,
    side: Side,
    nonces: &[[u8; 16]; 2],
    facts: &InstanceRecord,
) -> Vec<u8> {
    let mut mac = keyed(fleet_key.as_bytes());
    mac.update(b"jackdawtally link 1\0");
    mac.update(side.label());
    mac.update(&nonces[0]);
    mac.update(&nonces[1]);
    mac.update(&encode(facts));
    mac.finalize().into_bytes().to_vec()
}

/// Checks a proof of `side`.
///
/// # Errors
/// `Foreign` when it isn't one of this fleet's.
pub fn check_proof(
    fleet_key: &str,
    side: Side,
    nonces: &[[u8; 16]; 2],
    hello: &Hello,
) -> Result<(), Refusal> {
    let expected = proof(fleet_key, side, nonces, &hello.record);
    let mut mac = keyed(b"compare");
    mac.update(&expected);
    let expected = mac.clone().finalize().into_bytes();
    let mut given = keyed(b"compare");
    given.update(&hello.proof);
    given.verify(&expected).map_err(|_| Refusal::Foreign)
}

/// Seals and opens the frames of one direction of a link.
#[derive(Clone)]
pub struct Seal {
    mac: Hmac<Sha256>,
    sequence: u64,
}

impl Seal {
    /// The seal of what `side` sends.
    #[must_use]
    pub fn new(fleet_key: &str, side: Side, nonces: &[[u8; 16]; 2]) -> Self {
        let mut key = keyed(fleet_key.as_bytes());
        key.update(b"jackdawtally session 1\0");
        key.update(side.label());
        key.update(&nonces[0]);
        key.update(&nonces[1]);
        Self {
            mac: keyed(&key.finalize().into_bytes()),
            sequence: 0,
        }
    }

    /// Seals a frame.
    #[must_use]
    pub fn seal(&mut self, frame: &Frame) -> Bytes {
        let body = encode(frame);
        self.sequence += 1;
        let sequence = self.sequence.to_be_bytes();
        let code = self.code(&sequence, &body).finalize().into_bytes();
        [&sequence[..], &code[..CODE_BYTES], &body[..]]
            .concat()
            .into()
    }

    /// Opens a sealed frame.
    ///
    /// # Errors
    /// Why the link has to be closed.
    pub fn open(&mut self, bytes: &[u8]) -> Result<Frame, Refusal> {
        if bytes.len() > FRAME_BYTES {
            return Err(Refusal::Oversized);
        }
        let (head, body) = bytes
            .split_at_checked(HEAD_BYTES)
            .ok_or(Refusal::Malformed)?;
        let (sequence, code) = head.split_at(8);
        self.code(sequence, body)
            .verify_truncated_left(code)
            .map_err(|_| Refusal::Foreign)?;
        let expected = self.sequence + 1;
        if sequence != expected.to_be_bytes() {
            return Err(Refusal::Replayed);
        }
        self.sequence = expected;
        decode(body)
    }

    fn code(&self, sequence: &[u8], body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(sequence);
        mac.update(body);
        mac
    }
}

/// A message as CBOR.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory fails only for values that CBOR has no form for; the messages have none.
    let _ = ciborium::into_writer(message, &mut bytes);
    bytes
}

/// A message from CBOR.
///
/// # Errors
/// `Malformed` when the bytes aren't one.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Refusal> {
    ciborium::from_reader(bytes).map_err(|_| Refusal::Malformed)
}

//! The copies of the store's objects at one instance, and how it keeps them in step with those of its peers.
//!
//! Instances tell each other the revision of each copy and how long ago the store confirmed it. One that is
//! behind requests the difference from a peer.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fleet::replica::{Difference, Kind, Position, Replica};
use crate::random;

/// Maximum number of sources whose last confirmation is remembered.
const MAX_SOURCES: usize = 4_096;
/// Number of confirmations whose times are remembered, and the least time between two of them.
const MAX_RECENT: usize = 32;
const RECENT_INTERVAL: Duration = Duration::from_millis(100);
/// How far the time of a confirmation that peers passed on may be off.
const CONFIRMATION_ERROR: Duration = Duration::from_millis(300);
/// Time between the ends of two outages, as told by peers, below which they are one.
const SAME_OUTAGE: Duration = Duration::from_secs(1);
/// Divisor of the maximum age that gives how much fresher a confirmation must be to be passed on at once.
const ANNOUNCE_DIVISOR: u32 = 4;
/// Maximum ages up to which a copy isn't replaced as a whole by a peer's: until then an instance that reaches the store
/// has asked it for the changes alone.
const COMPLETE_AGES: u32 = 2;
/// Divisor of the maximum age that gives the time after which an unanswered request is sent to another peer.
const REQUEST_DIVISOR: u32 = 2;

/// Identifies a confirmation by the store, so that it is taken into account once, however often it goes round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationId {
    /// The start of the instance that the store responded to, as a random number.
    #[serde(rename = "s")]
    pub source: u64,
    /// Counts its confirmations of the kind.
    #[serde(rename = "n")]
    pub number: u64,
}

/// What an instance says of its copy of a kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The kind.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// The position of the copy.
    #[serde(rename = "p")]
    pub position: Position,
    /// The position of its last change.
    #[serde(rename = "l")]
    pub last_change: Position,
    /// The position up to which it may lack removed objects.
    #[serde(rename = "f")]
    pub floor: Position,
    /// Which confirmation by the store it is whose age follows; `None` if there was none.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub confirmation: Option<ConfirmationId>,
    /// Time since the store confirmed that it had no later change, in ms.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Time since the store came back after it had failed, in ms; `None` if it never failed.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outage_ms: Option<u32>,
    /// How long the store had failed before it came back, in ms; older builds don't say.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub outage_for_ms: Option<u32>,
}

/// Requests the changes of a kind from a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsRequest {
    /// The kind.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// The position after which changes are requested; `None` for all objects.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub from: Option<Position>,
}

/// The response to an [`ObjectsRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsResponse {
    /// The sender's copy, as of the difference.
    #[serde(rename = "s")]
    pub status: ReplicaStatus,
    /// The changes.
    #[serde(rename = "d")]
    pub difference: Difference,
}

/// An [`ObjectsResponse`] whose difference is compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedResponse {
    /// The sender's copy, as of the difference.
    #[serde(rename = "s")]
    pub status: ReplicaStatus,
    /// The encoded changes, compressed.
    #[serde(rename = "z", with = "serde_bytes")]
    pub difference: Vec<u8>,
}

/// One part of an encoded [`ObjectsResponse`] or [`PackedResponse`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectsPart {
    /// When the response was made, by the sender's clock, in ms.
    #[serde(rename = "t")]
    pub sent_ms: u64,
    /// Whether no other part follows.
    #[serde(rename = "l")]
    pub last: bool,
    /// Whether it is part of a [`PackedResponse`].
    #[serde(rename = "z", default, skip_serializing_if = "std::ops::Not::not")]
    pub packed: bool,
    /// The bytes of this part.
    #[serde(rename = "b", with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// What is to be done about the news of a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reaction {
    /// Requests to the peer.
    pub requests: Vec<ObjectsRequest>,
    /// Whether the other peers are to be told at once.
    pub announce: bool,
}

/// A difference as it was last compressed; most peers that are behind request the same one.
#[derive(Debug)]
struct PackedDifference {
    from: Option<Position>,
    to: Position,
    /// `None` if it is sent as it is.
    bytes: Option<Arc<[u8]>>,
}

impl PackedDifference {
    fn is_of(&self, difference: &Difference) -> bool {
        (self.from, self.to) == (difference.from, difference.to)
    }
}

/// A time in which the store couldn't be reached.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// `None` if the instance that told of it didn't say.
    start: Option<Instant>,
    end: Instant,
}

impl Outage {
    fn length_ms(self) -> Option<u32> {
        let length = self.end.saturating_duration_since(self.start?);
        Some(u32::try_from(length.as_millis()).unwrap_or(u32::MAX))
    }
}

#[derive(Debug)]
struct Topic {
    replica: Replica,
    packed: Option<PackedDifference>,
    /// Age of a confirmation at which the copy counts as out of date.
    max_age: Duration,
    /// The latest confirmation, and when it was.
    confirmed: Option<(Instant, ConfirmationId)>,
    /// The last confirmation of each source that was taken into account.
    numbers: HashMap<u64, u64>,
    /// Times of the latest confirmations, in the order in which they became known.
    recent: VecDeque<Instant>,
    /// The confirmation that was last passed on.
    announced: Option<Instant>,
    outage: Option<Outage>,
    /// When the difference was last requested, unless it has arrived.
    requested: Option<Instant>,
    /// When a part of it last arrived.
    progress: Option<Instant>,
    changed: watch::Sender<()>,
}

/// The copies at one instance.
#[derive(Debug)]
pub struct Replicas {
    start: Instant,
    source: u64,
    follows_peers: watch::Sender<bool>,
    topics: Mutex<BTreeMap<Kind, Topic>>,
}

impl Default for Replicas {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            source: random::id(),
            follows_peers: watch::Sender::new(false),
            topics: Mutex::default(),
        }
    }
}

impl Replicas {
    /// Begins an empty copy of a kind, whose confirmations count for `max_age`. The receiver is notified of
    /// each change of the copy.
    pub fn add(&self, kind: &str, max_age: Duration) -> watch::Receiver<()> {
        let (changed, receiver) = watch::channel(());
        let topic = Topic {
            replica: Replica::default(),
            packed: None,
            max_age,
            confirmed: None,
            numbers: HashMap::new(),
            recent: VecDeque::new(),
            announced: None,
            outage: None,
            requested: None,
            progress: None,
            changed,
        };
        self.lock().insert(kind.into(), topic);
        receiver
    }

    /// Sets whether copies of peers are used. In a small fleet each instance reads the store by itself.
    pub fn set_follows_peers(&self, follows: bool) {
        self.follows_peers.send_replace(follows);
    }

    /// Milliseconds since the start, by which peers compare the ages of frames.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The position of a copy; `None` as long as it is empty.
    #[must_use]
    pub fn position(&self, kind: &str) -> Option<Position> {
        self.lock().get(kind).and_then(|t| t.replica.position())
    }

    /// When the store last confirmed a copy, to this instance or to one that passed it on.
    #[must_use]
    pub fn confirmed(&self, kind: &str) -> Option<Instant> {
        let topics = self.lock();
        let confirmed = topics.get(kind)?.confirmed;
        confirmed.map(|(at, _)| at)
    }

    /// When changes of a kind were last requested from a peer, unless the response has arrived.
    #[must_use]
    pub fn requested(&self, kind: &str) -> Option<Instant> {
        self.lock().get(kind).and_then(|t| t.requested)
    }

    /// Records that a part of a peer's response has arrived, so that no other peer is requested meanwhile.
    pub fn record_part(&self, kind: &str) {
        if let Some(topic) = self.lock().get_mut(kind) {
            topic.progress = topic.requested.map(|_| Instant::now());
        }
    }

    /// When the store last came back after it had failed, as far as this instance knows.
    #[must_use]
    pub fn outage_end(&self, kind: &str) -> Option<Instant> {
        let topics = self.lock();
        topics.get(kind)?.outage.map(|outage| outage.end)
    }

    /// Whether the store has confirmed a copy to another instance after this one lost the store at the time `lost`, and
    /// not long ago.
    #[must_use]
    pub fn is_served(&self, kind: &str, lost: Instant) -> bool {
        let topics = self.lock();
        let topic = topics.get(kind);
        topic.is_some_and(|t| t.is_fresh() && t.is_confirmed_in(lost, Instant::now()))
    }

    /// What leads from a position to that of the copy.
    #[must_use]
    pub fn difference(&self, kind: &str, from: Option<Position>) -> Option<Difference> {
        self.lock().get(kind)?.replica.difference(from)
    }

    /// Takes a response of the store into account, which was current at the time `at`. Returns whether peers
    /// are to be told at once.
    pub fn merge_store(&self, kind: &str, difference: Difference, at: Instant) -> bool {
        let mut topics = self.lock();
        let Some(topic) = topics.get_mut(kind) else {
            return false;
        };
        let position = difference.to;
        topic.merge(difference);
        if topic.replica.position() >= Some(position) {
            let last = topic.numbers.get(&self.source);
            let id = ConfirmationId {
                source: self.source,
                number: last.map_or(0, |number| number + 1),
            };
            topic.confirm(id, at);
        }
        topic.take_announcement()
    }

    /// Records that the store, which failed at the time `start`, came back at the time `end`. Returns `false` if it
    /// served others meanwhile.
    pub fn record_outage(&self, kind: &str, start: Instant, end: Instant) -> bool {
        let start = Some(start);
        let mut topics = self.lock();
        let topic = topics.get_mut(kind);
        topic.is_some_and(|t| t.record_outage(Outage { start, end }))
    }

    /// The state of all copies that aren't empty.
    #[must_use]
    pub fn statuses(&self) -> Vec<ReplicaStatus> {
        let topics = self.lock();
        let statuses = topics.iter().map(|(kind, topic)| topic.status(kind));
        statuses.flatten().collect()
    }

    /// Takes the state of a peer's copies into account, which took `delay` longer than usual to arrive.
    #[must_use]
    pub fn receive_statuses(&self, statuses: &[ReplicaStatus], delay: Duration) -> Reaction {
        let mut reaction = Reaction::default();
        if !*self.follows_peers.borrow() {
            return reaction;
        }
        let mut topics = self.lock();
        for status in statuses {
            let Some(topic) = topics.get_mut(&status.kind) else {
                continue;
            };
            topic.receive(status, delay);
            if topic.needs(status) && topic.may_request() {
                topic.requested = Some(Instant::now());
                reaction.requests.push(ObjectsRequest {
                    kind: status.kind.clone(),
                    from: topic.replica.position(),
                });
            }
            reaction.announce |= topic.take_announcement();
        }
        reaction
    }

    /// The response to a peer's request; `None` if there is no such copy.
    #[must_use]
    pub fn respond(&self, request: &ObjectsRequest) -> Option<ObjectsResponse> {
        let topics = self.lock();
        let topic = topics.get(&request.kind)?;
        Some(ObjectsResponse {
            status: topic.status(&request.kind)?,
            difference: topic.replica.difference(request.from)?,
        })
    }

    /// The difference of a response, encoded and compressed by `pack` unless it was the last one; `None` if it is sent
    /// as it is.
    #[must_use]
    pub fn pack(
        &self,
        response: &ObjectsResponse,
        pack: impl FnOnce(&Difference) -> Option<Vec<u8>>,
    ) -> Option<Arc<[u8]>> {
        let mut topics = self.lock();
        let topic = topics.get_mut(&response.status.kind)?;
        let difference = &response.difference;
        let known = topic.packed.take().filter(|p| p.is_of(difference));
        let packed = known.unwrap_or_else(|| PackedDifference {
            from: difference.from,
            to: difference.to,
            bytes: pack(difference).map(Into::into),
        });
        topic.packed.insert(packed).bytes.clone()
    }

    /// Takes a peer's response into account, which took `delay` longer than usual to arrive. Returns whether
    /// the other peers are to be told at once.
    #[must_use]
    pub fn receive_response(&self, response: ObjectsResponse, delay: Duration) -> bool {
        let mut topics = self.lock();
        let follows = *self.follows_peers.borrow();
        let Some(topic) = topics.get_mut(&response.status.kind).filter(|_| follows) else {
            return false;
        };
        topic.requested = None;
        topic.progress = None;
        topic.merge(response.difference);
        topic.receive(&response.status, delay);
        topic.take_announcement()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SmolStr, Topic>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Topic {
    fn merge(&mut self, difference: Difference) {
        let before = self.replica.last_change();
        if self.replica.merge(difference) && self.replica.last_change() > before {
            self.announced = None;
            self.changed.send_replace(());
        }
    }

    /// Takes a confirmation of the copy into account, unless it is known. Each way round the fleet would make the same
    /// one appear later.
    fn confirm(&mut self, id: ConfirmationId, at: Instant) {
        if self.numbers.len() >= MAX_SOURCES {
            self.numbers.clear();
        }
        let known = self.numbers.get(&id.source);
        if known.is_some_and(|number| *number >= id.number) {
            return;
        }
        self.numbers.insert(id.source, id.number);
        self.remember(at);
        if self.confirmed.is_none_or(|(known, _)| at > known) {
            self.confirmed = Some((at, id));
        }
    }

    /// Remembers the time of a confirmation.
    fn remember(&mut self, at: Instant) {
        let last = self.recent.back();
        if last.is_some_and(|last| at < *last + RECENT_INTERVAL) {
            return;
        }
        if self.recent.len() >= MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(at);
    }

    /// Whether the latest confirmation is young enough for the copy to be trusted.
    fn is_fresh(&self) -> bool {
        let confirmed = self.confirmed;
        confirmed.is_some_and(|(at, _)| at.elapsed() < self.max_age)
    }

    /// Whether the store surely confirmed the copy between two times.
    fn is_confirmed_in(&self, start: Instant, end: Instant) -> bool {
        let is_within =
            |at: &&Instant| **at > start + CONFIRMATION_ERROR && **at + CONFIRMATION_ERROR < end;
        self.recent.iter().any(|at| is_within(&at))
    }

    /// Takes an outage into account, unless the store served others meanwhile. One that ended shortly after the known
    /// one is the same. Returns whether it was one.
    fn record_outage(&mut self, outage: Outage) -> bool {
        let start = outage.start;
        if start.is_some_and(|start| self.is_confirmed_in(start, outage.end)) {
            return false;
        }
        let known = self.outage;
        if known.is_none_or(|known| outage.end > known.end + SAME_OUTAGE) {
            self.outage = Some(outage);
        }
        true
    }

    fn receive(&mut self, status: &ReplicaStatus, delay: Duration) {
        let ago = |ms: u32| Instant::now().checked_sub(Duration::from_millis(ms.into()) + delay);
        if let Some(end) = status.outage_ms.and_then(ago) {
            let length = status
                .outage_for_ms
                .map(|ms| Duration::from_millis(ms.into()));
            let start = length.and_then(|length| end.checked_sub(length));
            self.record_outage(Outage { start, end });
        }
        let same = self.replica.advance(status.position, status.last_change)
            && self.replica.position() == Some(status.position);
        let confirmation = status.confirmation.filter(|_| same);
        if let Some((id, at)) = confirmation.zip(ago(status.age_ms)) {
            self.confirm(id, at);
        }
    }

    /// Whether a peer has changes that are worth a request: a complete difference isn't, as long as other
    /// peers or the store can be expected to bring the changes alone.
    fn needs(&self, status: &ReplicaStatus) -> bool {
        let own = self.replica.position();
        let fresh = |at: Instant| at.elapsed() < self.max_age * COMPLETE_AGES;
        let complete = own < Some(status.floor);
        let waits = complete && self.confirmed.is_some_and(|(at, _)| fresh(at));
        own < Some(status.last_change) && !waits
    }

    fn may_request(&self) -> bool {
        let timeout = self.max_age / REQUEST_DIVISOR;
        let latest = self.requested.max(self.progress);
        latest.is_none_or(|at| at.elapsed() >= timeout)
    }

    /// Whether the copy or its confirmation is so much newer than what peers were told last that they are to
    /// be told at once; if so, it counts as told.
    fn take_announcement(&mut self) -> bool {
        let step = self.max_age / ANNOUNCE_DIVISOR;
        let confirmed = self.confirmed.map(|(at, _)| at);
        let due = match (self.announced, confirmed) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(announced), Some(confirmed)) => confirmed >= announced + step,
        };
        if due {
            self.announced = confirmed;
        }
        due
    }

    fn status(&self, kind: &Kind) -> Option<ReplicaStatus> {
        let ms = |at: Instant| u32::try_from(at.elapsed().as_millis()).unwrap_or(u32::MAX);
        Some(ReplicaStatus {
            kind: kind.clone(),
            position: self.replica.position()?,
            last_change: self.replica.last_change(),
            floor: self.replica.floor(),
            confirmation: self.confirmed.map(|(_, id)| id),
            age_ms: self.confirmed.map_or(u32::MAX, |(at, _)| ms(at)),
            outage_ms: self.outage.map(|outage| ms(outage.end)),
            outage_for_ms: self.outage.and_then(Outage::length_ms),
        })
    }
}

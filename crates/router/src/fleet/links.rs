//! The peer links of this instance: which peers to connect to, delivery of frames to them, and the
//! admission floors received from them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::config::object::Level;
use crate::fleet::claims::{self, Operation, Outcome};
use crate::fleet::frame::{Floor, Frame, REPLICAS_SINCE};
use crate::fleet::membership::{InstanceId, InstanceRecord, InstanceState, Membership};
use crate::load::admission_floors::FloorKind;
use crate::random;
use crate::rendezvous;

/// Maximum number of other instances with which this one forms a full mesh.
const MAX_FULL_MESH: usize = 10;
/// In a larger fleet, the number of links to instances of the same data centre in addition to the
/// two neighbours on the ring.
const EXTRA_LOCAL_LINKS: usize = 2;
/// Least number of instances of a large fleet that watch the platform's store.
const STORE_WATCHERS: usize = 8;
/// Time for which a received floor holds back the start of less important requests unless it is
/// received again.
const HOLD_FLOOR_TTL: Duration = Duration::from_millis(800);
/// Time for which a received floor evicts less important requests unless it is received again.
const EVICT_FLOOR_TTL: Duration = Duration::from_millis(1_500);
/// Maximum number of unreachable instances to which a connection is attempted in one round.
const MAX_RECONNECTS: usize = 4;
/// Maximum number of instances to connect to when only a list of names and addresses is known.
const BOOTSTRAP_PEERS: usize = 3;
/// Capacity of a link's send queue, in frames; the link to a slower peer is closed.
const SEND_QUEUE_FRAMES: usize = 4_096;
/// Time limit of an operation that is forwarded to the shard owner.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Consecutive connection attempts without a response after which the peer is suspected.
const SUSPECT_AFTER_DIALS: u32 = 3;

/// The outcome of an attempt to open a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialOutcome {
    /// The handshake completed; a link was registered or wasn't needed.
    Connected,
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// The handshake failed or didn't complete in time.
    NoResponse,
}

/// An established link.
struct Link {
    frames: mpsc::Sender<Frame>,
    record: InstanceRecord,
    dialed: bool,
    /// The newest version of the peer protocol that both sides support.
    protocol: u16,
    serial: u64,
}

#[derive(Default)]
struct State {
    links: HashMap<InstanceId, Link>,
    floors: HashMap<FloorKind, HashMap<SmolStr, (Level, Instant)>>,
    calls: HashMap<u64, oneshot::Sender<Outcome>>,
    dials: HashMap<SocketAddr, DialState>,
    serial: u64,
}

/// The attempts to open a link to one address.
#[derive(Clone, Copy, Debug, Default)]
struct DialState {
    in_progress: bool,
    /// Consecutive attempts that ended with `NoResponse`.
    unanswered: u32,
}

/// The peer links of one instance, with the floors and replies received over them.
#[derive(Default)]
pub struct PeerLinks {
    state: Mutex<State>,
}

/// Identifies a registered link, so that it can be unregistered when it ends.
#[derive(Clone, Debug)]
pub struct Registration {
    id: InstanceId,
    serial: u64,
}

impl PeerLinks {
    /// Registers a new link and returns the receiving end of its send queue, or `None` if an
    /// existing link to the same instance is kept. Of two links between a pair of instances, both
    /// sides keep the one that the instance with the lower name dialed.
    pub fn register(
        &self,
        own: &str,
        record: &InstanceRecord,
        dialed: bool,
        protocol: u16,
    ) -> Option<(Registration, mpsc::Receiver<Frame>)> {
        let mut state = self.lock();
        if let Some(existing) = state.links.get(&record.id) {
            let restarted = record.incarnation > existing.record.incarnation;
            let preferred = dialed == (own < record.id.as_str());
            let same_side = existing.dialed == dialed;
            if !restarted && !same_side && !preferred && !existing.frames.is_closed() {
                return None;
            }
        }
        state.serial += 1;
        let serial = state.serial;
        let (frames, receiver) = mpsc::channel(SEND_QUEUE_FRAMES);
        let link = Link {
            frames,
            record: record.clone(),
            dialed,
            protocol,
            serial,
        };
        state.links.insert(record.id.clone(), link);
        let registration = Registration {
            id: record.id.clone(),
            serial,
        };
        Some((registration, receiver))
    }

    /// Removes a link that has ended. Returns `false` if a newer link to the peer has replaced it,
    /// or if it was removed before.
    pub fn unregister(&self, registration: &Registration) -> bool {
        let mut state = self.lock();
        let current = state.links.get(&registration.id);
        let last = current.is_some_and(|l| l.serial == registration.serial);
        if last {
            state.links.remove(&registration.id);
        }
        last
    }

    /// Records the start of an attempt to open a link to `address`. Returns `false` if one is in
    /// progress already.
    pub fn begin_dial(&self, address: SocketAddr) -> bool {
        let mut state = self.lock();
        let dial = state.dials.entry(address).or_default();
        !std::mem::replace(&mut dial.in_progress, true)
    }

    /// Records the outcome of an attempt to open a link to `address`. Returns whether the peer is
    /// to be suspected: at once when it refuses connections, but only after several attempts
    /// without a response, since it may just be busy.
    pub fn finish_dial(&self, address: SocketAddr, outcome: DialOutcome) -> bool {
        let mut state = self.lock();
        let unanswered = match outcome {
            DialOutcome::Connected | DialOutcome::Refused => 0,
            DialOutcome::NoResponse => state.dials.get(&address).map_or(0, |d| d.unanswered) + 1,
        };
        if unanswered == 0 {
            state.dials.remove(&address);
        } else {
            let in_progress = false;
            state.dials.insert(
                address,
                DialState {
                    in_progress,
                    unanswered,
                },
            );
        }
        outcome == DialOutcome::Refused || unanswered >= SUSPECT_AFTER_DIALS
    }

    /// The number of established links.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().links.len()
    }

    /// The number of established links to instances whose build knows the frames of this version of the peer protocol.
    #[must_use]
    pub fn count_knowing(&self, protocol: u16) -> usize {
        let state = self.lock();
        let links = state.links.values();
        links.filter(|link| link.protocol >= protocol).count()
    }

    /// The instances with an established link.
    #[must_use]
    pub fn linked(&self) -> BTreeSet<InstanceId> {
        self.lock().links.keys().cloned().collect()
    }

    /// Sends a frame to every linked instance except `except` and those whose build doesn't know the
    /// frame. Closes links whose send queue is full.
    pub fn broadcast(&self, frame: &Frame, except: Option<&str>) {
        let mut state = self.lock();
        state.links.retain(|id, link| {
            let skipped = except == Some(id.as_str()) || link.protocol < frame.since();
            skipped || link.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// Sends a frame to `count` linked instances whose build knows the frame, others each time.
    pub fn send_to_some(&self, frame: &Frame, count: usize) {
        let mut state = self.lock();
        state.serial += 1;
        let seed = state.serial;
        let mut links: Vec<(&InstanceId, &Link)> = state.links.iter().collect();
        links.retain(|(_, link)| link.protocol >= frame.since());
        links.sort_by_key(|(id, _)| rendezvous::weight(seed, id));
        for (_, link) in links.into_iter().take(count) {
            // If the send queue is full, the frame is dropped; the next broadcast closes the link.
            let _ = link.frames.try_send(frame.clone());
        }
    }

    /// Sends a frame to one instance, if it is linked and its build knows the frame.
    pub fn send(&self, id: &str, frame: Frame) {
        let state = self.lock();
        let link = state.links.get(id);
        if let Some(link) = link.filter(|link| link.protocol >= frame.since()) {
            // If the send queue is full, the frame is dropped; the next broadcast closes the link.
            let _ = link.frames.try_send(frame);
        }
    }

    /// The admission floor of this kind that other instances request for a pool; `Level::MAX` if
    /// none.
    #[must_use]
    pub fn floor(&self, pool: &str, kind: FloorKind) -> Level {
        let now = Instant::now();
        let state = self.lock();
        let received = state.floors.get(&kind).and_then(|floors| floors.get(pool));
        let floor = received.filter(|(_, until)| *until > now);
        floor.map_or(Level::MAX, |(level, _)| *level)
    }

    /// Merges floors received from a peer: for each pool and kind the most important level is kept,
    /// and of equal ones the later expiry.
    pub fn merge_floors(&self, floors: &[Floor]) {
        let now = Instant::now();
        let mut state = self.lock();
        for floor in floors {
            let ttl = Duration::from_millis(floor.ttl_ms.into()).min(ttl(floor.kind));
            let until = now + ttl;
            let floors_by_pool = state.floors.entry(floor.kind).or_default();
            let current = floors_by_pool
                .get(&floor.pool)
                .filter(|(_, until)| *until > now);
            let replaces = current.is_none_or(|(level, old)| {
                floor.level < *level || (floor.level == *level && until > *old)
            });
            if replaces {
                floors_by_pool.insert(floor.pool.clone(), (floor.level, until));
            }
        }
    }

    /// The floors for the next heartbeat: those that this instance requests, with a full TTL, and
    /// those received from peers, with their remaining TTL.
    #[must_use]
    pub fn floors_to_send(&self, requested: Vec<(SmolStr, FloorKind, Level)>) -> Vec<Floor> {
        let now = Instant::now();
        let mut floors: BTreeMap<(SmolStr, FloorKind), Floor> = BTreeMap::new();
        for (kind, received) in &self.lock().floors {
            for (pool, (level, until)) in received.iter().filter(|(_, (_, until))| *until > now) {
                let floor = Floor {
                    pool: pool.clone(),
                    kind: *kind,
                    level: *level,
                    ttl_ms: millis(*until - now),
                };
                floors.insert((pool.clone(), *kind), floor);
            }
        }
        for (pool, kind, level) in requested {
            let own = Floor {
                pool: pool.clone(),
                kind,
                level,
                ttl_ms: millis(ttl(kind)),
            };
            let entry = floors.entry((pool, kind)).or_insert_with(|| own.clone());
            if own.level <= entry.level {
                *entry = own;
            }
        }
        floors.into_values().collect()
    }

    /// Forwards an operation to the shard owner. Returns `None` if this instance is the owner, the
    /// owner isn't linked, or it doesn't confirm the operation in time.
    pub async fn forward_claim(
        &self,
        membership: &Membership,
        operation: Operation,
    ) -> Option<Outcome> {
        let owner = shard_owner(membership, claims::shard_of(&operation.key))?;
        let call = random::id();
        let (reply, outcome) = oneshot::channel();
        {
            let mut state = self.lock();
            let link = state.links.get(&owner)?;
            link.frames
                .try_send(Frame::Claim { call, operation })
                .ok()?;
            state.calls.insert(call, reply);
        }
        let result = tokio::time::timeout(FORWARD_TIMEOUT, outcome).await;
        self.lock().calls.remove(&call);
        match result {
            Ok(Ok(outcome)) if outcome != Outcome::Unconfirmed => Some(outcome),
            _ => None,
        }
    }

    /// Delivers the outcome of a forwarded operation to the waiting caller, if there is one still.
    pub fn complete_claim(&self, call: u64, outcome: Outcome) {
        if let Some(reply) = self.lock().calls.remove(&call) {
            let _ = reply.send(outcome);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn ttl(kind: FloorKind) -> Duration {
    match kind {
        FloorKind::Hold => HOLD_FLOOR_TTL,
        FloorKind::Evict => EVICT_FLOOR_TTL,
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// The running instance that writes a shard for all; `None` if it is this one. Instances may
/// disagree on the owner: a single writer only avoids conflicting updates and isn't needed for
/// correctness.
fn shard_owner(membership: &Membership, shard: usize) -> Option<InstanceId> {
    let own = membership.own().id;
    let running = membership.running();
    let owner = running
        .into_iter()
        .max_by_key(|r| rendezvous::weight(shard as u64, &r.id))?;
    (owner.id != own).then_some(owner.id)
}

/// Whether this instance is one of the `count` that watch the platform's change log for the fleet.
#[must_use]
pub fn is_watcher(membership: &Membership, count: usize) -> bool {
    let own = membership.own().id;
    let mut running = membership.running();
    running.sort_by_key(|r| rendezvous::weight(u64::MAX, &r.id));
    running.iter().take(count).any(|r| r.id == own)
}

/// How an instance learns of changes in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// The fleet is so small that each instance watches the store by itself.
    Independent,
    /// The instance watches the store, for others as well.
    Watcher,
    /// The instance learns of changes from its peers.
    Follower,
}

/// The role of this instance: in a large fleet a few instances of each data centre watch the store. Instances may
/// disagree on who they are for a while: more or fewer watchers do no harm, as followers find out when
/// nobody tells them anything. One that no linked instance can tell, as their builds are older, watches for itself.
#[must_use]
pub fn store_role(membership: &Membership, links: &PeerLinks) -> StoreRole {
    let own = membership.own();
    let mut alive = membership.alive();
    if alive.len() <= MAX_FULL_MESH + 1 {
        return StoreRole::Independent;
    }
    let data_centres: BTreeSet<&SmolStr> = alive.iter().map(|r| &r.data_centre).collect();
    let count = STORE_WATCHERS.div_ceil(data_centres.len());
    alive.retain(|r| r.data_centre == own.data_centre);
    alive.sort_by_key(|r| rendezvous::weight(u64::MAX, &r.id));
    let chosen = alive.iter().take(count).any(|r| r.id == own.id);
    if chosen || links.count_knowing(REPLICAS_SINCE) == 0 {
        StoreRole::Watcher
    } else {
        StoreRole::Follower
    }
}

/// The instances to open links to, with their peer addresses: all in a small fleet; otherwise the
/// two neighbours on a hash ring of the data centre, a few more instances of it, and one of each
/// other data centre.
#[must_use]
pub fn desired_links(membership: &Membership) -> Vec<(InstanceId, SocketAddr)> {
    let own = membership.own();
    let mut others = membership.running();
    others.retain(|r| r.id != own.id);
    if others.len() > MAX_FULL_MESH {
        others = sparse_neighbours(&own, &others);
    }
    others.into_iter().map(|r| (r.id, r.peers)).collect()
}

fn sparse_neighbours(own: &InstanceRecord, others: &[InstanceRecord]) -> Vec<InstanceRecord> {
    let position = |r: &InstanceRecord| rendezvous::hash(r.id.as_bytes());
    let link_weight = |r: &InstanceRecord| {
        let (a, b) = if own.id < r.id { (own, r) } else { (r, own) };
        rendezvous::weight(position(a), &b.id)
    };
    let mut chosen: BTreeMap<InstanceId, InstanceRecord> = BTreeMap::new();
    let mut by_data_centre: BTreeMap<SmolStr, Vec<&InstanceRecord>> = BTreeMap::new();
    for record in others {
        by_data_centre
            .entry(record.data_centre.clone())
            .or_default()
            .push(record);
    }
    for (data_centre, mut members) in by_data_centre {
        members.sort_by_key(|r| link_weight(r));
        let count = if data_centre == own.data_centre {
            EXTRA_LOCAL_LINKS
        } else {
            1
        };
        let mut picked: Vec<&InstanceRecord> = members.iter().take(count).copied().collect();
        if data_centre == own.data_centre {
            // The nearest neighbour on the ring in each direction.
            picked.extend(
                members
                    .iter()
                    .min_by_key(|r| position(r).wrapping_sub(position(own))),
            );
            picked.extend(
                members
                    .iter()
                    .min_by_key(|r| position(own).wrapping_sub(position(r))),
            );
        }
        for record in picked {
            chosen.insert(record.id.clone(), record.clone());
        }
    }
    chosen.into_values().collect()
}

/// A sample of the unreachable instances, which may have come back. It differs for each `round` and
/// each instance, so that the instances of a large fleet together retry all of them often enough.
#[must_use]
pub fn reconnect_candidates(membership: &Membership, round: u64) -> Vec<(InstanceId, SocketAddr)> {
    let mut all = membership.all();
    all.retain(|r| matches!(r.state, InstanceState::Suspect | InstanceState::Dead));
    let seed = rendezvous::hash(membership.own().id.as_bytes()).wrapping_add(round);
    let all = all.into_iter().map(|r| (r.id, r.peers)).collect();
    sample(all, MAX_RECONNECTS, seed)
}

/// The instances to connect to first out of a list: enough to learn of all others through them.
#[must_use]
pub fn bootstrap_peers(
    own: &str,
    listed: Vec<(InstanceId, SocketAddr)>,
) -> Vec<(InstanceId, SocketAddr)> {
    sample(listed, BOOTSTRAP_PEERS, rendezvous::hash(own.as_bytes()))
}

/// At most `count` of these instances, chosen by `seed`.
fn sample(
    mut all: Vec<(InstanceId, SocketAddr)>,
    count: usize,
    seed: u64,
) -> Vec<(InstanceId, SocketAddr)> {
    all.sort_by_key(|(id, _)| rendezvous::weight(seed, id));
    all.truncate(count);
    all
}

//! The links of this instance: whom to connect to, what goes to whom, and the floors heard.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::config::object::Level;
use crate::fleet::claims::{self, Operation, Outcome};
use crate::fleet::frame::{Floor, Frame};
use crate::fleet::membership::{InstanceId, InstanceRecord, InstanceState, Membership};
use crate::load::pressure::FloorKind;
use crate::random;
use crate::rendezvous;

/// Size of a fleet in which everyone is linked with everyone.
const FULL_MESH: usize = 10;
/// Links that an instance of a larger fleet opens to others of its data centre, beside its two
/// neighbours on the ring.
const EXTRA_LINKS: usize = 2;
/// Time that a floor holds back starts without being heard again.
const HOLD_TTL: Duration = Duration::from_millis(800);
/// Time that a floor evicts without being heard again.
const EVICT_TTL: Duration = Duration::from_millis(1_500);
/// Lost instances that are tried at a time.
const LOST_TRIES: usize = 4;
/// Instances that are met when nothing but a list of names is known.
const FIRST_MET: usize = 3;
/// Frames that may wait for a slow peer; then its link is closed.
const BACKLOG: usize = 4_096;
/// Bound on an operation at the instance that tends its shard.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Silent tries to open a link after which the peer is suspected.
const SILENT_DIALS: u32 = 3;

/// How a try to open a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialed {
    /// With a link, or with the peer's word that there is one.
    Answered,
    /// Nothing listens at the address.
    Refused,
    /// With nothing in time.
    Silent,
}

/// A link that is up.
struct Link {
    frames: mpsc::Sender<Frame>,
    facts: InstanceRecord,
    dialed: bool,
    serial: u64,
}

#[derive(Default)]
struct State {
    links: HashMap<InstanceId, Link>,
    floors: HashMap<FloorKind, HashMap<SmolStr, (Level, Instant)>>,
    calls: HashMap<u64, oneshot::Sender<Outcome>>,
    dials: HashMap<SocketAddr, Dial>,
    serial: u64,
}

/// Tries to open a link to one address.
#[derive(Clone, Copy, Debug, Default)]
struct Dial {
    under_way: bool,
    /// Tries in a row that ended without a word from the peer.
    silent: u32,
}

/// The links of one instance.
#[derive(Default)]
pub struct PeerLinks {
    state: Mutex<State>,
}

/// A registered link's place; taken out again when the link ends.
#[derive(Clone, Debug)]
pub struct Registration {
    id: InstanceId,
    serial: u64,
}

impl PeerLinks {
    /// Puts a new link in place. Of two links between the same pair, the one that the instance with the
    /// lower name dialed stays, so that both sides keep the same one.
    pub fn register(
        &self,
        own: &str,
        facts: &InstanceRecord,
        dialed: bool,
    ) -> Option<(Registration, mpsc::Receiver<Frame>)> {
        let mut state = self.lock();
        if let Some(existing) = state.links.get(&facts.id) {
            let renewed = facts.incarnation > existing.facts.incarnation;
            let preferred = dialed == (own < facts.id.as_str());
            let same_side = existing.dialed == dialed;
            if !renewed && !same_side && !preferred && !existing.frames.is_closed() {
                return None;
            }
        }
        state.serial += 1;
        let serial = state.serial;
        let (frames, receiver) = mpsc::channel(BACKLOG);
        let link = Link {
            frames,
            facts: facts.clone(),
            dialed,
            serial,
        };
        state.links.insert(facts.id.clone(), link);
        let registration = Registration {
            id: facts.id.clone(),
            serial,
        };
        Some((registration, receiver))
    }

    /// Takes an ended link out; tells whether the peer has no other.
    pub fn unregister(&self, registration: &Registration) -> bool {
        let mut state = self.lock();
        let current = state.links.get(&registration.id);
        let last = current.is_some_and(|l| l.serial == registration.serial);
        if last {
            state.links.remove(&registration.id);
        }
        last
    }

    /// Notes that a link to `address` is being opened; tells whether none was before.
    pub fn dial(&self, address: SocketAddr) -> bool {
        let mut state = self.lock();
        let dial = state.dials.entry(address).or_default();
        !std::mem::replace(&mut dial.under_way, true)
    }

    /// Notes how opening a link to `address` ended; tells whether the peer is to be suspected. One that
    /// refuses connections is; one that is silent may only be busy, until it has been so several times.
    pub fn dialed(&self, address: SocketAddr, end: Dialed) -> bool {
        let mut state = self.lock();
        let silent = match end {
            Dialed::Answered | Dialed::Refused => 0,
            Dialed::Silent => state.dials.get(&address).map_or(0, |d| d.silent) + 1,
        };
        if silent == 0 {
            state.dials.remove(&address);
        } else {
            let under_way = false;
            state.dials.insert(address, Dial { under_way, silent });
        }
        end == Dialed::Refused || silent >= SILENT_DIALS
    }

    /// How many links are up.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().links.len()
    }

    /// The instances that are linked.
    #[must_use]
    pub fn linked(&self) -> BTreeSet<InstanceId> {
        self.lock().links.keys().cloned().collect()
    }

    /// Sends a frame to every linked instance except `but`.
    pub fn broadcast(&self, frame: &Frame, but: Option<&str>) {
        let mut state = self.lock();
        state.links.retain(|id, link| {
            but == Some(id.as_str()) || link.frames.try_send(frame.clone()).is_ok()
        });
    }

    /// Sends a frame to one instance, if it is linked.
    pub fn send(&self, id: &str, frame: Frame) {
        if let Some(link) = self.lock().links.get(id) {
            // A link that can't keep up is closed by the next broadcast.
            let _ = link.frames.try_send(frame);
        }
    }

    /// The floor of a kind that other instances ask for in a pool; `Level::MAX` for none.
    #[must_use]
    pub fn floor(&self, pool: &str, kind: FloorKind) -> Level {
        let now = Instant::now();
        let state = self.lock();
        let heard = state.floors.get(&kind).and_then(|floors| floors.get(pool));
        let floor = heard.filter(|(_, until)| *until > now);
        floor.map_or(Level::MAX, |(level, _)| *level)
    }

    /// Takes in floors from a peer.
    pub fn heard(&self, floors: &[Floor]) {
        let now = Instant::now();
        let mut state = self.lock();
        for floor in floors {
            let ttl = Duration::from_millis(floor.ttl_ms.into()).min(ttl(floor.kind));
            let until = now + ttl;
            let known = state.floors.entry(floor.kind).or_default();
            let current = known.get(&floor.pool).filter(|(_, until)| *until > now);
            let replaces = current.is_none_or(|(level, old)| {
                floor.level < *level || (floor.level == *level && until > *old)
            });
            if replaces {
                known.insert(floor.pool.clone(), (floor.level, until));
            }
        }
    }

    /// The floors to pass on: those that this instance asks for, and those heard, for the rest of
    /// their time.
    #[must_use]
    pub fn floors_to_send(&self, wanted: Vec<(SmolStr, FloorKind, Level)>) -> Vec<Floor> {
        let now = Instant::now();
        let mut floors: BTreeMap<(SmolStr, FloorKind), Floor> = BTreeMap::new();
        for (kind, heard) in &self.lock().floors {
            for (pool, (level, until)) in heard.iter().filter(|(_, (_, until))| *until > now) {
                let floor = Floor {
                    pool: pool.clone(),
                    kind: *kind,
                    level: *level,
                    ttl_ms: millis(*until - now),
                };
                floors.insert((pool.clone(), *kind), floor);
            }
        }
        for (pool, kind, level) in wanted {
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

    /// Does an operation at the instance that tends its shard; none when that is this instance, or it
    /// doesn't answer.
    pub async fn forward_claim(
        &self,
        membership: &Membership,
        operation: Operation,
    ) -> Option<Outcome> {
        let tender = tender(membership, claims::shard_of(&operation.key))?;
        let call = random::id();
        let (reply, outcome) = oneshot::channel();
        {
            let mut state = self.lock();
            let link = state.links.get(&tender)?;
            link.frames
                .try_send(Frame::Claim { call, operation })
                .ok()?;
            state.calls.insert(call, reply);
        }
        let result = tokio::time::timeout(CLAIM_TIMEOUT, outcome).await;
        self.lock().calls.remove(&call);
        match result {
            Ok(Ok(outcome)) if outcome != Outcome::Unconfirmed => Some(outcome),
            _ => None,
        }
    }

    /// Takes in the outcome of an operation.
    pub fn replied(&self, call: u64, outcome: Outcome) {
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
        FloorKind::Hold => HOLD_TTL,
        FloorKind::Evict => EVICT_TTL,
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// The other instance that tends a shard, if it isn't this one. Which one it is only saves conflicts.
fn tender(membership: &Membership, shard: usize) -> Option<InstanceId> {
    let own = membership.own().id;
    let running = membership.running();
    let tender = running
        .into_iter()
        .max_by_key(|f| rendezvous::weight(shard as u64, &f.id))?;
    (tender.id != own).then_some(tender.id)
}

/// Whether this instance is one of the `count` that watch the platform's log for all.
#[must_use]
pub fn is_watcher(membership: &Membership, count: usize) -> bool {
    let own = membership.own().id;
    let mut running = membership.running();
    running.sort_by_key(|f| rendezvous::weight(u64::MAX, &f.id));
    running.iter().take(count).any(|f| f.id == own)
}

/// The instances to be linked with: all in a small fleet; else the two neighbours on a ring through
/// the data centre, a few more of it, and one of each other data centre.
#[must_use]
pub fn desired_links(membership: &Membership) -> Vec<(InstanceId, SocketAddr)> {
    let own = membership.own();
    let mut others = membership.running();
    others.retain(|f| f.id != own.id);
    if others.len() > FULL_MESH {
        others = bounded(&own, &others);
    }
    others.into_iter().map(|f| (f.id, f.peers)).collect()
}

fn bounded(own: &InstanceRecord, others: &[InstanceRecord]) -> Vec<InstanceRecord> {
    let place = |f: &InstanceRecord| rendezvous::hash(f.id.as_bytes());
    let edge = |f: &InstanceRecord| {
        let (a, b) = if own.id < f.id { (own, f) } else { (f, own) };
        rendezvous::weight(place(a), &b.id)
    };
    let mut chosen: BTreeMap<InstanceId, InstanceRecord> = BTreeMap::new();
    let mut by_centre: BTreeMap<SmolStr, Vec<&InstanceRecord>> = BTreeMap::new();
    for facts in others {
        by_centre
            .entry(facts.data_centre.clone())
            .or_default()
            .push(facts);
    }
    for (centre, mut members) in by_centre {
        members.sort_by_key(|f| edge(f));
        let near = if centre == own.data_centre {
            EXTRA_LINKS
        } else {
            1
        };
        let mut picked: Vec<&InstanceRecord> = members.iter().take(near).copied().collect();
        if centre == own.data_centre {
            // Going round the ring, the nearest in each direction.
            picked.extend(
                members
                    .iter()
                    .min_by_key(|f| place(f).wrapping_sub(place(own))),
            );
            picked.extend(
                members
                    .iter()
                    .min_by_key(|f| place(own).wrapping_sub(place(f))),
            );
        }
        for facts in picked {
            chosen.insert(facts.id.clone(), facts.clone());
        }
    }
    chosen.into_values().collect()
}

/// Some of the instances that were lost sight of and may be back, others each time: `turn` counts the
/// times. In a large fleet all of them together are tried often enough.
#[must_use]
pub fn lost(membership: &Membership, turn: u64) -> Vec<(InstanceId, SocketAddr)> {
    let mut all = membership.all();
    all.retain(|f| matches!(f.state, InstanceState::Suspect | InstanceState::Dead));
    let seed = rendezvous::hash(membership.own().id.as_bytes()).wrapping_add(turn);
    let all = all.into_iter().map(|f| (f.id, f.peers)).collect();
    some(all, LOST_TRIES, seed)
}

/// The instances to meet first among those that a list names: enough of them to hear of all others.
#[must_use]
pub fn bootstrap_peers(
    own: &str,
    listed: Vec<(InstanceId, SocketAddr)>,
) -> Vec<(InstanceId, SocketAddr)> {
    some(listed, FIRST_MET, rendezvous::hash(own.as_bytes()))
}

/// `count` of these instances at most, others for each seed.
fn some(
    mut all: Vec<(InstanceId, SocketAddr)>,
    count: usize,
    seed: u64,
) -> Vec<(InstanceId, SocketAddr)> {
    all.sort_by_key(|(id, _)| rendezvous::weight(seed, id));
    all.truncate(count);
    all
}

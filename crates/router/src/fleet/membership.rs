//! Membership of the fleet: one versioned record for each router instance.
//!
//! Each instance is the only source of its own record. Other instances may only raise its state to
//! suspect or dead; an instance that receives such a record about itself refutes it with a higher
//! version.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::broadcast;
use tokio::time::Instant;

use crate::config::object::ChangeNumber;
use crate::rendezvous;

/// The configured name of an instance, unique in the fleet.
pub type InstanceId = SmolStr;

/// Time for which the record of a dead instance is retained, so that outdated records of it aren't
/// accepted as new.
const DEAD_RETENTION: Duration = Duration::from_mins(10);
/// Capacity of the update channel, in records; a subscriber that lags further behind has to read
/// all records again.
const UPDATE_BUFFER: usize = 1_024;

/// The state of an instance. Between records of the same version, the later variant takes
/// precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance accepts requests.
    Alive,
    /// The instance is draining: it finishes its requests and accepts no new ones.
    Leaving,
    /// A peer can't connect to the instance.
    Suspect,
    /// The instance has stopped, or was suspect for too long.
    Dead,
}

impl InstanceState {
    /// The name of the state in responses to operators and in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
        }
    }
}

/// What the fleet knows about one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The name of the instance.
    pub id: InstanceId,
    /// Identifies this start of the instance; a later start has a higher number.
    pub incarnation: u64,
    /// Version of the record within the incarnation.
    pub version: u64,
    /// Whether the instance accepts requests.
    #[serde(rename = "life")]
    pub state: InstanceState,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for peer links.
    pub peers: SocketAddr,
    /// The data centre of the instance.
    pub data_centre: SmolStr,
    /// The number of the last configuration change in effect at the instance; 0 before the first.
    pub config: ChangeNumber,
}

impl InstanceRecord {
    /// The number under which this start of the instance holds claims: a hash of name and
    /// incarnation, which differs for every start of every instance.
    #[must_use]
    pub fn holder(&self) -> u64 {
        rendezvous::weight(self.incarnation, &self.id)
    }

    /// Whether this record replaces `known`: the incarnation is compared first, then version and
    /// state.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        let precedence = |r: &Self| (r.incarnation, r.version, r.state);
        precedence(self) > precedence(known)
    }
}

#[derive(Debug)]
struct KnownInstance {
    record: InstanceRecord,
    since: Instant,
}

#[derive(Debug)]
struct State {
    own: InstanceRecord,
    others: BTreeMap<InstanceId, KnownInstance>,
    digest: Option<u64>,
}

/// The instances of the fleet, as known to one of them.
#[derive(Debug)]
pub struct Membership {
    state: Mutex<State>,
    updates: broadcast::Sender<InstanceRecord>,
}

impl Membership {
    /// Creates a membership that knows only the own instance.
    #[must_use]
    pub fn new(own: InstanceRecord) -> Self {
        let (updates, _) = broadcast::channel(UPDATE_BUFFER);
        let state = State {
            own,
            others: BTreeMap::new(),
            digest: None,
        };
        Self {
            state: Mutex::new(state),
            updates,
        }
    }

    /// Subscribes to records as they change, the instance's own included.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<InstanceRecord> {
        self.updates.subscribe()
    }

    /// The instance's own record.
    #[must_use]
    pub fn own(&self) -> InstanceRecord {
        self.lock().own.clone()
    }

    /// All known records, the instance's own first.
    #[must_use]
    pub fn all(&self) -> Vec<InstanceRecord> {
        let state = self.lock();
        let others = state.others.values().map(|k| k.record.clone());
        std::iter::once(state.own.clone()).chain(others).collect()
    }

    /// The number of known instances, including this one and unreachable ones.
    #[must_use]
    pub fn size(&self) -> usize {
        self.lock().others.len() + 1
    }

    /// The instances that are alive or draining.
    #[must_use]
    pub fn running(&self) -> Vec<InstanceRecord> {
        let mut all = self.all();
        all.retain(|r| matches!(r.state, InstanceState::Alive | InstanceState::Leaving));
        all
    }

    /// The instances that accept requests.
    #[must_use]
    pub fn alive(&self) -> Vec<InstanceRecord> {
        let mut all = self.all();
        all.retain(|r| r.state == InstanceState::Alive);
        all
    }

    /// Whether the instance with this holder number is alive or draining.
    #[must_use]
    pub fn is_holder_running(&self, holder: u64) -> bool {
        self.running().iter().any(|r| r.holder() == holder)
    }

    /// Changes the instance's own record and, if it differs, publishes it with the next version.
    pub fn update(&self, change: impl FnOnce(&mut InstanceRecord)) {
        let own = {
            let mut state = self.lock();
            let before = state.own.clone();
            change(&mut state.own);
            if state.own == before {
                return;
            }
            state.own.version += 1;
            state.digest = None;
            state.own.clone()
        };
        // Fails when there is no subscriber, as before the first link is established.
        let _ = self.updates.send(own);
    }

    /// Merges a record received from a peer and publishes it if it is newer, or refutes it if it
    /// concerns this instance. Returns whether anything changed.
    pub fn merge(&self, record: InstanceRecord) -> bool {
        let update = {
            let mut state = self.lock();
            let update = if record.id == state.own.id {
                state.refute(&record)
            } else {
                state.merge_peer(record)
            };
            if update.is_some() {
                state.digest = None;
            }
            update
        };
        let accepted = update.is_some();
        if let Some(record) = update {
            let _ = self.updates.send(record);
        }
        accepted
    }

    /// Raises the state of another instance to `Suspect` or `Dead`; never lowers it.
    pub fn mark_unreachable(&self, id: &str, state: InstanceState) {
        let known = self.lock().others.get(id).map(|k| k.record.clone());
        if let Some(record) = known.filter(|r| r.state < state) {
            self.merge(InstanceRecord { state, ..record });
        }
    }

    /// The instances that have been suspect for `duration` or longer.
    #[must_use]
    pub fn suspected_for(&self, duration: Duration) -> Vec<InstanceId> {
        let state = self.lock();
        let suspected = state
            .others
            .values()
            .filter(|k| k.record.state == InstanceState::Suspect && k.since.elapsed() >= duration);
        suspected.map(|k| k.record.id.clone()).collect()
    }

    /// Removes the records of instances that have been dead for 10 minutes.
    pub fn remove_dead(&self) {
        let mut state = self.lock();
        state.others.retain(|_, k| {
            k.record.state != InstanceState::Dead || k.since.elapsed() < DEAD_RETENTION
        });
    }

    /// A hash of the records of all instances that aren't dead. Peers compare it in heartbeats to
    /// detect differences; equal records give equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut state = self.lock();
        if let Some(digest) = state.digest {
            return digest;
        }
        let digest = state.compute_digest();
        state.digest = Some(digest);
        digest
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn compute_digest(&self) -> u64 {
        let others = self.others.values().map(|k| &k.record);
        let mut all: Vec<&InstanceRecord> = others.chain([&self.own]).collect();
        all.retain(|r| r.state != InstanceState::Dead);
        all.sort_by(|a, b| a.id.cmp(&b.id));
        let mut text = String::new();
        for r in all {
            // Writing to a string can't fail.
            let _ = write!(
                text,
                "{}/{}/{}/{:?};",
                r.id, r.incarnation, r.version, r.state
            );
        }
        rendezvous::hash(text.as_bytes())
    }

    /// Raises the own version above a record about this instance that it didn't issue. Returns the
    /// new own record, or `None` if there is nothing to refute.
    fn refute(&mut self, record: &InstanceRecord) -> Option<InstanceRecord> {
        let stale = record.incarnation < self.own.incarnation;
        let covered =
            record.incarnation == self.own.incarnation && record.version <= self.own.version;
        let consistent = covered && record.state <= self.own.state;
        if stale || consistent {
            return None;
        }
        self.own.incarnation = self.own.incarnation.max(record.incarnation);
        self.own.version = self.own.version.max(record.version) + 1;
        Some(self.own.clone())
    }

    fn merge_peer(&mut self, record: InstanceRecord) -> Option<InstanceRecord> {
        let known = self.others.get(&record.id);
        if known.is_some_and(|k| !record.supersedes(&k.record)) {
            return None;
        }
        let before = known.map(|k| k.record.state);
        if before != Some(record.state) {
            log::info!("instance={} state={}", record.id, record.state.as_str());
        }
        let since = match known {
            Some(known) if before == Some(record.state) => known.since,
            _ => Instant::now(),
        };
        let known = KnownInstance {
            record: record.clone(),
            since,
        };
        self.others.insert(record.id.clone(), known);
        Some(record)
    }
}

//! The instances of the fleet, as facts with versions.
//!
//! Each instance is the only source of its own facts. Others may only add that they suspect it or that
//! it is dead; an instance that hears so of itself answers with a higher version.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::broadcast;
use tokio::time::Instant;

use crate::config::object::Number;
use crate::rendezvous;

/// An instance's name.
pub type InstanceId = SmolStr;

/// Time that a dead instance is remembered, so that old facts of it aren't taken for news.
const FORGET: Duration = Duration::from_mins(10);
/// Facts that may wait for a slow reader before it has to start over.
const BACKLOG: usize = 1_024;

/// Whether an instance takes work; later variants override earlier ones of the same version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It takes work.
    Alive,
    /// It finishes what it has.
    Leaving,
    /// A peer can't reach it.
    Suspect,
    /// It is gone.
    Dead,
}

impl InstanceState {
    /// The word used in answers.
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

/// What is known of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance's name.
    pub id: InstanceId,
    /// Which start of the instance; grows with each.
    pub incarnation: u64,
    /// Which of the incarnation's facts.
    pub version: u64,
    /// Whether it takes work.
    #[serde(rename = "life")]
    pub state: InstanceState,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// The number of the configuration that it has in force.
    pub config: Number,
}

impl InstanceRecord {
    /// The number under which this start of the instance holds claims; no other start of any instance
    /// has the same.
    #[must_use]
    pub fn holder(&self) -> u64 {
        rendezvous::weight(self.incarnation, &self.id)
    }

    /// Whether these facts replace `known`.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        let rank = |f: &Self| (f.incarnation, f.version, f.state);
        rank(self) > rank(known)
    }
}

#[derive(Debug)]
struct Known {
    facts: InstanceRecord,
    since: Instant,
}

#[derive(Debug)]
struct State {
    own: InstanceRecord,
    others: BTreeMap<InstanceId, Known>,
    digest: Option<u64>,
}

/// The instances of the fleet as one of them knows them.
#[derive(Debug)]
pub struct Membership {
    state: Mutex<State>,
    news: broadcast::Sender<InstanceRecord>,
}

impl Membership {
    /// A fleet of one.
    #[must_use]
    pub fn new(own: InstanceRecord) -> Self {
        let (news, _) = broadcast::channel(BACKLOG);
        let state = State {
            own,
            others: BTreeMap::new(),
            digest: None,
        };
        Self {
            state: Mutex::new(state),
            news,
        }
    }

    /// Follows facts as they become known.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<InstanceRecord> {
        self.news.subscribe()
    }

    /// The instance's own facts.
    #[must_use]
    pub fn own(&self) -> InstanceRecord {
        self.lock().own.clone()
    }

    /// All known facts, the instance's own among them.
    #[must_use]
    pub fn all(&self) -> Vec<InstanceRecord> {
        let state = self.lock();
        let others = state.others.values().map(|k| k.facts.clone());
        std::iter::once(state.own.clone()).chain(others).collect()
    }

    /// How many instances are known, this one and lost ones among them.
    #[must_use]
    pub fn size(&self) -> usize {
        self.lock().others.len() + 1
    }

    /// The instances that run, whether they take new work or not.
    #[must_use]
    pub fn running(&self) -> Vec<InstanceRecord> {
        let mut all = self.all();
        all.retain(|f| matches!(f.state, InstanceState::Alive | InstanceState::Leaving));
        all
    }

    /// The instances that take work.
    #[must_use]
    pub fn alive(&self) -> Vec<InstanceRecord> {
        let mut all = self.all();
        all.retain(|f| f.state == InstanceState::Alive);
        all
    }

    /// Whether the instance that holds a claim still runs.
    #[must_use]
    pub fn is_holder_running(&self, holder: u64) -> bool {
        self.running().iter().any(|f| f.holder() == holder)
    }

    /// Changes the instance's own facts and passes them on.
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
        // Nobody listens before the first link is up.
        let _ = self.news.send(own);
    }

    /// Takes in a peer's facts; tells whether they were news.
    pub fn merge(&self, facts: InstanceRecord) -> bool {
        let news = {
            let mut state = self.lock();
            let news = if facts.id == state.own.id {
                state.refute(&facts)
            } else {
                state.take(facts)
            };
            if news.is_some() {
                state.digest = None;
            }
            news
        };
        let is_news = news.is_some();
        if let Some(facts) = news {
            let _ = self.news.send(facts);
        }
        is_news
    }

    /// Says of another instance that it is suspected or dead.
    pub fn accuse(&self, id: &str, state: InstanceState) {
        let known = self.lock().others.get(id).map(|k| k.facts.clone());
        if let Some(facts) = known.filter(|f| f.state < state) {
            self.merge(InstanceRecord { state, ..facts });
        }
    }

    /// The instances that have been suspected for `bound` or longer.
    #[must_use]
    pub fn suspected(&self, bound: Duration) -> Vec<InstanceId> {
        let state = self.lock();
        let long = state
            .others
            .values()
            .filter(|k| k.facts.state == InstanceState::Suspect && k.since.elapsed() >= bound);
        long.map(|k| k.facts.id.clone()).collect()
    }

    /// Forgets instances that have long been dead.
    pub fn forget(&self) {
        let mut state = self.lock();
        state
            .others
            .retain(|_, k| k.facts.state != InstanceState::Dead || k.since.elapsed() < FORGET);
    }

    /// A hash of all facts, equal where two instances know the same.
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
        let others = self.others.values().map(|k| &k.facts);
        let mut all: Vec<&InstanceRecord> = others.chain([&self.own]).collect();
        all.retain(|f| f.state != InstanceState::Dead);
        all.sort_by(|a, b| a.id.cmp(&b.id));
        let mut text = String::new();
        for f in all {
            // Writing to a string can't fail.
            let _ = write!(
                text,
                "{}/{}/{}/{:?};",
                f.id, f.incarnation, f.version, f.state
            );
        }
        rendezvous::hash(text.as_bytes())
    }

    /// Answers facts about this instance that aren't its own.
    fn refute(&mut self, facts: &InstanceRecord) -> Option<InstanceRecord> {
        let stale = facts.incarnation < self.own.incarnation;
        let same = facts.incarnation == self.own.incarnation && facts.version <= self.own.version;
        let harmless = same && facts.state <= self.own.state;
        if stale || harmless {
            return None;
        }
        self.own.incarnation = self.own.incarnation.max(facts.incarnation);
        self.own.version = self.own.version.max(facts.version) + 1;
        Some(self.own.clone())
    }

    fn take(&mut self, facts: InstanceRecord) -> Option<InstanceRecord> {
        let known = self.others.get(&facts.id);
        if known.is_some_and(|k| !facts.supersedes(&k.facts)) {
            return None;
        }
        let before = known.map(|k| k.facts.state);
        if before != Some(facts.state) {
            log::info!("instance={} state={}", facts.id, facts.state.as_str());
        }
        let since = match known {
            Some(known) if before == Some(facts.state) => known.since,
            _ => Instant::now(),
        };
        let known = Known {
            facts: facts.clone(),
            since,
        };
        self.others.insert(facts.id.clone(), known);
        Some(facts)
    }
}

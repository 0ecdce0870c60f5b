//! Keeps what is in quarantine in a store, so that it outlasts a restart of all instances at once.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::{self, Instant};

use crate::config::changelog;
use crate::load::pools::PoolCrashes;
use crate::load::quarantine::{Notice, QUARANTINE_TIME, Quarantined, Subject, SuspectId};
use crate::node::Node;
use crate::rendezvous;

/// Time between two comparisons of what is in quarantine with the store.
const INTERVAL: Duration = Duration::from_millis(500);
/// Pause after the first failed call, and the longest after several.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Identifies a suspect in quarantine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuarantineKey {
    /// Name of the pool.
    pub pool: SmolStr,
    /// What the suspect is.
    pub subject: Subject,
    /// The suspect.
    pub id: SuspectId,
}

/// A suspect in quarantine, as kept in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// Identifies it.
    pub key: QuarantineKey,
    /// When the quarantine began, in Unix milliseconds.
    pub since_ms: u64,
    /// The number of crashes on which it is based.
    pub crashes: u32,
}

/// The store of the platform that the process runs on.
pub trait QuarantineStore: Send + Sync {
    /// Why a call failed.
    type Error: Display + Send;

    /// All quarantines in the store.
    fn list(&self) -> impl Future<Output = Result<Vec<StoredQuarantine>, Self::Error>> + Send;

    /// Writes a quarantine, or replaces it.
    fn put(
        &self,
        quarantine: &StoredQuarantine,
    ) -> impl Future<Output = Result<(), Self::Error>> + Send;

    /// Removes a quarantine; one that isn't there counts as removed.
    fn remove(&self, key: &QuarantineKey) -> impl Future<Output = Result<(), Self::Error>> + Send;
}

/// Reads the quarantines, and then writes and removes those that begin and end. One instance writes each, the first in
/// rendezvous order; if it is gone, the next one does. Never returns.
pub async fn run<S: QuarantineStore>(node: Arc<Node>, store: Arc<S>) {
    let mut state = StoreState::default();
    state.load(&node, store.as_ref()).await;
    let mut interval = time::interval(INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        state.compare(&node, store.as_ref()).await;
    }
}

/// What this instance knows of the quarantines in the store.
#[derive(Default)]
struct StoreState {
    /// Those that were in the store at the start.
    stored: BTreeSet<QuarantineKey>,
    /// The quarantines in force at the last comparison, and whether this instance has written or read them.
    known: BTreeMap<QuarantineKey, bool>,
    /// Those that have ended, and may still be in the store.
    ended: Vec<QuarantineKey>,
    /// No calls are made before this time.
    paused_until: Option<Instant>,
}

impl StoreState {
    async fn load<S: QuarantineStore>(&mut self, node: &Node, store: &S) {
        let mut pause = BACKOFF_MIN;
        let quarantines = loop {
            match store.list().await {
                Ok(quarantines) => break quarantines,
                Err(error) => log::warn!("quarantines=not_read reason=\"{error}\""),
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(BACKOFF_MAX);
        };
        let now_ms = changelog::now_ms();
        for quarantine in quarantines {
            let age = Duration::from_millis(now_ms.saturating_sub(quarantine.since_ms));
            if age < QUARANTINE_TIME {
                node.pools.merge_crashes(vec![notice(&quarantine, age)]);
                self.stored.insert(quarantine.key);
            } else {
                self.ended.push(quarantine.key);
            }
        }
    }

    async fn compare<S: QuarantineStore>(&mut self, node: &Node, store: &S) {
        let now = Instant::now();
        if self.paused_until.is_some_and(|until| now < until) {
            return;
        }
        let current = quarantines_in_force(node);
        let ended = self.known.keys().filter(|key| !current.contains_key(*key));
        self.ended.extend(ended.cloned());
        self.known.retain(|key, _| current.contains_key(key));
        self.stored.retain(|key| !self.ended.contains(key));
        // The record of one that has begun again is replaced.
        self.ended.retain(|key| !current.contains_key(key));
        for (key, quarantine) in current {
            let stored = self.stored.contains(&key);
            let written = self.known.entry(key.clone()).or_insert(stored);
            if *written || !is_writer(node, &key) {
                continue;
            }
            match store.put(&quarantine).await {
                Ok(()) => *written = true,
                Err(error) => return self.pause(&error, now),
            }
        }
        while let Some(key) = self.ended.last() {
            if is_writer(node, key)
                && let Err(error) = store.remove(key).await
            {
                return self.pause(&error, now);
            }
            self.ended.pop();
        }
    }

    fn pause(&mut self, error: &impl Display, now: Instant) {
        log::warn!("quarantines=not_written reason=\"{error}\"");
        self.paused_until = Some(now + BACKOFF_MAX);
    }
}

fn quarantines_in_force(node: &Node) -> BTreeMap<QuarantineKey, StoredQuarantine> {
    let now_ms = changelog::now_ms();
    let mut found = BTreeMap::new();
    for pool in node.pools.all() {
        for quarantined in pool.quarantined() {
            let quarantine = quarantine(pool.name(), &quarantined, now_ms);
            found.insert(quarantine.key.clone(), quarantine);
        }
    }
    found
}

fn quarantine(pool: &SmolStr, quarantined: &Quarantined, now_ms: u64) -> StoredQuarantine {
    let age_ms = u64::try_from(quarantined.age.as_millis()).unwrap_or(u64::MAX);
    StoredQuarantine {
        key: QuarantineKey {
            pool: pool.clone(),
            subject: quarantined.subject,
            id: quarantined.id,
        },
        since_ms: now_ms.saturating_sub(age_ms),
        crashes: quarantined.crashes,
    }
}

fn notice(quarantine: &StoredQuarantine, age: Duration) -> PoolCrashes {
    let notice = Notice::Quarantined {
        id: quarantine.key.id,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        crashes: quarantine.crashes,
    };
    let (segments, requests) = match quarantine.key.subject {
        Subject::Segments => (vec![notice], Vec::new()),
        Subject::Requests => (Vec::new(), vec![notice]),
    };
    PoolCrashes {
        pool: quarantine.key.pool.clone(),
        segments,
        requests,
    }
}

/// Whether this instance is the one that writes the quarantine.
fn is_writer(node: &Node, key: &QuarantineKey) -> bool {
    let alive = node.membership.alive().into_iter();
    let first = alive.max_by_key(|r| rendezvous::weight(key.id, &r.id));
    first.is_some_and(|r| r.id == node.membership.own().id)
}

//! Claims on idempotency keys: a request that must not run twice is dispatched only by the attempt
//! whose claim the platform holds.
//!
//! Keys are UUIDs of version 7, kept in shard objects by hash. A conditional update decides who won;
//! many claims go into one update. A shard's floor is the time before which no key can be claimed any
//! more, so what was compacted away can't be claimed a second time, whatever any clock says.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::Instant;
use uuid::Uuid;

use crate::config::changelog;
use crate::metrics::Metrics;
use crate::platform::{Condition, Error, Platform, Version};
use crate::rendezvous;

/// Shard objects that the keys are spread over.
pub const SHARDS: usize = 32;
/// Time between two writes of one shard.
const SPACING: Duration = Duration::from_millis(200);
/// Bound on one operation.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Failed calls in a row from which the platform counts as out.
const OUT_AFTER: u32 = 2;
/// Time between two looks at a platform that is out.
const PROBE: Duration = Duration::from_millis(250);
/// Wait after a failed call.
const RETRY: Duration = Duration::from_millis(50);
/// Disagreement of clocks that is allowed for, in ms.
const SKEW_MS: u64 = 30_000;
/// Largest shard object; the platform takes up to a megabyte.
const SHARD_BYTES: usize = 900_000;
/// Bytes of one entry in a shard object, at most.
const ENTRY_BYTES: usize = 64;

/// The one attempt to run a request, chosen at random.
pub type AttemptId = u64;

/// How far a claimed request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Its holder may be running it.
    Running,
    /// It was answered completely.
    Complete,
    /// Nobody can tell.
    Unknown,
    /// It was refused, and never runs.
    NotRun,
}

/// What a shard holds of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The attempt that won the key.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// The instance that made the attempt.
    #[serde(rename = "h")]
    pub holder: u64,
    /// How far it has come.
    #[serde(rename = "p")]
    pub progress: Progress,
}

/// A shard object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// No key older than this can be claimed, in ms since the Unix epoch.
    #[serde(rename = "f")]
    pub floor_ms: u64,
    /// The claimed keys.
    #[serde(rename = "e")]
    pub entries: BTreeMap<Uuid, Entry>,
}

/// An operation on one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The key.
    pub key: Uuid,
    /// Whose operation it is.
    pub attempt: AttemptId,
    /// The instance that makes the attempt.
    pub holder: u64,
    /// What is to be done.
    pub action: Action,
}

/// What is to be done with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Win the key, if nobody has.
    Claim,
    /// Note how the request went.
    Settle(Progress),
    /// Give the key back, as the request surely wasn't dispatched.
    Release,
    /// Note that the request never runs, unless another attempt has the key.
    Refuse,
}

/// The outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The key belongs to the attempt, or was settled or given back by it.
    Done,
    /// Another attempt has the key.
    Taken(Entry),
    /// The key is older than its shard's floor, or lies in the future.
    OutsideWindow,
    /// The platform didn't confirm in time; the operation may take effect yet.
    Unconfirmed,
}

impl Shard {
    /// Does one operation; tells the outcome and whether the shard has to be written for it.
    pub fn apply(&mut self, operation: &Operation, now_ms: u64) -> (Outcome, bool) {
        let Operation { key, attempt, .. } = *operation;
        let entry = self.entries.get(&key).copied();
        match (operation.action, entry) {
            (Action::Claim, Some(entry)) if entry.attempt == attempt => match entry.progress {
                Progress::Running => (Outcome::Done, false),
                _ => (Outcome::Taken(entry), false),
            },
            (Action::Refuse, Some(entry)) if entry.attempt == attempt => {
                let progress = Progress::NotRun;
                self.entries.insert(key, Entry { progress, ..entry });
                (Outcome::Done, true)
            }
            (Action::Claim | Action::Refuse, Some(entry)) => (Outcome::Taken(entry), false),
            (Action::Claim, None) => self.insert(operation, Progress::Running, now_ms),
            (Action::Refuse, None) => self.insert(operation, Progress::NotRun, now_ms),
            (Action::Settle(progress), Some(entry)) if entry.attempt == attempt => {
                self.entries.insert(key, Entry { progress, ..entry });
                (Outcome::Done, true)
            }
            (Action::Release, Some(entry)) if entry.attempt == attempt => {
                self.entries.remove(&key);
                (Outcome::Done, true)
            }
            // The write makes a claim of this attempt that is still on its way miss its condition.
            (Action::Release, _) => (Outcome::Done, true),
            (Action::Settle(_), _) => (Outcome::Done, false),
        }
    }

    fn insert(
        &mut self,
        operation: &Operation,
        progress: Progress,
        now_ms: u64,
    ) -> (Outcome, bool) {
        let at = key_ms(&operation.key);
        if at.is_none_or(|at| at < self.floor_ms || at > now_ms + SKEW_MS) {
            return (Outcome::OutsideWindow, false);
        }
        let entry = Entry {
            attempt: operation.attempt,
            holder: operation.holder,
            progress,
        };
        self.entries.insert(operation.key, entry);
        (Outcome::Done, true)
    }

    /// Forgets keys older than the window, and raises the floor over what was forgotten.
    pub fn compact(&mut self, now_ms: u64, window_ms: u64) {
        self.raise(now_ms.saturating_sub(window_ms + SKEW_MS));
        let most = SHARD_BYTES / ENTRY_BYTES;
        if self.entries.len() > most {
            // UUIDs of version 7 sort by time, so the oldest come first.
            let surplus = self.entries.len() - most;
            let last = self.entries.keys().nth(surplus).and_then(key_ms);
            self.raise(last.unwrap_or_default());
        }
    }

    fn raise(&mut self, floor_ms: u64) {
        if floor_ms > self.floor_ms {
            self.floor_ms = floor_ms;
            self.entries
                .retain(|key, _| key_ms(key).is_some_and(|at| at >= floor_ms));
        }
    }
}

/// The time in a key, in ms since the Unix epoch, if it is a UUID of version 7.
#[must_use]
pub fn key_ms(key: &Uuid) -> Option<u64> {
    let (seconds, nanos) = key
        .get_timestamp()
        .filter(|_| key.get_version_num() == 7)?
        .to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

/// The shard that a key belongs to.
#[must_use]
pub fn shard_of(key: &Uuid) -> usize {
    let hash = rendezvous::hash(key.as_bytes());
    usize::try_from(hash % SHARDS as u64).unwrap_or_default()
}

type Pending = (Operation, oneshot::Sender<Outcome>);

#[derive(Default)]
struct Slot {
    pending: Vec<Pending>,
    busy: bool,
    cached: Option<(Option<Version>, Shard)>,
}

/// The claims as one instance writes them to the platform.
pub struct Claims<P> {
    platform: P,
    metrics: Arc<Metrics>,
    window_ms: u64,
    slots: Vec<Mutex<Slot>>,
    failures: AtomicU32,
}

impl<P: Platform> Claims<P> {
    /// Claims that are kept for at least `window_ms`.
    pub fn new(platform: P, metrics: Arc<Metrics>, window_ms: u64) -> Arc<Self> {
        let slots = (0..SHARDS).map(|_| Mutex::default()).collect();
        Arc::new(Self {
            platform,
            metrics,
            window_ms,
            slots,
            failures: AtomicU32::new(0),
        })
    }

    /// Does one operation in the platform, together with others of its shard. While the platform is
    /// out, a claim isn't tried, so that its request can be refused at once.
    pub async fn submit(self: &Arc<Self>, operation: Operation) -> Outcome {
        if self.out() && matches!(operation.action, Action::Claim | Action::Refuse) {
            return Outcome::Unconfirmed;
        }
        let shard = shard_of(&operation.key);
        let (reply, outcome) = oneshot::channel();
        let start = {
            let mut slot = self.slot(shard);
            slot.pending.push((operation, reply));
            !std::mem::replace(&mut slot.busy, true)
        };
        if start {
            tokio::spawn(Arc::clone(self).tend(shard));
        }
        match tokio::time::timeout(TIMEOUT, outcome).await {
            Ok(Ok(outcome)) => outcome,
            _ => Outcome::Unconfirmed,
        }
    }

    /// Whether the platform doesn't reply.
    #[must_use]
    pub fn out(&self) -> bool {
        self.failures.load(Ordering::Relaxed) >= OUT_AFTER
    }

    fn replied(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Counts a call without a reply; the call that makes the platform count as out starts the probe.
    fn no_reply(self: &Arc<Self>) {
        self.metrics.count("claims.no_reply");
        if self.failures.fetch_add(1, Ordering::Relaxed) + 1 == OUT_AFTER {
            log::warn!("platform=out claims=refused");
            tokio::spawn(Arc::clone(self).probe());
        }
    }

    /// Reads a shard again and again until the platform replies.
    async fn probe(self: Arc<Self>) {
        while self.read(0).await.is_err() {
            tokio::time::sleep(PROBE).await;
        }
        self.replied();
        log::info!("platform=back claims=taken");
    }

    /// Writes one shard until nothing is pending.
    async fn tend(self: Arc<Self>, shard: usize) {
        loop {
            let pending = {
                let mut slot = self.slot(shard);
                let pending = std::mem::take(&mut slot.pending);
                slot.busy = !pending.is_empty();
                pending
            };
            if pending.is_empty() {
                return;
            }
            let wrote = Instant::now();
            self.commit(shard, pending).await;
            tokio::time::sleep_until(wrote + SPACING).await;
        }
    }

    async fn commit(self: &Arc<Self>, shard: usize, pending: Vec<Pending>) {
        let deadline = Instant::now() + TIMEOUT;
        let operations: Vec<Operation> = pending.iter().map(|(o, _)| *o).collect();
        let outcomes = loop {
            match self.commit_once(shard, &operations).await {
                Ok(outcomes) => {
                    self.replied();
                    break outcomes;
                }
                Err(Error::Conflict) => self.metrics.count("claims.conflict"),
                Err(Error::Throttled) => self.metrics.count("claims.throttled"),
                Err(Error::Unavailable(_)) => self.no_reply(),
            }
            self.slot(shard).cached = None;
            if Instant::now() >= deadline || self.out() {
                break vec![Outcome::Unconfirmed; operations.len()];
            }
            tokio::time::sleep(RETRY).await;
        };
        for ((_, reply), outcome) in pending.into_iter().zip(outcomes) {
            let _ = reply.send(outcome);
        }
    }

    async fn commit_once(
        &self,
        shard: usize,
        operations: &[Operation],
    ) -> Result<Vec<Outcome>, Error> {
        let cached = self.slot(shard).cached.take();
        let fresh = cached.is_none();
        let (version, mut state) = match cached {
            Some(cached) => cached,
            None => self.read(shard).await?,
        };
        let now_ms = changelog::now_ms();
        let before = state.floor_ms;
        state.compact(now_ms, self.window_ms);
        let results: Vec<(Outcome, bool)> =
            operations.iter().map(|o| state.apply(o, now_ms)).collect();
        let dirty = results.iter().any(|(_, dirty)| *dirty);
        if !dirty && !fresh {
            return Box::pin(self.commit_once(shard, operations)).await;
        }
        if dirty {
            let version = self.write(shard, version, &state).await?;
            self.slot(shard).cached = Some((Some(version), state));
        } else if state.floor_ms == before {
            self.slot(shard).cached = Some((version, state));
        }
        Ok(results.into_iter().map(|(outcome, _)| outcome).collect())
    }

    async fn read(&self, shard: usize) -> Result<(Option<Version>, Shard), Error> {
        self.metrics.count("claims.reads");
        match self.platform.get(&key(shard)).await? {
            None => Ok((None, Shard::default())),
            Some(stored) => {
                let state = ciborium::from_reader(&stored.value[..])
                    .map_err(|e| Error::Unavailable(format!("shard {shard} is damaged: {e}")))?;
                Ok((Some(stored.version), state))
            }
        }
    }

    async fn write(
        &self,
        shard: usize,
        version: Option<Version>,
        state: &Shard,
    ) -> Result<Version, Error> {
        self.metrics.count("claims.writes");
        let mut value = Vec::new();
        ciborium::into_writer(state, &mut value).map_err(|e| Error::Unavailable(e.to_string()))?;
        let condition = version.map_or(Condition::Absent, Condition::Version);
        self.platform
            .put(&key(shard), Bytes::from(value), condition)
            .await
    }

    fn slot(&self, shard: usize) -> MutexGuard<'_, Slot> {
        self.slots[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(shard: usize) -> String {
    format!("claims/shard/{shard:03}")
}

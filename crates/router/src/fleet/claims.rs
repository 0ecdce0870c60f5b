//! Claims on idempotency keys: a request that must not run twice is dispatched only by the attempt
//! whose claim is stored in the platform.
//!
//! Keys are version 7 UUIDs, distributed by hash over shard objects in the platform. A conditional
//! update of the shard object decides which attempt gets a key; pending operations on a shard are
//! batched into one update. Each shard stores a floor, the oldest key timestamp that can still be
//! claimed. The floor rises with compaction, so a key whose entry was removed can't be claimed
//! again, regardless of clock differences among instances.

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

/// Number of shard objects over which the keys are distributed.
pub const SHARDS: usize = 32;
/// Minimum time between the starts of two writes of one shard, in which operations are batched.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of one operation, including retries.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive failed calls after which the platform is considered unavailable.
const UNAVAILABLE_AFTER: u32 = 2;
/// Time between two probes of an unavailable platform.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Clock skew among callers and instances that is tolerated, in ms.
const MAX_CLOCK_SKEW_MS: u64 = 30_000;
/// Maximum size of a shard object, in bytes; the platform accepts objects of up to 1 MB.
const MAX_SHARD_BYTES: usize = 900_000;
/// Upper bound on the encoded size of one entry in a shard object, in bytes.
const MAX_ENTRY_BYTES: usize = 64;

/// Random identifier of one attempt to run a request.
pub type AttemptId = u64;

/// Progress of the request that belongs to a claimed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The holder may be running the request.
    Running,
    /// The response was completed.
    Complete,
    /// Whether the request ran is unknown.
    Unknown,
    /// The request was refused and will never run.
    NotRun,
}

/// The stored claim on one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The attempt that claimed the key.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// The holder number of the instance that made the attempt; see
    /// [`InstanceRecord::holder`](crate::fleet::membership::InstanceRecord::holder).
    #[serde(rename = "h")]
    pub holder: u64,
    /// The progress of the request.
    #[serde(rename = "p")]
    pub progress: Progress,
}

/// The content of one shard object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Keys with an older timestamp can't be claimed, in ms since the Unix epoch.
    #[serde(rename = "f")]
    pub floor_ms: u64,
    /// The claims by key.
    #[serde(rename = "e")]
    pub entries: BTreeMap<Uuid, Entry>,
}

/// An operation on one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The key.
    pub key: Uuid,
    /// The attempt on whose behalf the operation is made.
    pub attempt: AttemptId,
    /// The holder number of the instance that makes the attempt.
    pub holder: u64,
    /// The action to perform.
    pub action: Action,
}

/// The action that an operation performs on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Claim the key, unless another attempt holds it.
    Claim,
    /// Record the progress of the request.
    Settle(Progress),
    /// Release the key, because the request definitely wasn't dispatched.
    Release,
    /// Record that the request will never run, unless another attempt holds the key.
    Refuse,
}

/// The outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The operation took effect: the key is claimed, settled, refused or released by the attempt.
    Done,
    /// The key is held by another attempt, or by the same attempt with a progress other than `Running`.
    Taken(Entry),
    /// The key's timestamp is below the shard's floor, too far in the future, or missing.
    OutsideWindow,
    /// The platform didn't confirm in time; the operation may still take effect.
    Unconfirmed,
}

impl Shard {
    /// Applies one operation. Returns its outcome and whether the shard has to be written for it.
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
            // The write advances the object's version, so that a delayed write with this attempt's
            // claim fails its condition.
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
        let created_ms = key_ms(&operation.key);
        if created_ms.is_none_or(|ms| ms < self.floor_ms || ms > now_ms + MAX_CLOCK_SKEW_MS) {
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

    /// Removes the entries of keys older than the window, and the oldest ones beyond the size
    /// limit, and raises the floor above what was removed.
    pub fn compact(&mut self, now_ms: u64, window_ms: u64) {
        self.raise_floor(now_ms.saturating_sub(window_ms + MAX_CLOCK_SKEW_MS));
        let max_entries = MAX_SHARD_BYTES / MAX_ENTRY_BYTES;
        if self.entries.len() > max_entries {
            // Version 7 UUIDs sort by time, so the oldest come first.
            let excess = self.entries.len() - max_entries;
            let floor = self.entries.keys().nth(excess).and_then(key_ms);
            self.raise_floor(floor.unwrap_or_default());
        }
    }

    fn raise_floor(&mut self, floor_ms: u64) {
        if floor_ms > self.floor_ms {
            self.floor_ms = floor_ms;
            self.entries
                .retain(|key, _| key_ms(key).is_some_and(|ms| ms >= floor_ms));
        }
    }
}

/// The timestamp of a key, in ms since the Unix epoch; `None` if it isn't a version 7 UUID.
#[must_use]
pub fn key_ms(key: &Uuid) -> Option<u64> {
    let (seconds, nanos) = key
        .get_timestamp()
        .filter(|_| key.get_version_num() == 7)?
        .to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

/// The number of the shard that stores a key, below [`SHARDS`].
#[must_use]
pub fn shard_of(key: &Uuid) -> usize {
    let hash = rendezvous::hash(key.as_bytes());
    usize::try_from(hash % SHARDS as u64).unwrap_or_default()
}

type PendingOperation = (Operation, oneshot::Sender<Outcome>);

#[derive(Default)]
struct ShardQueue {
    pending: Vec<PendingOperation>,
    writing: bool,
    cached: Option<(Option<Version>, Shard)>,
}

/// Writes claims to the platform on behalf of one instance, batched by shard.
pub struct Claims<P> {
    platform: P,
    metrics: Arc<Metrics>,
    window_ms: u64,
    queues: Vec<Mutex<ShardQueue>>,
    failures: AtomicU32,
}

impl<P: Platform> Claims<P> {
    /// Creates a writer whose claims are retained for at least `window_ms`.
    pub fn new(platform: P, metrics: Arc<Metrics>, window_ms: u64) -> Arc<Self> {
        let queues = (0..SHARDS).map(|_| Mutex::default()).collect();
        Arc::new(Self {
            platform,
            metrics,
            window_ms,
            queues,
            failures: AtomicU32::new(0),
        })
    }

    /// Performs one operation in the platform, batched with others of the same shard. While the
    /// platform is unavailable, `Claim` and `Refuse` return `Unconfirmed` at once, so that the
    /// request can be refused without delay.
    pub async fn submit(self: &Arc<Self>, operation: Operation) -> Outcome {
        if self.is_platform_unavailable()
            && matches!(operation.action, Action::Claim | Action::Refuse)
        {
            return Outcome::Unconfirmed;
        }
        let shard = shard_of(&operation.key);
        let (reply, outcome) = oneshot::channel();
        let start = {
            let mut queue = self.queue(shard);
            queue.pending.push((operation, reply));
            !std::mem::replace(&mut queue.writing, true)
        };
        if start {
            tokio::spawn(Arc::clone(self).write_pending(shard));
        }
        match tokio::time::timeout(OPERATION_TIMEOUT, outcome).await {
            Ok(Ok(outcome)) => outcome,
            _ => Outcome::Unconfirmed,
        }
    }

    /// Whether the last calls to the platform failed without a reply.
    #[must_use]
    pub fn is_platform_unavailable(&self) -> bool {
        self.failures.load(Ordering::Relaxed) >= UNAVAILABLE_AFTER
    }

    fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Counts a call without a reply. The call that reaches the limit marks the platform as
    /// unavailable and starts the probe.
    fn record_failure(self: &Arc<Self>) {
        self.metrics.count("claims.no_reply");
        if self.failures.fetch_add(1, Ordering::Relaxed) + 1 == UNAVAILABLE_AFTER {
            log::warn!("platform=out claims=refused");
            tokio::spawn(Arc::clone(self).probe());
        }
    }

    /// Reads a shard repeatedly until the platform replies.
    async fn probe(self: Arc<Self>) {
        while self.read(0).await.is_err() {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        self.record_success();
        log::info!("platform=back claims=taken");
    }

    /// Writes the pending operations of one shard in batches until none is left.
    async fn write_pending(self: Arc<Self>, shard: usize) {
        loop {
            let pending = {
                let mut queue = self.queue(shard);
                let pending = std::mem::take(&mut queue.pending);
                queue.writing = !pending.is_empty();
                pending
            };
            if pending.is_empty() {
                return;
            }
            let started = Instant::now();
            self.commit(shard, pending).await;
            tokio::time::sleep_until(started + WRITE_INTERVAL).await;
        }
    }

    async fn commit(self: &Arc<Self>, shard: usize, pending: Vec<PendingOperation>) {
        let deadline = Instant::now() + OPERATION_TIMEOUT;
        let operations: Vec<Operation> = pending.iter().map(|(op, _)| *op).collect();
        let outcomes = loop {
            match self.commit_once(shard, &operations).await {
                Ok(outcomes) => {
                    self.record_success();
                    break outcomes;
                }
                Err(Error::Conflict) => self.metrics.count("claims.conflict"),
                Err(Error::Throttled) => self.metrics.count("claims.throttled"),
                Err(Error::Unavailable(_)) => self.record_failure(),
            }
            self.queue(shard).cached = None;
            if Instant::now() >= deadline || self.is_platform_unavailable() {
                break vec![Outcome::Unconfirmed; operations.len()];
            }
            tokio::time::sleep(RETRY_DELAY).await;
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
        let cached = self.queue(shard).cached.take();
        let fresh = cached.is_none();
        let (version, mut state) = match cached {
            Some(cached) => cached,
            None => self.read(shard).await?,
        };
        let now_ms = changelog::now_ms();
        let old_floor_ms = state.floor_ms;
        state.compact(now_ms, self.window_ms);
        let results: Vec<(Outcome, bool)> = operations
            .iter()
            .map(|op| state.apply(op, now_ms))
            .collect();
        let dirty = results.iter().any(|(_, dirty)| *dirty);
        if !dirty && !fresh {
            return Box::pin(self.commit_once(shard, operations)).await;
        }
        if dirty {
            let version = self.write(shard, version, &state).await?;
            self.queue(shard).cached = Some((Some(version), state));
        } else if state.floor_ms == old_floor_ms {
            self.queue(shard).cached = Some((version, state));
        }
        Ok(results.into_iter().map(|(outcome, _)| outcome).collect())
    }

    async fn read(&self, shard: usize) -> Result<(Option<Version>, Shard), Error> {
        self.metrics.count("claims.reads");
        match self.platform.get(&object_key(shard)).await? {
            None => Ok((None, Shard::default())),
            Some(stored) => {
                let state = ciborium::from_reader(&stored.value[..]).map_err(|e| {
                    Error::Unavailable(format!("claim shard {shard} cannot be decoded: {e}"))
                })?;
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
            .put(&object_key(shard), Bytes::from(value), condition)
            .await
    }

    fn queue(&self, shard: usize) -> MutexGuard<'_, ShardQueue> {
        self.queues[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn object_key(shard: usize) -> String {
    format!("claims/shard/{shard:03}")
}

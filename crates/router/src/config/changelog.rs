//! The numbered log of changes in the platform, and this instance's place in it.
//!
//! Change n is the object `config/log/n`, created only if absent. Every instance holds the result of
//! all changes up to its number, which never goes down.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::config::catalogue::{Catalogue, Difference};
use crate::config::object::{Change, Edit, Number, Object};
use crate::error::{Fault, Kind};
use crate::metrics::Metrics;
use crate::platform::{Condition, Error, Platform};

/// Prefix of the log's objects.
const LOG_PREFIX: &str = "config/log/";
/// Key of the newest snapshot's index.
const SNAPSHOT_KEY: &str = "config/snapshot";
/// Changes between snapshots.
const SNAPSHOT_EVERY: Number = 64;
/// Bytes of one part of a snapshot.
const PART_BYTES: usize = 768 << 10;
/// Changes kept in memory for peers.
const RECENT: usize = 256;
/// Tries of one change against racing operators.
const TRIES: u32 = 32;
/// Wait before asking a platform again that didn't reply.
const RETRY: Duration = Duration::from_millis(100);

/// An operator's change before it has a number.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The change's identity; the same identity is accepted once.
    pub id: SmolStr,
    /// The operator's name.
    pub operator: SmolStr,
    /// The steps.
    pub edits: Vec<Edit>,
}

/// The index of a snapshot: its number and how many parts it has.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Index {
    number: Number,
    parts: usize,
}

/// The numbered log, read and written through the platform.
pub struct Changelog<P> {
    platform: P,
    metrics: Arc<Metrics>,
    current: watch::Sender<Arc<Catalogue>>,
    recent: Mutex<VecDeque<Change>>,
    ahead: Mutex<BTreeMap<Number, Change>>,
}

impl<P: Platform> Changelog<P> {
    /// An empty log at number 0.
    pub fn new(platform: P, metrics: Arc<Metrics>) -> Self {
        let (current, _) = watch::channel(Arc::new(Catalogue::default()));
        Self {
            platform,
            metrics,
            current,
            recent: Mutex::default(),
            ahead: Mutex::default(),
        }
    }

    /// The configuration in force here.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        self.current.borrow().clone()
    }

    /// Follows the configuration in force here.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Catalogue>> {
        self.current.subscribe()
    }

    /// Accepts a proposal as the next change, or refuses it with the reason.
    ///
    /// # Errors
    /// `change_refused`, `platform_unavailable`, or `outcome_unknown` when a reply was lost and the
    /// platform can't be asked.
    pub async fn propose(&self, proposal: &Proposal) -> Result<Number, Fault> {
        let mut written = false;
        for _ in 0..TRIES {
            if let Err(error) = self.catch_up().await {
                return Err(unreachable(written, &error));
            }
            if let Some(number) = self.find(&proposal.id) {
                return Ok(number);
            }
            let current = self.catalogue();
            if current.plan(&proposal.edits).is_empty() {
                return Ok(current.number());
            }
            let change = Change {
                number: current.number() + 1,
                id: proposal.id.clone(),
                operator: proposal.operator.clone(),
                at_ms: now_ms(),
                before: current.before(&proposal.edits),
                edits: proposal.edits.clone(),
            };
            current.apply(&change)?;
            let key = log_key(change.number);
            let value = Bytes::from(serde_json::to_vec(&change).map_err(internal)?);
            match self.platform.put(&key, value, Condition::Absent).await {
                Ok(_) => {
                    self.learn(vec![change.clone()]);
                    self.snapshot(change.number).await;
                    return Ok(change.number);
                }
                // Somebody else's change came first, or our own whose reply was lost: the next
                // round reads it and tells by its id.
                Err(Error::Conflict) => self.metrics.count("config.conflict"),
                Err(Error::Throttled) => tokio::time::sleep(RETRY).await,
                Err(Error::Unavailable(_)) => {
                    written = true;
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
        Err(unreachable(written, &Error::Conflict))
    }

    /// What a proposal would alter.
    pub fn plan(&self, edits: &[Edit]) -> Vec<Difference> {
        self.catalogue().plan(edits)
    }

    fn find(&self, id: &str) -> Option<Number> {
        let recent = lock(&self.recent);
        recent.iter().find(|c| c.id == id).map(|c| c.number)
    }

    /// Reads every change that the platform has after this instance's number.
    ///
    /// # Errors
    /// Those of the platform.
    pub async fn catch_up(&self) -> Result<(), Error> {
        if self.catalogue().number() == 0 {
            self.load_snapshot().await?;
        }
        loop {
            let next = self.catalogue().number() + 1;
            let Some(stored) = self.platform.get(&log_key(next)).await? else {
                return Ok(());
            };
            match serde_json::from_slice(&stored.value) {
                Ok(change) => self.learn(vec![change]),
                Err(e) => return Err(Error::Unavailable(format!("change {next} is damaged: {e}"))),
            }
            if self.catalogue().number() < next {
                return Err(Error::Unavailable(format!("change {next} doesn't apply")));
            }
        }
    }

    /// Waits on the platform for changes after a version, and tells the version reached; run by the
    /// few instances that watch.
    ///
    /// # Errors
    /// Those of the platform.
    pub async fn watch_once(&self, after: u64, wait: Duration) -> Result<u64, Error> {
        let batch = self.platform.watch(LOG_PREFIX, after, wait).await?;
        let changes = batch
            .items
            .iter()
            .filter_map(|i| serde_json::from_slice(&i.value).ok())
            .collect();
        self.learn(changes);
        if self.catalogue().number() == 0 {
            self.catch_up().await?;
        }
        Ok(batch.version)
    }

    /// Takes in changes in any order; those that don't follow yet are kept until they do.
    pub fn learn(&self, changes: Vec<Change>) {
        let mut ahead = lock(&self.ahead);
        let mut current = self.catalogue();
        let before = current.number();
        for change in changes {
            if change.number > before {
                ahead.insert(change.number, change);
            }
        }
        while let Some(change) = ahead.remove(&(current.number() + 1)) {
            match current.replay(&change) {
                Ok(next) => current = Arc::new(next),
                Err(_) => break,
            }
            self.remember(change);
        }
        let number = current.number();
        ahead.retain(|n, _| *n > number);
        if number > before {
            self.metrics.add("config.changes", number - before);
            self.current.send_replace(current);
        }
    }

    fn remember(&self, change: Change) {
        let mut recent = lock(&self.recent);
        recent.push_back(change);
        if recent.len() > RECENT {
            recent.pop_front();
        }
    }

    /// The changes after `number` that are still in memory, or none when they don't reach back.
    pub fn changes_after(&self, number: Number) -> Vec<Change> {
        let recent = lock(&self.recent);
        match recent.front() {
            Some(first) if first.number <= number + 1 => recent
                .iter()
                .filter(|c| c.number > number)
                .cloned()
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Takes in a whole configuration from a peer, if it is newer.
    pub fn restore(&self, catalogue: Catalogue) {
        let _ahead = lock(&self.ahead);
        self.current.send_if_modified(|current| {
            let newer = catalogue.number() > current.number();
            if newer {
                *current = Arc::new(catalogue);
            }
            newer
        });
    }

    /// The changes from `from` on, at most `limit`, read from the platform.
    ///
    /// # Errors
    /// Those of the platform.
    pub async fn audit(&self, from: Number, limit: usize) -> Result<Vec<Change>, Error> {
        let mut changes = Vec::new();
        let last = self.catalogue().number();
        for number in (from.max(1)..=last).take(limit) {
            let stored = self.platform.get(&log_key(number)).await?;
            changes.extend(stored.and_then(|s| serde_json::from_slice(&s.value).ok()));
        }
        Ok(changes)
    }

    /// Writes a snapshot when `number` is due for one. A failure only makes the next start longer.
    async fn snapshot(&self, number: Number) {
        let catalogue = self.catalogue();
        if !number.is_multiple_of(SNAPSHOT_EVERY) || catalogue.number() < number {
            return;
        }
        if let Err(error) = self.write_snapshot(&catalogue).await {
            self.metrics.count("config.snapshot_failed");
            log::warn!("snapshot=failed number={number} reason={error}");
        }
    }

    async fn write_snapshot(&self, catalogue: &Catalogue) -> Result<(), Error> {
        let number = catalogue.number();
        let mut parts: Vec<Vec<&Object>> = vec![Vec::new()];
        let mut bytes = 0;
        for object in catalogue.objects() {
            let size = serde_json::to_vec(object.as_ref()).map_or(0, |v| v.len());
            if bytes + size > PART_BYTES {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += size;
            if let Some(part) = parts.last_mut() {
                part.push(object.as_ref());
            }
        }
        for (i, part) in parts.iter().enumerate() {
            let value = serde_json::to_vec(part).map_err(damaged)?;
            let key = part_key(number, i);
            match self
                .platform
                .put(&key, value.into(), Condition::Absent)
                .await
            {
                Ok(_) | Err(Error::Conflict) => {}
                Err(error) => return Err(error),
            }
        }
        let index = Index {
            number,
            parts: parts.len(),
        };
        let value = Bytes::from(serde_json::to_vec(&index).map_err(damaged)?);
        let condition = match self.platform.get(SNAPSHOT_KEY).await? {
            None => Condition::Absent,
            Some(stored) => match serde_json::from_slice::<Index>(&stored.value) {
                Ok(newer) if newer.number >= number => return Ok(()),
                _ => Condition::Version(stored.version),
            },
        };
        self.platform.put(SNAPSHOT_KEY, value, condition).await?;
        Ok(())
    }

    async fn load_snapshot(&self) -> Result<(), Error> {
        let Some(stored) = self.platform.get(SNAPSHOT_KEY).await? else {
            return Ok(());
        };
        let index: Index = serde_json::from_slice(&stored.value).map_err(damaged)?;
        let mut objects: Vec<Object> = Vec::new();
        for i in 0..index.parts {
            let key = part_key(index.number, i);
            let Some(part) = self.platform.get(&key).await? else {
                return Err(damaged("a part of the snapshot is missing"));
            };
            let part: Vec<Object> = serde_json::from_slice(&part.value).map_err(damaged)?;
            objects.extend(part);
        }
        self.restore(Catalogue::restore(index.number, objects));
        Ok(())
    }
}

fn log_key(number: Number) -> String {
    format!("{LOG_PREFIX}{number:012}")
}

fn part_key(number: Number, part: usize) -> String {
    format!("{SNAPSHOT_KEY}/{number:012}/{part}")
}

/// Milliseconds since the Unix epoch by this instance's clock.
#[must_use]
pub fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn damaged(error: impl std::fmt::Display) -> Error {
    Error::Unavailable(error.to_string())
}

fn internal(error: impl std::fmt::Display) -> Fault {
    Fault::new(Kind::Internal, error.to_string())
}

fn unreachable(written: bool, error: &Error) -> Fault {
    let kind = if written {
        Kind::OutcomeUnknown
    } else {
        Kind::PlatformUnavailable
    };
    Fault::new(kind, error.to_string()).retry_after(Duration::from_secs(1))
}

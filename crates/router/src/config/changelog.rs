//! The change log in the platform, and the state of this instance in it.
//!
//! Change n is the platform object `config/log/n`, which is created only if absent. Every instance
//! holds the catalogue after all changes up to its current number, which never decreases.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::config::catalogue::{Catalogue, Difference};
use crate::config::object::{Change, ChangeNumber, Edit, Object};
use crate::error::{Fault, Kind};
use crate::metrics::Metrics;
use crate::platform::{Condition, Error, Platform};

/// Key prefix of the change objects in the platform.
const LOG_PREFIX: &str = "config/log/";
/// Key of the index of the latest snapshot, and prefix of its parts.
const SNAPSHOT_KEY: &str = "config/snapshot";
/// Number of changes between two snapshots.
const SNAPSHOT_INTERVAL: ChangeNumber = 64;
/// Maximum size of one snapshot part, in bytes.
const MAX_PART_BYTES: usize = 768 << 10;
/// Maximum number of recent changes in memory, from which peers are served.
const MAX_RECENT_CHANGES: usize = 256;
/// Maximum number of attempts to append one change in a race with other operators.
const MAX_ATTEMPTS: u32 = 32;
/// Delay before a call is retried that the platform throttled or didn't reply to.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A change that an operator proposes, before it has a number.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The identifier of the change; a repeated proposal with the same identifier is accepted only
    /// once.
    pub id: SmolStr,
    /// The name of the operator.
    pub operator: SmolStr,
    /// The edits, applied in order.
    pub edits: Vec<Edit>,
}

/// The index of a snapshot: the number of its last change and its number of parts.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct SnapshotIndex {
    number: ChangeNumber,
    parts: usize,
}

/// The change log, read and written through the platform.
pub struct Changelog<P> {
    platform: P,
    metrics: Arc<Metrics>,
    current: watch::Sender<Arc<Catalogue>>,
    recent: Mutex<VecDeque<Change>>,
    pending: Mutex<BTreeMap<ChangeNumber, Change>>,
}

impl<P: Platform> Changelog<P> {
    /// Creates a change log with the empty catalogue, at number 0.
    pub fn new(platform: P, metrics: Arc<Metrics>) -> Self {
        let (current, _) = watch::channel(Arc::new(Catalogue::default()));
        Self {
            platform,
            metrics,
            current,
            recent: Mutex::default(),
            pending: Mutex::default(),
        }
    }

    /// The current catalogue of this instance.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        self.current.borrow().clone()
    }

    /// Subscribes to the current catalogue of this instance.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Catalogue>> {
        self.current.subscribe()
    }

    /// Validates a proposal and appends it to the log. Returns the number of the change, also if it
    /// was accepted earlier, or the current number if the proposal would change nothing.
    ///
    /// # Errors
    /// `change_refused` with the reason, `platform_unavailable`, or `outcome_unknown` if a write
    /// wasn't confirmed and the log can't be read to find out.
    pub async fn propose(&self, proposal: &Proposal) -> Result<ChangeNumber, Fault> {
        let mut unconfirmed = false;
        for _ in 0..MAX_ATTEMPTS {
            if let Err(error) = self.catch_up().await {
                return Err(platform_fault(unconfirmed, &error));
            }
            if let Some(number) = self.find_recent(&proposal.id) {
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
                before: current.previous_objects(&proposal.edits),
                edits: proposal.edits.clone(),
            };
            current.apply(&change)?;
            let key = log_key(change.number);
            let value = Bytes::from(serde_json::to_vec(&change).map_err(internal_fault)?);
            match self.platform.put(&key, value, Condition::Absent).await {
                Ok(_) => {
                    self.ingest(vec![change.clone()]);
                    self.snapshot_if_due(change.number).await;
                    return Ok(change.number);
                }
                // Another change got the number, or this one did and the reply was lost: the next
                // attempt reads the change and compares its id.
                Err(Error::Conflict) => self.metrics.count("config.conflict"),
                Err(Error::Throttled) => tokio::time::sleep(RETRY_DELAY).await,
                Err(Error::Unavailable(_)) => {
                    unconfirmed = true;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        Err(platform_fault(unconfirmed, &Error::Conflict))
    }

    /// The differences that the edits would make to the current catalogue.
    pub fn plan(&self, edits: &[Edit]) -> Vec<Difference> {
        self.catalogue().plan(edits)
    }

    fn find_recent(&self, id: &str) -> Option<ChangeNumber> {
        let recent = lock(&self.recent);
        recent.iter().find(|c| c.id == id).map(|c| c.number)
    }

    /// Reads all changes after this instance's number from the platform; the first call starts from
    /// the latest snapshot.
    ///
    /// # Errors
    /// The error of the failed platform call, or `Unavailable` if the stored data is invalid.
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
                Ok(change) => self.ingest(vec![change]),
                Err(e) => {
                    return Err(Error::Unavailable(format!(
                        "change {next} cannot be decoded: {e}"
                    )));
                }
            }
            if self.catalogue().number() < next {
                return Err(Error::Unavailable(format!(
                    "change {next} cannot be applied"
                )));
            }
        }
    }

    /// Long-polls the platform for changes after the platform version `after`, for up to `wait`,
    /// and returns the version reached. Called by the few instances that watch the log.
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
        self.ingest(changes);
        if self.catalogue().number() == 0 {
            self.catch_up().await?;
        }
        Ok(batch.version)
    }

    /// Applies changes received in any order; a change after a gap is kept until the gap is filled.
    pub fn ingest(&self, changes: Vec<Change>) {
        let mut pending = lock(&self.pending);
        let mut current = self.catalogue();
        let before = current.number();
        for change in changes {
            if change.number > before {
                pending.insert(change.number, change);
            }
        }
        while let Some(change) = pending.remove(&(current.number() + 1)) {
            match current.replay(&change) {
                Ok(next) => current = Arc::new(next),
                Err(_) => break,
            }
            self.push_recent(change);
        }
        let number = current.number();
        pending.retain(|n, _| *n > number);
        if number > before {
            self.metrics.add("config.changes", number - before);
            self.current.send_replace(current);
        }
    }

    fn push_recent(&self, change: Change) {
        let mut recent = lock(&self.recent);
        recent.push_back(change);
        if recent.len() > MAX_RECENT_CHANGES {
            recent.pop_front();
        }
    }

    /// The changes after `number`; empty if there are none, or if the first of them isn't in memory
    /// any more.
    pub fn changes_after(&self, number: ChangeNumber) -> Vec<Change> {
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

    /// Replaces the current catalogue by one from a peer or a snapshot, if that is newer.
    pub fn restore(&self, catalogue: Catalogue) {
        let _pending = lock(&self.pending);
        self.current.send_if_modified(|current| {
            let newer = catalogue.number() > current.number();
            if newer {
                *current = Arc::new(catalogue);
            }
            newer
        });
    }

    /// Reads at most `limit` changes from `from` on from the platform, up to this instance's
    /// number. Changes that can't be decoded are left out.
    ///
    /// # Errors
    /// Those of the platform.
    pub async fn audit(&self, from: ChangeNumber, limit: usize) -> Result<Vec<Change>, Error> {
        let mut changes = Vec::new();
        let last = self.catalogue().number();
        for number in (from.max(1)..=last).take(limit) {
            let stored = self.platform.get(&log_key(number)).await?;
            changes.extend(stored.and_then(|s| serde_json::from_slice(&s.value).ok()));
        }
        Ok(changes)
    }

    /// Writes a snapshot if one is due at `number`. A failure is only logged, since without the
    /// snapshot instances merely read more changes at their start.
    async fn snapshot_if_due(&self, number: ChangeNumber) {
        let catalogue = self.catalogue();
        if !number.is_multiple_of(SNAPSHOT_INTERVAL) || catalogue.number() < number {
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
            if bytes + size > MAX_PART_BYTES {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += size;
            if let Some(part) = parts.last_mut() {
                part.push(object.as_ref());
            }
        }
        for (i, part) in parts.iter().enumerate() {
            let value = serde_json::to_vec(part).map_err(invalid_data)?;
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
        let index = SnapshotIndex {
            number,
            parts: parts.len(),
        };
        let value = Bytes::from(serde_json::to_vec(&index).map_err(invalid_data)?);
        let condition = match self.platform.get(SNAPSHOT_KEY).await? {
            None => Condition::Absent,
            Some(stored) => match serde_json::from_slice::<SnapshotIndex>(&stored.value) {
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
        let index: SnapshotIndex = serde_json::from_slice(&stored.value).map_err(invalid_data)?;
        let mut objects: Vec<Object> = Vec::new();
        for i in 0..index.parts {
            let key = part_key(index.number, i);
            let Some(part) = self.platform.get(&key).await? else {
                return Err(invalid_data(
                    "a part of the configuration snapshot is missing",
                ));
            };
            let part: Vec<Object> = serde_json::from_slice(&part.value).map_err(invalid_data)?;
            objects.extend(part);
        }
        self.restore(Catalogue::restore(index.number, objects));
        Ok(())
    }
}

fn log_key(number: ChangeNumber) -> String {
    format!("{LOG_PREFIX}{number:012}")
}

fn part_key(number: ChangeNumber, part: usize) -> String {
    format!("{SNAPSHOT_KEY}/{number:012}/{part}")
}

/// The current time of this instance's clock, in ms since the Unix epoch.
#[must_use]
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn invalid_data(error: impl std::fmt::Display) -> Error {
    Error::Unavailable(error.to_string())
}

fn internal_fault(error: impl std::fmt::Display) -> Fault {
    Fault::new(Kind::Internal, error.to_string())
}

fn platform_fault(unconfirmed: bool, error: &Error) -> Fault {
    let kind = if unconfirmed {
        Kind::OutcomeUnknown
    } else {
        Kind::PlatformUnavailable
    };
    Fault::new(kind, error.to_string()).retry_after(Duration::from_secs(1))
}

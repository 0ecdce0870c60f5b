//! Keeps in a store since when each service has had one software version only, and how long its streams can last, so that
//! instances which all start anew know whether one that is still alive can have begun at another version.
//!
//! Several instances write the same record, and the store may carry out a write seconds after its call was given up. So
//! each write names the change of the record that it follows, and a record names the position of the list of servers
//! on which it is based: an instance whose list is older leaves it alone.

use std::collections::{HashMap, HashSet};
use std::fmt::Display;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::{self, Instant};

use crate::config::changelog;
use crate::event::Line;
use crate::fleet::links::{self, StoreRole};
use crate::fleet::replica::{Position, Revision};
use crate::fleet::stream_lifetimes::RecordedLifetimes;
use crate::load::pool::{CommonVersion, Pool};
use crate::node::Node;

/// Time between two comparisons of the versions with their records.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads of the records by an instance that writes them.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit of such a read.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the start before an instance writes: by then it knows the others, and so whether it is one of those
/// that write.
const WARM_UP: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const BACKOFF: Duration = Duration::from_secs(1);
/// Time by which the clocks of two instances may differ.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// Since when a service has had one version only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRecord {
    /// The service.
    pub service: SmolStr,
    /// The version of all its servers; `None` while there are several or servers without one.
    pub version: Option<SmolStr>,
    /// Since when, in Unix milliseconds.
    pub since_ms: u64,
    /// The position of the list of servers that shows it; zero in records of older builds.
    pub position: Position,
    /// How long the streams of the service can last; `None` in records of older builds.
    pub lifetimes: Option<RecordedLifetimes>,
}

/// A record as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record.
    pub record: VersionRecord,
    /// The record's last change, on which a write is based.
    pub changed: Position,
}

/// The records of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordList {
    /// The records.
    pub records: Vec<StoredRecord>,
    /// The position of the store that had them.
    pub position: Position,
}

/// The store of the platform that the process runs on.
pub trait VersionStore: Send + Sync {
    /// Why a call has no known outcome. The store may have carried it out, or may do so later if its condition still
    /// holds.
    type Error: Display + Send;

    /// The records of all services, up to date.
    fn list(&self) -> impl Future<Output = Result<RecordList, Self::Error>> + Send;

    /// The records of all services, possibly some seconds out of date.
    fn list_stale(&self) -> impl Future<Output = Result<RecordList, Self::Error>> + Send;

    /// Writes a record if the stored one still has the revision `follows`, or if there is none and that is `None`.
    /// Returns the record after the call, whether this wrote it or not; `None` if there is none.
    fn replace(
        &self,
        record: &VersionRecord,
        follows: Option<Revision>,
    ) -> impl Future<Output = Result<Option<StoredRecord>, Self::Error>> + Send;
}

/// Reads the records, and then writes those of services whose version changes. The instances that watch the store for
/// others write; the others read when a caller takes up a stream. Never returns.
/// `first_start` tells that the whole system starts for the first time: no other version can have served before.
pub async fn run<S: VersionStore>(node: Arc<Node>, store: Arc<S>, first_start: bool) {
    let mut records = Records {
        first_start,
        ..Records::default()
    };
    if first_start {
        node.stream_lifetimes.begin();
    }
    let start = Instant::now();
    loop {
        let writes = start.elapsed() >= WARM_UP
            && links::store_role(&node.membership, &node.links) != StoreRole::Follower;
        let wait = match records.compare(&node, store.as_ref(), writes).await {
            Ok(()) => INTERVAL,
            Err(error) => {
                log::warn!("versions=not_recorded reason=\"{error}\"");
                BACKOFF
            }
        };
        tokio::select! {
            () = time::sleep(wait) => {}
            () = node.version_demand.notified(), if !records.wanted => {
                records.wanted = true;
            }
        }
    }
}

/// The versions that an instance sees a service have.
#[derive(Clone, Debug)]
struct Observation {
    common: CommonVersion,
    /// The position of the list of servers.
    position: Position,
}

impl Observation {
    /// What `pool` shows; `None` as long as it has had no server.
    fn of(node: &Node, pool: &Pool) -> Option<Self> {
        let (position, common) = node.list_position.read(|| pool.common_version());
        common.map(|common| Self { common, position })
    }
}

/// The record of one service as this instance last found it in the store.
#[derive(Clone, Debug)]
struct KnownRecord {
    stored: StoredRecord,
    /// How many of the changes that this instance saw the record takes into account; `None` if that isn't known.
    covered: Option<u64>,
}

impl KnownRecord {
    /// Takes in what the store has, which may be the record of another instance. `before` is what was known until now.
    fn adopt(stored: StoredRecord, before: Option<&Self>, own: &Observation) -> Self {
        let position = stored.record.position;
        let covered = match before {
            _ if position >= own.position => Some(own.common.changes),
            // What was before this instance started is in the record.
            None => Some(0),
            Some(before) if position >= before.stored.record.position => before.covered,
            Some(_) => None,
        };
        Self { stored, covered }
    }

    /// Whether the record is based on a later list of servers than `own`.
    fn is_ahead(&self, own: &Observation) -> bool {
        self.stored.record.position > own.position
    }

    /// Whether the record says what `own` shows.
    fn agrees(&self, own: &Observation) -> bool {
        self.stored.record.version == own.common.version && self.covered == Some(own.common.changes)
    }
}

/// What this instance knows of the records.
#[derive(Default)]
struct Records {
    first_start: bool,
    /// Whether a caller needs them although this instance doesn't write them.
    wanted: bool,
    /// The services whose records, if any, were read.
    read: HashSet<SmolStr>,
    /// The records that the store has.
    known: HashMap<SmolStr, KnownRecord>,
    /// When they were last read again.
    checked: Option<Instant>,
}

impl Records {
    async fn compare<S: VersionStore>(
        &mut self,
        node: &Node,
        store: &S,
        writes: bool,
    ) -> Result<(), S::Error> {
        let pools = node.pools.all();
        let seen = |p: &Arc<Pool>| p.common_version().is_some();
        let pools: Vec<Arc<Pool>> = pools.into_iter().filter(seen).collect();
        let unread = pools.iter().any(|p| !self.read.contains(p.name()));
        if unread && (writes || self.wanted) {
            self.read(node, &pools, store.list().await?.records);
        }
        if writes {
            for pool in &pools {
                self.write_change(node, pool, store).await?;
            }
            self.check(node, &pools, store).await;
        }
        Ok(())
    }

    /// Reads the records again from time to time. A call that fails is left to the next time, and isn't waited for long,
    /// as changes wait to be written meanwhile.
    async fn check<S: VersionStore>(&mut self, node: &Node, pools: &[Arc<Pool>], store: &S) {
        if self.checked.is_some_and(|at| at.elapsed() < CHECK_INTERVAL) {
            return;
        }
        self.checked = Some(Instant::now());
        if let Ok(Ok(list)) = time::timeout(CHECK_TIMEOUT, store.list_stale()).await {
            self.take_in(node, pools, &list);
        }
    }

    /// Takes in records that have changed since this instance read or wrote them: an older build replaces any, and a write
    /// of an instance that is gone may be carried out late. What they get wrong is written again.
    fn take_in(&mut self, node: &Node, pools: &[Arc<Pool>], list: &RecordList) {
        for pool in pools {
            let service = pool.name();
            let Some(known) = self.known.get(service) else {
                continue;
            };
            let changed = known.stored.changed;
            let found = list.records.iter().find(|r| r.record.service == *service);
            match found.zip(Observation::of(node, pool)) {
                // The list is older than what is known.
                _ if list.position < changed => {}
                Some((found, _)) if found.changed == changed => {}
                Some((found, own)) => self.adopt_found(node, pool, found.clone(), &own),
                None => drop(self.known.remove(service)),
            }
        }
    }

    /// Applies the records of pools whose servers were seen before the records were read: what came in between would
    /// be unknown otherwise.
    fn read(&mut self, node: &Node, pools: &[Arc<Pool>], records: Vec<StoredRecord>) {
        let mut records: HashMap<SmolStr, StoredRecord> = records
            .into_iter()
            .map(|r| (r.record.service.clone(), r))
            .collect();
        for pool in pools {
            let service = pool.name();
            if !self.read.insert(service.clone()) {
                continue;
            }
            let Some((stored, own)) = records.remove(service).zip(Observation::of(node, pool))
            else {
                continue;
            };
            self.adopt_found(node, pool, stored, &own);
        }
    }

    async fn write_change<S: VersionStore>(
        &mut self,
        node: &Node,
        pool: &Pool,
        store: &S,
    ) -> Result<(), S::Error> {
        let Some(own) = Observation::of(node, pool) else {
            return Ok(());
        };
        let known = self.known.get(pool.name());
        let recorded = known.and_then(|k| k.stored.record.lifetimes);
        let lifetimes = node.stream_lifetimes.to_record(pool.name());
        let covered = match (&recorded, &lifetimes) {
            (_, None) => true,
            (recorded, Some(own)) => recorded.is_some_and(|r| r.covers(own)),
        };
        let agrees = known.is_some_and(|k| k.agrees(&own));
        if (agrees && covered) || known.is_some_and(|k| k.is_ahead(&own)) {
            return Ok(());
        }
        let since = known.filter(|_| agrees).map(|k| k.stored.record.since_ms);
        let record = VersionRecord {
            service: pool.name().clone(),
            version: own.common.version.clone(),
            since_ms: since.unwrap_or_else(|| self.since_ms(pool, &own)),
            position: own.position,
            lifetimes: if covered { recorded } else { lifetimes },
        };
        let follows = known.map(|k| k.stored.changed.revision);
        let replaced = store.replace(&record, follows).await;
        log_replaced(&record, replaced.as_ref());
        match replaced? {
            Some(stored) if stored.record == record => self.adopt(pool, stored, &own),
            Some(stored) => self.adopt_found(node, pool, stored, &own),
            None => drop(self.known.remove(pool.name())),
        }
        Ok(())
    }

    /// Since when the service has had the version that `own` shows, as far as this instance knows.
    fn since_ms(&self, pool: &Pool, own: &Observation) -> u64 {
        let recorded = self.known.contains_key(pool.name());
        // Nothing was before, unless this instance has itself seen another version.
        let only = |version: &SmolStr| pool.has_seen_only(version);
        let since_ever =
            self.first_start && !recorded && own.common.version.as_ref().is_some_and(only);
        if since_ever { 0 } else { changelog::now_ms() }
    }

    /// Takes in a record that another instance, or an earlier one, wrote.
    fn adopt_found(&mut self, node: &Node, pool: &Pool, found: StoredRecord, own: &Observation) {
        node.stream_lifetimes
            .learn(pool.name(), found.record.lifetimes.as_ref());
        self.adopt(pool, found, own);
    }

    /// Takes in what the store has. What was before this instance started follows from the first record that it finds.
    fn adopt(&mut self, pool: &Pool, stored: StoredRecord, own: &Observation) {
        let before = self.known.get(pool.name());
        if before.is_none() {
            apply(pool, &stored.record);
        }
        let known = KnownRecord::adopt(stored, before, own);
        self.known.insert(pool.name().clone(), known);
    }
}

fn log_replaced<E>(record: &VersionRecord, replaced: Result<&Option<StoredRecord>, &E>) {
    let outcome = match replaced {
        Ok(Some(stored)) if stored.record == *record => "written",
        Ok(Some(_)) => "other",
        Ok(None) => "gone",
        Err(_) => "failed",
    };
    Line::new("versions.recorded")
        .field("service", &record.service)
        .optional_field("version", record.version.as_ref())
        .field("since_ms", record.since_ms)
        .optional_field(
            "lifetime_ms",
            record.lifetimes.map(|l| l.longest().as_millis()),
        )
        .optional_field("past_ms", record.lifetimes.map(|l| l.past.as_millis()))
        .field("list_revision", record.position.revision)
        .field("outcome", outcome)
        .write(log::Level::Info);
}

/// Tells a pool what its record says of the time before this instance started.
fn apply(pool: &Pool, record: &VersionRecord) {
    let age = Duration::from_millis(changelog::now_ms().saturating_sub(record.since_ms));
    let age = age.saturating_sub(CLOCK_MARGIN);
    let Some(version) = &record.version else {
        return;
    };
    let trusted = pool.trust_version(version, age);
    Line::new("versions.read")
        .field("service", &record.service)
        .field("version", version)
        .optional_field(
            "lifetime_ms",
            record.lifetimes.map(|l| l.longest().as_millis()),
        )
        .optional_field("past_ms", record.lifetimes.map(|l| l.past.as_millis()))
        .field("age_ms", age.as_millis())
        .field("outcome", if trusted { "trusted" } else { "other" })
        .write(log::Level::Info);
}

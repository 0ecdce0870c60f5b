//! Keeps in a store since when each service has had one software version only, so that instances which all start anew
//! know whether a stream can have begun at another one.

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
use crate::load::pool::{CommonVersion, Pool};
use crate::node::Node;

/// Time between two comparisons of the versions with their records.
const INTERVAL: Duration = Duration::from_millis(200);
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
}

/// The store of the platform that the process runs on.
pub trait VersionStore: Send + Sync {
    /// Why a call failed.
    type Error: Display + Send;

    /// The records of all services.
    fn list(&self) -> impl Future<Output = Result<Vec<VersionRecord>, Self::Error>> + Send;

    /// Writes a record, or replaces it.
    fn put(&self, record: &VersionRecord) -> impl Future<Output = Result<(), Self::Error>> + Send;
}

/// Reads the records, and then writes those of services whose version changes. The instances that watch the store for
/// others write; the others read when a caller takes up a stream. Never returns.
/// `first_start` tells that the whole system starts for the first time: no other version can have served before.
pub async fn run<S: VersionStore>(node: Arc<Node>, store: Arc<S>, first_start: bool) {
    let mut records = Records {
        first_start,
        ..Records::default()
    };
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

/// What this instance knows of the records.
#[derive(Default)]
struct Records {
    first_start: bool,
    /// Whether a caller needs them although this instance doesn't write them.
    wanted: bool,
    /// The services whose records, if any, were read.
    read: HashSet<SmolStr>,
    /// The versions that the store has, as of which of their changes.
    known: HashMap<SmolStr, CommonVersion>,
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
            self.read(&pools, store.list().await?);
        }
        if writes {
            for pool in &pools {
                self.write_change(pool, store).await?;
            }
        }
        Ok(())
    }

    /// Applies the records of pools whose servers were seen before the records were read: what came in between would
    /// be unknown otherwise.
    fn read(&mut self, pools: &[Arc<Pool>], records: Vec<VersionRecord>) {
        let mut records: HashMap<SmolStr, VersionRecord> = records
            .into_iter()
            .map(|r| (r.service.clone(), r))
            .collect();
        for pool in pools {
            let service = pool.name();
            if !self.read.insert(service.clone()) {
                continue;
            }
            let Some((record, seen)) = records.remove(service).zip(pool.common_version()) else {
                continue;
            };
            apply(pool, &record);
            let known = CommonVersion {
                version: record.version,
                ..seen
            };
            self.known.insert(service.clone(), known);
        }
    }

    async fn write_change<S: VersionStore>(
        &mut self,
        pool: &Pool,
        store: &S,
    ) -> Result<(), S::Error> {
        let Some(common) = pool.common_version() else {
            return Ok(());
        };
        let service = pool.name().clone();
        let known = self.known.get(&service);
        if known == Some(&common) {
            return Ok(());
        }
        let version = &common.version;
        // Nothing was before, unless this instance has itself seen another version.
        let since_ever = known.is_none()
            && self.first_start
            && version
                .as_ref()
                .is_some_and(|v| pool.trust_version(v, Duration::MAX));
        let since_ms = if since_ever { 0 } else { changelog::now_ms() };
        let record = VersionRecord {
            service: service.clone(),
            version: version.clone(),
            since_ms,
        };
        let written = store.put(&record).await;
        log_written(&record, if written.is_ok() { "written" } else { "failed" });
        written?;
        self.known.insert(service, common);
        Ok(())
    }
}

fn log_written(record: &VersionRecord, outcome: &str) {
    Line::new("versions.recorded")
        .field("service", &record.service)
        .optional_field("version", record.version.as_ref())
        .field("since_ms", record.since_ms)
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
        .field("age_ms", age.as_millis())
        .field("outcome", if trusted { "trusted" } else { "other" })
        .write(log::Level::Info);
}

//! Records of the only version of each service, which instances that all start anew rely on.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use jackdawtally::changelog;
use jackdawtally::fleet::replica::{Position, Revision};
use jackdawtally::fleet::version_records::{
    self, RecordList, StoredRecord, VersionRecord, VersionStore,
};
use jackdawtally::node::Node;
use jackdawtally::object::BackendServer;
use jackdawtally::stream_lifetimes::{
    LifetimesByService, RecordedLifetimes, ServiceStreams, StreamsByService,
};
use tokio::time;

/// Time in which an instance writes what has changed.
const WRITE_TIME: Duration = Duration::from_secs(5);

/// Lifetimes of streams by two configurations.
const LONG: Duration = Duration::from_secs(16);
const SHORT: Duration = Duration::from_secs(3);

/// A store that fails until it is told to work, and that carries out held writes late.
#[derive(Default)]
struct Store {
    works: Mutex<bool>,
    /// The service's record.
    stored: Mutex<Option<StoredRecord>>,
    /// Whether lists lack the record, as one that is made too early.
    unlisted: Mutex<bool>,
    /// An older list, for those who take one.
    stale: Mutex<Option<RecordList>>,
    /// Whether writes are neither carried out nor answered.
    holds: Mutex<bool>,
    held: Mutex<Vec<(VersionRecord, Option<Revision>)>>,
}

impl Store {
    fn set_works(&self) {
        *self.works.lock().expect("not poisoned") = true;
    }

    fn set_holds(&self, holds: bool) {
        *self.holds.lock().expect("not poisoned") = holds;
    }

    /// Shows the present list for good to those who take an older one.
    fn freeze_stale(&self) {
        let stored = self.stored.lock().expect("not poisoned");
        let present = list(stored.iter().cloned().collect());
        *self.stale.lock().expect("not poisoned") = Some(present);
    }

    fn set_unlisted(&self, unlisted: bool) {
        *self.unlisted.lock().expect("not poisoned") = unlisted;
    }

    fn record(&self) -> Option<VersionRecord> {
        let stored = self.stored.lock().expect("not poisoned");
        stored.as_ref().map(|s| s.record.clone())
    }

    /// Writes as another instance does.
    fn put(&self, record: &VersionRecord) {
        let follows = self.revision();
        self.carry_out(record, follows);
    }

    /// Carries out the writes that were held, as far as their conditions hold.
    fn carry_out_held(&self) {
        let held = std::mem::take(&mut *self.held.lock().expect("not poisoned"));
        for (record, follows) in held {
            self.carry_out(&record, follows);
        }
    }

    fn revision(&self) -> Option<Revision> {
        let stored = self.stored.lock().expect("not poisoned");
        stored.as_ref().map(|s| s.changed.revision)
    }

    fn carry_out(&self, record: &VersionRecord, follows: Option<Revision>) {
        if follows == self.revision() {
            let stored = StoredRecord {
                record: record.clone(),
                changed: at(follows.unwrap_or_default() + 1),
            };
            *self.stored.lock().expect("not poisoned") = Some(stored);
        }
    }

    fn check(&self) -> Result<(), &'static str> {
        let works = *self.works.lock().expect("not poisoned");
        works.then_some(()).ok_or("the store is away")
    }
}

impl VersionStore for Store {
    type Error = &'static str;

    async fn list(&self) -> Result<RecordList, Self::Error> {
        self.check()?;
        let unlisted = *self.unlisted.lock().expect("not poisoned");
        let stored = self.stored.lock().expect("not poisoned");
        let stored = stored.iter().filter(|_| !unlisted).cloned();
        Ok(list(stored.collect()))
    }

    async fn list_stale(&self) -> Result<RecordList, Self::Error> {
        self.check()?;
        let stale = self.stale.lock().expect("not poisoned").clone();
        match stale {
            Some(stale) => Ok(stale),
            None => VersionStore::list(self).await,
        }
    }

    async fn replace(
        &self,
        record: &VersionRecord,
        follows: Option<Revision>,
    ) -> Result<Option<StoredRecord>, Self::Error> {
        self.check()?;
        if *self.holds.lock().expect("not poisoned") {
            let mut held = self.held.lock().expect("not poisoned");
            held.push((record.clone(), follows));
            return Err("no response");
        }
        self.carry_out(record, follows);
        Ok(self.stored.lock().expect("not poisoned").clone())
    }
}

const fn at(revision: Revision) -> Position {
    Position { era: 0, revision }
}

/// A list as of the last change of these records.
fn list(records: Vec<StoredRecord>) -> RecordList {
    let changed = records.iter().map(|r| r.changed);
    RecordList {
        position: changed.max().unwrap_or_default(),
        records,
    }
}

/// Declares a server of this version to the instance, by a list of servers at this revision.
fn declare_at(node: &Node, version: &str, revision: Revision) {
    node.list_position
        .advance(at(revision), || declare(node, version));
}

fn record_at(version: &str, since_ms: u64, revision: Revision) -> VersionRecord {
    VersionRecord {
        service: "s".into(),
        version: Some(version.into()),
        since_ms,
        position: at(revision),
        lifetimes: None,
    }
}

/// Applies the configuration of this version, under which streams of the service last this long.
fn configure(node: &Node, version: u64, longest: Duration, lowered: &LifetimesByService) {
    let streams = ServiceStreams {
        longest,
        digest: version,
    };
    let streams = StreamsByService::from([("s".into(), streams)]);
    node.stream_lifetimes.configure(version, streams, lowered);
}

fn declare(node: &Node, version: &str) {
    let server = BackendServer {
        service: Some("s".into()),
        version: Some(version.into()),
        spot: false,
        ..common::backend_server("a", 4)
    };
    node.pools
        .update_pool(&node.metrics, &"s".into(), &[&server]);
}

fn start(node: &Arc<Node>, store: &Arc<Store>) {
    let (node, store) = (Arc::clone(node), Arc::clone(store));
    tokio::spawn(version_records::run(node, store, true));
}

#[tokio::test(start_paused = true)]
async fn only_version_of_a_first_start_has_been_there_for_ever() {
    let (node, store) = (common::node(), Arc::new(Store::default()));
    store.set_works();
    declare(&node, "v1");

    start(&node, &store);
    time::sleep(WRITE_TIME).await;

    let record = store.record().expect("a record");
    assert_eq!(
        (record.version.as_deref(), record.since_ms),
        (Some("v1"), 0)
    );
}

/// The store was away from the first start until another version had replaced the first one: the later one was
/// recorded as the only one for ever, so that streams of the first could have been continued by it.
#[tokio::test(start_paused = true)]
async fn later_version_of_a_first_start_has_not_been_there_for_ever() {
    let (node, store) = (common::node(), Arc::new(Store::default()));
    declare(&node, "v1");
    start(&node, &store);
    time::sleep(WRITE_TIME).await;
    declare(&node, "v2");

    store.set_works();
    time::sleep(WRITE_TIME).await;

    let record = store.record().expect("a record");
    assert_eq!(record.version.as_deref(), Some("v2"));
    assert_ne!(record.since_ms, 0);
}

/// A version came and went between two comparisons with the record, which kept naming the other one as the only version
/// for long. Instances that started later continued its streams at the other version.
#[tokio::test(start_paused = true)]
async fn version_that_comes_and_goes_at_once_is_recorded() {
    let (node, store) = (common::node(), Arc::new(Store::default()));
    store.set_works();
    declare(&node, "v1");
    start(&node, &store);
    time::sleep(WRITE_TIME).await;

    declare(&node, "v2");
    declare(&node, "v1");
    time::sleep(WRITE_TIME).await;

    let record = store.record().expect("a record");
    assert_eq!(record.version.as_deref(), Some("v1"));
    assert_ne!(record.since_ms, 0);
}

/// A record was read before any server was known, and trusted for the version that came first, however late.
#[tokio::test(start_paused = true)]
async fn record_that_is_older_than_the_list_of_servers_is_read_again() {
    let (node, store) = (common::node(), Arc::new(Store::default()));
    store.set_works();
    store.put(&record_at("v1", 0, 0));
    start(&node, &store);
    time::sleep(WRITE_TIME).await;

    let recently = changelog::now_ms();
    store.put(&record_at("v1", recently, 0));
    declare(&node, "v1");
    time::sleep(WRITE_TIME).await;

    let pool = node.pools.get("s").expect("the pool is there");
    assert_eq!(pool.only_version(Duration::from_mins(1)), None);
}

/// A write whose call had got no response was carried out after a later one, and the record named a version that had
/// been replaced.
#[tokio::test(start_paused = true)]
async fn write_that_is_carried_out_late_replaces_no_later_one() {
    let (node, store) = (common::node(), Arc::new(Store::default()));
    store.set_works();
    declare_at(&node, "v1", 1);
    start(&node, &store);
    time::sleep(WRITE_TIME).await;
    store.set_holds(true);
    declare_at(&node, "v2", 2);
    time::sleep(WRITE_TIME).await;

    store.set_holds(false);
    declare_at(&node, "v3", 3);
    time::sleep(WRITE_TIME).await;
    store.carry_out_held();

    let record = store.record().expect("a record");
    assert_eq!(record.version.as_deref(), Some("v3"));
}

/// An instance whose list of servers is some seconds old would replace what others have recorded since.
#[tokio::test(start_paused = true)]
async fn instance_with_an_older_list_replaces_no_record() {
    let (node, store) = (common::node(), Arc::new(Store::default()));
    store.set_works();
    declare_at(&node, "v1", 1);
    start(&node, &store);
    time::sleep(WRITE_TIME).await;
    let later = record_at("v3", changelog::now_ms(), 5);
    store.put(&later);

    declare_at(&node, "v2", 2);
    time::sleep(WRITE_TIME).await;
    let behind = store.record();
    declare_at(&node, "v4", 6);
    time::sleep(WRITE_TIME).await;

    assert_eq!(behind, Some(later));
    let record = store.record().expect("a record");
    assert_eq!(record.version.as_deref(), Some("v4"));
}

/// Of several instances that see the same change one writes it; the others find their own view in the store.
#[tokio::test(start_paused = true)]
async fn change_that_all_instances_see_is_recorded_once() {
    let nodes = [common::node(), common::node(), common::node()];
    let store = Arc::new(Store::default());
    store.set_works();
    for node in &nodes {
        declare_at(node, "v1", 1);
        start(node, &store);
    }
    time::sleep(WRITE_TIME).await;
    let before = store.revision();

    for node in &nodes {
        declare_at(node, "v2", 2);
    }
    time::sleep(WRITE_TIME).await;

    assert_eq!((before, store.revision()), (Some(1), Some(2)));
}

/// Two instances of a first start found no record. The one that wrote second believed what it had seen, since ever,
/// though the other had seen another version before.
#[tokio::test(start_paused = true)]
async fn first_start_believes_the_record_that_another_instance_writes_first() {
    let (node, store) = (common::node(), Arc::new(Store::default()));
    store.set_works();
    start(&node, &store);
    declare_at(&node, "v2", 2);
    time::sleep(Duration::from_secs(1)).await;

    store.set_unlisted(true);
    store.put(&record_at("v2", changelog::now_ms(), 2));
    time::sleep(WRITE_TIME).await;

    let pool = node.pools.get("s").expect("the pool is there");
    assert_eq!(pool.only_version(Duration::from_mins(1)), None);
}

/// A record that an older build had replaced, or an instance that is gone, stayed as it was until a version changed.
#[tokio::test(start_paused = true)]
async fn record_that_another_writer_gets_wrong_is_written_again() {
    let (node, store) = (common::node(), Arc::new(Store::default()));
    store.set_works();
    declare_at(&node, "v1", 3);
    start(&node, &store);
    time::sleep(WRITE_TIME).await;

    store.put(&record_at("v2", 0, 2));
    time::sleep(WRITE_TIME).await;
    let other_version = store.record().expect("a record");
    store.put(&record_at("v1", 0, 2));
    time::sleep(WRITE_TIME).await;
    let longer_time = store.record().expect("a record");

    assert_eq!(other_version.version.as_deref(), Some("v1"));
    assert_ne!(other_version.since_ms, 0);
    assert_ne!(longer_time.since_ms, 0);
}

/// A list that is some seconds old shows a record from before the instance's own write: that is no reason to write again.
#[tokio::test(start_paused = true)]
async fn record_in_an_older_list_is_not_written_again() {
    let (node, store) = (common::node(), Arc::new(Store::default()));
    store.set_works();
    declare_at(&node, "v1", 1);
    start(&node, &store);
    time::sleep(WRITE_TIME).await;
    store.freeze_stale();

    declare_at(&node, "v2", 2);
    time::sleep(WRITE_TIME).await;

    assert_eq!(store.revision(), Some(2));
}

/// An instance with a configuration of long streams, and the store in which it has recorded them.
async fn start_configured() -> (Arc<Node>, Arc<Store>) {
    let (node, store) = (common::node(), Arc::new(Store::default()));
    store.set_works();
    configure(&node, 1, LONG, &LifetimesByService::new());
    declare_at(&node, "v1", 1);
    start(&node, &store);
    time::sleep(WRITE_TIME).await;
    (node, store)
}

/// The store didn't have how long streams could last that had begun under a configuration before the present one.
#[tokio::test(start_paused = true)]
async fn lifetime_is_recorded_until_the_last_stream_of_it_has_ended() {
    let (node, store) = start_configured().await;
    declare_at(&node, "v2", 2);
    time::sleep(WRITE_TIME).await;
    let before = store.record().expect("a record");

    let lowered = LifetimesByService::from([("s".into(), LONG)]);
    configure(&node, 2, SHORT, &lowered);
    time::sleep(LONG.saturating_sub(Duration::from_millis(100))).await;
    let meanwhile = store.record().expect("a record");
    time::sleep(WRITE_TIME).await;
    let after = store.record().expect("a record");

    let lifetimes = |record: &VersionRecord| {
        let lifetimes = record.lifetimes.expect("lifetimes");
        (lifetimes.config, lifetimes.longest(), lifetimes.past)
    };
    assert_eq!(lifetimes(&before), (1, LONG, Duration::ZERO));
    assert_eq!(lifetimes(&meanwhile), (2, LONG, LONG));
    assert_eq!(lifetimes(&after), (2, SHORT, Duration::ZERO));
    // The version is the same as before.
    assert_eq!(meanwhile.since_ms, before.since_ms);
    assert_eq!(after.since_ms, before.since_ms);
}

/// An older build replaces a record by one without lifetimes.
#[tokio::test(start_paused = true)]
async fn lifetimes_that_an_older_build_leaves_out_are_written_again() {
    let (_node, store) = start_configured().await;

    store.put(&record_at("v1", 0, 1));
    time::sleep(WRITE_TIME).await;

    let record = store.record().expect("a record");
    assert_eq!(record.lifetimes.map(|l| l.longest()), Some(LONG));
}

/// An instance whose configuration is older doesn't replace what a later one says.
#[tokio::test(start_paused = true)]
async fn lifetimes_of_a_later_configuration_stay() {
    let (_node, store) = start_configured().await;
    let mut later = store.record().expect("a record");
    later.lifetimes = Some(RecordedLifetimes {
        config: 2,
        streams: ServiceStreams {
            longest: SHORT,
            digest: 2,
        },
        past: LONG,
    });

    store.put(&later);
    time::sleep(WRITE_TIME).await;

    assert_eq!(store.record(), Some(later));
}

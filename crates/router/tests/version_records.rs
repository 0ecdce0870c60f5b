//! Records of the only version of each service, which instances that all start anew rely on.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use jackdawtally::changelog;
use jackdawtally::fleet::version_records::{self, VersionRecord, VersionStore};
use jackdawtally::node::Node;
use jackdawtally::object::BackendServer;
use tokio::time;

/// Time in which an instance writes what has changed.
const WRITE_TIME: Duration = Duration::from_secs(5);

/// A store that fails until it is told to work.
#[derive(Default)]
struct Store {
    works: Mutex<bool>,
    records: Mutex<Vec<VersionRecord>>,
}

impl Store {
    fn set_works(&self) {
        *self.works.lock().expect("not poisoned") = true;
    }

    fn record(&self) -> Option<VersionRecord> {
        self.records.lock().expect("not poisoned").last().cloned()
    }

    fn check(&self) -> Result<(), &'static str> {
        let works = *self.works.lock().expect("not poisoned");
        works.then_some(()).ok_or("the store is away")
    }
}

impl VersionStore for Store {
    type Error = &'static str;

    async fn list(&self) -> Result<Vec<VersionRecord>, Self::Error> {
        self.check()?;
        Ok(self.records.lock().expect("not poisoned").clone())
    }

    async fn put(&self, record: &VersionRecord) -> Result<(), Self::Error> {
        self.check()?;
        self.records
            .lock()
            .expect("not poisoned")
            .push(record.clone());
        Ok(())
    }
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
    let record = |version: &str, since_ms| VersionRecord {
        service: "s".into(),
        version: Some(version.into()),
        since_ms,
    };
    store.put(&record("v1", 0)).await.expect("it works");
    start(&node, &store);
    time::sleep(WRITE_TIME).await;

    let recently = changelog::now_ms();
    store.put(&record("v1", recently)).await.expect("it works");
    declare(&node, "v1");
    time::sleep(WRITE_TIME).await;

    let pool = node.pools.get("s").expect("the pool is there");
    assert_eq!(pool.only_version(Duration::from_mins(1)), None);
}

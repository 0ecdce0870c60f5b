//! What is in quarantine is kept in a store that may be away.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use jackdawtally::fleet::quarantine_store::{
    self, QuarantineKey, QuarantineStore, StoredQuarantine,
};
use jackdawtally::node::Node;
use jackdawtally::pools::PoolCrashes;
use jackdawtally::quarantine::{Notice, Subject};

/// Time in which an instance compares its quarantines with the store several times.
const SOME_TIME: Duration = Duration::from_secs(10);
const SUSPECT: u64 = 7;

/// A store in memory that may refuse all calls.
#[derive(Default)]
struct MemoryStore {
    quarantines: Mutex<BTreeMap<QuarantineKey, StoredQuarantine>>,
    away: Mutex<bool>,
    writes: AtomicUsize,
}

impl MemoryStore {
    fn quarantines(
        &self,
    ) -> Result<MutexGuard<'_, BTreeMap<QuarantineKey, StoredQuarantine>>, &'static str> {
        if *self.away.lock().expect("the mutex is not poisoned") {
            return Err("away");
        }
        Ok(self.quarantines.lock().expect("the mutex is not poisoned"))
    }

    fn set_away(&self, away: bool) {
        *self.away.lock().expect("the mutex is not poisoned") = away;
    }

    fn count(&self) -> usize {
        let quarantines = self.quarantines.lock();
        quarantines.expect("the mutex is not poisoned").len()
    }
}

impl QuarantineStore for MemoryStore {
    type Error = &'static str;

    async fn list(&self) -> Result<Vec<StoredQuarantine>, Self::Error> {
        Ok(self.quarantines()?.values().cloned().collect())
    }

    async fn put(&self, quarantine: &StoredQuarantine) -> Result<(), Self::Error> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let quarantine = quarantine.clone();
        self.quarantines()?
            .insert(quarantine.key.clone(), quarantine);
        Ok(())
    }

    async fn remove(&self, key: &QuarantineKey) -> Result<(), Self::Error> {
        self.quarantines()?.remove(key);
        Ok(())
    }
}

/// Starts an instance that keeps its quarantines in `store`.
fn start(store: &Arc<MemoryStore>) -> Arc<Node> {
    let node = common::node();
    node.pools.update_pool(&node.metrics, &"s".into(), &[]);
    tokio::spawn(quarantine_store::run(Arc::clone(&node), Arc::clone(store)));
    node
}

fn tell(node: &Node, notice: Notice) {
    node.pools.merge_crashes(vec![PoolCrashes {
        pool: "s".into(),
        segments: Vec::new(),
        requests: vec![notice],
    }]);
}

fn quarantine() -> Notice {
    Notice::Quarantined {
        id: SUSPECT,
        age_ms: 1_000,
        crashes: 3,
    }
}

fn subjects(node: &Node) -> Vec<Subject> {
    let pool = node.pools.get("s").expect("the pool exists");
    let quarantined = pool.quarantined();
    quarantined.iter().map(|q| q.subject).collect()
}

/// After a restart of all instances nothing was in quarantine; the store was away when it began.
#[tokio::test(start_paused = true)]
async fn quarantine_is_written_when_the_store_is_back_and_read_at_the_start() {
    let store = Arc::new(MemoryStore::default());
    let node = start(&store);
    tokio::time::sleep(SOME_TIME).await;
    store.set_away(true);
    tell(&node, quarantine());
    tokio::time::sleep(SOME_TIME).await;
    let while_away = store.count();
    store.set_away(false);
    tokio::time::sleep(SOME_TIME).await;

    let started = start(&store);
    tokio::time::sleep(SOME_TIME).await;

    assert_eq!((while_away, store.count()), (0, 1));
    assert_eq!(subjects(&started), [Subject::Requests]);
}

/// A quarantine that had ended would have come back with the next start.
#[tokio::test(start_paused = true)]
async fn quarantine_that_ends_is_removed_from_the_store() {
    let store = Arc::new(MemoryStore::default());
    let node = start(&store);
    tell(&node, quarantine());
    tokio::time::sleep(SOME_TIME).await;
    let written = store.count();

    tell(&node, Notice::Sound(vec![SUSPECT]));
    tokio::time::sleep(SOME_TIME).await;

    assert_eq!((written, store.count()), (1, 0));
}

/// Each instance of a fleet that starts would have written all that it had read: it knows no other one yet.
#[tokio::test(start_paused = true)]
async fn what_was_read_at_the_start_is_not_written_again() {
    let store = Arc::new(MemoryStore::default());
    let node = start(&store);
    tell(&node, quarantine());
    tokio::time::sleep(SOME_TIME).await;
    let before = store.writes.load(Ordering::Relaxed);

    let started = start(&store);
    tokio::time::sleep(SOME_TIME).await;

    assert_eq!(subjects(&started), [Subject::Requests]);
    assert_eq!((before, store.writes.load(Ordering::Relaxed)), (1, 1));
}

/// A quarantine ended while the store was away, and began again. What was removed when the store was back was the record
/// of the second one.
#[tokio::test(start_paused = true)]
async fn quarantine_that_begins_again_is_not_removed_from_the_store() {
    let store = Arc::new(MemoryStore::default());
    let node = start(&store);
    tell(&node, quarantine());
    tokio::time::sleep(SOME_TIME).await;
    store.set_away(true);
    // With each of these an older one is forgotten, and the suspect doesn't count as sound in the end.
    for sound in [SUSPECT, SUSPECT + 1, SUSPECT + 2] {
        tell(&node, Notice::Sound(vec![sound]));
        tokio::time::sleep(Duration::from_mins(2)).await;
    }
    let ended = subjects(&node).is_empty();
    tell(&node, quarantine());
    tokio::time::sleep(SOME_TIME).await;

    store.set_away(false);
    tokio::time::sleep(SOME_TIME).await;

    assert!(ended);
    assert_eq!(subjects(&node), [Subject::Requests]);
    assert_eq!(store.count(), 1);
}

//! Which instances are cut off from all backend servers, as they tell each other.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use log::Level;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::event::Line;
use crate::fleet::membership::{InstanceId, InstanceRecord};

/// Maximum number of instances of which the state is known.
const MAX_INSTANCES: usize = 4_096;

/// What one instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IsolationRecord {
    /// The name of the instance.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// Identifies its start.
    #[serde(rename = "s")]
    pub incarnation: u64,
    /// Counts its changes since then.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Whether it is cut off from all backend servers.
    #[serde(rename = "c")]
    pub isolated: bool,
}

impl IsolationRecord {
    fn supersedes(&self, known: &Self) -> bool {
        (self.incarnation, self.sequence) > (known.incarnation, known.sequence)
    }
}

/// The instances that are cut off from all backend servers, as known to one of them.
#[derive(Debug)]
pub struct IsolatedInstances {
    isolated: watch::Sender<bool>,
    records: Mutex<Records>,
}

/// The records of all instances.
#[derive(Debug)]
struct Records {
    own: IsolationRecord,
    others: BTreeMap<InstanceId, IsolationRecord>,
}

impl IsolatedInstances {
    /// Creates the state of the instance with this record, at which no instance is isolated.
    #[must_use]
    pub fn new(own: &InstanceRecord) -> Self {
        let own = IsolationRecord {
            id: own.id.clone(),
            incarnation: own.incarnation,
            sequence: 0,
            isolated: false,
        };
        Self {
            isolated: watch::Sender::new(false),
            records: Mutex::new(Records {
                own,
                others: BTreeMap::new(),
            }),
        }
    }

    /// Whether this instance is isolated.
    #[must_use]
    pub fn is_own(&self) -> bool {
        *self.isolated.borrow()
    }

    /// Completes when this instance is isolated.
    pub async fn wait_own(&self) {
        let mut isolated = self.isolated.subscribe();
        // The sender lives as long as `self`.
        let _ = isolated.wait_for(|isolated| *isolated).await;
    }

    /// Sets whether this instance is isolated, and returns the record to be sent to the other instances.
    pub fn set_own(&self, isolated: bool) -> IsolationRecord {
        let own = &mut self.lock().own;
        own.sequence += 1;
        own.isolated = isolated;
        self.isolated.send_replace(isolated);
        log_change(own, "own");
        own.clone()
    }

    /// Whether the instance with this record is isolated.
    #[must_use]
    pub fn contains(&self, record: &InstanceRecord) -> bool {
        let Records { own, others } = &*self.lock();
        let known = others.get(&record.id);
        let isolated = known.is_some_and(|k| k.isolated && k.incarnation == record.incarnation);
        isolated || (own.isolated && own.id == record.id)
    }

    /// Takes records of other instances into account, and returns those that are news.
    #[must_use]
    pub fn merge(&self, records: &[IsolationRecord]) -> Vec<IsolationRecord> {
        let Records { own, others } = &mut *self.lock();
        let mut news = Vec::new();
        for record in records.iter().filter(|r| r.id != own.id) {
            let known = others.get(&record.id);
            let room = known.is_some() || others.len() < MAX_INSTANCES;
            if room && known.is_none_or(|known| record.supersedes(known)) {
                log_change(record, "peer");
                others.insert(record.id.clone(), record.clone());
                news.push(record.clone());
            }
        }
        news
    }

    /// The records of all instances that have ever changed, for an instance that has just been linked.
    #[must_use]
    pub fn all(&self) -> Vec<IsolationRecord> {
        let Records { own, others } = &*self.lock();
        let changed = Some(own).filter(|own| own.sequence > 0);
        changed
            .into_iter()
            .chain(others.values())
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_change(record: &IsolationRecord, source: &'static str) {
    let state = if record.isolated { "begun" } else { "ended" };
    Line::new("instance.isolation")
        .field("peer", &record.id)
        .field("state", state)
        .field("number", record.sequence)
        .field("source", source)
        .write(Level::Warn);
}

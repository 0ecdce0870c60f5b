//! Fixtures that the tests share.
#![allow(dead_code, reason = "each test program uses a part")]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use jackdawtally::membership::{InstanceRecord, InstanceState};
use jackdawtally::object::{BackendServer, Class, Edit, Object, Organisation, Tier};
use jackdawtally::platform::{
    Batch, Condition, Error, Item, ListedInstance, Platform, Stored, Version,
};

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It works.
    Success,
    /// It doesn't reach the platform.
    RequestLost,
    /// It takes effect, and its reply is lost.
    ReplyLost,
    /// The platform is over its rate limit.
    Throttled,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<String, (Version, Bytes)>,
    version: Version,
    outcomes: VecDeque<CallOutcome>,
    always: Option<CallOutcome>,
    writes: usize,
    late: Vec<(String, Bytes, Condition)>,
}

/// A platform in memory whose calls go as the test says.
#[derive(Clone, Default)]
pub struct FakePlatform(Arc<Mutex<State>>);

impl FakePlatform {
    /// Sets what happens to the next writes.
    pub fn set_next_writes(&self, outcomes: impl IntoIterator<Item = CallOutcome>) {
        self.lock().outcomes.extend(outcomes);
    }

    /// Sets what happens to every call, or lets calls work again.
    pub fn set_every_call(&self, outcome: Option<CallOutcome>) {
        self.lock().always = outcome;
    }

    /// How many writes took effect.
    pub fn writes(&self) -> usize {
        self.lock().writes
    }

    /// Lets the writes that were lost arrive now; tells how many took effect.
    pub fn deliver_late(&self) -> usize {
        let mut state = self.lock();
        let late = std::mem::take(&mut state.late);
        late.into_iter()
            .filter(|(key, value, condition)| state.write(key, value.clone(), *condition).is_ok())
            .count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn write(&mut self, key: &str, value: Bytes, condition: Condition) -> Result<Version, Error> {
        let present = self.objects.get(key).map(|(version, _)| *version);
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::Version(version) => present == Some(version),
        };
        if !holds {
            return Err(Error::Conflict);
        }
        self.version += 1;
        self.writes += 1;
        let version = self.version;
        self.objects.insert(key.to_owned(), (version, value));
        Ok(version)
    }
}

fn no_reply() -> Error {
    Error::Unavailable("no reply".into())
}

impl Platform for FakePlatform {
    async fn get(&self, key: &str) -> Result<Option<Stored>, Error> {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let state = self.lock();
        match state.always {
            None | Some(CallOutcome::Success) => {}
            Some(CallOutcome::Throttled) => return Err(Error::Throttled),
            Some(CallOutcome::RequestLost | CallOutcome::ReplyLost) => return Err(no_reply()),
        }
        let object = state.objects.get(key);
        Ok(object.map(|(version, value)| Stored {
            version: *version,
            value: value.clone(),
        }))
    }

    async fn put(&self, key: &str, value: Bytes, condition: Condition) -> Result<Version, Error> {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let mut state = self.lock();
        let drawn = state.outcomes.pop_front().unwrap_or(CallOutcome::Success);
        match state.always.unwrap_or(drawn) {
            CallOutcome::Success => state.write(key, value, condition),
            CallOutcome::Throttled => Err(Error::Throttled),
            CallOutcome::RequestLost => {
                state.late.push((key.to_owned(), value, condition));
                Err(no_reply())
            }
            CallOutcome::ReplyLost => {
                let _ = state.write(key, value, condition);
                Err(no_reply())
            }
        }
    }

    async fn watch(&self, prefix: &str, after: Version, _wait: Duration) -> Result<Batch, Error> {
        let state = self.lock();
        let items = state
            .objects
            .iter()
            .filter(|(key, (version, _))| key.starts_with(prefix) && *version > after);
        let items = items.map(|(key, (version, value))| Item {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        Ok(Batch {
            version: state.version,
            items: items.collect(),
        })
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, Error> {
        Ok(Vec::new())
    }
}

/// A tier.
pub fn tier(name: &str, level: u8) -> Object {
    Object::Tier(Tier {
        name: name.into(),
        level,
    })
}

/// A class of a tier.
pub fn class(name: &str, tier: &str) -> Class {
    Class {
        name: name.into(),
        tier: tier.into(),
        first_token_ms: None,
        between_tokens_ms: None,
        answer_ms: None,
        idempotent: true,
        starvation_ms: 2_000,
        wait_ms: 10_000,
    }
}

/// An organisation that may use one class.
pub fn organisation(name: &str, class: &str, hash: &str) -> Object {
    Object::Organisation(Organisation {
        name: name.into(),
        key_hashes: vec![hash.into()],
        share: 1,
        classes: vec![class.into()],
        default_class: None,
    })
}

/// An engine of the model `m`.
pub fn backend_server(name: &str, slots: u32) -> BackendServer {
    BackendServer {
        name: name.into(),
        address: ([127, 0, 0, 1], 1).into(),
        model: Some("m".into()),
        service: None,
        data_centre: "north".into(),
        slots,
        fencing: false,
        leaving: false,
    }
}

/// The steps that put objects in force.
pub fn put_edits(objects: impl IntoIterator<Item = Object>) -> Vec<Edit> {
    objects.into_iter().map(Edit::Put).collect()
}

/// Facts of an instance in a data centre.
pub fn instance_record(id: &str, data_centre: &str) -> InstanceRecord {
    InstanceRecord {
        id: id.into(),
        incarnation: 1,
        version: 1,
        state: InstanceState::Alive,
        callers: ([127, 0, 0, 1], 1).into(),
        operators: ([127, 0, 0, 1], 2).into(),
        peers: ([127, 0, 0, 1], 3).into(),
        data_centre: data_centre.into(),
        config: 0,
    }
}

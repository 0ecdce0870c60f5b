//! Test fixtures shared by several test programs.
#![allow(dead_code, reason = "each test program uses only some of the fixtures")]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use jackdawtally::membership::{InstanceRecord, InstanceState};
use jackdawtally::node::Node;
use jackdawtally::object::{BackendServer, Class, Edit, Object, Organisation, Tier};
use jackdawtally::platform::{
    Condition, Error, ListedInstance, Platform, StoredObject, Version, WatchBatch, WatchedObject,
};
use jackdawtally::pool::AdmissionRequest;
use jackdawtally::queue::RequestAttributes;
use jackdawtally::settings::Settings;

/// Simulated outcome of one call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call succeeds.
    Success,
    /// The request is lost. A lost write can be delivered later by [`FakePlatform::deliver_late`].
    RequestLost,
    /// The call takes effect, but its response is lost.
    ReplyLost,
    /// The platform rejects the call because of its rate limit.
    Throttled,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<String, (Version, Bytes)>,
    version: Version,
    outcomes: VecDeque<CallOutcome>,
    always: Option<CallOutcome>,
    writes: usize,
    delayed: Vec<(String, Bytes, Condition)>,
}

/// In-memory platform whose calls have the outcomes that the test sets.
#[derive(Clone, Default)]
pub struct FakePlatform(Arc<Mutex<State>>);

impl FakePlatform {
    /// Sets the outcomes of the next writes, in order. Further writes succeed.
    pub fn set_next_writes(&self, outcomes: impl IntoIterator<Item = CallOutcome>) {
        self.lock().outcomes.extend(outcomes);
    }

    /// Sets the outcome of every call; `None` restores normal operation.
    pub fn set_every_call(&self, outcome: Option<CallOutcome>) {
        self.lock().always = outcome;
    }

    /// Number of writes that took effect.
    pub fn writes(&self) -> usize {
        self.lock().writes
    }

    /// Delivers the writes that were lost, and returns how many of them took effect.
    pub fn deliver_late(&self) -> usize {
        let mut state = self.lock();
        let delayed = std::mem::take(&mut state.delayed);
        delayed
            .into_iter()
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

fn no_response() -> Error {
    Error::Unavailable("no response".into())
}

impl Platform for FakePlatform {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, Error> {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let state = self.lock();
        match state.always {
            None | Some(CallOutcome::Success) => {}
            Some(CallOutcome::Throttled) => return Err(Error::Throttled),
            Some(CallOutcome::RequestLost | CallOutcome::ReplyLost) => return Err(no_response()),
        }
        let object = state.objects.get(key);
        Ok(object.map(|(version, value)| StoredObject {
            version: *version,
            value: value.clone(),
        }))
    }

    async fn put(&self, key: &str, value: Bytes, condition: Condition) -> Result<Version, Error> {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let mut state = self.lock();
        let next = state.outcomes.pop_front().unwrap_or(CallOutcome::Success);
        match state.always.unwrap_or(next) {
            CallOutcome::Success => state.write(key, value, condition),
            CallOutcome::Throttled => Err(Error::Throttled),
            CallOutcome::RequestLost => {
                state.delayed.push((key.to_owned(), value, condition));
                Err(no_response())
            }
            CallOutcome::ReplyLost => {
                let _ = state.write(key, value, condition);
                Err(no_response())
            }
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        _wait: Duration,
    ) -> Result<WatchBatch, Error> {
        let state = self.lock();
        let items = state
            .objects
            .iter()
            .filter(|(key, (version, _))| key.starts_with(prefix) && *version > after);
        let items = items.map(|(key, (version, value))| WatchedObject {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        Ok(WatchBatch {
            version: state.version,
            items: items.collect(),
        })
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, Error> {
        Ok(Vec::new())
    }
}

/// A tier object.
pub fn tier(name: &str, level: u8) -> Object {
    Object::Tier(Tier {
        name: name.into(),
        level,
    })
}

/// An idempotent class of a tier without latency targets.
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

/// An organisation with one API key that may use one class.
pub fn organisation(name: &str, class: &str, hash: &str) -> Object {
    Object::Organisation(Organisation {
        name: name.into(),
        key_hashes: vec![hash.into()],
        share: 1,
        classes: vec![class.into()],
        default_class: None,
    })
}

/// A backend server of the model `m`.
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
        version: None,
        spot: false,
    }
}

/// Edits that create or replace the given objects.
pub fn put_edits(objects: impl IntoIterator<Item = Object>) -> Vec<Edit> {
    objects.into_iter().map(Edit::Put).collect()
}

/// The record of a running instance in a data centre.
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

/// A request of the most important tier that waits for a second at most.
pub fn admission() -> AdmissionRequest {
    AdmissionRequest {
        attributes: RequestAttributes {
            level: 0,
            class: "c".into(),
            organisation: "o".into(),
            share: 1,
            bytes: 100,
            cost: 1,
            partial: false,
        },
        identity: Arc::default(),
        may_try: true,
        lost: None,
        prefix_hash: 0,
        first_token_target: None,
        gap_target: None,
        latency_sensitive: false,
        starvation_bound: Duration::from_secs(4),
        max_wait: Duration::from_secs(1),
        version: None,
        avoid: Vec::new(),
        prefer: None,
    }
}

/// An instance that isn't started.
pub fn node() -> Arc<Node> {
    let text = "instance = \"a\"\ndata_centre = \"north\"\n\
                [callers]\nlisten = \"127.0.0.1:0\"\n\
                [operators]\nlisten = \"127.0.0.1:0\"\ntoken_hashes = {}\n\
                [peers]\nlisten = \"127.0.0.1:0\"\nfleet_key = \"0123456789abcdef\"\n\
                [platform]\naddress = \"127.0.0.1:1\"\n";
    let settings = Settings::parse("f.toml", text).expect("the settings are valid");
    Node::new(settings, instance_record("a", "north"))
}

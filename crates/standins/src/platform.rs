//! A stand-in for the platform: objects with versions, watches, and an instance list that lags.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use jackdawtally::platform::{Listed, Version};
use jackdawtally::response::{self, Body};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::http_server;

/// Time by which the instance list lags.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Writes a second that the platform takes.
const WRITES_PER_SECOND: usize = 400;
/// Reads a second that the platform takes.
const READS_PER_SECOND: usize = 2_000;
/// Largest value, in bytes.
const VALUE_BYTES: usize = 1 << 20;

struct Object {
    version: Version,
    value: Bytes,
}

struct State {
    objects: BTreeMap<String, Object>,
    version: Version,
    list: VecDeque<(Instant, Vec<Listed>)>,
    writes: VecDeque<Instant>,
    reads: VecDeque<Instant>,
    rng: ChaCha8Rng,
}

/// A platform stand-in and the faults that it can be given.
pub struct Platform {
    state: Mutex<State>,
    changed: Notify,
    /// Whether calls are left without a reply.
    pub outage: AtomicBool,
    /// Added time of each call, in ms.
    pub latency_ms: AtomicU64,
    /// Share of writes whose reply is lost after their effect, in percent.
    pub lost_percent: AtomicU64,
    /// Calls that read, since the start.
    pub reads: AtomicU64,
    /// Calls that write, since the start.
    pub writes: AtomicU64,
}

impl Platform {
    /// An empty platform whose faults are drawn from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Arc<Self> {
        let state = State {
            objects: BTreeMap::new(),
            version: 0,
            list: VecDeque::new(),
            writes: VecDeque::new(),
            reads: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            outage: AtomicBool::new(false),
            latency_ms: AtomicU64::new(2),
            lost_percent: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        })
    }

    /// Serves the platform's protocol for ever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        http_server::serve(listener, move |request| Arc::clone(&self).answer(request)).await;
    }

    /// Replaces the instance list; callers see it after its lag.
    pub fn set_instances(&self, listed: Vec<Listed>) {
        self.lock().list.push_back((Instant::now(), listed));
    }

    async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let latency = Duration::from_millis(self.latency_ms.load(Ordering::Relaxed));
        tokio::time::sleep(latency).await;
        self.hold_while_out().await;
        let is_write =
            request.method() == Method::PUT && request.uri().path().starts_with("/objects");
        if let Some(refusal) = self.admit(is_write) {
            return refusal;
        }
        let response = match (request.method(), request.uri().path()) {
            (&Method::GET, "/instances") => self.instances(),
            (&Method::PUT, "/instances") => self.replace_list(&request),
            (&Method::GET, "/objects") => self.watch(&request).await,
            (&Method::GET, _) => self.get(&request),
            (&Method::PUT, _) => self.put(&request),
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        };
        if is_write && response.status().is_success() {
            let lost = self.lost_percent.load(Ordering::Relaxed);
            let drawn = self.lock().rng.random_range(0..100_u64);
            if drawn < lost {
                std::future::pending::<()>().await;
            }
        }
        self.hold_while_out().await;
        response
    }

    /// Leaves a call without a reply as long as the outage lasts.
    async fn hold_while_out(&self) {
        while self.outage.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn admit(&self, is_write: bool) -> Option<Response<Body>> {
        let (count, limit) = if is_write {
            (&self.writes, WRITES_PER_SECOND)
        } else {
            (&self.reads, READS_PER_SECOND)
        };
        count.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let mut state = self.lock();
        let calls = if is_write {
            &mut state.writes
        } else {
            &mut state.reads
        };
        while calls
            .front()
            .is_some_and(|at| now - *at > Duration::from_secs(1))
        {
            calls.pop_front();
        }
        calls.push_back(now);
        (calls.len() > limit).then(|| empty(StatusCode::TOO_MANY_REQUESTS))
    }

    fn get(&self, request: &Request<Bytes>) -> Response<Body> {
        let key = request.uri().path().trim_start_matches("/objects/");
        match self.lock().objects.get(key) {
            None => empty(StatusCode::NOT_FOUND),
            Some(object) => with_version(StatusCode::OK, object.version, object.value.clone()),
        }
    }

    fn put(&self, request: &Request<Bytes>) -> Response<Body> {
        let key = request.uri().path().trim_start_matches("/objects/");
        if request.body().len() > VALUE_BYTES {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let mut state = self.lock();
        let present = state.objects.get(key).map(|o| o.version);
        let expected = request.headers().get(header::IF_MATCH);
        let expected: Option<Version> = expected
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.trim_matches('"').parse().ok());
        let must_be_absent = request.headers().contains_key(header::IF_NONE_MATCH);
        let holds = match (must_be_absent, expected) {
            (true, _) => present.is_none(),
            (false, Some(expected)) => present == Some(expected),
            (false, None) => true,
        };
        if !holds {
            return empty(StatusCode::PRECONDITION_FAILED);
        }
        state.version += 1;
        let version = state.version;
        let object = Object {
            version,
            value: request.body().clone(),
        };
        state.objects.insert(key.to_owned(), object);
        drop(state);
        self.changed.notify_waiters();
        with_version(StatusCode::OK, version, Bytes::new())
    }

    async fn watch(&self, request: &Request<Bytes>) -> Response<Body> {
        let number = |name| http_server::query(request, name).and_then(|v| v.parse().ok());
        let prefix = http_server::query(request, "prefix").unwrap_or_default();
        let after: Version = number("after").unwrap_or_default();
        let deadline =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        loop {
            let changed = self.changed.notified();
            let (version, items) = self.since(&prefix, after);
            if !items.is_empty() || Instant::now() >= deadline {
                let body = json!({"version": version, "items": items}).to_string();
                return response::json_response(StatusCode::OK, body.into());
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    fn since(&self, prefix: &str, after: Version) -> (Version, Vec<serde_json::Value>) {
        let state = self.lock();
        let mut found: Vec<_> = state
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, o)| o.version > after)
            .collect();
        found.sort_by_key(|(_, o)| o.version);
        let items = found.into_iter().map(|(key, o)| {
            json!({"key": key, "version": o.version, "value": STANDARD.encode(&o.value)})
        });
        (state.version, items.collect())
    }

    fn instances(&self) -> Response<Body> {
        let now = Instant::now();
        let state = self.lock();
        let old = state
            .list
            .iter()
            .rev()
            .find(|(at, _)| now - *at >= LIST_LAG);
        let seen = old.or(state.list.front()).map(|(_, listed)| listed);
        let body = serde_json::to_vec(&seen.cloned().unwrap_or_default());
        response::json_response(StatusCode::OK, body.unwrap_or_default().into())
    }

    fn replace_list(&self, request: &Request<Bytes>) -> Response<Body> {
        match serde_json::from_slice(request.body()) {
            Ok(listed) => {
                self.set_instances(listed);
                empty(StatusCode::OK)
            }
            Err(_) => empty(StatusCode::BAD_REQUEST),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn empty(status: StatusCode) -> Response<Body> {
    response::json_response(status, Bytes::new())
}

fn with_version(status: StatusCode, version: Version, body: Bytes) -> Response<Body> {
    let mut response = response::json_response(status, body);
    if let Ok(value) = format!("\"{version}\"").parse() {
        response.headers_mut().insert(header::ETAG, value);
    }
    response
}

//! A simulated platform: a store of versioned objects with watches, and a list of instances that is
//! updated with a delay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use jackdawtally::platform::{ListedInstance, Version};
use jackdawtally::response::{self, Body};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::http_server;

/// Delay until a new instance list becomes visible.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Maximum write calls per second; further ones are rejected with status 429.
const WRITES_PER_SECOND: usize = 400;
/// Maximum read calls per second; further ones are rejected with status 429.
const READS_PER_SECOND: usize = 2_000;
/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

struct Object {
    version: Version,
    value: Bytes,
}

struct State {
    objects: BTreeMap<String, Object>,
    version: Version,
    instance_lists: VecDeque<(Instant, Vec<ListedInstance>)>,
    writes: VecDeque<Instant>,
    reads: VecDeque<Instant>,
    rng: ChaCha8Rng,
}

/// A simulated platform with fault injection.
pub struct Platform {
    state: Mutex<State>,
    changed: Notify,
    /// Whether the platform is unavailable; calls get no reply until it is available again.
    pub outage: AtomicBool,
    /// Latency of each call, in ms.
    pub latency_ms: AtomicU64,
    /// Share of successful writes that get no reply, in percent.
    pub lost_reply_percent: AtomicU64,
    /// Number of read calls since the start.
    pub reads: AtomicU64,
    /// Number of write calls since the start.
    pub writes: AtomicU64,
}

impl Platform {
    /// Creates a platform without objects or instances, whose faults are drawn from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Arc<Self> {
        let state = State {
            objects: BTreeMap::new(),
            version: 0,
            instance_lists: VecDeque::new(),
            writes: VecDeque::new(),
            reads: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Notify::new(),
            outage: AtomicBool::new(false),
            latency_ms: AtomicU64::new(2),
            lost_reply_percent: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        })
    }

    /// Serves the protocol of the platform; never returns.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        http_server::serve(listener, move |request| Arc::clone(&self).handle(request)).await;
    }

    /// Replaces the instance list. The new list becomes visible after a delay.
    pub fn set_instances(&self, listed: Vec<ListedInstance>) {
        self.lock()
            .instance_lists
            .push_back((Instant::now(), listed));
    }

    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let latency = Duration::from_millis(self.latency_ms.load(Ordering::Relaxed));
        tokio::time::sleep(latency).await;
        self.wait_for_outage_end().await;
        let is_write =
            request.method() == Method::PUT && request.uri().path().starts_with("/objects");
        if let Some(rejection) = self.rate_limit(is_write) {
            return rejection;
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
            let lost = self.lost_reply_percent.load(Ordering::Relaxed);
            let sample = self.lock().rng.random_range(0..100_u64);
            if sample < lost {
                std::future::pending::<()>().await;
            }
        }
        self.wait_for_outage_end().await;
        response
    }

    /// Delays a call until the outage is over.
    async fn wait_for_outage_end(&self) {
        while self.outage.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn rate_limit(&self, is_write: bool) -> Option<Response<Body>> {
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
        if request.body().len() > MAX_VALUE_BYTES {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let mut state = self.lock();
        let current = state.objects.get(key).map(|o| o.version);
        let expected = request.headers().get(header::IF_MATCH);
        let expected: Option<Version> = expected
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.trim_matches('"').parse().ok());
        let must_be_absent = request.headers().contains_key(header::IF_NONE_MATCH);
        let precondition_met = match (must_be_absent, expected) {
            (true, _) => current.is_none(),
            (false, Some(expected)) => current == Some(expected),
            (false, None) => true,
        };
        if !precondition_met {
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
        let number =
            |name| http_server::query_parameter(request, name).and_then(|v| v.parse().ok());
        let prefix = http_server::query_parameter(request, "prefix").unwrap_or_default();
        let after: Version = number("after").unwrap_or_default();
        let deadline =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        loop {
            let changed = self.changed.notified();
            let (version, items) = self.changes_after(&prefix, after);
            if !items.is_empty() || Instant::now() >= deadline {
                let body = json!({"version": version, "items": items}).to_string();
                return response::json_response(StatusCode::OK, body.into());
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    fn changes_after(&self, prefix: &str, after: Version) -> (Version, Vec<serde_json::Value>) {
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
        let visible = state
            .instance_lists
            .iter()
            .rev()
            .find(|(at, _)| now - *at >= LIST_LAG);
        let instances = visible
            .or(state.instance_lists.front())
            .map(|(_, listed)| listed);
        let body = serde_json::to_vec(&instances.cloned().unwrap_or_default());
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

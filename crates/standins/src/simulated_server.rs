//! A simulated backend server: continuous batching with a fixed step time and number of slots, a
//! prefix cache, request priorities, delayed load reports, cancelling, pausing and resuming of
//! streams, and fault injection.
//!
//! The tokens of a response are ` TAG.1`, ` TAG.2`, … so that a caller can detect missing, duplicate
//! and mismatched tokens.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use jackdawtally::backend::{LOAD_HEADER, RAN_HEADER, REQUEST_ID_HEADER};
use jackdawtally::response::{self, Body};
use jackdawtally::server::{LoadReport, StatusReport};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::Instant;

use crate::execution_log::{ExecutionLog, ExecutionPause, ExecutionStart, Tag};
use crate::http_server;
use crate::rate_check::{Excess, RateRecord};

/// Age of the state that a load report describes.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Capacity of the prefix cache, in prompt prefixes.
const CACHED_PREFIXES: usize = 32;
/// Prefill steps of a prompt whose prefix is not cached.
const PREFILL_STEPS: u32 = 3;
/// Prefill steps of a prompt whose prefix is cached.
const CACHED_PREFILL_STEPS: u32 = 1;
/// Maximum length of the waiting queue; further requests are rejected with status 429.
const MAX_WAITING: usize = 64;
/// Time after the server starts to leave from which each request that it receives is recorded as a
/// violation.
const LEAVE_GRACE: Duration = Duration::from_secs(3);
/// Capacity of the channel of events to a reader. Events that do not fit are dropped, and sent again
/// when the reader resumes the stream.
const EVENT_CHANNEL_CAPACITY: usize = 1_024;

/// Tag of the request that crashes each server that begins to run it.
pub const CRASHING_TAG: Tag = Tag::MAX;
/// Time for which a server is down after a crash under that request.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

/// Index under which the requests of all instances are recorded for the check of rate limits.
const ANY_INSTANCE: usize = 0;

/// Configuration of a simulated server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the server, as in the declarations.
    pub name: SmolStr,
    /// Name of the model or service; written into each event of a stream.
    pub model: SmolStr,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Duration of one step. Each running request generates one token per step.
    pub step: Duration,
    /// Seed of the random generator that draws the faults.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Paused(Instant),
    Done(Instant),
}

/// A request to a model, with the state of its stream.
struct Sequence {
    tag: Tag,
    is_completion: bool,
    /// Tokens of the response that another server had generated before; 0 if it starts anew.
    prior_tokens: u64,
    /// Length of the complete response in tokens, with `prior_tokens`.
    total: u64,
    /// Number of events generated here: one per token, then the finish reason and the usage.
    generated: u64,
    /// Priority at the server; a smaller number is served first.
    priority: u64,
    /// Order of arrival at the server.
    arrival: u64,
    /// Remaining prefill steps.
    prefill: u32,
    phase: Phase,
    /// Time for which the stream can be resumed after it was paused or completed.
    retention: Duration,
    reader: Option<mpsc::Sender<Bytes>>,
    /// ID and tag of the request whose response is sent instead. If that tag is even, the response header
    /// and all events carry the other request's ID; otherwise only the events from the third on do.
    mismatch: Option<(SmolStr, Tag)>,
}

struct State {
    sequences: HashMap<SmolStr, Sequence>,
    /// Waiting requests, by priority, order of arrival and ID.
    waiting: BTreeSet<(u64, u64, SmolStr)>,
    running: Vec<SmolStr>,
    /// Hashes of the cached prompt prefixes, the least recently used first.
    prefixes: VecDeque<u64>,
    /// Load at the times of earlier reports, oldest first.
    reports: VecDeque<(Instant, LoadReport)>,
    arrivals: u64,
    /// Times at which the speed changed, with the tokens per second that the server can generate from then on.
    speed_changes: Vec<(Instant, f64)>,
    /// Time at which the server was marked as leaving.
    leaving: Option<Instant>,
    /// The rate limit that it names, in requests a second.
    rate_limit: Option<f64>,
    rate_record: RateRecord,
    rng: ChaCha8Rng,
}

/// A simulated backend server with fault injection.
pub struct SimulatedServer {
    /// Its configuration.
    pub options: Options,
    /// Address on which it listens; kept when it restarts after a crash.
    pub address: SocketAddr,
    log: Arc<ExecutionLog>,
    state: Mutex<State>,
    work_available: Notify,
    down_changed: Notify,
    is_down: AtomicBool,
    service_slots: Semaphore,
    /// Duration of a step in percent of the configured one; 100 is normal speed.
    step_percent: AtomicU64,
    /// Share of responses that are delayed, in percent.
    pub delay_percent: AtomicU64,
    /// Share of responses that belong to another request, in percent.
    pub mismatch_percent: AtomicU64,
    /// Share of requests that run and are answered by the refusal of another one, in percent.
    pub refusal_percent: AtomicU64,
}

impl SimulatedServer {
    /// Starts a server that listens on `address`; with port 0, the operating system chooses the port.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn start(
        options: Options,
        address: SocketAddr,
        log: Arc<ExecutionLog>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let rate = tokens_per_second(&options, 100);
        let state = State {
            sequences: HashMap::new(),
            waiting: BTreeSet::new(),
            running: Vec::new(),
            prefixes: VecDeque::new(),
            reports: VecDeque::new(),
            arrivals: 0,
            speed_changes: vec![(Instant::now(), rate)],
            leaving: None,
            rate_limit: None,
            rate_record: RateRecord::default(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        };
        let server = Arc::new(Self {
            service_slots: Semaphore::new(options.slots),
            options,
            address,
            log,
            state: Mutex::new(state),
            work_available: Notify::new(),
            down_changed: Notify::new(),
            is_down: AtomicBool::new(false),
            step_percent: AtomicU64::new(100),
            delay_percent: AtomicU64::new(0),
            mismatch_percent: AtomicU64::new(0),
            refusal_percent: AtomicU64::new(0),
        });
        tokio::spawn(Arc::clone(&server).listen(listener));
        tokio::spawn(Arc::clone(&server).run_steps());
        Ok(server)
    }

    /// Simulates a crash: closes the listener and all connections, and drops all requests and cached
    /// prefixes.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        let mut state = self.lock();
        state.sequences.clear();
        state.waiting.clear();
        state.running.clear();
        state.prefixes.clear();
        state.speed_changes.push((Instant::now(), 0.0));
        drop(state);
        self.down_changed.notify_waiters();
    }

    /// Crashes under a request, and restarts after a while.
    fn crash_under_request(self: &Arc<Self>) {
        self.log.record_crash(Instant::now());
        self.crash();
        let server = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_TIME).await;
            server.recover();
        });
    }

    /// Restarts the server after a crash, without any requests or cached prefixes.
    pub fn recover(&self) {
        self.is_down.store(false, Ordering::SeqCst);
        self.record_speed();
        self.down_changed.notify_waiters();
    }

    /// Sets the duration of a step to `percent` of the configured one; 100 is normal speed.
    pub fn set_step_percent(&self, percent: u64) {
        self.step_percent.store(percent, Ordering::Relaxed);
        self.record_speed();
    }

    /// Sets the rate limit that the server names, in requests a second. All instances count as informed after
    /// the next poll.
    pub fn name_limit(&self, rate: Option<f64>) {
        let mut state = self.lock();
        state.rate_limit = rate;
        state.rate_record.name(Instant::now(), rate);
        state.rate_record.inform(Instant::now(), ANY_INSTANCE);
    }

    /// The greatest excess of the requests received over the named rate limit, if any.
    #[must_use]
    pub fn rate_excess(&self) -> Option<Excess> {
        self.lock().rate_record.excess()
    }

    /// Marks the server as leaving: it reports so in its load report and rejects new requests.
    pub fn mark_leaving(&self) {
        self.lock().leaving = Some(Instant::now());
    }

    /// Returns the number of tokens that it could have generated between two instants, given its speed
    /// and its crashes in that time.
    #[must_use]
    pub fn capacity(&self, from: Instant, to: Instant) -> f64 {
        let speed_changes = self.lock().speed_changes.clone();
        let ends = speed_changes.iter().skip(1).map(|(at, _)| *at).chain([to]);
        let parts = speed_changes.iter().zip(ends).map(|((begin, rate), end)| {
            let begin = (*begin).max(from);
            rate * end.min(to).saturating_duration_since(begin).as_secs_f64()
        });
        parts.sum()
    }

    fn record_speed(&self) {
        let rate = tokens_per_second(&self.options, self.step_percent.load(Ordering::Relaxed));
        self.lock().speed_changes.push((Instant::now(), rate));
    }

    async fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let down_changed = self.down_changed.notified();
            if self.is_down.load(Ordering::SeqCst) {
                listener = None;
                down_changed.await;
                continue;
            }
            let bound = match listener.take() {
                Some(bound) => Ok(bound),
                None => TcpListener::bind(self.address).await,
            };
            let Ok(bound) = bound else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let server = Arc::clone(&self);
            let serve = http_server::serve(bound, move |r| Arc::clone(&server).handle(r));
            tokio::select! {
                () = serve => {}
                () = down_changed => {}
            }
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let stream = path.strip_prefix("/v1/streams/");
        if request.method() == Method::POST {
            let mut state = self.lock();
            state.rate_record.arrive(Instant::now(), ANY_INSTANCE);
        }
        let id = header(&request, REQUEST_ID_HEADER);
        let server = Arc::clone(&self);
        let response = match (request.method(), path.as_str(), stream) {
            (&Method::GET, "/load", _) => return server.load_report(),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions", _) => {
                server.start_stream(&request).await
            }
            (&Method::GET, _, Some(id)) => server.resume_stream(id, &request),
            (&Method::DELETE, _, Some(id)) => return server.cancel_stream(id),
            _ => server.run_service(request).await,
        };
        if self.draws_refusal() {
            let refusal = reject(StatusCode::SERVICE_UNAVAILABLE, "full");
            return with_id(refusal, "jt-another");
        }
        if response.headers().contains_key(RAN_HEADER) {
            return with_id(response, &id);
        }
        response
    }

    fn draws_refusal(&self) -> bool {
        let refuses = self.refusal_percent.load(Ordering::Relaxed) > 0;
        refuses && self.lock().draw_percent(&self.refusal_percent)
    }

    fn load_report(&self) -> Response<Body> {
        let now = Instant::now();
        let mut state = self.lock();
        let current = state.load();
        state.reports.push_back((now, current));
        while state.reports.len() > 64 {
            state.reports.pop_front();
        }
        let delayed = state
            .reports
            .iter()
            .rev()
            .find(|(at, _)| now - *at >= REPORT_LAG);
        let load = LoadReport {
            leaving: state.leaving.is_some(),
            ..delayed.map_or(current, |(_, r)| *r)
        };
        let report = StatusReport {
            load,
            rate_limit: state.rate_limit,
        };
        let body = serde_json::to_vec(&report).unwrap_or_default();
        response::json_response(StatusCode::OK, body.into())
    }

    async fn start_stream(self: Arc<Self>, request: &Request<Bytes>) -> Response<Body> {
        let Ok(body) = serde_json::from_slice::<Value>(request.body()) else {
            return reject(
                StatusCode::BAD_REQUEST,
                "the request body is not valid JSON",
            );
        };
        let id = header(request, REQUEST_ID_HEADER);
        let retention: u64 = header(request, "x-keep-ms").parse().unwrap_or_default();
        let prompt = Prompt::parse(&body);
        if prompt.tag == CRASHING_TAG {
            self.crash_under_request();
            return std::future::pending().await;
        }
        if let Some(rejection) = self.reject_if_leaving(&prompt) {
            return rejection;
        }
        let (reader, events) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let (response_id, delay) = {
            let mut state = self.lock();
            if state.waiting.len() >= MAX_WAITING {
                return reject(StatusCode::TOO_MANY_REQUESTS, "full");
            }
            let delay = state
                .draw_percent(&self.delay_percent)
                .then(|| state.rng.random_range(500..2_000));
            let mismatch = state.draw_mismatch(&self.mismatch_percent);
            let response_id = match &mismatch {
                Some((other, tag)) if tag % 2 == 0 => other.clone(),
                _ => id.clone(),
            };
            let prefill = state.prefill_steps(prompt.prefix);
            let arrival = state.arrivals;
            state.arrivals += 1;
            let sequence = Sequence {
                tag: prompt.tag,
                is_completion: prompt.is_completion,
                prior_tokens: prompt.prior_tokens,
                total: prompt.total,
                generated: 0,
                priority: body["priority"].as_u64().unwrap_or(100),
                arrival,
                prefill,
                phase: Phase::Waiting,
                retention: Duration::from_millis(retention),
                reader: Some(reader),
                mismatch,
            };
            state
                .waiting
                .insert((sequence.priority, arrival, id.clone()));
            state.sequences.insert(id.clone(), sequence);
            (response_id, delay)
        };
        self.work_available.notify_one();
        if let Some(ms) = delay {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        self.stream_response(&response_id, events)
    }

    fn reject_if_leaving(&self, prompt: &Prompt) -> Option<Response<Body>> {
        let since = self.lock().leaving?;
        if since.elapsed() > LEAVE_GRACE {
            self.log.record_after_leaving(self.execution_start(
                prompt.tag,
                prompt.prior_tokens,
                false,
            ));
        }
        Some(reject(StatusCode::SERVICE_UNAVAILABLE, "leaving"))
    }

    fn execution_start(&self, tag: Tag, prior_tokens: u64, resumed: bool) -> ExecutionStart {
        ExecutionStart {
            at: Instant::now(),
            server: self.options.name.clone(),
            tag,
            prior_tokens,
            resumed,
        }
    }

    fn resume_stream(&self, id: &str, request: &Request<Bytes>) -> Response<Body> {
        let number =
            |name| http_server::query_parameter(request, name).and_then(|v| v.parse::<u64>().ok());
        let after = number("after").unwrap_or_default();
        let (reader, events) = mpsc::channel(EVENT_CHANNEL_CAPACITY.max(4_096));
        {
            let mut state = self.lock();
            let model = self.options.model.clone();
            let Some(sequence) = state.sequences.get_mut(id) else {
                return reject(StatusCode::NOT_FOUND, "there is no stream with this ID");
            };
            sequence.mismatch = None;
            for event in after + 1..=sequence.generated {
                let _ = reader.try_send(sequence.event(id, &model, event));
            }
            match sequence.phase {
                Phase::Done(_) => {
                    let _ = reader.try_send(Bytes::from_static(b"data: [DONE]\n\n"));
                }
                Phase::Paused(_) => {
                    sequence.priority = number("priority").unwrap_or(sequence.priority);
                    sequence.phase = Phase::Waiting;
                    sequence.reader = Some(reader);
                    let position = (sequence.priority, sequence.arrival, SmolStr::from(id));
                    state.waiting.insert(position);
                }
                Phase::Waiting | Phase::Running => sequence.reader = Some(reader),
            }
        }
        self.work_available.notify_one();
        self.stream_response(id, events)
    }

    fn cancel_stream(&self, id: &str) -> Response<Body> {
        let mut state = self.lock();
        if let Some(sequence) = state.sequences.remove(id) {
            state
                .waiting
                .remove(&(sequence.priority, sequence.arrival, id.into()));
            state.running.retain(|other| other != id);
        }
        response::json_response(StatusCode::OK, Bytes::new())
    }

    fn stream_response(&self, id: &str, events: mpsc::Receiver<Bytes>) -> Response<Body> {
        let load = self.lock().load();
        let mut response = with_id(Response::new(Body::Stream(events)), id);
        if let Ok(load) = format!("{}/{}", load.running, load.waiting).parse() {
            response.headers_mut().insert(LOAD_HEADER, load);
        }
        response
    }

    /// Handles a request to a generic service. It runs to its end even if the caller disconnects.
    async fn run_service(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let text = String::from_utf8_lossy(request.body()).into_owned();
        let tag = number_after(&text, "tag=").unwrap_or_default();
        let steps = number_after(&text, "len=").unwrap_or(1);
        let prompt = Prompt {
            tag,
            is_completion: false,
            prior_tokens: 0,
            total: 1,
            prefix: 0,
        };
        if let Some(rejection) = self.reject_if_leaving(&prompt) {
            return rejection;
        }
        let id = header(&request, REQUEST_ID_HEADER);
        let server = Arc::clone(&self);
        let job = tokio::spawn(async move {
            let _slot = server.service_slots.acquire().await;
            server
                .log
                .record_start(server.execution_start(tag, 0, false));
            let steps = u32::try_from(steps).unwrap_or(u32::MAX);
            tokio::time::sleep(server.options.step * steps).await;
            server.log.record_token(tag);
        });
        let _ = job.await;
        let (delay, mismatch) = {
            let mut state = self.lock();
            (
                state.draw_percent(&self.delay_percent),
                state.draw_percent(&self.mismatch_percent),
            )
        };
        if delay {
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        let (tag, id) = if mismatch {
            (tag + 1, SmolStr::from("jt-another"))
        } else {
            (tag, id)
        };
        let body = json!({"tag": tag, "done": true}).to_string();
        with_id(response::json_response(StatusCode::OK, body.into()), &id)
    }

    /// Runs a step after each step time while there are requests; never returns.
    async fn run_steps(self: Arc<Self>) {
        let mut next = Instant::now();
        loop {
            let idle = {
                let state = self.lock();
                state.running.is_empty() && state.waiting.is_empty()
            };
            if idle {
                self.work_available.notified().await;
                next = next.max(Instant::now());
            }
            tokio::time::sleep_until(next).await;
            self.step();
            let percent = u32::try_from(self.step_percent.load(Ordering::Relaxed)).unwrap_or(100);
            let step = self.options.step * percent / 100;
            next += step;
            // After a delay of more than 20 steps, the missed steps are skipped.
            if next + step * 20 < Instant::now() {
                next = Instant::now();
            }
        }
    }

    fn step(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        while state.running.len() < self.options.slots {
            let Some((_, _, id)) = state.waiting.pop_first() else {
                break;
            };
            let Some(sequence) = state.sequences.get_mut(&id) else {
                continue;
            };
            if sequence.reader.as_ref().is_none_or(mpsc::Sender::is_closed) {
                sequence.phase = Phase::Paused(now + sequence.retention);
                continue;
            }
            sequence.phase = Phase::Running;
            let resumed = sequence.generated > 0;
            self.log.record_start(self.execution_start(
                sequence.tag,
                sequence.prior_tokens,
                resumed,
            ));
            state.running.push(id);
        }
        let State {
            sequences, running, ..
        } = &mut *state;
        running.retain(|id| {
            let sequence = sequences.get_mut(id);
            sequence.is_some_and(|s| self.advance(s, id, now))
        });
        sequences.retain(|_, s| match s.phase {
            Phase::Paused(until) | Phase::Done(until) => until > now,
            _ => true,
        });
    }

    /// Runs one step of one request. Returns whether the request keeps its slot.
    fn advance(&self, sequence: &mut Sequence, id: &str, now: Instant) -> bool {
        if sequence.reader.as_ref().is_none_or(mpsc::Sender::is_closed) {
            sequence.phase = Phase::Paused(now + sequence.retention);
            self.log.record_pause(ExecutionPause {
                at: now,
                server: self.options.name.clone(),
                tag: sequence.tag,
                mismatched: sequence.mismatch.is_some(),
            });
            return false;
        }
        if sequence.prefill > 0 {
            sequence.prefill -= 1;
            return true;
        }
        let tokens = sequence.total.saturating_sub(sequence.prior_tokens);
        let last = sequence.generated + 1 >= tokens;
        // The events of the finish reason and the usage follow the last token in the same step.
        let new_events = if last { 3 } else { 1 };
        for _ in 0..new_events {
            sequence.generated += 1;
            let event = sequence.event(id, &self.options.model, sequence.generated);
            if let Some(reader) = &sequence.reader {
                // A slow reader gets the events that do not fit when it resumes the stream.
                let _ = reader.try_send(event);
            }
        }
        self.log.record_token(sequence.tag);
        if last {
            if let Some(reader) = sequence.reader.take() {
                let _ = reader.try_send(Bytes::from_static(b"data: [DONE]\n\n"));
            }
            sequence.phase = Phase::Done(now + sequence.retention);
        }
        !last
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn load(&self) -> LoadReport {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        LoadReport {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            leaving: self.leaving.is_some(),
            work_percent: None,
        }
    }

    fn draw_percent(&mut self, percent: &AtomicU64) -> bool {
        self.rng.random_range(0..100) < percent.load(Ordering::Relaxed)
    }

    /// Draws whether a response is mismatched, and returns the ID and tag of the request whose response
    /// is sent instead. Returns `None` as well if no other request is running.
    fn draw_mismatch(&mut self, percent: &AtomicU64) -> Option<(SmolStr, Tag)> {
        if !self.draw_percent(percent) {
            return None;
        }
        let other = self.running.first()?;
        let tag = self.sequences.get(other)?.tag;
        Some((other.clone(), tag))
    }

    fn prefill_steps(&mut self, prefix: u64) -> u32 {
        if let Some(index) = self.prefixes.iter().position(|p| *p == prefix) {
            self.prefixes.remove(index);
            self.prefixes.push_back(prefix);
            return CACHED_PREFILL_STEPS;
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
        PREFILL_STEPS
    }
}

impl Sequence {
    /// Returns the event with that number, from 1: the tokens first, then the finish reason, then the
    /// usage.
    fn event(&self, id: &str, model: &str, number: u64) -> Bytes {
        let tokens = self.total.saturating_sub(self.prior_tokens).max(1);
        let (id, tag) = match &self.mismatch {
            Some((other, tag)) if tag % 2 == 0 || number > 2 => (other.as_str(), *tag),
            _ => (id, self.tag),
        };
        let choices = match number {
            n if n <= tokens && self.is_completion => format!(
                r#"[{{"index":0,"text":" {tag}.{}","finish_reason":null}}]"#,
                self.prior_tokens + n
            ),
            n if n <= tokens => format!(
                r#"[{{"index":0,"delta":{{"content":" {tag}.{}"}},"finish_reason":null}}]"#,
                self.prior_tokens + n
            ),
            n if n == tokens + 1 => r#"[{"index":0,"delta":{},"finish_reason":"stop"}]"#.into(),
            _ => format!(r#"[],"usage":{{"prompt_tokens":1,"completion_tokens":{tokens}}}"#),
        };
        let choices = match choices.strip_prefix("[],") {
            Some(usage) => format!(r#""choices":[],{usage}"#),
            None => format!(r#""choices":{choices}"#),
        };
        format!(
            "id: {number}\ndata: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"created\":0,\
             \"model\":\"{model}\",{choices}}}\n\n"
        )
        .into()
    }
}

/// Parameters that the load bench encodes into a prompt.
struct Prompt {
    tag: Tag,
    is_completion: bool,
    prior_tokens: u64,
    total: u64,
    prefix: u64,
}

impl Prompt {
    fn parse(body: &Value) -> Self {
        let (text, partial) = match (&body["messages"], &body["prompt"]) {
            (Value::Array(messages), _) => {
                let content = |i: usize| messages.get(i).and_then(|m| m["content"].as_str());
                let continues = body["continue_final_message"] == Value::Bool(true);
                let last = content(messages.len().saturating_sub(1));
                let partial = last.filter(|_| continues).unwrap_or_default();
                (content(0).unwrap_or_default(), partial)
            }
            (_, Value::String(prompt)) => {
                // A continued completion has the partial response after the word that ends the prompt.
                let end = prompt.find(" end").map_or(prompt.len(), |i| i + 4);
                prompt.split_at(end)
            }
            _ => ("", ""),
        };
        let prior_tokens = partial.split_whitespace().count() as u64;
        let length = number_after(text, "len=").unwrap_or(16);
        let limit = body["max_tokens"].as_u64().unwrap_or(u64::MAX);
        Self {
            tag: number_after(text, "tag=").unwrap_or_default(),
            is_completion: body["prompt"].is_string(),
            prior_tokens,
            total: length.min(prior_tokens.saturating_add(limit)),
            prefix: jackdawtally::rendezvous::hash(
                text.split(" tag=").next().unwrap_or("").as_bytes(),
            ),
        }
    }
}

fn number_after(text: &str, name: &str) -> Option<u64> {
    let rest = &text[text.find(name)? + name.len()..];
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn header(request: &Request<Bytes>, name: &str) -> SmolStr {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().into()
}

/// Names the request that a response belongs to.
fn with_id(mut response: Response<Body>, id: &str) -> Response<Body> {
    if let Ok(id) = id.parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    response
}

/// Returns an error response with the header that says that the request was not run.
fn reject(status: StatusCode, reason: &str) -> Response<Body> {
    let body = json!({"error": {"message": reason}}).to_string();
    let mut response = response::json_response(status, body.into());
    response
        .headers_mut()
        .insert(RAN_HEADER, http::HeaderValue::from_static("no"));
    response
}

fn tokens_per_second(options: &Options, percent: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let (slots, percent) = (options.slots as f64, percent as f64);
    slots / options.step.as_secs_f64() * 100.0 / percent
}

//! A stand-in for a backend server: continuous batching with a step time and slots, a prefix cache,
//! priorities, load reports with a lag, cancel, pause and resume, and the faults of real servers.
//!
//! An answer's pieces are ` TAG.1`, ` TAG.2`, … so that a caller can tell gaps, repeats and crossings.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use jackdawtally::backend::{LOAD_HEADER, RAN_HEADER, REQUEST_ID_HEADER};
use jackdawtally::response::{self, Body};
use jackdawtally::server::LoadReport;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::Instant;

use crate::execution_log::{ExecutionLog, Pause, Start, Tag};
use crate::http_server;

/// Time by which load reports lag.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Prompt beginnings that are cached.
const PREFIXES: usize = 32;
/// Steps that an uncached prompt takes before its first token.
const PREFILL_STEPS: u32 = 3;
/// Steps that a cached prompt takes.
const CACHED_STEPS: u32 = 1;
/// Requests that wait here at most.
const WAITING: usize = 64;
/// Time after which a leaving server must not be offered work any more.
const LEAVE_GRACE: Duration = Duration::from_secs(3);
/// Events that a slow reader may lag behind before its stream is paused.
const READER_EVENTS: usize = 1_024;

/// What a server is.
#[derive(Clone, Debug)]
pub struct Options {
    /// The server's name.
    pub name: SmolStr,
    /// The model or service, for the chunks.
    pub model: SmolStr,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Time of one step, in which each running request gets a token.
    pub step: Duration,
    /// Seed of its faults.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Paused(Instant),
    Done(Instant),
}

struct Sequence {
    tag: Tag,
    plain: bool,
    base: u64,
    total: u64,
    produced: u64,
    priority: u64,
    arrival: u64,
    prefill: u32,
    phase: Phase,
    keep: Duration,
    reader: Option<mpsc::Sender<Bytes>>,
    crossed: Option<(SmolStr, Tag)>,
}

struct State {
    sequences: HashMap<SmolStr, Sequence>,
    waiting: BTreeSet<(u64, u64, SmolStr)>,
    running: Vec<SmolStr>,
    prefixes: VecDeque<u64>,
    reports: VecDeque<(Instant, LoadReport)>,
    arrivals: u64,
    speeds: Vec<(Instant, f64)>,
    leaving: Option<Instant>,
    rng: ChaCha8Rng,
}

/// A backend server stand-in and the faults that it can be given.
pub struct SimulatedServer {
    /// What it is.
    pub options: Options,
    /// Where it listens.
    pub address: SocketAddr,
    log: Arc<ExecutionLog>,
    state: Mutex<State>,
    work: Notify,
    turned: Notify,
    down: AtomicBool,
    jobs: Semaphore,
    /// How much slower than its step time it is, in percent.
    slow_percent: AtomicU64,
    /// Share of answers that come late, in percent.
    pub late_percent: AtomicU64,
    /// Share of answers that are another request's, in percent.
    pub crossed_percent: AtomicU64,
}

impl SimulatedServer {
    /// Starts a server at a port that the system chooses, or at `address`.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(
        options: Options,
        address: SocketAddr,
        log: Arc<ExecutionLog>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let rate = speed(&options, 100);
        let state = State {
            sequences: HashMap::new(),
            waiting: BTreeSet::new(),
            running: Vec::new(),
            prefixes: VecDeque::new(),
            reports: VecDeque::new(),
            arrivals: 0,
            speeds: vec![(Instant::now(), rate)],
            leaving: None,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        };
        let engine = Arc::new(Self {
            jobs: Semaphore::new(options.slots),
            options,
            address,
            log,
            state: Mutex::new(state),
            work: Notify::new(),
            turned: Notify::new(),
            down: AtomicBool::new(false),
            slow_percent: AtomicU64::new(100),
            late_percent: AtomicU64::new(0),
            crossed_percent: AtomicU64::new(0),
        });
        tokio::spawn(Arc::clone(&engine).listen(listener));
        tokio::spawn(Arc::clone(&engine).run());
        Ok(engine)
    }

    /// Lets it die with all that it holds.
    pub fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        let mut state = self.lock();
        state.sequences.clear();
        state.waiting.clear();
        state.running.clear();
        state.prefixes.clear();
        state.speeds.push((Instant::now(), 0.0));
        drop(state);
        self.turned.notify_waiters();
    }

    /// Starts it again, empty.
    pub fn recover(&self) {
        self.down.store(false, Ordering::SeqCst);
        self.note_speed();
        self.turned.notify_waiters();
    }

    /// Makes it slower than its step time; 100 percent is its own speed.
    pub fn slow(&self, percent: u64) {
        self.slow_percent.store(percent, Ordering::Relaxed);
        self.note_speed();
    }

    /// Lets it say that it is leaving.
    pub fn leave(&self) {
        self.lock().leaving = Some(Instant::now());
    }

    /// Tokens that it could have made between two instants.
    #[must_use]
    pub fn capacity(&self, from: Instant, to: Instant) -> f64 {
        let speeds = self.lock().speeds.clone();
        let ends = speeds.iter().skip(1).map(|(at, _)| *at).chain([to]);
        let parts = speeds.iter().zip(ends).map(|((begin, rate), end)| {
            let begin = (*begin).max(from);
            rate * end.min(to).saturating_duration_since(begin).as_secs_f64()
        });
        parts.sum()
    }

    fn note_speed(&self) {
        let rate = speed(&self.options, self.slow_percent.load(Ordering::Relaxed));
        self.lock().speeds.push((Instant::now(), rate));
    }

    async fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let turned = self.turned.notified();
            if self.down.load(Ordering::SeqCst) {
                listener = None;
                turned.await;
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
            let engine = Arc::clone(&self);
            let serve = http_server::serve(bound, move |r| Arc::clone(&engine).answer(r));
            tokio::select! {
                () = serve => {}
                () = turned => {}
            }
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let stream = path.strip_prefix("/v1/streams/");
        match (request.method(), path.as_str(), stream) {
            (&Method::GET, "/load", _) => self.report(),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions", _) => {
                self.begin(&request).await
            }
            (&Method::GET, _, Some(id)) => self.resume(id, &request),
            (&Method::DELETE, _, Some(id)) => self.cancel(id),
            _ => self.job(request).await,
        }
    }

    fn report(&self) -> Response<Body> {
        let now = Instant::now();
        let mut state = self.lock();
        let current = state.load();
        state.reports.push_back((now, current));
        while state.reports.len() > 64 {
            state.reports.pop_front();
        }
        let old = state
            .reports
            .iter()
            .rev()
            .find(|(at, _)| now - *at >= REPORT_LAG);
        let report = LoadReport {
            leaving: state.leaving.is_some(),
            ..old.map_or(current, |(_, r)| *r)
        };
        let body = serde_json::to_vec(&report).unwrap_or_default();
        response::json_response(StatusCode::OK, body.into())
    }

    async fn begin(self: Arc<Self>, request: &Request<Bytes>) -> Response<Body> {
        let Ok(body) = serde_json::from_slice::<Value>(request.body()) else {
            return refuse(StatusCode::BAD_REQUEST, "the body isn't JSON");
        };
        let id = header(request, REQUEST_ID_HEADER);
        let keep: u64 = header(request, "x-keep-ms").parse().unwrap_or_default();
        let prompt = Prompt::read(&body);
        if let Some(refusal) = self.refuse_leaving(&prompt) {
            return refusal;
        }
        let (reader, events) = mpsc::channel(READER_EVENTS);
        let (echo, late) = {
            let mut state = self.lock();
            if state.waiting.len() >= WAITING {
                return refuse(StatusCode::TOO_MANY_REQUESTS, "full");
            }
            let late = state
                .drawn(&self.late_percent)
                .then(|| state.rng.random_range(500..2_000));
            let crossed = state.cross(&self.crossed_percent);
            let echo = match &crossed {
                Some((other, tag)) if tag % 2 == 0 => other.clone(),
                _ => id.clone(),
            };
            let prefill = state.prefill(prompt.prefix);
            let arrival = state.arrivals;
            state.arrivals += 1;
            let sequence = Sequence {
                tag: prompt.tag,
                plain: prompt.plain,
                base: prompt.base,
                total: prompt.total,
                produced: 0,
                priority: body["priority"].as_u64().unwrap_or(100),
                arrival,
                prefill,
                phase: Phase::Waiting,
                keep: Duration::from_millis(keep),
                reader: Some(reader),
                crossed,
            };
            state
                .waiting
                .insert((sequence.priority, arrival, id.clone()));
            state.sequences.insert(id.clone(), sequence);
            (echo, late)
        };
        self.work.notify_one();
        if let Some(ms) = late {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        self.stream(&echo, events)
    }

    fn refuse_leaving(&self, prompt: &Prompt) -> Option<Response<Body>> {
        let since = self.lock().leaving?;
        if since.elapsed() > LEAVE_GRACE {
            self.log.late(self.start_of(prompt.tag, prompt.base, false));
        }
        Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "leaving"))
    }

    fn start_of(&self, tag: Tag, base: u64, resumed: bool) -> Start {
        Start {
            at: Instant::now(),
            server: self.options.name.clone(),
            tag,
            base,
            resumed,
        }
    }

    fn resume(&self, id: &str, request: &Request<Bytes>) -> Response<Body> {
        let number = |name| http_server::query(request, name).and_then(|v| v.parse::<u64>().ok());
        let after = number("after").unwrap_or_default();
        let (reader, events) = mpsc::channel(READER_EVENTS.max(4_096));
        {
            let mut state = self.lock();
            let model = self.options.model.clone();
            let Some(sequence) = state.sequences.get_mut(id) else {
                return refuse(StatusCode::NOT_FOUND, "no such stream");
            };
            sequence.crossed = None;
            for event in after + 1..=sequence.produced {
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
                    let place = (sequence.priority, sequence.arrival, SmolStr::from(id));
                    state.waiting.insert(place);
                }
                Phase::Waiting | Phase::Running => sequence.reader = Some(reader),
            }
        }
        self.work.notify_one();
        self.stream(id, events)
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let mut state = self.lock();
        if let Some(sequence) = state.sequences.remove(id) {
            state
                .waiting
                .remove(&(sequence.priority, sequence.arrival, id.into()));
            state.running.retain(|other| other != id);
        }
        response::json_response(StatusCode::OK, Bytes::new())
    }

    fn stream(&self, id: &str, events: mpsc::Receiver<Bytes>) -> Response<Body> {
        let load = self.lock().load();
        let mut response = Response::new(Body::Stream(events));
        let headers = response.headers_mut();
        if let Ok(id) = id.parse() {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        if let Ok(load) = format!("{}/{}", load.running, load.waiting).parse() {
            headers.insert(LOAD_HEADER, load);
        }
        response
    }

    /// A call of a plain service, which runs to its end whoever waits for it.
    async fn job(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let text = String::from_utf8_lossy(request.body()).into_owned();
        let tag = field(&text, "tag=").unwrap_or_default();
        let steps = field(&text, "len=").unwrap_or(1);
        let prompt = Prompt {
            tag,
            plain: false,
            base: 0,
            total: 1,
            prefix: 0,
        };
        if let Some(refusal) = self.refuse_leaving(&prompt) {
            return refusal;
        }
        let id = header(&request, REQUEST_ID_HEADER);
        let engine = Arc::clone(&self);
        let job = tokio::spawn(async move {
            let _slot = engine.jobs.acquire().await;
            engine.log.start(engine.start_of(tag, 0, false));
            let steps = u32::try_from(steps).unwrap_or(u32::MAX);
            tokio::time::sleep(engine.options.step * steps).await;
            engine.log.token(tag);
        });
        let _ = job.await;
        let (late, crossed) = {
            let mut state = self.lock();
            (
                state.drawn(&self.late_percent),
                state.drawn(&self.crossed_percent),
            )
        };
        if late {
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        let (tag, id) = if crossed {
            (tag + 1, SmolStr::from("jt-another"))
        } else {
            (tag, id)
        };
        let body = json!({"tag": tag, "done": true}).to_string();
        let mut response = response::json_response(StatusCode::OK, body.into());
        if let Ok(id) = id.parse() {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        response
    }

    /// Steps through what runs, for ever.
    async fn run(self: Arc<Self>) {
        let mut next = Instant::now();
        loop {
            let idle = {
                let state = self.lock();
                state.running.is_empty() && state.waiting.is_empty()
            };
            if idle {
                self.work.notified().await;
                next = next.max(Instant::now());
            }
            tokio::time::sleep_until(next).await;
            self.step();
            let percent = u32::try_from(self.slow_percent.load(Ordering::Relaxed)).unwrap_or(100);
            let step = self.options.step * percent / 100;
            next += step;
            // A machine that was held up doesn't catch up for ever.
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
                sequence.phase = Phase::Paused(now + sequence.keep);
                continue;
            }
            sequence.phase = Phase::Running;
            let resumed = sequence.produced > 0;
            self.log
                .start(self.start_of(sequence.tag, sequence.base, resumed));
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

    /// One step of one request; tells whether it goes on running.
    fn advance(&self, sequence: &mut Sequence, id: &str, now: Instant) -> bool {
        if sequence.reader.as_ref().is_none_or(mpsc::Sender::is_closed) {
            sequence.phase = Phase::Paused(now + sequence.keep);
            self.log.pause(Pause {
                at: now,
                server: self.options.name.clone(),
                tag: sequence.tag,
                crossed: sequence.crossed.is_some(),
            });
            return false;
        }
        if sequence.prefill > 0 {
            sequence.prefill -= 1;
            return true;
        }
        let tokens = sequence.total.saturating_sub(sequence.base);
        let last = sequence.produced + 1 >= tokens;
        let made = if last { 3 } else { 1 };
        for _ in 0..made {
            sequence.produced += 1;
            let event = sequence.event(id, &self.options.model, sequence.produced);
            if let Some(reader) = &sequence.reader {
                // What a slow reader misses, it gets when it resumes.
                let _ = reader.try_send(event);
            }
        }
        self.log.token(sequence.tag);
        if last {
            if let Some(reader) = sequence.reader.take() {
                let _ = reader.try_send(Bytes::from_static(b"data: [DONE]\n\n"));
            }
            sequence.phase = Phase::Done(now + sequence.keep);
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
        }
    }

    fn drawn(&mut self, percent: &AtomicU64) -> bool {
        self.rng.random_range(0..100) < percent.load(Ordering::Relaxed)
    }

    /// Another request whose answer is given in place of the right one, when that is drawn.
    fn cross(&mut self, percent: &AtomicU64) -> Option<(SmolStr, Tag)> {
        if !self.drawn(percent) {
            return None;
        }
        let other = self.running.first()?;
        let tag = self.sequences.get(other)?.tag;
        Some((other.clone(), tag))
    }

    fn prefill(&mut self, prefix: u64) -> u32 {
        if let Some(place) = self.prefixes.iter().position(|p| *p == prefix) {
            self.prefixes.remove(place);
            self.prefixes.push_back(prefix);
            return CACHED_STEPS;
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIXES {
            self.prefixes.pop_front();
        }
        PREFILL_STEPS
    }
}

impl Sequence {
    /// The event of that number: a token, then the reason for the end, then the usage.
    fn event(&self, id: &str, model: &str, number: u64) -> Bytes {
        let tokens = self.total.saturating_sub(self.base).max(1);
        let (id, tag) = match &self.crossed {
            Some((other, tag)) if tag % 2 == 0 || number > 2 => (other.as_str(), *tag),
            _ => (id, self.tag),
        };
        let choices = match number {
            n if n <= tokens && self.plain => format!(
                r#"[{{"index":0,"text":" {tag}.{}","finish_reason":null}}]"#,
                self.base + n
            ),
            n if n <= tokens => format!(
                r#"[{{"index":0,"delta":{{"content":" {tag}.{}"}},"finish_reason":null}}]"#,
                self.base + n
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

/// What a prompt of the bench says.
struct Prompt {
    tag: Tag,
    plain: bool,
    base: u64,
    total: u64,
    prefix: u64,
}

impl Prompt {
    fn read(body: &Value) -> Self {
        let (text, partial) = match (&body["messages"], &body["prompt"]) {
            (Value::Array(messages), _) => {
                let content = |i: usize| messages.get(i).and_then(|m| m["content"].as_str());
                let continues = body["continue_final_message"] == Value::Bool(true);
                let last = content(messages.len().saturating_sub(1));
                let partial = last.filter(|_| continues).unwrap_or_default();
                (content(0).unwrap_or_default(), partial)
            }
            (_, Value::String(prompt)) => {
                let end = prompt.find(" end").map_or(prompt.len(), |i| i + 4);
                prompt.split_at(end)
            }
            _ => ("", ""),
        };
        let base = partial.split_whitespace().count() as u64;
        let length = field(text, "len=").unwrap_or(16);
        let limit = body["max_tokens"].as_u64().unwrap_or(u64::MAX);
        Self {
            tag: field(text, "tag=").unwrap_or_default(),
            plain: body["prompt"].is_string(),
            base,
            total: length.min(base.saturating_add(limit)),
            prefix: jackdawtally::rendezvous::hash(
                text.split(" tag=").next().unwrap_or("").as_bytes(),
            ),
        }
    }
}

fn field(text: &str, name: &str) -> Option<u64> {
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

/// A refusal before anything was run.
fn refuse(status: StatusCode, reason: &str) -> Response<Body> {
    let body = json!({"error": {"message": reason}}).to_string();
    let mut response = response::json_response(status, body.into());
    response
        .headers_mut()
        .insert(RAN_HEADER, http::HeaderValue::from_static("no"));
    response
}

fn speed(options: &Options, percent: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let (slots, percent) = (options.slots as f64, percent as f64);
    slots / options.step.as_secs_f64() * 100.0 / percent
}

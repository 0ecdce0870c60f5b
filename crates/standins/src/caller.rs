//! A caller as the protocol's page describes it: it asks which address to use, keeps the answer for a
//! while, resumes a broken stream at another instance, and repeats what may be repeated.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use jackdawtally::sse::Reader;
use rand::RngExt;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::time::Instant;
use uuid::Uuid;

use crate::deployment::{self, Target};
use crate::traffic::Planned;

/// Time after which a caller gives up for good.
const PATIENCE: Duration = Duration::from_mins(1);
/// Submissions of one request whose outcome is unknown.
const TRIES: u32 = 12;
/// Wait before another address is tried.
const PAUSE: Duration = Duration::from_millis(50);
/// Silence from which a caller takes its connection for broken.
const SILENCE: Duration = Duration::from_secs(30);

/// An address that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The instance's name.
    pub instance: SmolStr,
    /// Its address.
    pub address: SocketAddr,
}

/// The addresses as the callers last heard them.
#[derive(Debug, Default)]
pub struct Entries(Mutex<Vec<Entry>>);

impl Entries {
    /// Replaces the addresses.
    pub fn set(&self, entries: Vec<Entry>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// All addresses.
    #[must_use]
    pub fn all(&self) -> Vec<Entry> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn pick(&self, avoid: &[SocketAddr]) -> Option<Entry> {
        let all = self.all();
        let mut good: Vec<&Entry> = all.iter().filter(|e| !avoid.contains(&e.address)).collect();
        if good.is_empty() {
            good = all.iter().collect();
        }
        let place = rand::rng().random_range(0..good.len().max(1));
        good.get(place).map(|e| (*e).clone())
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With the whole answer.
    Complete,
    /// With the word that it had been answered completely before.
    Told,
    /// With an error.
    Refused {
        /// The error's kind.
        kind: String,
        /// Whether it ran, as the router says.
        ran: String,
    },
    /// Without any answer in a caller's patience.
    Lost,
    /// Not at all before the run was over.
    Unfinished,
}

/// What a caller saw of its request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request.
    pub request: Planned,
    /// When it was first sent.
    pub sent: Instant,
    /// When its first token came.
    pub first: Option<Instant>,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
    /// The pieces, each once, in order.
    pub pieces: u64,
    /// When each piece came, counted by its number.
    pub times: Vec<Instant>,
    /// Whether a piece was another request's.
    pub crossed: bool,
    /// Whether a piece was missing or came twice.
    pub broken: bool,
    /// Instances at which the connection broke, and when.
    pub cuts: Vec<(SmolStr, Instant)>,
    /// The times in which a submission was open at an instance.
    pub waits: Vec<(Instant, Instant)>,
}

/// Callers of one run.
#[derive(Clone)]
pub struct Callers {
    /// The addresses they know.
    pub entries: Arc<Entries>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// How one try ended.
enum Try {
    End(End),
    /// The connection broke, or the instance is leaving.
    Again,
    /// To be repeated a little later.
    Later(Duration),
}

struct Running<'a> {
    callers: &'a Callers,
    answer: Answer,
    key: Option<Uuid>,
    text: String,
    last_event: Option<String>,
    avoid: Vec<SocketAddr>,
    tries: u32,
}

impl Callers {
    /// Callers that know `entries`.
    #[must_use]
    pub fn new(entries: Arc<Entries>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { entries, client }
    }

    /// Asks instances for the addresses until one answers.
    pub async fn refresh(&self, organisation: &str) {
        for _ in 0..5 {
            let Some(entry) = self.entries.pick(&[]) else {
                return;
            };
            let request = Request::get(format!("http://{}/v1/entries", entry.address))
                .header(
                    "authorization",
                    format!("Bearer {}", deployment::key(organisation)),
                )
                .body(Full::default());
            let Ok(request) = request else {
                return;
            };
            let exchange = async {
                let response = self.client.request(request).await.ok()?;
                let body = response.into_body().collect().await.ok()?.to_bytes();
                parse_entries(&body)
            };
            let answered = tokio::time::timeout(Duration::from_millis(500), exchange).await;
            if let Ok(Some(entries)) = answered {
                self.entries.set(entries);
                return;
            }
        }
    }

    /// Sends a request and sees it through to its end.
    pub async fn run(&self, request: Planned) -> Answer {
        let now = Instant::now();
        let mut running = Running {
            callers: self,
            key: (!request.idempotent).then(Uuid::now_v7),
            answer: Answer {
                request,
                sent: now,
                first: None,
                ended: now,
                end: End::Lost,
                pieces: 0,
                times: Vec::new(),
                crossed: false,
                broken: false,
                cuts: Vec::new(),
                waits: Vec::new(),
            },
            text: String::new(),
            last_event: None,
            avoid: Vec::new(),
            tries: 0,
        };
        while now.elapsed() < PATIENCE {
            let from = Instant::now();
            let outcome = running.try_once().await;
            running.answer.waits.push((from, Instant::now()));
            match outcome {
                Try::End(end) => {
                    running.answer.end = end;
                    break;
                }
                Try::Again => tokio::time::sleep(PAUSE).await,
                Try::Later(wait) => tokio::time::sleep(wait).await,
            }
        }
        running.answer.ended = Instant::now();
        running.answer
    }
}

impl Running<'_> {
    async fn try_once(&mut self) -> Try {
        let Some(entry) = self.callers.entries.pick(&self.avoid) else {
            return Try::Again;
        };
        self.tries += 1;
        let Some(request) = self.request(entry.address) else {
            return Try::End(End::Lost);
        };
        let sent = tokio::time::timeout(PATIENCE, self.callers.client.request(request)).await;
        let Ok(Ok(response)) = sent else {
            return self.broke(&entry);
        };
        if response.status() != StatusCode::OK {
            return self.refused(&entry, response).await;
        }
        match self.answer.request.target {
            Target::Stream(_) => self.read_stream(&entry, response).await,
            Target::Whole(_) | Target::Service(_) => self.read_whole(&entry, response).await,
        }
    }

    fn request(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let planned = &self.answer.request;
        let received = if self.last_event.is_some() {
            &self.text
        } else {
            ""
        };
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{}", planned.path()))
            .header("content-type", "application/json")
            .header("x-class", planned.class.as_str())
            .header(
                "authorization",
                format!("Bearer {}", deployment::key(&planned.organisation)),
            );
        if let Some(key) = self.key {
            request = request.header("idempotency-key", key.to_string());
        }
        if self.key.is_some() && self.tries == 1 {
            request = request.header("x-submission", "first");
        }
        if let Some(id) = &self.last_event {
            request = request.header("last-event-id", id);
        }
        let body = planned.body(received).to_string();
        request.body(Full::new(body.into())).ok()
    }

    fn broke(&mut self, entry: &Entry) -> Try {
        self.avoid.push(entry.address);
        log::debug!(
            "request={} try={} instance={} connection=broken",
            self.answer.request.tag,
            self.tries,
            entry.instance
        );
        self.answer
            .cuts
            .push((entry.instance.clone(), Instant::now()));
        Try::Again
    }

    async fn refused(&mut self, entry: &Entry, response: Response<Incoming>) -> Try {
        let Ok(body) = response.into_body().collect().await else {
            return self.broke(entry);
        };
        let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        self.judge(entry, &body["error"])
    }

    fn judge(&mut self, entry: &Entry, error: &Value) -> Try {
        let word = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        let (kind, ran) = (word("kind"), word("ran"));
        log::debug!(
            "request={} try={} instance={} kind={kind} ran={ran}",
            self.answer.request.tag,
            self.tries,
            entry.instance
        );
        match kind.as_str() {
            "draining" => {
                self.avoid.push(entry.address);
                Try::Again
            }
            "idempotency_key_running" => Try::Later(Duration::from_millis(500)),
            // Nobody can tell yet; the same key may be asked for again until somebody can.
            "platform_unavailable" | "overloaded" | "no_backend_server"
                if ran == "unknown" && self.key.is_some() && self.tries < TRIES =>
            {
                let wait = error["retry_after_ms"].as_u64().unwrap_or(500);
                Try::Later(Duration::from_millis(wait))
            }
            "idempotency_key_complete" => Try::End(End::Told),
            _ => Try::End(End::Refused { kind, ran }),
        }
    }

    async fn read_whole(&mut self, entry: &Entry, response: Response<Incoming>) -> Try {
        let Ok(body) = response.into_body().collect().await else {
            return self.broke(entry);
        };
        let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        self.answer.first = Some(Instant::now());
        if let Target::Service(_) = self.answer.request.target {
            self.answer.crossed |= body["tag"].as_u64() != Some(self.answer.request.tag);
            self.answer.pieces = 1;
            self.answer.times = vec![Instant::now()];
            return Try::End(End::Complete);
        }
        let text = body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        for piece in text.split_whitespace() {
            self.piece(piece);
        }
        self.whole()
    }

    async fn read_stream(&mut self, entry: &Entry, response: Response<Incoming>) -> Try {
        let mut body = response.into_body();
        let mut reader = Reader::default();
        loop {
            let frame = tokio::time::timeout(SILENCE, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return self.broke(entry);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let ids = event_ids(&data);
            reader.feed(&data);
            let mut ids = ids.into_iter();
            while let Ok(Some(event)) = reader.event() {
                if &event.data[..] == b"[DONE]" {
                    return self.whole();
                }
                let value: Value = serde_json::from_slice(&event.data).unwrap_or_default();
                if value.get("error").is_some() {
                    return self.judge(entry, &value["error"]);
                }
                if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
                    self.text.push_str(text);
                    self.piece(text.trim());
                }
                if let Some(id) = ids.next() {
                    self.last_event = Some(id);
                }
            }
        }
    }

    fn piece(&mut self, piece: &str) {
        let now = Instant::now();
        self.answer.first.get_or_insert(now);
        let expected = (self.answer.request.tag, self.answer.pieces + 1);
        let found = piece.split_once('.').and_then(|(tag, number)| {
            Some((tag.parse::<u64>().ok()?, number.parse::<u64>().ok()?))
        });
        match found {
            Some(found) if found == expected => {
                self.answer.pieces += 1;
                self.answer.times.push(now);
            }
            Some((tag, _)) if tag != expected.0 => self.answer.crossed = true,
            _ => self.answer.broken = true,
        }
    }

    fn whole(&mut self) -> Try {
        self.answer.broken |= self.answer.pieces != self.answer.request.length;
        Try::End(End::Complete)
    }
}

/// The ids of the events in a piece of a stream. The router sends each event in one piece.
fn event_ids(data: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(data);
    let lines = text.lines().filter_map(|l| l.strip_prefix("id: "));
    lines.map(ToOwned::to_owned).collect()
}

fn parse_entries(body: &[u8]) -> Option<Vec<Entry>> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let entries = body["entries"].as_array()?.iter().filter_map(|e| {
        Some(Entry {
            instance: e["instance"].as_str()?.into(),
            address: e["address"].as_str()?.parse().ok()?,
        })
    });
    let entries: Vec<Entry> = entries.collect();
    (!entries.is_empty()).then_some(entries)
}

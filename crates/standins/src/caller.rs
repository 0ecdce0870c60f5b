//! A caller that follows the protocol: it asks for the addresses of the instances, caches them,
//! resumes an interrupted stream at another instance, and retries requests that may be retried.

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
use crate::traffic::PlannedRequest;

/// Total time after which a caller gives up on a request.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum attempts of a request whose execution state is unknown.
const MAX_ATTEMPTS: u32 = 12;
/// Delay before the next attempt at another instance.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Idle time after which a caller regards its connection as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The address of an instance for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceAddress {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
}

/// The list of instance addresses that the callers received last.
#[derive(Debug, Default)]
pub struct AddressList(Mutex<Vec<InstanceAddress>>);

impl AddressList {
    /// Replaces the list.
    pub fn set(&self, addresses: Vec<InstanceAddress>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Returns a copy of the list.
    #[must_use]
    pub fn all(&self) -> Vec<InstanceAddress> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn pick(&self, avoid: &[SocketAddr]) -> Option<InstanceAddress> {
        let all = self.all();
        let mut candidates: Vec<&InstanceAddress> =
            all.iter().filter(|e| !avoid.contains(&e.address)).collect();
        if candidates.is_empty() {
            candidates = all.iter().collect();
        }
        let index = rand::rng().random_range(0..candidates.len().max(1));
        candidates.get(index).map(|e| (*e).clone())
    }
}

/// The outcome of a request, as its caller saw it. The names of the variants appear in trace files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived.
    Complete,
    /// The router replied that the request had been completed before, under the same idempotency key.
    Told,
    /// The request failed with an error.
    Refused {
        /// Error kind, as in the `kind` field of the error.
        kind: String,
        /// Whether the request ran, according to the router: `yes`, `no` or `unknown`.
        ran: String,
    },
    /// No complete response or error arrived before the caller gave up.
    Lost,
    /// The request was still in progress when the run ended.
    Unfinished,
}

/// Everything that a caller observed about one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request.
    pub request: PlannedRequest,
    /// Time of the first attempt.
    pub sent: Instant,
    /// Arrival of the first token, or of the complete response if it is not streamed; `None` if there was none.
    pub first_token: Option<Instant>,
    /// Time of the outcome.
    pub ended: Instant,
    /// The outcome.
    pub outcome: Outcome,
    /// Number of tokens received in the correct order.
    pub tokens: u64,
    /// Arrival time of each of these tokens.
    pub token_times: Vec<Instant>,
    /// Whether a token of another request was received.
    pub mismatched: bool,
    /// Whether a token was missing or duplicated.
    pub corrupt: bool,
    /// Instances whose connection broke, with the time.
    pub disconnects: Vec<(SmolStr, Instant)>,
    /// Start and end of each attempt.
    pub attempt_times: Vec<(Instant, Instant)>,
}

/// The callers of a run, which share an HTTP client and an address list.
#[derive(Clone)]
pub struct Callers {
    /// The shared address list.
    pub addresses: Arc<AddressList>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Result of one attempt.
enum AttemptResult {
    Done(Outcome),
    /// The connection broke or the instance is draining: try another instance.
    TryNext,
    /// Try again after this delay.
    RetryAfter(Duration),
}

struct RequestRun<'a> {
    callers: &'a Callers,
    record: RequestRecord,
    key: Option<Uuid>,
    received: String,
    last_event: Option<String>,
    avoid: Vec<SocketAddr>,
    attempts: u32,
}

impl Callers {
    /// Creates callers that use this address list.
    #[must_use]
    pub fn new(addresses: Arc<AddressList>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { addresses, client }
    }

    /// Updates the address list from an instance. Tries up to five instances, and keeps the old list if
    /// none responds.
    pub async fn refresh(&self, organisation: &str) {
        for _ in 0..5 {
            let Some(target) = self.addresses.pick(&[]) else {
                return;
            };
            let request = Request::get(format!("http://{}/v1/entries", target.address))
                .header(
                    "authorization",
                    format!("Bearer {}", deployment::api_key(organisation)),
                )
                .body(Full::default());
            let Ok(request) = request else {
                return;
            };
            let exchange = async {
                let response = self.client.request(request).await.ok()?;
                let body = response.into_body().collect().await.ok()?.to_bytes();
                parse_addresses(&body)
            };
            let answered = tokio::time::timeout(Duration::from_millis(500), exchange).await;
            if let Ok(Some(addresses)) = answered {
                self.addresses.set(addresses);
                return;
            }
        }
    }

    /// Sends a request, with retries and resumption, until its outcome is known or the caller gives up.
    pub async fn run(&self, request: PlannedRequest) -> RequestRecord {
        let now = Instant::now();
        let mut run = RequestRun {
            callers: self,
            key: (!request.idempotent).then(Uuid::now_v7),
            record: RequestRecord {
                request,
                sent: now,
                first_token: None,
                ended: now,
                outcome: Outcome::Lost,
                tokens: 0,
                token_times: Vec::new(),
                mismatched: false,
                corrupt: false,
                disconnects: Vec::new(),
                attempt_times: Vec::new(),
            },
            received: String::new(),
            last_event: None,
            avoid: Vec::new(),
            attempts: 0,
        };
        while now.elapsed() < REQUEST_TIMEOUT {
            let from = Instant::now();
            let result = run.attempt().await;
            run.record.attempt_times.push((from, Instant::now()));
            match result {
                AttemptResult::Done(outcome) => {
                    run.record.outcome = outcome;
                    break;
                }
                AttemptResult::TryNext => tokio::time::sleep(RETRY_DELAY).await,
                AttemptResult::RetryAfter(wait) => tokio::time::sleep(wait).await,
            }
        }
        run.record.ended = Instant::now();
        run.record
    }
}

impl RequestRun<'_> {
    async fn attempt(&mut self) -> AttemptResult {
        let Some(target) = self.callers.addresses.pick(&self.avoid) else {
            return AttemptResult::TryNext;
        };
        self.attempts += 1;
        let Some(request) = self.request(target.address) else {
            return AttemptResult::Done(Outcome::Lost);
        };
        let sent =
            tokio::time::timeout(REQUEST_TIMEOUT, self.callers.client.request(request)).await;
        let Ok(Ok(response)) = sent else {
            return self.connection_broken(&target);
        };
        if response.status() != StatusCode::OK {
            return self.read_error(&target, response).await;
        }
        match self.record.request.target {
            Target::Stream(_) => self.read_stream(&target, response).await,
            Target::NonStreaming(_) | Target::Service(_) => {
                self.read_response(&target, response).await
            }
        }
    }

    fn request(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let planned = &self.record.request;
        let received = if self.last_event.is_some() {
            &self.received
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
                format!("Bearer {}", deployment::api_key(&planned.organisation)),
            );
        if let Some(key) = self.key {
            request = request.header("idempotency-key", key.to_string());
        }
        if self.key.is_some() && self.attempts == 1 {
            request = request.header("x-submission", "first");
        }
        if let Some(id) = &self.last_event {
            request = request.header("last-event-id", id);
        }
        let body = planned.body(received).to_string();
        request.body(Full::new(body.into())).ok()
    }

    fn connection_broken(&mut self, target: &InstanceAddress) -> AttemptResult {
        self.avoid.push(target.address);
        log::debug!(
            "request={} try={} instance={} connection=broken",
            self.record.request.tag,
            self.attempts,
            target.instance
        );
        self.record
            .disconnects
            .push((target.instance.clone(), Instant::now()));
        AttemptResult::TryNext
    }

    async fn read_error(
        &mut self,
        target: &InstanceAddress,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let Ok(body) = response.into_body().collect().await else {
            return self.connection_broken(target);
        };
        let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        self.handle_error(target, &body["error"])
    }

    fn handle_error(&mut self, target: &InstanceAddress, error: &Value) -> AttemptResult {
        let text_of = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        let (kind, ran) = (text_of("kind"), text_of("ran"));
        log::debug!(
            "request={} try={} instance={} kind={kind} ran={ran}",
            self.record.request.tag,
            self.attempts,
            target.instance
        );
        match kind.as_str() {
            "draining" => {
                self.avoid.push(target.address);
                AttemptResult::TryNext
            }
            "idempotency_key_running" => AttemptResult::RetryAfter(Duration::from_millis(500)),
            // Whether the request ran is not known yet. A retry with the same key is safe and may find out.
            "platform_unavailable" | "overloaded" | "no_backend_server"
                if ran == "unknown" && self.key.is_some() && self.attempts < MAX_ATTEMPTS =>
            {
                let wait = error["retry_after_ms"].as_u64().unwrap_or(500);
                AttemptResult::RetryAfter(Duration::from_millis(wait))
            }
            "idempotency_key_complete" => AttemptResult::Done(Outcome::Told),
            _ => AttemptResult::Done(Outcome::Refused { kind, ran }),
        }
    }

    async fn read_response(
        &mut self,
        target: &InstanceAddress,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let Ok(body) = response.into_body().collect().await else {
            return self.connection_broken(target);
        };
        let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        self.record.first_token = Some(Instant::now());
        if let Target::Service(_) = self.record.request.target {
            self.record.mismatched |= body["tag"].as_u64() != Some(self.record.request.tag);
            self.record.tokens = 1;
            self.record.token_times = vec![Instant::now()];
            return AttemptResult::Done(Outcome::Complete);
        }
        let text = body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        for token in text.split_whitespace() {
            self.record_token(token);
        }
        self.finish()
    }

    async fn read_stream(
        &mut self,
        target: &InstanceAddress,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let mut body = response.into_body();
        let mut reader = Reader::default();
        loop {
            let frame = tokio::time::timeout(IDLE_TIMEOUT, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return self.connection_broken(target);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let ids = event_ids(&data);
            reader.feed(&data);
            let mut ids = ids.into_iter();
            while let Ok(Some(event)) = reader.event() {
                if &event.data[..] == b"[DONE]" {
                    return self.finish();
                }
                let value: Value = serde_json::from_slice(&event.data).unwrap_or_default();
                if value.get("error").is_some() {
                    return self.handle_error(target, &value["error"]);
                }
                if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
                    self.received.push_str(text);
                    self.record_token(text.trim());
                }
                if let Some(id) = ids.next() {
                    self.last_event = Some(id);
                }
            }
        }
    }

    fn record_token(&mut self, token: &str) {
        let now = Instant::now();
        self.record.first_token.get_or_insert(now);
        let expected = (self.record.request.tag, self.record.tokens + 1);
        let found = token.split_once('.').and_then(|(tag, number)| {
            Some((tag.parse::<u64>().ok()?, number.parse::<u64>().ok()?))
        });
        match found {
            Some(found) if found == expected => {
                self.record.tokens += 1;
                self.record.token_times.push(now);
            }
            Some((tag, _)) if tag != expected.0 => self.record.mismatched = true,
            _ => self.record.corrupt = true,
        }
    }

    fn finish(&mut self) -> AttemptResult {
        self.record.corrupt |= self.record.tokens != self.record.request.length;
        AttemptResult::Done(Outcome::Complete)
    }
}

/// Returns the IDs of the events in a chunk of a stream. The router sends each event in one chunk.
fn event_ids(data: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(data);
    let lines = text.lines().filter_map(|l| l.strip_prefix("id: "));
    lines.map(ToOwned::to_owned).collect()
}

fn parse_addresses(body: &[u8]) -> Option<Vec<InstanceAddress>> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let addresses = body["entries"].as_array()?.iter().filter_map(|e| {
        Some(InstanceAddress {
            instance: e["instance"].as_str()?.into(),
            address: e["address"].as_str()?.parse().ok()?,
        })
    });
    let addresses: Vec<InstanceAddress> = addresses.collect();
    (!addresses.is_empty()).then_some(addresses)
}

//! Relays one inference request to backend servers and its response to the caller, with retries, resumption
//! and migration between servers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use crate::error::{Fault, Kind};
use crate::fleet::claims::Progress;
use crate::forward::connection_pool::{BackendResponse, Error};
use crate::load::pool::{Directive, Permit, ServerId};
use crate::request::admitted::AdmittedRequest;
use crate::request::backend::{self, BackendRequest};
use crate::request::claim::{self, Claim};
use crate::request::execution::ExecutionTracker;
use crate::request::inference::{Chunk, InferenceRequest};
use crate::request::response::ResponseSink;
use crate::request::token::{StreamPosition, StreamSigner};
use crate::sse::{Event, Reader};

/// Maximum number of attempts for one request, resumptions included and preemptions excluded.
const MAX_ATTEMPTS: u32 = 24;
/// Time without data after the first token from which a stream counts as broken.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Initial backoff before a stream is resumed at the backend server that holds it; doubled by each further
/// attempt without a new token.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of consecutive resumptions without a new token at the backend server that holds the
/// stream.
const MAX_RESUMPTIONS: u32 = 7;
/// Time in ms for which a backend server retains a stream whose reader disconnected, as the value of
/// `x-keep-ms`.
const STREAM_RETENTION_MS: &str = "15000";
/// Number of tokens over which the mean gap between tokens is measured.
const GAP_SAMPLE_TOKENS: u32 = 4;

/// A stream that a backend server holds for this request.
#[derive(Clone, Debug)]
struct HeldStream {
    /// The default id if the stream is resumed from a token: the pool then finds the server by its name.
    server: ServerId,
    server_name: SmolStr,
    stream_id: SmolStr,
    /// Number of the last event that was received; 0 before the first.
    offset: u64,
}

/// Result of one attempt.
enum AttemptResult {
    Complete,
    Retry,
    CallerDisconnected,
    Fail(Fault),
}

/// One inference request, from its admission to the end of its response.
pub struct Relay {
    admitted: AdmittedRequest,
    inference: InferenceRequest,
    id: SmolStr,
    sink: ResponseSink,
    /// Claim on the idempotency key, from its acquisition to the end of the request.
    claim: Option<Claim>,
    /// Text of the response so far, from which another backend server can continue.
    text: String,
    /// Tokens of the response so far; each chunk with text counts as one.
    sent_tokens: u64,
    /// Whether `text` is all of the response so far; false if a resuming caller did not send it.
    text_known: bool,
    /// Whether the last attempt was preempted.
    preempted: bool,
    execution: ExecutionTracker,
    held: Option<HeldStream>,
    /// Attempts made, preempted ones excluded.
    attempts: u32,
    finish_reason: SmolStr,
    usage: Option<Value>,
}

impl Relay {
    /// Creates the relay of a new request.
    #[must_use]
    pub fn new(admitted: AdmittedRequest, inference: InferenceRequest, sink: ResponseSink) -> Self {
        Self {
            id: format_smolstr!("jt-{}", uuid::Uuid::new_v4().simple()),
            text: inference.received.clone(),
            admitted,
            inference,
            sink,
            claim: None,
            sent_tokens: 0,
            text_known: true,
            preempted: false,
            execution: ExecutionTracker::default(),
            held: None,
            attempts: 0,
            finish_reason: "stop".into(),
            usage: None,
        }
    }

    /// Resumes a stream after `position`, which the caller sent as a stream token.
    #[must_use]
    pub fn resuming(mut self, position: &StreamPosition) -> Self {
        self.sent_tokens = position.sent_tokens;
        self.text_known = position.sent_tokens == 0 || !self.text.is_empty();
        self.execution = ExecutionTracker::resumed();
        self.held = Some(HeldStream {
            server: ServerId::default(),
            server_name: position.server.clone(),
            stream_id: position.stream.clone(),
            offset: position.offset,
        });
        self
    }

    /// Runs the request to its end, and resolves its claim.
    pub async fn run(mut self) {
        let _in_flight = self.admitted.in_flight.take();
        let result = self.run_attempts().await;
        self.finish_request(result).await;
    }

    async fn run_attempts(&mut self) -> Result<AttemptResult, Fault> {
        let mut resumptions = 0;
        while self.attempts < MAX_ATTEMPTS && resumptions < MAX_RESUMPTIONS {
            let Some(permit) = self.acquire_permit().await? else {
                return Ok(AttemptResult::CallerDisconnected);
            };
            self.acquire_claim().await?;
            let before = self.sent_tokens;
            let result = self.run_attempt(&permit).await;
            // A preemption is no failure: a long response may be preempted any number of times.
            self.attempts += u32::from(!self.preempted);
            resumptions = if self.sent_tokens > before {
                0
            } else {
                resumptions
            };
            drop(permit);
            match result {
                AttemptResult::Retry
                    if self.held.is_some() && !self.can_migrate() && !self.preempted =>
                {
                    tokio::time::sleep(RESUME_BACKOFF * 2_u32.pow(resumptions)).await;
                    resumptions += 1;
                }
                AttemptResult::Retry => {}
                AttemptResult::Fail(fault) => return Err(fault),
                result => return Ok(result),
            }
        }
        Err(self.interruption_fault("the request failed at too many backend servers"))
    }

    /// Waits for a backend server; returns `None` if the caller disconnects first.
    async fn acquire_permit(&mut self) -> Result<Option<Permit>, Fault> {
        let mut admission = self.admitted.admission.clone();
        admission.attributes.partial = self.execution.may_have_run();
        admission.prefer = self.held.as_ref().map(|h| h.server);
        // A preempted request waits in the queue of the backend server, where no less important request
        // of any instance overtakes it.
        let preempted = std::mem::take(&mut self.preempted);
        let pinned = self.held.as_ref().filter(|h| {
            let resumed = h.server == ServerId::default();
            preempted || resumed || !self.can_migrate()
        });
        if let Some(held) = pinned {
            if let Some(permit) = self.admitted.pool.acquire_on(&held.server_name, &admission) {
                return Ok(Some(permit));
            }
            self.abandon_stream()?;
        }
        let deadline = self
            .admitted
            .deadline
            .filter(|_| !self.execution.may_have_run());
        let permit = self.admitted.acquire_permit(admission, deadline);
        tokio::select! {
            permit = permit => permit.map(Some),
            () = self.sink.closed() => Ok(None),
        }
    }

    /// Claims the idempotency key, if there is one and no attempt may have run yet.
    async fn acquire_claim(&mut self) -> Result<(), Fault> {
        if let (Some(submission), None, false) = (
            self.admitted.submission,
            &self.claim,
            self.execution.may_have_run(),
        ) {
            self.claim = Some(Claim::acquire(&self.admitted.node, submission).await?);
        }
        Ok(())
    }

    /// Whether the request may be migrated to another backend server.
    const fn can_migrate(&self) -> bool {
        self.admitted.class.idempotent
            && self.text_known
            && (self.inference.continuable || self.sent_tokens == 0)
    }

    /// Abandons the stream that its backend server no longer has; fails if no other server can continue
    /// the response.
    fn abandon_stream(&mut self) -> Result<(), Fault> {
        self.held = None;
        if self.can_migrate() {
            Ok(())
        } else {
            Err(self.interruption_fault("the backend server no longer has the stream"))
        }
    }

    /// The fault for a response that cannot be continued.
    fn interruption_fault(&self, message: &str) -> Fault {
        let kind = match (self.admitted.class.idempotent, self.sent_tokens) {
            (_, 0) | (false, _) => Kind::OutcomeUnknown,
            (true, _) if !self.text_known => Kind::StreamLost,
            (true, _) => Kind::AnswerCut,
        };
        Fault::new(kind, message)
    }

    async fn run_attempt(&mut self, permit: &Permit) -> AttemptResult {
        let request = self.backend_request(permit);
        let resumed = request.method == Method::GET;
        let expected_id = self
            .held
            .as_ref()
            .map_or_else(SmolStr::default, |h| h.stream_id.clone());
        let response = match self.dispatch(permit, request).await {
            Ok(response) => response,
            Err(result) => return result,
        };
        let headers = &response.head.headers;
        if !backend::names_request(headers, &expected_id) {
            return self.handle_mismatch(permit);
        }
        if let Some(report) = backend::parse_load(headers) {
            permit.record_load(report);
        }
        if response.head.status != StatusCode::OK {
            return self.handle_error_response(permit, response, resumed).await;
        }
        self.read_stream(permit, response).await
    }

    /// The request of this attempt: it resumes the held stream if this backend server has it, and starts a
    /// new stream otherwise.
    fn backend_request(&mut self, permit: &Permit) -> BackendRequest {
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert("x-keep-ms", HeaderValue::from_static(STREAM_RETENTION_MS));
        let held_here = self.held.take_if(|h| h.server_name == permit.declared.name);
        if let Some(held) = &held_here {
            if let Ok(value) = HeaderValue::from_str(&held.stream_id) {
                headers.insert(backend::REQUEST_ID_HEADER, value);
            }
            let path = format!(
                "/v1/streams/{}?after={}&priority={}",
                held.stream_id, held.offset, permit.priority
            );
            self.held = Some(HeldStream {
                server: permit.server,
                ..held.clone()
            });
            return BackendRequest {
                address: permit.declared.address,
                method: Method::GET,
                path,
                headers,
                body: Bytes::new(),
            };
        }
        if let Some(old) = self.held.take() {
            self.admitted
                .cancel_stream(&old.server_name, &old.stream_id);
        }
        let stream_id = format_smolstr!("{}-{:02}", self.id, self.attempts % 100);
        if let Ok(value) = HeaderValue::from_str(&stream_id) {
            headers.insert(backend::REQUEST_ID_HEADER, value);
        }
        self.held = Some(HeldStream {
            server: permit.server,
            server_name: permit.declared.name.clone(),
            stream_id,
            offset: 0,
        });
        BackendRequest {
            address: permit.declared.address,
            method: Method::POST,
            path: self.inference.format.path().into(),
            headers,
            body: self
                .inference
                .backend_body(permit.priority, &self.text, self.sent_tokens),
        }
    }

    /// Sends the request and waits for the head of the response.
    async fn dispatch(
        &mut self,
        permit: &Permit,
        request: BackendRequest,
    ) -> Result<BackendResponse, AttemptResult> {
        let resumed = request.method == Method::GET;
        let mut directive = permit.directive.clone();
        self.execution.begin_attempt();
        if let Some(claim) = &mut self.claim {
            claim.dispatched = true;
        }
        let client = &self.admitted.node.backend_client;
        let send = async {
            let non_idempotent = !self.admitted.class.idempotent && !resumed;
            client.send(request, non_idempotent).await
        };
        let outcome = tokio::select! {
            outcome = send => outcome,
            _ = directive.wait_for(|d| *d == Directive::ServerDown) => {
                Err(Error::NoAnswer("the backend server is down".into()))
            }
        };
        match outcome {
            Ok(response) => {
                self.execution.mark_sent();
                Ok(response)
            }
            Err(Error::NotSent(reason)) => Err(self.handle_not_sent(permit, resumed, &reason)),
            Err(Error::NoAnswer(_)) => {
                self.execution.mark_sent();
                Err(self.handle_failure(permit, false))
            }
        }
    }

    fn handle_not_sent(&mut self, permit: &Permit, resumed: bool, reason: &str) -> AttemptResult {
        permit.record_failure(true);
        self.admitted.node.metrics.count("backend.not_sent");
        if let (Some(claim), false) = (&mut self.claim, self.execution.may_have_run()) {
            claim.dispatched = false;
        }
        if resumed && !self.can_migrate() {
            return AttemptResult::Retry;
        }
        self.held = None;
        self.admitted.admission.avoid.push(permit.server);
        if self.execution.may_have_run() || self.admitted.pool.take_retry_token() {
            AttemptResult::Retry
        } else {
            AttemptResult::Fail(Fault::new(
                Kind::NoBackendServer,
                format!("no backend server could be reached: {reason}"),
            ))
        }
    }

    /// Handles a broken connection, a failed backend server or an invalid response to a request that may
    /// have run.
    fn handle_failure(&mut self, permit: &Permit, unreachable: bool) -> AttemptResult {
        permit.record_failure(unreachable);
        self.admitted.node.metrics.count("backend.lost");
        if self.can_migrate() {
            self.abandon_server(permit);
        }
        AttemptResult::Retry
    }

    /// Cancels the stream at the backend server, and excludes the server from the next attempts.
    fn abandon_server(&mut self, permit: &Permit) {
        self.admitted.admission.avoid.push(permit.server);
        if let Some(held) = self.held.take() {
            self.admitted
                .cancel_stream(&held.server_name, &held.stream_id);
        }
    }

    /// Migrates the request to another backend server, as this one is a straggler.
    fn migrate(&mut self, permit: &Permit) -> AttemptResult {
        self.admitted.node.metrics.count("moved");
        self.abandon_server(permit);
        AttemptResult::Retry
    }

    /// Handles a response or an event that belongs to another request.
    fn handle_mismatch(&mut self, permit: &Permit) -> AttemptResult {
        log::warn!("server={} answer=crossed", permit.declared.name);
        self.admitted.node.metrics.count("backend.crossed");
        permit.record_failure(false);
        // A request that cannot be migrated is retried here: the server may still hold its stream.
        if self.can_migrate() {
            self.abandon_server(permit);
        }
        AttemptResult::Retry
    }

    async fn handle_error_response(
        &mut self,
        permit: &Permit,
        mut response: BackendResponse,
        resumed: bool,
    ) -> AttemptResult {
        let status = response.head.status;
        let ran = response.head.headers.get(backend::RAN_HEADER);
        let not_run = ran.is_some_and(|v| v == "no");
        // Without a readable body, the status alone is reported.
        let body = response
            .collect(backend::MAX_SMALL_BODY_BYTES)
            .await
            .unwrap_or_default();
        match status {
            _ if resumed && status == StatusCode::NOT_FOUND => match self.abandon_stream() {
                Ok(()) => AttemptResult::Retry,
                Err(fault) => AttemptResult::Fail(fault),
            },
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE if not_run => {
                self.held = None;
                self.admitted.admission.avoid.push(permit.server);
                self.mark_not_run();
                if self.execution.may_have_run() || self.admitted.pool.take_retry_token() {
                    AttemptResult::Retry
                } else {
                    AttemptResult::Fail(
                        Fault::new(Kind::Overloaded, "all backend servers are at capacity")
                            .retry_after(Duration::from_secs(1)),
                    )
                }
            }
            _ if status.is_client_error() => {
                self.mark_not_run();
                let reason = String::from_utf8_lossy(&body);
                AttemptResult::Fail(Fault::new(
                    Kind::BackendRefused,
                    format!("{status}: {reason}"),
                ))
            }
            _ => self.handle_failure(permit, false),
        }
    }

    /// Records that the backend server reported this attempt as not run.
    fn mark_not_run(&mut self) {
        self.execution.mark_not_run();
        if let (Some(claim), false) = (&mut self.claim, self.execution.may_have_run()) {
            claim.dispatched = false;
        }
    }

    /// Relays the stream of a backend server until it ends, fails or is interrupted.
    async fn read_stream(
        &mut self,
        permit: &Permit,
        mut response: BackendResponse,
    ) -> AttemptResult {
        let mut directive = permit.directive.clone();
        let mut reader = Reader::default();
        let mut gap = TokenGap::default();
        let signer = self.stream_signer();
        let mut started = false;
        // The most urgent directive that was ignored, as the request cannot follow it.
        let mut ignored = Directive::Continue;
        loop {
            let timeout = if started {
                STALL_TIMEOUT
            } else {
                Duration::from_hours(1)
            };
            let bytes = tokio::select! {
                biased;
                _ = directive.wait_for(|d| *d > ignored) => {
                    let received = *permit.directive.borrow();
                    match received {
                        Directive::Preempt => {
                            self.preempted = true;
                            return AttemptResult::Retry;
                        }
                        Directive::Migrate if self.can_migrate() => return self.migrate(permit),
                        Directive::Migrate | Directive::Continue => {}
                        Directive::ServerDown => return self.handle_failure(permit, false),
                    }
                    ignored = received;
                    continue;
                }
                () = self.sink.closed(), if self.claim.is_none() => return AttemptResult::CallerDisconnected,
                bytes = tokio::time::timeout(timeout, response.next_chunk()) => bytes,
            };
            let Ok(Ok(Some(bytes))) = bytes else {
                return self.handle_failure(permit, false);
            };
            reader.feed(&bytes);
            loop {
                let event = match reader.event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(_) => return self.handle_failure(permit, false),
                };
                if !started {
                    started = true;
                    permit.mark_started();
                }
                gap.record_token(permit);
                if let Some(result) = self.handle_event(permit, &signer, &event).await {
                    return result;
                }
            }
        }
    }

    fn stream_signer(&self) -> StreamSigner {
        let (server, stream) = self
            .held
            .as_ref()
            .map_or(("", ""), |h| (&h.server_name, &h.stream_id));
        self.admitted.node.token_signer.stream_signer(
            &self.admitted.admission.attributes.organisation,
            server,
            stream,
        )
    }

    /// Relays one event; returns a result if it ends the attempt.
    async fn handle_event(
        &mut self,
        permit: &Permit,
        signer: &StreamSigner,
        event: &Event,
    ) -> Option<AttemptResult> {
        if &event.data[..] == b"[DONE]" {
            permit.record_completion(self.sent_tokens);
            return Some(AttemptResult::Complete);
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(&event.data) else {
            return Some(self.handle_failure(permit, false));
        };
        let held = self.held.as_mut()?;
        if chunk.id != held.stream_id.as_str() {
            return Some(self.handle_mismatch(permit));
        }
        let offset = event.id.unwrap_or(held.offset + 1);
        match offset {
            _ if offset <= held.offset => return None,
            _ if offset > held.offset + 1 => return Some(self.handle_failure(permit, false)),
            _ => held.offset = offset,
        }
        if let Some(text) = chunk.text() {
            self.text.push_str(text);
            self.sent_tokens += u64::from(!text.is_empty());
        }
        if let Some(reason) = chunk.finish_reason() {
            self.finish_reason = reason.clone();
        }
        let usage_only = chunk.choices.is_empty() && chunk.usage.is_some();
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        if usage_only && !self.inference.include_usage {
            return None;
        }
        let token = signer.sign(offset, self.sent_tokens);
        let sent = self.sink.send_event(&token, &event.data).await;
        if sent || self.claim.is_some() {
            None
        } else {
            Some(AttemptResult::CallerDisconnected)
        }
    }

    /// Ends the response and resolves the claim.
    async fn finish_request(mut self, result: Result<AttemptResult, Fault>) {
        let claim = self.claim.take();
        match result {
            Ok(AttemptResult::CallerDisconnected) => {
                self.admitted.node.metrics.count("caller.gone");
                if let Some(claim) = claim {
                    claim.abandon();
                }
            }
            Ok(_) => {
                self.admitted.node.metrics.count("answer.complete");
                if let Some(claim) = claim {
                    claim.settle(Progress::Complete);
                }
                let Self {
                    inference,
                    id,
                    text,
                    finish_reason,
                    usage,
                    sink,
                    ..
                } = self;
                sink.finish(|| {
                    inference.complete_response(&id, &text, &finish_reason, usage.as_ref())
                })
                .await;
            }
            Err(fault) => {
                let (node, submission) = (&self.admitted.node, self.admitted.submission);
                let fault = claim::resolve_fault(
                    node,
                    submission,
                    claim,
                    self.execution.may_have_run(),
                    fault,
                )
                .await;
                self.admitted.node.metrics.count(fault.kind.spec().name);
                self.sink.fail(fault).await;
            }
        }
    }
}

/// Measures the mean gap between tokens, and reports it to the pool.
#[derive(Default)]
struct TokenGap {
    window_start: Option<Instant>,
    tokens: u32,
}

impl TokenGap {
    fn record_token(&mut self, permit: &Permit) {
        let now = Instant::now();
        match self.window_start {
            None => self.window_start = Some(now),
            Some(start) if self.tokens + 1 >= GAP_SAMPLE_TOKENS => {
                let gap = now.saturating_duration_since(start) / GAP_SAMPLE_TOKENS;
                permit.record_gap(gap.as_secs_f64() * 1_000.0);
                self.window_start = Some(now);
                self.tokens = 0;
            }
            Some(_) => self.tokens += 1,
        }
    }
}

/// Runs a request in the background and waits for the start of its response. `position` is where the caller
/// resumes a stream; `None` for a new request.
///
/// # Errors
/// The fault with which the request ended before its response started.
pub async fn serve(
    admitted: AdmittedRequest,
    inference: InferenceRequest,
    position: Option<StreamPosition>,
) -> Result<Response<crate::request::response::Body>, Fault> {
    let write_timeout = Duration::from_millis(admitted.node.settings.limits.write_timeout_ms);
    let (sink, response) = ResponseSink::new(inference.stream, write_timeout);
    let relay = Relay::new(admitted, inference, sink);
    let relay = match position {
        Some(position) => relay.resuming(&position),
        None => relay,
    };
    tokio::spawn(relay.run());
    response.await.unwrap_or_else(|_| {
        Err(Fault::new(
            Kind::Internal,
            "the request ended without a response",
        ))
    })
}

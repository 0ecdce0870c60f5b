//! Answers one request for a model: from pool to engine and back, over as many engines as it takes.

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
use crate::request::response::Output;
use crate::request::token::{StreamPosition, StreamSigner};
use crate::sse::{Event, Reader};

/// Engines and resumptions that one request may take.
const ATTEMPTS: u32 = 24;
/// Silence after the first token from which a stream counts as cut.
const STALL: Duration = Duration::from_secs(3);
/// First wait before a stream is asked for again at the engine that holds it.
const RESUME_WAIT: Duration = Duration::from_millis(100);
/// Times that a stream is asked for again in a row at the engine that holds it.
const RESUME_TRIES: u32 = 7;
/// Time that an engine keeps a stream whose reader went away.
const KEEP_MS: &str = "15000";
/// Tokens over which the gap between them is measured.
const GAP_TOKENS: u32 = 4;

/// A stream that an engine holds for this request.
#[derive(Clone, Debug)]
struct Held {
    server: ServerId,
    name: SmolStr,
    stream: SmolStr,
    offset: u64,
}

/// How one attempt ended.
enum Step {
    Done,
    Again,
    CallerGone,
    Fail(Fault),
}

/// Answers one request.
pub struct Relay {
    admitted: AdmittedRequest,
    inference: InferenceRequest,
    id: SmolStr,
    out: Output,
    claim: Option<Claim>,
    text: String,
    sent: u64,
    known: bool,
    preempted: bool,
    execution: ExecutionTracker,
    held: Option<Held>,
    attempt: u32,
    finish: SmolStr,
    usage: Option<Value>,
}

impl Relay {
    /// A relay for a request that nothing has been done for yet.
    #[must_use]
    pub fn new(admitted: AdmittedRequest, inference: InferenceRequest, out: Output) -> Self {
        Self {
            id: format_smolstr!("jt-{}", uuid::Uuid::new_v4().simple()),
            text: inference.received.clone(),
            admitted,
            inference,
            out,
            claim: None,
            sent: 0,
            known: true,
            preempted: false,
            execution: ExecutionTracker::default(),
            held: None,
            attempt: 0,
            finish: "stop".into(),
            usage: None,
        }
    }

    /// The same, going on after `position`.
    #[must_use]
    pub fn resuming(mut self, position: &StreamPosition) -> Self {
        self.sent = position.sent;
        self.known = position.sent == 0 || !self.text.is_empty();
        self.execution = ExecutionTracker::resumed();
        self.held = Some(Held {
            server: ServerId::default(),
            name: position.server.clone(),
            stream: position.stream.clone(),
            offset: position.offset,
        });
        self
    }

    /// Answers the request to its end.
    pub async fn run(mut self) {
        let _in_flight = self.admitted.in_flight.take();
        let result = self.drive().await;
        self.settle(result).await;
    }

    async fn drive(&mut self) -> Result<Step, Fault> {
        let mut resumed = 0;
        while self.attempt < ATTEMPTS && resumed < RESUME_TRIES {
            let Some(permit) = self.permit().await? else {
                return Ok(Step::CallerGone);
            };
            self.win().await?;
            let before = self.sent;
            let step = self.try_once(&permit).await;
            // Giving way isn't a failure, however often it happens to a long answer.
            self.attempt += u32::from(!self.preempted);
            resumed = if self.sent > before { 0 } else { resumed };
            drop(permit);
            match step {
                Step::Again if self.held.is_some() && !self.movable() && !self.preempted => {
                    tokio::time::sleep(RESUME_WAIT * 2_u32.pow(resumed)).await;
                    resumed += 1;
                }
                Step::Again => {}
                Step::Fail(fault) => return Err(fault),
                step => return Ok(step),
            }
        }
        Err(self.cut("the request failed on too many engines"))
    }

    /// Waits for an engine; none when the caller went away first.
    async fn permit(&mut self) -> Result<Option<Permit>, Fault> {
        let mut admission = self.admitted.admission.clone();
        admission.attributes.partial = self.execution.may_have_run();
        admission.prefer = self.held.as_ref().map(|h| h.server);
        // A preempted request waits in the engine's own queue, where nothing less important, from
        // whichever instance, goes before it.
        let preempted = std::mem::take(&mut self.preempted);
        let pinned = self.held.as_ref().filter(|h| {
            let resumed = h.server == ServerId::default();
            preempted || resumed || !self.movable()
        });
        if let Some(held) = pinned {
            if let Some(permit) = self.admitted.pool.acquire_on(&held.name, &admission) {
                return Ok(Some(permit));
            }
            self.abandon_stream()?;
        }
        let deadline = self
            .admitted
            .deadline
            .filter(|_| !self.execution.may_have_run());
        let enter = self.admitted.enter(admission, deadline);
        tokio::select! {
            permit = enter => permit.map(Some),
            () = self.out.closed() => Ok(None),
        }
    }

    async fn win(&mut self) -> Result<(), Fault> {
        if let (Some(submission), None, false) = (
            self.admitted.submission,
            &self.claim,
            self.execution.may_have_run(),
        ) {
            self.claim = Some(Claim::win(&self.admitted.node, submission).await?);
        }
        Ok(())
    }

    /// Whether the request may go on at another engine.
    const fn movable(&self) -> bool {
        self.admitted.class.idempotent
            && self.known
            && (self.inference.continuable || self.sent == 0)
    }

    /// Gives up the stream at the engine that held it; fails when the answer can't go on elsewhere.
    fn abandon_stream(&mut self) -> Result<(), Fault> {
        self.held = None;
        if self.movable() {
            Ok(())
        } else {
            Err(self.cut("the engine no longer has the stream"))
        }
    }

    fn cut(&self, message: &str) -> Fault {
        let kind = match (self.admitted.class.idempotent, self.sent) {
            (_, 0) | (false, _) => Kind::OutcomeUnknown,
            (true, _) if !self.known => Kind::StreamLost,
            (true, _) => Kind::AnswerCut,
        };
        Fault::new(kind, message)
    }

    async fn try_once(&mut self, permit: &Permit) -> Step {
        let call = self.call(permit);
        let resumed = call.method == Method::GET;
        let expected = self
            .held
            .as_ref()
            .map_or_else(SmolStr::default, |h| h.stream.clone());
        let answer = match self.dispatch(permit, call).await {
            Ok(answer) => answer,
            Err(step) => return step,
        };
        if let Some(report) = backend::load(&answer.head.headers) {
            permit.record_load(report);
        }
        if answer.head.status != StatusCode::OK {
            return self.refused(permit, answer, resumed).await;
        }
        let echo = answer.head.headers.get(backend::REQUEST_ID_HEADER);
        if echo.is_none_or(|id| id.as_bytes() != expected.as_bytes()) {
            return self.crossed(permit);
        }
        self.read(permit, answer).await
    }

    /// The call for this attempt: the held stream's rest where this engine has it, else a new stream.
    fn call(&mut self, permit: &Permit) -> BackendRequest {
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert("x-keep-ms", HeaderValue::from_static(KEEP_MS));
        let here = self.held.take_if(|h| h.name == permit.declared.name);
        if let Some(held) = &here {
            let path = format!(
                "/v1/streams/{}?after={}&priority={}",
                held.stream, held.offset, permit.priority
            );
            self.held = Some(Held {
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
            self.admitted.cancel(&old.name, &old.stream);
        }
        let stream = format_smolstr!("{}-{:02}", self.id, self.attempt % 100);
        if let Ok(value) = HeaderValue::from_str(&stream) {
            headers.insert(backend::REQUEST_ID_HEADER, value);
        }
        self.held = Some(Held {
            server: permit.server,
            name: permit.declared.name.clone(),
            stream,
            offset: 0,
        });
        BackendRequest {
            address: permit.declared.address,
            method: Method::POST,
            path: self.inference.format.path().into(),
            headers,
            body: self.inference.body(permit.priority, &self.text, self.sent),
        }
    }

    async fn dispatch(
        &mut self,
        permit: &Permit,
        call: BackendRequest,
    ) -> Result<BackendResponse, Step> {
        let resumed = call.method == Method::GET;
        let mut directive = permit.directive.clone();
        self.execution.begin_attempt();
        if let Some(claim) = &mut self.claim {
            claim.dispatched = true;
        }
        let client = &self.admitted.node.backend_client;
        let send = async {
            let once = !self.admitted.class.idempotent && !resumed;
            client.send(call, once).await
        };
        let outcome = tokio::select! {
            outcome = send => outcome,
            _ = directive.wait_for(|o| *o == Directive::ServerDown) => {
                Err(Error::NoAnswer("the engine is down".into()))
            }
        };
        match outcome {
            Ok(answer) => {
                self.execution.mark_sent();
                Ok(answer)
            }
            Err(Error::NotSent(reason)) => Err(self.not_sent(permit, resumed, &reason)),
            Err(Error::NoAnswer(_)) => {
                self.execution.mark_sent();
                Err(self.lost(permit, false))
            }
        }
    }

    fn not_sent(&mut self, permit: &Permit, resumed: bool, reason: &str) -> Step {
        permit.record_failure(true);
        self.admitted.node.metrics.count("backend.not_sent");
        if let (Some(claim), false) = (&mut self.claim, self.execution.may_have_run()) {
            claim.dispatched = false;
        }
        if resumed && !self.movable() {
            return Step::Again;
        }
        self.held = None;
        self.admitted.admission.avoid.push(permit.server);
        if self.execution.may_have_run() || self.admitted.pool.take_retry_token() {
            Step::Again
        } else {
            Step::Fail(Fault::new(
                Kind::NoBackendServer,
                format!("no backend server could be reached: {reason}"),
            ))
        }
    }

    /// The connection broke, or the engine went down, with the request on its way or running.
    fn lost(&mut self, permit: &Permit, down: bool) -> Step {
        permit.record_failure(down);
        self.admitted.node.metrics.count("backend.lost");
        if self.movable() {
            self.leave(permit);
        }
        Step::Again
    }

    /// Gives up what the engine has of this request, so that the next try goes to another.
    fn leave(&mut self, permit: &Permit) {
        self.admitted.admission.avoid.push(permit.server);
        if let Some(held) = self.held.take() {
            self.admitted.cancel(&held.name, &held.stream);
        }
    }

    /// Goes on at another engine, as this one is too slow.
    fn move_on(&mut self, permit: &Permit) -> Step {
        self.admitted.node.metrics.count("moved");
        self.leave(permit);
        Step::Again
    }

    fn crossed(&mut self, permit: &Permit) -> Step {
        log::warn!("server={} answer=crossed", permit.declared.name);
        self.admitted.node.metrics.count("backend.crossed");
        permit.record_failure(false);
        // A request that can't move asks again here: the engine may have its own stream all the same.
        if self.movable() {
            self.leave(permit);
        }
        Step::Again
    }

    async fn refused(
        &mut self,
        permit: &Permit,
        mut answer: BackendResponse,
        resumed: bool,
    ) -> Step {
        let status = answer.head.status;
        let ran = answer.head.headers.get(backend::RAN_HEADER);
        let not_run = ran.is_some_and(|v| v == "no");
        // A reason that can't be read leaves the status to tell.
        let body = answer
            .collect(backend::SMALL_BYTES)
            .await
            .unwrap_or_default();
        match status {
            _ if resumed && status == StatusCode::NOT_FOUND => match self.abandon_stream() {
                Ok(()) => Step::Again,
                Err(fault) => Step::Fail(fault),
            },
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE if not_run => {
                self.held = None;
                self.admitted.admission.avoid.push(permit.server);
                self.not_run();
                if self.execution.may_have_run() || self.admitted.pool.take_retry_token() {
                    Step::Again
                } else {
                    Step::Fail(
                        Fault::new(Kind::Overloaded, "the backend servers are full")
                            .retry_after(Duration::from_secs(1)),
                    )
                }
            }
            _ if status.is_client_error() => {
                self.not_run();
                let reason = String::from_utf8_lossy(&body);
                Step::Fail(Fault::new(
                    Kind::BackendRefused,
                    format!("{status}: {reason}"),
                ))
            }
            _ => self.lost(permit, false),
        }
    }

    /// Takes back that this attempt reached an engine, as the engine says it didn't run it.
    fn not_run(&mut self) {
        self.execution.mark_not_run();
        if let (Some(claim), false) = (&mut self.claim, self.execution.may_have_run()) {
            claim.dispatched = false;
        }
    }

    async fn read(&mut self, permit: &Permit, mut answer: BackendResponse) -> Step {
        let mut directive = permit.directive.clone();
        let mut reader = Reader::default();
        let mut gap = Gap::default();
        let signer = self.signer();
        let mut started = false;
        let mut tolerated = Directive::Continue;
        loop {
            let wait = if started {
                STALL
            } else {
                Duration::from_hours(1)
            };
            let bytes = tokio::select! {
                biased;
                _ = directive.wait_for(|o| *o > tolerated) => {
                    let told = *permit.directive.borrow();
                    match told {
                        Directive::Preempt => {
                            self.preempted = true;
                            return Step::Again;
                        }
                        Directive::Migrate if self.movable() => return self.move_on(permit),
                        Directive::Migrate | Directive::Continue => {}
                        Directive::ServerDown => return self.lost(permit, false),
                    }
                    tolerated = told;
                    continue;
                }
                () = self.out.closed(), if self.claim.is_none() => return Step::CallerGone,
                bytes = tokio::time::timeout(wait, answer.next_chunk()) => bytes,
            };
            let Ok(Ok(Some(bytes))) = bytes else {
                return self.lost(permit, false);
            };
            reader.feed(&bytes);
            loop {
                let event = match reader.event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(_) => return self.lost(permit, false),
                };
                if !started {
                    started = true;
                    permit.mark_started();
                }
                gap.token(permit);
                if let Some(step) = self.event(permit, &signer, &event).await {
                    return step;
                }
            }
        }
    }

    fn signer(&self) -> StreamSigner {
        let (name, stream) = self
            .held
            .as_ref()
            .map_or(("", ""), |h| (&h.name, &h.stream));
        self.admitted.node.token_signer.stream(
            &self.admitted.admission.attributes.organisation,
            name,
            stream,
        )
    }

    async fn event(
        &mut self,
        permit: &Permit,
        signer: &StreamSigner,
        event: &Event,
    ) -> Option<Step> {
        if &event.data[..] == b"[DONE]" {
            permit.record_completion(self.sent);
            return Some(Step::Done);
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(&event.data) else {
            return Some(self.lost(permit, false));
        };
        let held = self.held.as_mut()?;
        if chunk.id != held.stream.as_str() {
            return Some(self.crossed(permit));
        }
        let offset = event.id.unwrap_or(held.offset + 1);
        match offset {
            _ if offset <= held.offset => return None,
            _ if offset > held.offset + 1 => return Some(self.lost(permit, false)),
            _ => held.offset = offset,
        }
        if let Some(text) = chunk.text() {
            self.text.push_str(text);
            self.sent += u64::from(!text.is_empty());
        }
        if let Some(reason) = chunk.finish_reason() {
            self.finish = reason.clone();
        }
        let only_usage = chunk.choices.is_empty() && chunk.usage.is_some();
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        if only_usage && !self.inference.usage {
            return None;
        }
        let token = signer.token(offset, self.sent);
        let sent = self.out.event(&token, &event.data).await;
        if sent || self.claim.is_some() {
            None
        } else {
            Some(Step::CallerGone)
        }
    }

    async fn settle(mut self, result: Result<Step, Fault>) {
        let claim = self.claim.take();
        match result {
            Ok(Step::CallerGone) => {
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
                    finish,
                    usage,
                    out,
                    ..
                } = self;
                out.finish(|| inference.whole(&id, &text, &finish, usage.as_ref()))
                    .await;
            }
            Err(fault) => {
                let (node, submission) = (&self.admitted.node, self.admitted.submission);
                let fault = claim::truthful(
                    node,
                    submission,
                    claim,
                    self.execution.may_have_run(),
                    fault,
                )
                .await;
                self.admitted.node.metrics.count(fault.kind.answer().name);
                self.out.fail(fault).await;
            }
        }
    }
}

/// Measures the gap between tokens.
#[derive(Default)]
struct Gap {
    since: Option<Instant>,
    tokens: u32,
}

impl Gap {
    fn token(&mut self, permit: &Permit) {
        let now = Instant::now();
        match self.since {
            None => self.since = Some(now),
            Some(since) if self.tokens + 1 >= GAP_TOKENS => {
                let gap = now.saturating_duration_since(since) / GAP_TOKENS;
                permit.record_gap(gap.as_secs_f64() * 1_000.0);
                self.since = Some(now);
                self.tokens = 0;
            }
            Some(_) => self.tokens += 1,
        }
    }
}

/// Starts a relay and waits for the beginning of its answer.
///
/// # Errors
/// The fault with which the request ended before its answer began.
pub async fn serve(
    admitted: AdmittedRequest,
    inference: InferenceRequest,
    position: Option<StreamPosition>,
) -> Result<Response<crate::request::response::Body>, Fault> {
    let write_timeout = Duration::from_millis(admitted.node.settings.limits.write_timeout_ms);
    let (out, head) = Output::new(inference.stream, write_timeout);
    let relay = Relay::new(admitted, inference, out);
    let relay = match position {
        Some(position) => relay.resuming(&position),
        None => relay,
    };
    tokio::spawn(relay.run());
    head.await.unwrap_or_else(|_| {
        Err(Fault::new(
            Kind::Internal,
            "the relay ended without an answer",
        ))
    })
}

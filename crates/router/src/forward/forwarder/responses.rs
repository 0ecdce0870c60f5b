//! Passes the response of a backend server on to the caller.

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, StatusCode, response};
use tokio::time::Instant;

use super::{AttemptResult, BEGUN_BATCHES, ForwardError, Forwarder, Handover};
use crate::error::{Fault, Kind};
use crate::fleet::{origin, stream_lifetimes};
use crate::forward::attempt::Failure;
use crate::forward::backend_protocol::BackendProtocol;
use crate::forward::connection_pool::BackendResponse;
use crate::forward::origin::Binding;
use crate::forward::route::RouteKind;
use crate::http1::Disconnected;
use crate::load::pool::Permit;
use crate::sse::{Batch, EventIds, EventSplitter};

/// Size limit for buffering a response until it is complete; a larger one is forwarded in chunks.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Size of a response from which it is taken to have no end.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A complete response, held in memory.
pub(super) struct BufferedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// How far one response of a stream has come.
#[derive(Debug, Default)]
struct Progress {
    /// Number of batches of events.
    batches: u64,
    /// When the last one arrived.
    last_batch: Option<Instant>,
}

impl Progress {
    /// Records that a batch has arrived, and the pause before it for the permit's server.
    fn record(&mut self, permit: Option<&Permit>) {
        let now = Instant::now();
        let last = self.last_batch.replace(now);
        self.batches += 1;
        if let Some(permit) = permit {
            let pause = last.map(|at| now.saturating_duration_since(at));
            permit.record_batch(pause, self.batches >= BEGUN_BATCHES);
        }
    }
}

impl<'a, P: BackendProtocol> Forwarder<'a, '_, P> {
    /// Receives a response completely, so that it can still be replaced by that of a retry, and sends it to
    /// the caller.
    pub(super) async fn forward_buffered(
        &mut self,
        permit: Option<&Permit>,
        mut response: BackendResponse,
    ) -> Result<AttemptResult<'a>, ForwardError> {
        let status = response.head.status;
        if !self.response.is_unsent() {
            return Ok(AttemptResult::Failed(Failure::Failed));
        }
        if !self.request.route.kind.is_stream() {
            self.record_begun(permit);
        }
        let mut body = BytesMut::new();
        loop {
            match response.next_chunk().await {
                Ok(Some(bytes)) => body.extend_from_slice(&bytes),
                Ok(None) => break,
                Err(_) => return Ok(AttemptResult::Failed(Failure::Broken)),
            }
            if body.len() > MAX_BUFFERED_BYTES {
                return self.forward_chunked(permit, response, &body).await;
            }
        }
        if let Some(permit) = permit {
            permit.mark_started();
        }
        let buffered = BufferedResponse {
            status,
            headers: std::mem::take(&mut response.head.headers),
            body: body.freeze(),
        };
        response.release();
        if let Some(permit) = permit {
            permit.record_completion(1);
            if status.is_success() {
                permit.record_sound();
            }
        }
        let retryable =
            status.is_server_error() && self.request.route.kind == RouteKind::Idempotent;
        // Another instance has retried it.
        if permit.is_some() && retryable && self.attempts + 1 < self.request.route.max_attempts {
            self.fallback = Some(buffered);
            return Ok(AttemptResult::Failed(Failure::Failed));
        }
        self.send_buffered(&buffered).await?;
        Ok(AttemptResult::Done(status))
    }

    pub(super) async fn send_buffered(
        &mut self,
        buffered: &BufferedResponse,
    ) -> Result<(), Disconnected> {
        self.response
            .send(buffered.status, &buffered.headers, &buffered.body)
            .await
    }

    /// Forwards a response that is too large to be buffered, beginning with the part received so far. From
    /// here on the request can't be retried.
    async fn forward_chunked(
        &mut self,
        permit: Option<&Permit>,
        mut response: BackendResponse,
        received: &[u8],
    ) -> Result<AttemptResult<'a>, ForwardError> {
        let status = response.head.status;
        if let Some(permit) = permit {
            permit.mark_started();
        }
        self.response
            .start_chunked(status, &response.head.headers, received)
            .await?;
        let cut = |reason| ForwardError::Fault(Fault::new(Kind::AnswerCut, reason));
        let mut length = received.len();
        loop {
            match response.next_chunk().await {
                Ok(Some(bytes)) => {
                    length += bytes.len();
                    self.response.send_chunk(&bytes).await?;
                }
                Ok(None) => break,
                Err(_) => return Err(cut("broken")),
            }
            if length > MAX_RESPONSE_BYTES {
                record_endless(permit);
                return Err(cut("the response doesn't end"));
            }
        }
        response.release();
        if let Some(permit) = permit {
            permit.record_completion(1);
            if status.is_success() {
                permit.record_sound();
            }
        }
        self.response.finish().await?;
        Ok(AttemptResult::Done(status))
    }

    /// Forwards an event stream. Only complete events are passed on, so that another backend server can
    /// continue the stream after the last one. A response that doesn't continue a stream that has begun has failed.
    pub(super) async fn forward_stream(
        &mut self,
        permit: Option<&Permit>,
        mut response: BackendResponse,
    ) -> Result<AttemptResult<'a>, ForwardError> {
        let status = response.head.status;
        if !self.fits(&response.head) {
            return Ok(AttemptResult::Failed(Failure::Failed));
        }
        let mut splitter = EventSplitter::new(match self.request.route.kind {
            kind if kind.is_retryable() => EventIds::Required,
            _ => EventIds::Optional,
        });
        let mut progress = Progress::default();
        loop {
            let next = tokio::select! {
                next = response.next_chunk() => next,
                target = self.wait_move(permit, progress.batches > 0) => {
                    match self.hand_over(response, target).await {
                        Handover::Kept(kept) => response = kept,
                        Handover::Moved(next) => return Ok(AttemptResult::Moved(next)),
                    }
                    continue;
                }
            };
            let bytes = match next {
                Ok(Some(bytes)) => bytes,
                Ok(None) if splitter.is_empty() => break,
                Ok(None) | Err(_) => return Ok(AttemptResult::Failed(Failure::Broken)),
            };
            if let Err(error) = splitter.feed(&bytes) {
                log::warn!("id={} stream=broken reason=\"{error}\"", self.request.id);
                record_endless(permit);
                return Ok(AttemptResult::Failed(Failure::Broken));
            }
            if let Some(batch) = splitter.events(self.resume_after) {
                progress.record(permit);
                self.record_begun(permit);
                self.forward_batch(permit, &response, batch).await?;
            }
            if splitter.is_foreign() {
                let id = &self.request.id;
                log::warn!("id={id} stream=broken reason=\"an event has no id\"");
                return Ok(AttemptResult::Failed(Failure::Failed));
            }
        }
        if let Some(permit) = permit {
            permit.record_completion(progress.batches);
            permit.record_sound();
        }
        if self.response.is_unsent() {
            self.response
                .start_chunked(status, &response.head.headers, &[])
                .await?;
        }
        response.release();
        self.response.finish().await?;
        Ok(AttemptResult::Done(status))
    }

    /// Whether a response with this head can be the rest of the stream, if it has begun.
    pub(super) fn fits(&self, head: &response::Parts) -> bool {
        let begun = self.resume_after.is_some() || !self.response.is_unsent();
        !begun || is_event_stream(head)
    }

    /// Counts the request once a server has begun it. One that was passed on is counted by the instance that sends it.
    fn record_begun(&mut self, permit: Option<&Permit>) {
        if permit.is_none() || std::mem::replace(&mut self.begun, true) {
            return;
        }
        let organisation = self.request.organisation.as_ref();
        if let (Some(duties), Some(organisation)) = (&self.context.node.duties, organisation) {
            duties.count(organisation);
        }
    }

    /// Passes the next events of a stream on.
    async fn forward_batch(
        &mut self,
        permit: Option<&Permit>,
        response: &BackendResponse,
        batch: Batch,
    ) -> Result<(), Disconnected> {
        if let Some(permit) = permit {
            self.bind(permit);
        } else if self.binding == Binding::Any {
            // The peer knows the version that began the stream.
            self.binding = Binding::Unknown;
        }
        self.log.record_events();
        let status = response.head.status;
        self.send_events(response, status, &batch.bytes).await?;
        self.resume_after = batch.last.or(self.resume_after);
        Ok(())
    }

    /// Binds a stream to the version of the server that brings its first events, and records that for when its
    /// caller comes back.
    fn bind(&mut self, permit: &Permit) {
        if self.binding != Binding::Any {
            return;
        }
        self.binding = Binding::begin(self.service, permit.version.as_ref());
        self.log.version = self.binding.known_version();
        if let Binding::Origin(origin) = &self.binding
            && self.request.route.kind.is_retryable()
        {
            let node = &self.context.node;
            let stream = origin::stream_id(&self.request.id);
            node.stream_origins.record(stream, origin);
            if let Some(deadline) = self.request.deadline {
                let left = deadline.saturating_duration_since(Instant::now());
                let configured = stream_lifetimes::of_timeout(self.request.route.timeout);
                node.stream_lifetimes
                    .record_deadline(self.service, left, configured);
            }
        }
    }

    async fn send_events(
        &mut self,
        response: &BackendResponse,
        status: StatusCode,
        bytes: &[u8],
    ) -> Result<(), Disconnected> {
        if self.response.is_unsent() {
            self.response
                .start_chunked(status, &response.head.headers, bytes)
                .await
        } else {
            self.response.send_chunk(bytes).await
        }
    }
}

/// Whether a response can be the rest of an event stream. A server that names no type may mean one.
fn is_event_stream(head: &response::Parts) -> bool {
    let named = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    let media_type = named.and_then(|value| value.split(|b| *b == b';').next());
    let fits = media_type.is_none_or(|t| t.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM));
    head.status == StatusCode::OK && fits
}

/// Records that a server sends bytes without end, so that others get the next requests.
fn record_endless(permit: Option<&Permit>) {
    if let Some(permit) = permit {
        permit.record_failure(false);
    }
}

//! Responses to callers: an event stream, or one complete JSON body.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use hyper::body::{Frame, SizeHint};
use tokio::sync::{mpsc, oneshot};

use crate::error::Fault;
use crate::sse;

/// Maximum number of events buffered for a slow caller; beyond it, writes wait for the caller.
const MAX_BUFFERED_EVENTS: usize = 64;

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body; `None` once it was taken.
    Full(Option<Bytes>),
    /// Chunks as they are received; the body ends when the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(chunks) => chunks.poll_recv(cx).map(|c| c.map(|b| Ok(Frame::data(b)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Receives the response once it starts, or the fault that precedes it.
pub type ResponseReceiver = oneshot::Receiver<Result<Response<Body>, Fault>>;

type ResponseSender = oneshot::Sender<Result<Response<Body>, Fault>>;

/// Sends the response of one request to its caller.
pub struct ResponseSink {
    /// Present until the response starts.
    response: Option<ResponseSender>,
    /// Present once an event stream has started.
    chunks: Option<mpsc::Sender<Bytes>>,
    stream: bool,
    write_timeout: Duration,
}

impl ResponseSink {
    /// With `stream`, the response starts with the first event; otherwise it is sent at its end. A caller
    /// whose buffer stays full for `write_timeout` counts as disconnected.
    #[must_use]
    pub fn new(stream: bool, write_timeout: Duration) -> (Self, ResponseReceiver) {
        let (response, receiver) = oneshot::channel();
        let sink = Self {
            response: Some(response),
            chunks: None,
            stream,
            write_timeout,
        };
        (sink, receiver)
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&mut self) {
        match (&mut self.response, &self.chunks) {
            (Some(response), _) => response.closed().await,
            (None, Some(chunks)) => chunks.closed().await,
            (None, None) => {}
        }
    }

    /// Sends one event, unless the response is not a stream. Returns false if the caller disconnected or
    /// timed out.
    pub async fn send_event(&mut self, id: &str, data: &[u8]) -> bool {
        if self.stream {
            self.send_chunk(sse::write(id, data)).await
        } else {
            true
        }
    }

    /// Sends bytes of the event stream, which starts with the first of them.
    async fn send_chunk(&mut self, bytes: Bytes) -> bool {
        if let Some(response) = self.response.take() {
            let (chunks, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
            self.chunks = Some(chunks);
            if response
                .send(Ok(event_stream_response(Body::Stream(receiver))))
                .is_err()
            {
                return false;
            }
        }
        let Some(chunks) = &self.chunks else {
            return false;
        };
        match chunks.try_send(bytes) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Closed(_)) => false,
            Err(mpsc::error::TrySendError::Full(bytes)) => {
                let sent = tokio::time::timeout(self.write_timeout, chunks.send(bytes)).await;
                matches!(sent, Ok(Ok(())))
            }
        }
    }

    /// Ends the response: an event stream with `[DONE]`, any other response with the body that
    /// `complete_body` returns.
    pub async fn finish(mut self, complete_body: impl FnOnce() -> Bytes) {
        if self.stream {
            self.send_chunk(sse::write("", b"[DONE]")).await;
            return;
        }
        if let Some(response) = self.response.take() {
            let _ = response.send(Ok(json_response(StatusCode::OK, complete_body())));
        }
    }

    /// Ends the response with a fault: as an error response, or as the last event if the event stream has
    /// started.
    pub async fn fail(mut self, fault: Fault) {
        if let Some(response) = self.response.take() {
            let _ = response.send(Err(fault));
            return;
        }
        let event = format!("event: error\ndata: {}\n\n", fault.body());
        self.send_chunk(event.into()).await;
    }
}

fn event_stream_response(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        http::HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(
        header::CACHE_CONTROL,
        http::HeaderValue::from_static("no-cache"),
    );
    response
}

/// A complete response with a JSON body.
#[must_use]
pub fn json_response(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::Full(Some(body)));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// The error response for a fault, with `Retry-After` in whole seconds (at least 1) if the fault has a
/// retry delay.
#[must_use]
pub fn fault_response(fault: &Fault) -> Response<Body> {
    let status = StatusCode::from_u16(fault.kind.spec().status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, fault.body().into());
    if let Some(delay) = fault.retry_after {
        let seconds = delay.as_millis().div_ceil(1_000).max(1).to_string();
        if let Ok(value) = seconds.parse() {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

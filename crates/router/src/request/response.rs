//! The way back to a caller: an event stream, or one whole answer.

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

/// Events that may wait for a caller that reads slowly.
const EVENTS: usize = 64;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// One piece.
    Whole(Option<Bytes>),
    /// Pieces as they come.
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(pieces) => pieces.poll_recv(cx).map(|p| p.map(|b| Ok(Frame::data(b)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// The beginning of an answer, or the fault instead of it.
pub type Head = oneshot::Receiver<Result<Response<Body>, Fault>>;

type HeadSender = oneshot::Sender<Result<Response<Body>, Fault>>;

/// Where an answer goes.
pub struct Output {
    head: Option<HeadSender>,
    pieces: Option<mpsc::Sender<Bytes>>,
    stream: bool,
    write_timeout: Duration,
}

impl Output {
    /// An output that begins its answer with the first event, or gives it whole at its end. A caller
    /// that doesn't read for `write_timeout` counts as gone.
    #[must_use]
    pub fn new(stream: bool, write_timeout: Duration) -> (Self, Head) {
        let (head, receiver) = oneshot::channel();
        let output = Self {
            head: Some(head),
            pieces: None,
            stream,
            write_timeout,
        };
        (output, receiver)
    }

    /// Waits until the caller has gone.
    pub async fn closed(&mut self) {
        match (&mut self.head, &self.pieces) {
            (Some(head), _) => head.closed().await,
            (None, Some(pieces)) => pieces.closed().await,
            (None, None) => {}
        }
    }

    /// Passes on one event; tells whether the caller is still there.
    pub async fn event(&mut self, id: &str, data: &[u8]) -> bool {
        if self.stream {
            self.piece(sse::write(id, data)).await
        } else {
            true
        }
    }

    async fn piece(&mut self, bytes: Bytes) -> bool {
        if let Some(head) = self.head.take() {
            let (pieces, receiver) = mpsc::channel(EVENTS);
            self.pieces = Some(pieces);
            if head
                .send(Ok(stream_response(Body::Stream(receiver))))
                .is_err()
            {
                return false;
            }
        }
        let Some(pieces) = &self.pieces else {
            return false;
        };
        match pieces.try_send(bytes) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Closed(_)) => false,
            Err(mpsc::error::TrySendError::Full(bytes)) => {
                let sent = tokio::time::timeout(self.write_timeout, pieces.send(bytes)).await;
                matches!(sent, Ok(Ok(())))
            }
        }
    }

    /// Ends the answer; `whole` makes it where it goes in one piece.
    pub async fn finish(mut self, whole: impl FnOnce() -> Bytes) {
        if self.stream {
            self.piece(sse::write("", b"[DONE]")).await;
            return;
        }
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(json_response(StatusCode::OK, whole())));
        }
    }

    /// Ends the answer with a fault: as the answer itself, or as the last event of one that has begun.
    pub async fn fail(mut self, fault: Fault) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(fault));
            return;
        }
        let event = format!("event: error\ndata: {}\n\n", fault.body());
        self.piece(event.into()).await;
    }
}

fn stream_response(body: Body) -> Response<Body> {
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

/// A whole answer in JSON.
#[must_use]
pub fn json_response(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Some(body)));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// The answer that tells a caller of a fault.
#[must_use]
pub fn fault_response(fault: &Fault) -> Response<Body> {
    let status = StatusCode::from_u16(fault.kind.answer().status);
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

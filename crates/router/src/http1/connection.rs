//! One caller's connection: requests in turn, each with its answer, written straight down.

use std::future::Future;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{self, Instant};

use super::chunked::Decoder;
use super::head::{self, Framing, Head, RequestError};
use super::reply::{Disconnected, ResponseWriter, State};

/// Bytes that a caller may send ahead while its request is being answered.
const READ_AHEAD: usize = 64 << 10;
/// Size of the read buffer at first, in bytes.
const BUFFER: usize = 4 << 10;
/// Bytes of a body that need no room of their own: a connection's buffers hold them anyway.
const FREE_BYTES: usize = 16 << 10;
/// Bytes that one permit for a body stands for.
const PERMIT_BYTES: usize = 1 << 10;
/// Time for a caller to read an answer that ends its connection.
const LINGER: Duration = Duration::from_millis(500);

/// Bounds on what a caller may send, and on how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for a head from its first byte.
    pub head_timeout: Duration,
    /// Time for a body.
    pub body_timeout: Duration,
    /// Time between two requests.
    pub idle_timeout: Duration,
}

/// How far the process is towards its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Connections are kept.
    Serving,
    /// Each connection ends with its next answer.
    Draining,
    /// Idle connections end at once.
    Closing,
}

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The head.
    pub head: Head,
    /// The body.
    pub body: Bytes,
    /// When the last byte came.
    pub received: Instant,
}

/// What answers requests. A request whose caller leaves is dropped, and with it all that its future holds.
pub trait Handler: Send + Sync {
    /// The limits in force.
    fn limits(&self) -> Limits;

    /// How far the process is towards its end.
    fn phase(&self) -> Phase;

    /// The room for bodies of all connections together, a permit for each KiB.
    fn body_memory(&self) -> &Semaphore;

    /// Waits until idle connections are to end.
    fn wait_closing(&self) -> impl Future<Output = ()> + Send;

    /// Answers a request; an answer that isn't ended breaks the connection.
    fn handle(
        &self,
        request: Request,
        reply: &mut ResponseWriter<'_>,
    ) -> impl Future<Output = Result<(), Disconnected>> + Send;

    /// Answers what can't be read as a request.
    fn reject(
        &self,
        reason: RequestError,
        reply: &mut ResponseWriter<'_>,
    ) -> impl Future<Output = Result<(), Disconnected>> + Send;

    /// Answers a request for whose body there is no room.
    fn reject_no_memory(
        &self,
        reply: &mut ResponseWriter<'_>,
    ) -> impl Future<Output = Result<(), Disconnected>> + Send;

    /// Answers a request that wasn't sent in time.
    fn reject_timeout(
        &self,
        reply: &mut ResponseWriter<'_>,
    ) -> impl Future<Output = Result<(), Disconnected>> + Send;
}

/// Why no request came.
enum End {
    /// The connection ended between two requests, or broke.
    Closed,
    RequestError(RequestError),
    NoRoom,
    TooSlow,
}

/// The room that one body takes, given back when dropped.
struct Room<'a> {
    all: &'a Semaphore,
    taken: Vec<SemaphorePermit<'a>>,
    bytes: usize,
}

impl<'a> Room<'a> {
    const fn new(all: &'a Semaphore) -> Self {
        Self {
            all,
            taken: Vec::new(),
            bytes: FREE_BYTES,
        }
    }

    /// Takes room for a body of `bytes` so far, or tells that there is none.
    fn grow(&mut self, bytes: usize) -> Result<(), End> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let permits = (bytes - self.bytes).div_ceil(PERMIT_BYTES);
        let permits = u32::try_from(permits).map_err(|_| End::NoRoom)?;
        let permit = self
            .all
            .try_acquire_many(permits)
            .map_err(|_| End::NoRoom)?;
        self.taken.push(permit);
        self.bytes = bytes;
        Ok(())
    }
}

impl From<RequestError> for End {
    fn from(reason: RequestError) -> Self {
        Self::RequestError(reason)
    }
}

impl From<std::io::Error> for End {
    fn from(_: std::io::Error) -> Self {
        Self::Closed
    }
}

/// Serves one connection to its end.
pub async fn serve<H: Handler>(mut stream: TcpStream, handler: &H) {
    let (mut read, write) = stream.split();
    let mut buffer = BytesMut::with_capacity(BUFFER);
    let mut reply = ResponseWriter::new(write);
    let again = loop {
        match exchange(handler, &mut read, &mut buffer, &mut reply).await {
            Ok(true) => reply.reset(),
            Ok(false) => break false,
            Err(End::Closed) => return,
            Err(End::RequestError(reason)) => {
                reply.close = true;
                break handler.reject(reason, &mut reply).await.is_ok();
            }
            Err(End::NoRoom) => {
                reply.close = true;
                break handler.reject_no_memory(&mut reply).await.is_ok();
            }
            Err(End::TooSlow) => {
                reply.close = true;
                break handler.reject_timeout(&mut reply).await.is_ok();
            }
        }
    };
    if again || reply.state == State::Ended {
        linger(&mut read, &mut reply.out).await;
    }
}

/// Reads and answers one request; tells whether the connection may carry another.
async fn exchange<H: Handler>(
    handler: &H,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    reply: &mut ResponseWriter<'_>,
) -> Result<bool, End> {
    let limits = handler.limits();
    let head = read_head(handler, read, buffer, &limits).await?;
    reply.head_only = head.method == Method::HEAD;
    reply.close = !head.keep_alive || handler.phase() != Phase::Serving;
    if head.expects_continue {
        reply.proceed().await.map_err(|Disconnected| End::Closed)?;
    }
    let mut room = Room::new(handler.body_memory());
    let body = read_body(&head, read, buffer, &limits, &mut room);
    let body = time::timeout(limits.body_timeout, body).await;
    let body = body.unwrap_or(Err(End::TooSlow))?;
    let request = Request {
        head,
        body,
        received: Instant::now(),
    };
    let answered = tokio::select! {
        biased;
        answered = handler.handle(request, reply) => answered,
        () = left(read, buffer) => Err(Disconnected),
    };
    reply.close |= handler.phase() != Phase::Serving && reply.state != State::Ended;
    Ok(answered.is_ok() && reply.state == State::Ended && !reply.close)
}

async fn read_head<H: Handler>(
    handler: &H,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    limits: &Limits,
) -> Result<Head, End> {
    if buffer.is_empty() {
        let first = tokio::select! {
            first = time::timeout(limits.idle_timeout, read.read_buf(buffer)) => first,
            () = handler.wait_closing() => return Err(End::Closed),
        };
        match first {
            Ok(Ok(n)) if n > 0 => {}
            _ => return Err(End::Closed),
        }
    }
    let parsed = async {
        loop {
            if let Some((head, length)) = head::parse(buffer, limits.head_bytes)? {
                let _ = buffer.split_to(length);
                return Ok(head);
            }
            more(read, buffer).await?;
        }
    };
    let parsed = time::timeout(limits.head_timeout, parsed).await;
    parsed.unwrap_or(Err(End::TooSlow))
}

async fn read_body(
    head: &Head,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    limits: &Limits,
    room: &mut Room<'_>,
) -> Result<Bytes, End> {
    match head.framing {
        Framing::Length(length) => {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > limits.body_bytes {
                return Err(RequestError::BodyTooLarge.into());
            }
            room.grow(length)?;
            while buffer.len() < length {
                more(read, buffer).await?;
            }
            Ok(buffer.split_to(length).freeze())
        }
        Framing::Chunked => {
            let mut decoder = Decoder::new(limits.body_bytes);
            loop {
                if let Some(body) = decoder.feed(buffer)? {
                    return Ok(body);
                }
                room.grow(decoder.len().next_multiple_of(FREE_BYTES))?;
                more(read, buffer).await?;
            }
        }
    }
}

async fn more(read: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> Result<(), End> {
    match read.read_buf(buffer).await? {
        0 => Err(End::Closed),
        _ => Ok(()),
    }
}

/// Waits until the caller has closed its connection; keeps what it sends ahead.
async fn left(read: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < READ_AHEAD {
        match read.read_buf(buffer).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
    }
    std::future::pending::<()>().await;
}

/// Ends the connection so that the caller can still read its answer: closing with unread bytes would
/// reset it.
async fn linger(read: &mut ReadHalf<'_>, out: &mut WriteHalf<'_>) {
    if out.shutdown().await.is_err() {
        return;
    }
    let drained = async {
        let mut scrap = [0; 1_024];
        while read.read(&mut scrap).await.is_ok_and(|n| n > 0) {}
    };
    // A caller that keeps its side open past the bound loses nothing that it was promised.
    let _ = time::timeout(LINGER, drained).await;
}

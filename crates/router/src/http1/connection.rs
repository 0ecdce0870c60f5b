//! One caller's connection: requests in turn, each with its answer, written straight down.

use std::future::Future;
use std::io::Write as _;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{self, Instant};

use super::chunked::Decoder;
use super::head::{self, Framing, Head, Malformed};

/// Bytes that a caller may send ahead while its request is being answered.
const READ_AHEAD: usize = 64 << 10;
/// Size of the read buffer at first, in bytes.
const BUFFER: usize = 4 << 10;
/// Time that a caller may stop reading its answer before it counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
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
    Leaving,
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

/// The caller can't be answered any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller has gone")]
pub struct Gone;

/// What answers requests. A request whose caller leaves is dropped, and with it all that its future holds.
pub trait Handler: Send + Sync {
    /// The limits in force.
    fn limits(&self) -> Limits;

    /// How far the process is towards its end.
    fn phase(&self) -> Phase;

    /// The room for bodies of all connections together, a permit for each KiB.
    fn room(&self) -> &Semaphore;

    /// Waits until idle connections are to end.
    fn closing(&self) -> impl Future<Output = ()> + Send;

    /// Answers a request; an answer that isn't ended breaks the connection.
    fn handle(
        &self,
        request: Request,
        reply: &mut Reply<'_>,
    ) -> impl Future<Output = Result<(), Gone>> + Send;

    /// Answers what can't be read as a request.
    fn reject(
        &self,
        reason: Malformed,
        reply: &mut Reply<'_>,
    ) -> impl Future<Output = Result<(), Gone>> + Send;

    /// Answers a request for whose body there is no room.
    fn no_room(&self, reply: &mut Reply<'_>) -> impl Future<Output = Result<(), Gone>> + Send;

    /// Answers a request that wasn't sent in time.
    fn too_slow(&self, reply: &mut Reply<'_>) -> impl Future<Output = Result<(), Gone>> + Send;
}

/// Why no request came.
enum End {
    /// The connection ended between two requests, or broke.
    Closed,
    Malformed(Malformed),
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

impl From<Malformed> for End {
    fn from(reason: Malformed) -> Self {
        Self::Malformed(reason)
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
    let mut reply = Reply::new(write);
    let again = loop {
        match exchange(handler, &mut read, &mut buffer, &mut reply).await {
            Ok(true) => reply.reset(),
            Ok(false) => break false,
            Err(End::Closed) => return,
            Err(End::Malformed(reason)) => {
                reply.close = true;
                break handler.reject(reason, &mut reply).await.is_ok();
            }
            Err(End::NoRoom) => {
                reply.close = true;
                break handler.no_room(&mut reply).await.is_ok();
            }
            Err(End::TooSlow) => {
                reply.close = true;
                break handler.too_slow(&mut reply).await.is_ok();
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
    reply: &mut Reply<'_>,
) -> Result<bool, End> {
    let limits = handler.limits();
    let head = read_head(handler, read, buffer, &limits).await?;
    reply.head_only = head.method == Method::HEAD;
    reply.close = !head.keep_alive || handler.phase() != Phase::Serving;
    if head.expects_continue {
        reply.proceed().await.map_err(|Gone| End::Closed)?;
    }
    let mut room = Room::new(handler.room());
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
        () = left(read, buffer) => Err(Gone),
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
            () = handler.closing() => return Err(End::Closed),
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
                return Err(Malformed::BodyTooLarge.into());
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unsent,
    Streaming,
    Ended,
}

/// The way back to the caller for one request.
pub struct Reply<'a> {
    out: WriteHalf<'a>,
    state: State,
    close: bool,
    head_only: bool,
}

impl<'a> Reply<'a> {
    const fn new(out: WriteHalf<'a>) -> Self {
        Self {
            out,
            state: State::Unsent,
            close: false,
            head_only: false,
        }
    }

    const fn reset(&mut self) {
        self.state = State::Unsent;
        self.close = false;
    }

    /// Whether no byte of the answer has been sent.
    #[must_use]
    pub fn unsent(&self) -> bool {
        self.state == State::Unsent
    }

    /// Makes this the connection's last answer.
    pub const fn close(&mut self) {
        self.close = true;
    }

    async fn proceed(&mut self) -> Result<(), Gone> {
        self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    /// When the caller has gone.
    pub async fn whole(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<(), Gone> {
        let mut bytes = self.head(status, headers);
        let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
        if !bodiless {
            put(
                &mut bytes,
                format_args!("content-length: {}\r\n", body.len()),
            );
        }
        bytes.extend_from_slice(b"\r\n");
        if !bodiless && !self.head_only {
            bytes.extend_from_slice(body);
        }
        self.write(&bytes).await?;
        self.state = State::Ended;
        Ok(())
    }

    /// Begins an answer that comes in pieces, with its first one.
    ///
    /// # Errors
    /// When the caller has gone.
    pub async fn start(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        piece: &[u8],
    ) -> Result<(), Gone> {
        let mut bytes = self.head(status, headers);
        bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        chunk(&mut bytes, piece);
        self.state = State::Streaming;
        self.write(&bytes).await
    }

    /// Sends the next piece.
    ///
    /// # Errors
    /// When the caller has gone.
    pub async fn piece(&mut self, piece: &[u8]) -> Result<(), Gone> {
        let mut bytes = Vec::with_capacity(piece.len() + 16);
        chunk(&mut bytes, piece);
        self.write(&bytes).await
    }

    /// Ends an answer in pieces as complete.
    ///
    /// # Errors
    /// When the caller has gone.
    pub async fn end(&mut self) -> Result<(), Gone> {
        self.write(b"0\r\n\r\n").await?;
        self.state = State::Ended;
        Ok(())
    }

    fn head(&self, status: StatusCode, headers: &HeaderMap) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        let reason = status.canonical_reason().unwrap_or("Status");
        put(
            &mut bytes,
            format_args!("HTTP/1.1 {} {reason}\r\n", status.as_u16()),
        );
        for (name, value) in headers {
            if head::is_end_to_end(name, headers) && name != CONTENT_LENGTH {
                bytes.extend_from_slice(name.as_str().as_bytes());
                bytes.extend_from_slice(b": ");
                bytes.extend_from_slice(value.as_bytes());
                bytes.extend_from_slice(b"\r\n");
            }
        }
        if self.close {
            put(&mut bytes, format_args!("{CONNECTION}: close\r\n"));
        }
        bytes
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), Gone> {
        match time::timeout(WRITE_TIMEOUT, self.out.write_all(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Gone),
        }
    }
}

fn chunk(bytes: &mut Vec<u8>, piece: &[u8]) {
    if piece.is_empty() {
        return;
    }
    put(bytes, format_args!("{:x}\r\n", piece.len()));
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
}

fn put(bytes: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    // Writing to memory can't fail.
    let _ = bytes.write_fmt(text);
}

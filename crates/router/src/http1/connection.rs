//! Serves one caller's connection: reads requests one after the other and answers each before the next.

use std::future::Future;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{self, Instant};

use super::chunked::Decoder;
use super::head::{self, Framing, Head, RequestError};
use super::memory::{Eviction, Full, Holding, Memory, Stage};
use super::response_writer::{Disconnected, ResponseWriter, State};

/// Limit on bytes of pipelined requests that are buffered while a request is being handled. Beyond it the
/// connection isn't read, so a disconnect of the caller is not noticed.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// Initial capacity of the read buffer.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Estimated memory of a request that is being handled, besides its head and body.
const REQUEST_OVERHEAD_BYTES: usize = 8 << 10;
/// Estimated memory of one header field besides its bytes, in the request as received and as forwarded.
const FIELD_OVERHEAD_BYTES: usize = 256;
/// How long a closed connection is still drained, so that the caller can read its last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Size and time limits for callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size limit for a request head, in bytes.
    pub head_bytes: usize,
    /// Size limit for a request body, in bytes, without its chunk framing.
    pub body_bytes: usize,
    /// Time limit for receiving a head, from its first byte on.
    pub head_timeout: Duration,
    /// Time limit for receiving a body, from the end of the head on.
    pub body_timeout: Duration,
    /// How long a connection may stay idle before its first request and between requests.
    pub idle_timeout: Duration,
}

/// Shutdown phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Normal operation; connections are kept alive.
    Serving,
    /// Requests are still served, and each connection is closed after its next response.
    Draining,
    /// As in `Draining`; idle connections are closed at once.
    Closing,
    /// The process is about to exit: requests that still wait for their response get an error.
    Ending,
}

/// A request that was received completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// The parsed head.
    pub head: Head,
    /// The body, with any chunked coding removed; empty if there is none.
    pub body: Bytes,
    /// When the last byte of the request was received.
    pub received: Instant,
}

/// Handles the requests of callers' connections. If the caller disconnects, the future returned by `handle`
/// is dropped, and everything it holds is released.
pub trait Handler: Send + Sync {
    /// The limits for the next request; read anew for each one.
    fn limits(&self) -> Limits;

    /// The current shutdown phase.
    fn phase(&self) -> Phase;

    /// The memory that all connections hold together.
    fn memory(&self) -> &Memory;

    /// Completes when idle connections are to be closed.
    fn wait_closing(&self) -> impl Future<Output = ()> + Send;

    /// Responds to a request. If the response isn't complete when this returns, the connection is closed
    /// without it.
    fn handle(
        &self,
        request: Request,
        response: &mut ResponseWriter<'_>,
    ) -> impl Future<Output = Result<(), Disconnected>> + Send;

    /// Responds to an invalid or oversized request; the connection is closed afterwards.
    fn reject(
        &self,
        error: RequestError,
        response: &mut ResponseWriter<'_>,
    ) -> impl Future<Output = Result<(), Disconnected>> + Send;

    /// Responds to a request that has to give way, as the `memory` is used up; the connection is closed afterwards.
    fn reject_no_memory(
        &self,
        response: &mut ResponseWriter<'_>,
    ) -> impl Future<Output = Result<(), Disconnected>> + Send;

    /// Responds to a request that wasn't received in time; the connection is closed afterwards.
    fn reject_timeout(
        &self,
        response: &mut ResponseWriter<'_>,
    ) -> impl Future<Output = Result<(), Disconnected>> + Send;
}

/// Why no request could be read.
enum ReadError {
    /// The connection was idle for too long, was closed or failed; no response is sent.
    Closed,
    Invalid(RequestError),
    NoMemory,
    Timeout,
}

impl From<RequestError> for ReadError {
    fn from(error: RequestError) -> Self {
        Self::Invalid(error)
    }
}

impl From<Full> for ReadError {
    fn from(_: Full) -> Self {
        Self::NoMemory
    }
}

impl From<Eviction> for ReadError {
    fn from(reason: Eviction) -> Self {
        match reason {
            Eviction::Memory => Self::NoMemory,
            Eviction::Connection => Self::Closed,
        }
    }
}

impl From<std::io::Error> for ReadError {
    fn from(_: std::io::Error) -> Self {
        Self::Closed
    }
}

/// Serves one connection until it is closed by either side.
pub async fn serve<H: Handler>(mut stream: TcpStream, handler: &H) {
    let account = handler.memory().open();
    let (mut read, write) = stream.split();
    let mut incoming = Incoming::new(&mut read, &account);
    let mut response = ResponseWriter::new(write, &account);
    let rejected = loop {
        match exchange(handler, &mut incoming, &mut response).await {
            Ok(true) => response.reset(),
            Ok(false) => break false,
            Err(ReadError::Closed) => return,
            Err(error) => {
                incoming.discard();
                response.close = true;
                break reject(handler, error, &mut response).await.is_ok();
            }
        }
    };
    incoming.discard();
    if rejected || response.state == State::Complete {
        tokio::select! {
            () = linger(&mut read, &mut response.stream) => {}
            _ = account.evicted() => {}
        }
    }
}

async fn reject<H: Handler>(
    handler: &H,
    error: ReadError,
    response: &mut ResponseWriter<'_>,
) -> Result<(), Disconnected> {
    match error {
        ReadError::Closed => Err(Disconnected),
        ReadError::Invalid(error) => handler.reject(error, response).await,
        ReadError::NoMemory => handler.reject_no_memory(response).await,
        ReadError::Timeout => handler.reject_timeout(response).await,
    }
}

/// Reads one request and responds to it. Returns whether the connection can be used for another request.
async fn exchange<H: Handler>(
    handler: &H,
    incoming: &mut Incoming<'_, '_>,
    response: &mut ResponseWriter<'_>,
) -> Result<bool, ReadError> {
    let limits = handler.limits();
    incoming.wait_first(handler, &limits).await?;
    let account = incoming.account;
    account.enter(Stage::Receiving);
    let request = tokio::select! {
        biased;
        reason = account.evicted() => return Err(reason.into()),
        request = read_request(handler, incoming, &limits, response) => request?,
    };
    account.enter(Stage::Handling);
    let result = tokio::select! {
        biased;
        result = handler.handle(request, response) => result,
        () = incoming.wait_disconnect() => Err(Disconnected),
    };
    account.enter(Stage::Idle);
    response.close |= handler.phase() != Phase::Serving && response.state != State::Complete;
    Ok(result.is_ok() && response.state == State::Complete && !response.close)
}

async fn read_request<H: Handler>(
    handler: &H,
    incoming: &mut Incoming<'_, '_>,
    limits: &Limits,
    response: &mut ResponseWriter<'_>,
) -> Result<Request, ReadError> {
    let head = time::timeout(limits.head_timeout, incoming.read_head(limits)).await;
    let head = head.unwrap_or(Err(ReadError::Timeout))?;
    response.head_only = head.method == Method::HEAD;
    response.close = !head.keep_alive || handler.phase() != Phase::Serving;
    if head.expects_continue {
        response
            .send_continue()
            .await
            .map_err(|Disconnected| ReadError::Closed)?;
    }
    let body = time::timeout(limits.body_timeout, incoming.read_body(&head, limits)).await;
    Ok(Request {
        head,
        body: body.unwrap_or(Err(ReadError::Timeout))?,
        received: Instant::now(),
    })
}

/// The receiving side of a connection.
struct Incoming<'a, 's> {
    read: &'a mut ReadHalf<'s>,
    account: &'a Holding<'a>,
    /// Bytes that are received and not yet decoded.
    buffer: BytesMut,
    /// Estimated memory of the head and body that are decoded.
    decoded: usize,
}

impl<'a, 's> Incoming<'a, 's> {
    fn new(read: &'a mut ReadHalf<'s>, account: &'a Holding<'a>) -> Self {
        Self {
            read,
            account,
            buffer: BytesMut::new(),
            decoded: 0,
        }
    }

    /// Waits for the first byte of a request.
    async fn wait_first<H: Handler>(
        &mut self,
        handler: &H,
        limits: &Limits,
    ) -> Result<(), ReadError> {
        self.decoded = 0;
        if !self.buffer.is_empty() {
            return Ok(());
        }
        // Releases what a large request has left.
        self.buffer = BytesMut::new();
        self.account.release();
        let account = self.account;
        let first = tokio::select! {
            biased;
            first = time::timeout(limits.idle_timeout, self.read_first()) => first,
            () = handler.wait_closing() => return Err(ReadError::Closed),
            _ = account.evicted() => return Err(ReadError::Closed),
        };
        match first {
            Ok(Ok(n)) if n > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    /// Reads the first bytes that arrive. Only then the buffer gets memory.
    async fn read_first(&mut self) -> std::io::Result<usize> {
        self.read.readable().await?;
        self.buffer.reserve(READ_BUFFER_BYTES);
        self.read.read_buf(&mut self.buffer).await
    }

    async fn read_head(&mut self, limits: &Limits) -> Result<Head, ReadError> {
        self.account.make_room(self.held()).await?;
        let mut seen = 0;
        loop {
            // A head ends with a line.
            let complete_line = memchr::memchr(b'\n', &self.buffer[seen..]).is_some();
            if (complete_line || self.buffer.len() > limits.head_bytes)
                && let Some((head, length)) = head::parse(&self.buffer, limits.head_bytes)?
            {
                let _ = self.buffer.split_to(length);
                let fields = head.headers.len() * FIELD_OVERHEAD_BYTES;
                self.decoded = REQUEST_OVERHEAD_BYTES + length + fields;
                self.account.make_room(self.held()).await?;
                return Ok(head);
            }
            seen = self.buffer.len();
            self.read_more().await?;
        }
    }

    async fn read_body(&mut self, head: &Head, limits: &Limits) -> Result<Bytes, ReadError> {
        match head.framing {
            Framing::Length(length) => self.read_length(length, limits).await,
            Framing::Chunked => self.read_chunked(limits).await,
        }
    }

    async fn read_length(&mut self, length: u64, limits: &Limits) -> Result<Bytes, ReadError> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > limits.body_bytes {
            return Err(RequestError::BodyTooLarge.into());
        }
        let missing = length.saturating_sub(self.buffer.len());
        self.account.make_room(self.held() + missing).await?;
        self.buffer.reserve(missing);
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        let body = self.buffer.split_to(length).freeze();
        self.decoded += length;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Ok(body)
    }

    async fn read_chunked(&mut self, limits: &Limits) -> Result<Bytes, ReadError> {
        let mut decoder = Decoder::new(limits.body_bytes);
        let head = self.decoded;
        loop {
            if let Some(body) = decoder.decode(&mut self.buffer)? {
                return Ok(body);
            }
            self.decoded = head + decoder.capacity();
            self.read_more().await?;
        }
    }

    /// Reads at least one byte.
    async fn read_more(&mut self) -> Result<(), ReadError> {
        if self.buffer.capacity() == self.buffer.len() {
            self.buffer.reserve(READ_BUFFER_BYTES);
        }
        match self.read.read_buf(&mut self.buffer).await? {
            0 => Err(ReadError::Closed),
            n => {
                self.account.record_progress(n);
                self.account.make_room(self.held()).await?;
                Ok(())
            }
        }
    }

    /// Waits until the caller disconnects or has to give way. Further requests that arrive meanwhile are kept.
    async fn wait_disconnect(&mut self) {
        let account = self.account;
        tokio::select! {
            biased;
            _ = account.evicted() => {}
            () = self.read_ahead() => {}
        }
    }

    async fn read_ahead(&mut self) {
        while self.buffer.len() < MAX_PIPELINED_BYTES {
            match self.read_first().await {
                Ok(n) if n > 0 => {}
                _ => return,
            }
            let ahead = self.buffer.len();
            let held = self.account.hold_ahead(self.decoded, ahead).await;
            if held.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    fn held(&self) -> usize {
        self.decoded + self.buffer.capacity()
    }

    /// Releases what the last request has left.
    fn discard(&mut self) {
        self.buffer = BytesMut::new();
        self.account.enter(Stage::Idle);
        self.account.release();
    }
}

/// Shuts down the sending side and discards what the caller still sends. Closing a socket with unread data
/// would reset the connection, and the caller could lose the response.
async fn linger(read: &mut ReadHalf<'_>, write: &mut WriteHalf<'_>) {
    if write.shutdown().await.is_err() {
        return;
    }
    let drained = async {
        let mut discarded = [0; 1_024];
        while read.read(&mut discarded).await.is_ok_and(|n| n > 0) {}
    };
    // A caller that keeps its side open longer has had the time to read its response.
    let _ = time::timeout(LINGER_TIMEOUT, drained).await;
}

//! Serves one caller's connection: reads requests one after the other and answers each before the next.

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
use super::response_writer::{Disconnected, ResponseWriter, State};

/// Limit on bytes of pipelined requests that are buffered while a request is being handled. Beyond it the
/// connection isn't read, so a disconnect of the caller is not noticed.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// Initial capacity of the read buffer.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Body size up to which no memory is reserved, as the connection's own buffers are of that size anyway.
const UNRESERVED_BYTES: usize = 16 << 10;
/// Body bytes that one semaphore permit stands for.
const BYTES_PER_PERMIT: usize = 1 << 10;
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

    /// Bounds the memory for request bodies of all connections together; one permit stands for 1 KiB.
    fn body_memory(&self) -> &Semaphore;

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

    /// Responds to a request whose body exceeds the free `body_memory`; the connection is closed afterwards.
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

/// Memory reserved for one request body; released on drop.
struct Reservation<'a> {
    semaphore: &'a Semaphore,
    permits: Vec<SemaphorePermit<'a>>,
    bytes: usize,
}

impl<'a> Reservation<'a> {
    const fn new(semaphore: &'a Semaphore) -> Self {
        Self {
            semaphore,
            permits: Vec::new(),
            bytes: UNRESERVED_BYTES,
        }
    }

    /// Extends the reservation to `bytes` in total, or fails at once if there isn't enough free memory.
    fn grow(&mut self, bytes: usize) -> Result<(), ReadError> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let permits = (bytes - self.bytes).div_ceil(BYTES_PER_PERMIT);
        let permits = u32::try_from(permits).map_err(|_| ReadError::NoMemory)?;
        let permit = self
            .semaphore
            .try_acquire_many(permits)
            .map_err(|_| ReadError::NoMemory)?;
        self.permits.push(permit);
        self.bytes = bytes;
        Ok(())
    }
}

impl From<RequestError> for ReadError {
    fn from(error: RequestError) -> Self {
        Self::Invalid(error)
    }
}

impl From<std::io::Error> for ReadError {
    fn from(_: std::io::Error) -> Self {
        Self::Closed
    }
}

/// Serves one connection until it is closed by either side.
pub async fn serve<H: Handler>(mut stream: TcpStream, handler: &H) {
    let (mut read, write) = stream.split();
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let mut response = ResponseWriter::new(write);
    let rejected = loop {
        match exchange(handler, &mut read, &mut buffer, &mut response).await {
            Ok(true) => response.reset(),
            Ok(false) => break false,
            Err(ReadError::Closed) => return,
            Err(ReadError::Invalid(error)) => {
                response.close = true;
                break handler.reject(error, &mut response).await.is_ok();
            }
            Err(ReadError::NoMemory) => {
                response.close = true;
                break handler.reject_no_memory(&mut response).await.is_ok();
            }
            Err(ReadError::Timeout) => {
                response.close = true;
                break handler.reject_timeout(&mut response).await.is_ok();
            }
        }
    };
    if rejected || response.state == State::Complete {
        linger(&mut read, &mut response.stream).await;
    }
}

/// Reads one request and responds to it. Returns whether the connection can be used for another request.
async fn exchange<H: Handler>(
    handler: &H,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    response: &mut ResponseWriter<'_>,
) -> Result<bool, ReadError> {
    let limits = handler.limits();
    let head = read_head(handler, read, buffer, &limits).await?;
    response.head_only = head.method == Method::HEAD;
    response.close = !head.keep_alive || handler.phase() != Phase::Serving;
    if head.expects_continue {
        response
            .send_continue()
            .await
            .map_err(|Disconnected| ReadError::Closed)?;
    }
    let mut memory = Reservation::new(handler.body_memory());
    let body = read_body(&head, read, buffer, &limits, &mut memory);
    let body = time::timeout(limits.body_timeout, body).await;
    let body = body.unwrap_or(Err(ReadError::Timeout))?;
    let request = Request {
        head,
        body,
        received: Instant::now(),
    };
    let result = tokio::select! {
        biased;
        result = handler.handle(request, response) => result,
        () = wait_disconnect(read, buffer) => Err(Disconnected),
    };
    response.close |= handler.phase() != Phase::Serving && response.state != State::Complete;
    Ok(result.is_ok() && response.state == State::Complete && !response.close)
}

async fn read_head<H: Handler>(
    handler: &H,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    limits: &Limits,
) -> Result<Head, ReadError> {
    if buffer.is_empty() {
        let first = tokio::select! {
            first = time::timeout(limits.idle_timeout, read.read_buf(buffer)) => first,
            () = handler.wait_closing() => return Err(ReadError::Closed),
        };
        match first {
            Ok(Ok(n)) if n > 0 => {}
            _ => return Err(ReadError::Closed),
        }
    }
    let parsed = async {
        loop {
            if let Some((head, length)) = head::parse(buffer, limits.head_bytes)? {
                let _ = buffer.split_to(length);
                return Ok(head);
            }
            read_more(read, buffer).await?;
        }
    };
    let parsed = time::timeout(limits.head_timeout, parsed).await;
    parsed.unwrap_or(Err(ReadError::Timeout))
}

async fn read_body(
    head: &Head,
    read: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    limits: &Limits,
    memory: &mut Reservation<'_>,
) -> Result<Bytes, ReadError> {
    match head.framing {
        Framing::Length(length) => {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > limits.body_bytes {
                return Err(RequestError::BodyTooLarge.into());
            }
            memory.grow(length)?;
            while buffer.len() < length {
                read_more(read, buffer).await?;
            }
            Ok(buffer.split_to(length).freeze())
        }
        Framing::Chunked => {
            let mut decoder = Decoder::new(limits.body_bytes);
            loop {
                if let Some(body) = decoder.decode(buffer)? {
                    return Ok(body);
                }
                memory.grow(decoder.len().next_multiple_of(UNRESERVED_BYTES))?;
                read_more(read, buffer).await?;
            }
        }
    }
}

async fn read_more(read: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> Result<(), ReadError> {
    match read.read_buf(buffer).await? {
        0 => Err(ReadError::Closed),
        _ => Ok(()),
    }
}

/// Completes when the caller disconnects. Pipelined requests that arrive meanwhile are kept in `buffer`.
async fn wait_disconnect(read: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < MAX_PIPELINED_BYTES {
        match read.read_buf(buffer).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
    }
    std::future::pending::<()>().await;
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

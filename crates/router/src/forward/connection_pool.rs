//! Pool of keep-alive HTTP/1.1 connections to backend servers. Each connection carries one request at a
//! time, and is reused only while the server can be expected to keep it open.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::HeaderValue;
use http::{HeaderMap, Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use crate::load::isolation::Signs;
use crate::socket;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for opening a connection only to see whether that is possible.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle timeout assumed for a server that doesn't announce one in a `Keep-Alive` field.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Fraction of the server's idle timeout within which a connection is reused.
const REUSE_FRACTION: f64 = 0.7;
/// The same for a request that can't be retried. It is smaller, as the request may have run if the server
/// closes the connection just as it is sent.
const REUSE_FRACTION_NON_RETRYABLE: f64 = 0.4;
/// Statuses of a response that ends a request.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Time without acknowledgement of sent data after which the connection is closed (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why no response was received.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent; says why.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The request was sent and may have run, but its response is missing or incomplete; says why.
    #[error("no response: {0}")]
    NoAnswer(String),
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Idle {
    /// Whether it may be reused within this fraction of the server's idle timeout.
    fn is_fresh(&self, fraction: f64, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since);
        let timeout = self.connection.idle_timeout;
        self.connection.sender.is_ready() && age < timeout.mul_f64(fraction)
    }
}

#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// How long the server keeps the connection open while it is idle.
    idle_timeout: Duration,
    task: AbortOnDrop,
}

/// Aborts the task that drives a connection when dropped, which closes the connection.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The idle connections to all backend servers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
    activity: Arc<Mutex<Activity>>,
}

/// What the connections have shown so far.
#[derive(Debug, Default)]
struct Activity {
    /// When bytes of any server were last received.
    contact: Option<Instant>,
    connected: Option<Instant>,
    failed: Option<Instant>,
    /// Number of responses that are awaited, or being received.
    awaited: usize,
    /// When `awaited` was last 0.
    awaited_since: Option<Instant>,
}

/// Counts an awaited response until it is dropped.
#[derive(Debug)]
struct Awaited(ConnectionPool);

impl Awaited {
    fn new(pool: &ConnectionPool) -> Self {
        let mut activity = pool.activity();
        if activity.awaited == 0 {
            activity.awaited_since = Some(Instant::now());
        }
        activity.awaited += 1;
        drop(activity);
        Self(pool.clone())
    }
}

impl Drop for Awaited {
    fn drop(&mut self) {
        self.0.activity().awaited -= 1;
    }
}

/// Result of an attempt to open a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The connection was opened.
    Connected,
    /// Nothing listens at the address.
    Refused,
    /// There was no response in time, or another error.
    NoResponse,
}

/// A response whose body is being received. If it is dropped without `release`, its connection is closed,
/// which tells the backend server to stop working on the request.
#[derive(Debug)]
pub struct BackendResponse {
    /// The status and the header fields.
    pub head: response::Parts,
    body: Incoming,
    connection: Connection,
    awaited: Awaited,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of the response. Set `non_retryable` for a request that can't be
    /// retried: it is sent on an idle connection only if the server is unlikely to be closing it.
    ///
    /// # Errors
    /// Returns `NotSent` if no byte of the request was sent, and `NoAnswer` if it may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        non_retryable: bool,
    ) -> Result<BackendResponse, Error> {
        let mut request = request;
        let awaited = Awaited::new(self);
        loop {
            let (mut connection, reused) = match self.take_idle(address, non_retryable) {
                Some(connection) => (connection, true),
                None => (self.connect(address).await?, false),
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    self.record_contact();
                    check_status(response.status())?;
                    return Ok(wrap(connection, response, awaited));
                }
                Err(mut error) => match error.take_message() {
                    // The server closed the idle connection before any byte was sent on it.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => {
                        self.record_failure();
                        return Err(Error::NotSent(error.into_error().to_string()));
                    }
                    None => {
                        self.record_failure();
                        return Err(Error::NoAnswer(error.into_error().to_string()));
                    }
                },
            }
        }
    }

    /// Opens a connection for the next request that can be retried, unless there is one that may be reused.
    ///
    /// # Errors
    /// Returns `NotSent` if none can be opened.
    pub async fn prepare(&self, address: SocketAddr) -> Result<(), Error> {
        if !self.has_idle(address) {
            let connection = self.connect(address).await?;
            self.put_idle(connection);
        }
        Ok(())
    }

    /// Opens a connection, and keeps it for a request.
    pub async fn probe(&self, address: SocketAddr) -> Reachability {
        match time::timeout(PROBE_TIMEOUT, open(address)).await {
            Ok(Ok(connection)) => {
                self.activity().connected = Some(Instant::now());
                self.put_idle(connection);
                Reachability::Connected
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Reachability::Refused
            }
            Ok(Err(_)) | Err(_) => Reachability::NoResponse,
        }
    }

    /// Closes the connections that aren't in use.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    /// What the connections show of the links to all servers.
    #[must_use]
    pub fn signs(&self) -> Signs {
        let activity = self.activity();
        let awaited = activity.awaited > 0;
        Signs {
            connected: activity.connected,
            failed: activity.failed,
            silent_since: activity
                .awaited_since
                .filter(|_| awaited)
                .max(activity.contact.filter(|_| awaited)),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let reason = match time::timeout(CONNECT_TIMEOUT, open(address)).await {
            Ok(Ok(connection)) => {
                self.activity().connected = Some(Instant::now());
                return Ok(connection);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out while connecting".into(),
        };
        self.record_failure();
        Err(Error::NotSent(reason))
    }

    fn record_contact(&self) {
        self.activity().contact = Some(Instant::now());
    }

    fn record_failure(&self) {
        self.activity().failed = Some(Instant::now());
    }

    fn activity(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection to `address` that may still be reused.
    fn take_idle(&self, address: SocketAddr, non_retryable: bool) -> Option<Connection> {
        let fraction = if non_retryable {
            REUSE_FRACTION_NON_RETRYABLE
        } else {
            REUSE_FRACTION
        };
        let now = Instant::now();
        let mut all = self.lock();
        let idle = all.get_mut(&address)?;
        remove_expired(idle, now);
        let position = idle.iter().rposition(|i| i.is_fresh(fraction, now))?;
        Some(idle.remove(position).connection)
    }

    /// Whether there is an idle connection to `address` on which a request that can be retried may be sent.
    fn has_idle(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        let all = self.lock();
        let idle = all.get(&address);
        idle.is_some_and(|idle| idle.iter().any(|i| i.is_fresh(REUSE_FRACTION, now)))
    }

    fn put_idle(&self, connection: Connection) {
        let now = Instant::now();
        let mut all = self.lock();
        for idle in all.values_mut() {
            remove_expired(idle, now);
        }
        all.retain(|_, idle| !idle.is_empty());
        let idle = all.entry(connection.address).or_default();
        idle.push(Idle {
            connection,
            since: now,
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn remove_expired(idle: &mut Vec<Idle>, now: Instant) {
    idle.retain(|i| {
        let age = now.saturating_duration_since(i.since);
        !i.connection.sender.is_closed() && age < i.connection.idle_timeout.mul_f64(REUSE_FRACTION)
    });
}

/// Returns how long the server keeps an idle connection open, according to its `Keep-Alive` field.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let fields = headers.get("keep-alive").map(HeaderValue::to_str);
    let Some(Ok(fields)) = fields else {
        return DEFAULT_IDLE_TIMEOUT;
    };
    let seconds = fields
        .split(',')
        .find_map(|f| f.trim().strip_prefix("timeout="))
        .and_then(|s| s.parse().ok());
    seconds.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs)
}

/// Rejects a status that isn't in the protocol, or doesn't answer a request of this client.
///
/// # Errors
/// `NoAnswer` for such a status.
fn check_status(status: StatusCode) -> Result<(), Error> {
    if FINAL_STATUSES.contains(&status.as_u16()) {
        return Ok(());
    }
    Err(Error::NoAnswer(format!("invalid status {status}")))
}

fn wrap(
    mut connection: Connection,
    response: Response<Incoming>,
    awaited: Awaited,
) -> BackendResponse {
    let (head, body) = response.into_parts();
    connection.idle_timeout = idle_timeout(&head.headers);
    BackendResponse {
        head,
        body,
        connection,
        awaited,
    }
}

async fn open(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    socket::configure(&stream, USER_TIMEOUT)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("server={address} connection=ended reason={error}");
        }
    });
    Ok(Connection {
        address,
        sender,
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
        task: AbortOnDrop(task.abort_handle()),
    })
}

impl BackendResponse {
    /// Receives the next bytes of the body; returns `None` at its end.
    ///
    /// # Errors
    /// Returns `NoAnswer` if the connection failed before the end of the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.awaited.0.record_contact();
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(error)) => {
                    self.awaited.0.record_failure();
                    return Err(Error::NoAnswer(error.to_string()));
                }
            }
        }
    }

    /// Receives the rest of the body.
    ///
    /// # Errors
    /// Returns `NoAnswer` if the connection failed before the end of the body, or if the rest is longer than
    /// `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_chunk().await? {
            body.extend_from_slice(&bytes);
            if body.len() > limit {
                return Err(Error::NoAnswer("response body is too large".into()));
            }
        }
        Ok(body.freeze())
    }

    /// Returns the connection to the pool. Call this only after the body was received to its end.
    pub fn release(self) {
        if !self.connection.sender.is_closed() && !self.connection.task.0.is_finished() {
            self.awaited.0.put_idle(self.connection);
        }
    }
}

//! Connections to backend servers: one request at a time on each, reused while they are surely open.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::HeaderValue;
use http::{HeaderMap, Request, Response, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use crate::socket;

/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(400);
/// Idle time after which a connection isn't reused, where the server doesn't say how long it waits.
const KEEP_UNKNOWN: Duration = Duration::from_millis(800);
/// Share of the server's idle time within which a connection is reused.
const KEEP_SHARE: f64 = 0.7;
/// The same for a request that must not be sent twice.
const KEEP_SHARE_ONCE: f64 = 0.4;
/// Silence after which a connection with bytes on their way counts as broken.
const SILENCE: Duration = Duration::from_secs(2);

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of the request has left.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, and may have run.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    keep: Duration,
    task: Task,
}

/// Ends the connection's task, and so the connection, when dropped.
#[derive(Debug)]
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// All connections of one instance.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// An answer that is being read. Dropped before its end, it closes its connection, which makes the
/// backend server stop.
#[derive(Debug)]
pub struct BackendResponse {
    /// Status and header fields.
    pub head: response::Parts,
    body: Incoming,
    connection: Connection,
    channels: ConnectionPool,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its answer. `once` asks for a connection that the server
    /// can't be about to close.
    ///
    /// # Errors
    /// `NotSent` when no byte has left, `NoAnswer` when the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        once: bool,
    ) -> Result<BackendResponse, Error> {
        let mut request = request;
        loop {
            let (mut connection, kept) = match self.take(address, once) {
                Some(connection) => (connection, true),
                None => (connect(address).await?, false),
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(connection, response)),
                Err(mut error) => match error.take_message() {
                    // The connection had ended before it took the request.
                    Some(unsent) if kept => request = unsent,
                    Some(_) => return Err(Error::NotSent(error.into_error().to_string())),
                    None => return Err(Error::NoAnswer(error.into_error().to_string())),
                },
            }
        }
    }

    fn answer(&self, mut connection: Connection, response: Response<Incoming>) -> BackendResponse {
        let (head, body) = response.into_parts();
        connection.keep = keep(&head.headers);
        BackendResponse {
            head,
            body,
            connection,
            channels: self.clone(),
        }
    }

    fn take(&self, address: SocketAddr, once: bool) -> Option<Connection> {
        let share = if once { KEEP_SHARE_ONCE } else { KEEP_SHARE };
        let now = Instant::now();
        let mut all = self.lock();
        let idle = all.get_mut(&address)?;
        forget(idle, now);
        let fresh = |i: &Idle| {
            let age = now.saturating_duration_since(i.since);
            i.connection.sender.is_ready() && age < i.connection.keep.mul_f64(share)
        };
        let position = idle.iter().rposition(fresh)?;
        Some(idle.remove(position).connection)
    }

    fn put(&self, connection: Connection) {
        let now = Instant::now();
        let mut all = self.lock();
        for idle in all.values_mut() {
            forget(idle, now);
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

fn forget(idle: &mut Vec<Idle>, now: Instant) {
    idle.retain(|i| {
        let age = now.saturating_duration_since(i.since);
        !i.connection.sender.is_closed() && age < i.connection.keep.mul_f64(KEEP_SHARE)
    });
}

/// How long the server keeps an idle connection, by the `Keep-Alive` field.
fn keep(headers: &HeaderMap) -> Duration {
    let fields = headers.get("keep-alive").map(HeaderValue::to_str);
    let Some(Ok(fields)) = fields else {
        return KEEP_UNKNOWN;
    };
    let seconds = fields
        .split(',')
        .find_map(|f| f.trim().strip_prefix("timeout="))
        .and_then(|s| s.parse().ok());
    seconds.map_or(KEEP_UNKNOWN, Duration::from_secs)
}

async fn connect(address: SocketAddr) -> Result<Connection, Error> {
    let not_sent = |reason: String| Error::NotSent(reason);
    let stream = match time::timeout(CONNECT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(error.to_string())),
        Err(_) => return Err(not_sent("connecting took too long".into())),
    };
    socket::configure(&stream, SILENCE).map_err(|e| not_sent(e.to_string()))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| not_sent(e.to_string()))?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("server={address} connection=ended reason={error}");
        }
    });
    Ok(Connection {
        address,
        sender,
        keep: KEEP_UNKNOWN,
        task: Task(task.abort_handle()),
    })
}

impl BackendResponse {
    /// The next bytes of the body; none at its end.
    ///
    /// # Errors
    /// `NoAnswer` when the connection broke before the body was whole.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(error)) => return Err(Error::NoAnswer(error.to_string())),
            }
        }
    }

    /// The rest of the body, of `limit` bytes at most.
    ///
    /// # Errors
    /// `NoAnswer` when the connection broke first, or the body is longer.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_chunk().await? {
            body.extend_from_slice(&bytes);
            if body.len() > limit {
                return Err(Error::NoAnswer("the answer is too long".into()));
            }
        }
        Ok(body.freeze())
    }

    /// Keeps the connection for another request, once the body was read to its end.
    pub fn release(self) {
        if !self.connection.sender.is_closed() && !self.connection.task.0.is_finished() {
            self.channels.put(self.connection);
        }
    }
}

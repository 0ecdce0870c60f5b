//! One HTTP call on a connection of its own, which leaves nothing behind that could arrive later.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

use crate::socket;

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The call isn't allowed any more and wasn't sent.
    #[error("the call isn't allowed any more")]
    NotAllowed,
    /// No response: the call may have been carried out.
    #[error("no response: {0}")]
    NoResponse(String),
}

/// Connects, then asks `request` for the call, sends it and waits for the status of the response. A call without
/// response is withdrawn as far as possible: data that hasn't left the machine isn't sent any more.
///
/// # Errors
/// `NotAllowed` if `request` returns `None` once the connection is open; `NoResponse` if the response is missing.
pub async fn send(
    address: SocketAddr,
    request: impl Fn() -> Option<Request<Full<Bytes>>>,
    timeout: Duration,
) -> Result<StatusCode, Failure> {
    let exchange = time::timeout(timeout, exchange(address, request)).await;
    exchange.unwrap_or_else(|_| Err(Failure::NoResponse("timed out".into())))
}

async fn exchange(
    address: SocketAddr,
    request: impl Fn() -> Option<Request<Full<Bytes>>>,
) -> Result<StatusCode, Failure> {
    let stream = TcpStream::connect(address).await.map_err(no_response)?;
    socket::discard_unsent(&stream).map_err(no_response)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(no_response)?;
    // Ends with this function, and the connection with it.
    let mut tasks = JoinSet::new();
    tasks.spawn(connection);
    sender.ready().await.map_err(no_response)?;
    let request = request().ok_or(Failure::NotAllowed)?;
    let response = sender.send_request(request).await.map_err(no_response)?;
    let status = response.status();
    let _ = response.into_body().collect().await;
    Ok(status)
}

fn no_response(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Failure {
    let error: io::Error = io::Error::other(error);
    Failure::NoResponse(error.to_string())
}

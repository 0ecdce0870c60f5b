//! TCP sockets: listeners, and socket options that detect dead connections which were never reset.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

/// Idle time after which keepalive probes start.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection fails.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sets `TCP_NODELAY`, and makes the connection fail if data stays unacknowledged for `user_timeout` or if
/// `KEEPALIVE_RETRIES` keepalive probes get no response.
///
/// # Errors
/// If the operating system rejects an option.
pub fn configure(stream: &TcpStream, user_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Makes closing the connection discard the data that wasn't acknowledged, rather than send it again for a while.
///
/// # Errors
/// If the operating system rejects the option.
pub fn discard_unsent(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Failure to open a listener.
#[derive(Debug, thiserror::Error)]
#[error("failed to listen on {address} for {role}: {source}")]
pub struct ListenError {
    role: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// Opens a listener. `role` names its purpose in errors, such as `callers`.
///
/// # Errors
/// If the address can't be bound.
pub async fn listen(role: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ListenError {
            role,
            address,
            source,
        })
}

/// Returns the address that a listener is bound to.
///
/// # Errors
/// If the operating system doesn't provide the address.
pub fn local_address(
    role: &'static str,
    listener: &TcpListener,
) -> Result<SocketAddr, ListenError> {
    listener.local_addr().map_err(|source| ListenError {
        role,
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        source,
    })
}

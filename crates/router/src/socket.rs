//! TCP sockets: listeners, and options against links that go silent without a reset.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

/// Time without traffic after which probes begin.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between two probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Unanswered probes that end a connection.
const PROBES: u32 = 2;

/// Sends small writes at once, and makes the connection fail when the other side is silent: after
/// `silence` with bytes not acknowledged, or after some unanswered probes.
///
/// # Errors
/// When the system refuses an option.
pub fn configure(stream: &TcpStream, silence: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// A listener that can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address} for {role}: {source}")]
pub struct ListenError {
    role: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// Opens a listener for one role of the process.
///
/// # Errors
/// When the system refuses the address.
pub async fn listen(role: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ListenError {
            role,
            address,
            source,
        })
}

/// The address that a listener has.
///
/// # Errors
/// When the system doesn't tell it.
pub fn local(role: &'static str, listener: &TcpListener) -> Result<SocketAddr, ListenError> {
    listener.local_addr().map_err(|source| ListenError {
        role,
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        source,
    })
}

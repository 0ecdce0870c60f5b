//! Options of TCP sockets: links can go silent without a reset.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

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
pub fn tune(stream: &TcpStream, silence: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

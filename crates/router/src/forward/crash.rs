//! Finds out whether a backend server to which a connection was lost has crashed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{self, Instant};

use super::connection_pool::{ConnectionPool, Reachability};
use crate::load::pool::{Pool, SuspectedCrash};

/// Time in which the other requests notice that their connections to the server were lost too.
const COLLECTION_TIME: Duration = Duration::from_millis(30);
/// Time after the loss from which on bytes of a server count as a sign that this instance isn't cut off.
const CONTACT_MARGIN: Duration = Duration::from_millis(20);
/// Time between two attempts to reach any server.
const CONTACT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of these attempts, after which the loss is taken for one of this instance.
const MAX_CONTACT_ATTEMPTS: usize = 50;

/// Checks a server, and records in `pool` whether it crashed.
pub async fn check(connections: ConnectionPool, pool: Arc<Pool>, suspected: SuspectedCrash) {
    time::sleep(COLLECTION_TIME).await;
    let servers = pool.servers();
    let found = servers.iter().find(|(_, s)| s.name == suspected.server);
    let crashed = match found.map(|(_, s)| s.address) {
        Some(address) => {
            let others = servers.iter().map(|(_, s)| s.address);
            let others: Vec<SocketAddr> = others.filter(|a| *a != address).collect();
            refuses(&connections, address).await
                && is_connected(&connections, &others, address, suspected.at).await
        }
        None => false,
    };
    pool.resolve_loss(&suspected.server, crashed);
}

/// Whether nothing listens at the address. A server that can't be reached otherwise may be sound.
async fn refuses(connections: &ConnectionPool, address: SocketAddr) -> bool {
    connections.probe(address).await == Reachability::Refused
}

/// Whether any server has been in contact with this instance since `at`. An instance that is cut off from all of
/// them sees them all refuse connections.
async fn is_connected(
    connections: &ConnectionPool,
    others: &[SocketAddr],
    server: SocketAddr,
    at: Instant,
) -> bool {
    let any = others.iter().chain([&server]).cycle();
    let in_contact = || {
        let contact = connections.last_contact();
        contact.is_some_and(|contact| contact >= at + CONTACT_MARGIN)
    };
    if in_contact() {
        return true;
    }
    for address in any.take(MAX_CONTACT_ATTEMPTS) {
        time::sleep(CONTACT_INTERVAL).await;
        if in_contact() || connections.probe(*address).await == Reachability::Connected {
            // The server may have refused because of a cut that is over.
            return refuses(connections, server).await;
        }
    }
    false
}

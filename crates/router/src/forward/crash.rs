//! Finds out whether a backend server to which a connection was lost has crashed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{self, Instant};

use super::connection_pool::{ConnectionPool, Reachability};
use crate::load::pool::{Pool, SuspectedCrash};
use crate::node::Node;

/// Time in which the other requests notice that their connections to the server were lost too.
const COLLECTION_TIME: Duration = Duration::from_millis(30);
/// Time between two attempts to reach any server.
const CONTACT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of these attempts, after which the loss is taken for one of this instance.
const MAX_CONTACT_ATTEMPTS: usize = 50;

/// Checks a server, and records in `pool` whether it crashed.
pub async fn check(
    connections: ConnectionPool,
    node: Arc<Node>,
    pool: Arc<Pool>,
    suspected: SuspectedCrash,
) {
    time::sleep(COLLECTION_TIME).await;
    let servers = pool.servers();
    let found = servers.iter().find(|(_, s)| s.name == suspected.server);
    let crashed = match found.map(|(_, s)| s.address) {
        Some(address) => {
            refuses(&connections, address).await
                && is_connected(&connections, &node, address, suspected.at).await
        }
        None => false,
    };
    pool.resolve_loss(&suspected.server, crashed);
}

/// Whether nothing listens at the address. A server that can't be reached otherwise may be sound.
async fn refuses(connections: &ConnectionPool, address: SocketAddr) -> bool {
    connections.probe(address).await == Reachability::Refused
}

/// Whether this instance has opened a connection to any other server since `at`, or to `server` at last. One that is
/// cut off sees them all refuse connections, while old connections may live on.
async fn is_connected(
    connections: &ConnectionPool,
    node: &Node,
    server: SocketAddr,
    at: Instant,
) -> bool {
    let has_connected = || connections.signs().connected.is_some_and(|c| c >= at);
    let others = other_servers(node, server);
    for address in others
        .iter()
        .chain([&server])
        .cycle()
        .take(MAX_CONTACT_ATTEMPTS)
    {
        if has_connected() || connections.probe(*address).await == Reachability::Connected {
            // The server may have refused because of a cut that is over.
            return refuses(connections, server).await;
        }
        time::sleep(CONTACT_INTERVAL).await;
    }
    false
}

/// The addresses of the servers of all pools but one, one pool's after the other's in turn.
fn other_servers(node: &Node, except: SocketAddr) -> Vec<SocketAddr> {
    let mut ranked = Vec::new();
    for pool in node.pools.all() {
        let servers = pool.servers().into_iter().map(|(_, s)| s.address);
        let others = servers.filter(|address| *address != except);
        ranked.extend(others.enumerate());
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, address)| address).collect()
}

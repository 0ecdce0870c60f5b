//! Probes backend servers when connections fail or all servers are silent, and tells the fleet when this instance
//! is cut off from all of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use tokio::time::{self, Instant, MissedTickBehavior};

use super::connection_pool::{ConnectionPool, Reachability};
use crate::fleet::frame::Frame;
use crate::load::isolation::{Isolation, IsolationChange};
use crate::node::Node;

/// Time between two looks at the connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Servers that are probed first.
const FIRST_PROBES: usize = 2;
/// Further servers that are probed if none of these can be reached.
const FURTHER_PROBES: usize = 14;

/// Watches the connections; never returns.
pub async fn monitor(node: Arc<Node>, connections: ConnectionPool) {
    let mut isolation = Isolation::default();
    let mut interval = time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if !isolation.is_probe_due(&connections.signs(), Instant::now()) {
            continue;
        }
        let Some(reached) = probe(&node, &connections).await else {
            continue;
        };
        if let Some(change) = isolation.record_round(reached, Instant::now()) {
            apply(&node, change);
        }
    }
}

/// Whether any server can be reached; `None` if there is none.
async fn probe(node: &Node, connections: &ConnectionPool) -> Option<bool> {
    let mut servers: Vec<SocketAddr> = node
        .pools
        .all()
        .iter()
        .flat_map(|pool| pool.servers())
        .filter(|(_, server)| !server.leaving)
        .map(|(_, server)| server.address)
        .collect();
    if servers.is_empty() {
        return None;
    }
    servers.shuffle(&mut rand::rng());
    let (first, others) = servers.split_at(FIRST_PROBES.min(servers.len()));
    let others = &others[..FURTHER_PROBES.min(others.len())];
    Some(is_any_reached(connections, first).await || is_any_reached(connections, others).await)
}

async fn is_any_reached(connections: &ConnectionPool, servers: &[SocketAddr]) -> bool {
    let probes = servers.iter().map(|address| connections.probe(*address));
    let mut results: FuturesUnordered<_> = probes.collect();
    while let Some(result) = results.next().await {
        if result == Reachability::Connected {
            return true;
        }
    }
    false
}

/// Tells requests and the other instances of a change. Circuit breakers that the cut opened are closed after it.
fn apply(node: &Node, change: IsolationChange) {
    let isolated = change == IsolationChange::Begun;
    if isolated {
        node.metrics.count("isolation.begun");
    } else {
        node.metrics.count("isolation.ended");
        for pool in node.pools.all() {
            pool.forget_failures();
        }
    }
    let record = node.isolated.set_own(isolated);
    node.links.broadcast(&Frame::Isolation(vec![record]), None);
}

//! The tasks that look at every pool, and ask each backend server for its load.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::config::changelog;
use crate::load::pools::NewServer;
use crate::load::pressure::FloorKind;
use crate::node::Node;

/// Time between two load reports of one server.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Reports missed in a row from which a server counts as down.
const MISSED: u32 = 2;
/// Shortest time between two messages about changed floors.
const TELL: Duration = Duration::from_millis(60);
/// Time between two looks at what waits too long.
const TICK: Duration = Duration::from_millis(20);

/// Looks at every pool again and again.
pub async fn tick(node: Arc<Node>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut told = Vec::new();
    let mut told_at = Instant::now();
    loop {
        interval.tick().await;
        for pool in node.pools.all() {
            let hold = node.links.floor(pool.name(), FloorKind::Hold);
            let evict = node.links.floor(pool.name(), FloorKind::Evict);
            pool.set_floors(hold, evict);
            pool.tick();
        }
        let wanted = node.pools.requested_floors();
        if wanted != told && told_at.elapsed() >= TELL {
            node.links.broadcast(&node.heartbeat(), None);
            told = wanted;
            told_at = Instant::now();
        }
    }
}

/// Asks each of `servers` for its load until it is gone from its pool.
pub fn follow(node: &Arc<Node>, servers: Vec<NewServer>) {
    for server in servers {
        tokio::spawn(poll(Arc::clone(node), server));
    }
}

/// Asks one server for its load until it is gone from the pool.
async fn poll(node: Arc<Node>, server: NewServer) {
    let NewServer { pool, id, declared } = server;
    let mut missed = 0;
    loop {
        if let Ok(report) = node.backend_client.fetch_load(declared.address).await {
            missed = 0;
            if report.leaving {
                let now_ms = changelog::now_ms();
                node.server_leaves(&declared.name, now_ms, None);
            }
            pool.record_load(id, report);
        } else {
            missed += 1;
            if missed >= MISSED {
                pool.record_failure(id, true);
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
        let known = pool.servers().into_iter().find(|(other, _)| *other == id);
        if known.is_none() {
            return;
        }
    }
}

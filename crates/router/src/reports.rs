//! Background tasks that update the pools periodically and poll the load reports of backend servers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::config::changelog;
use crate::fleet::frame::Frame;
use crate::load::admission_floors::FloorKind;
use crate::load::pools::NewServer;
use crate::load::rate_limit::Members;
use crate::node::Node;

/// Polling interval of the load report of one backend server.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of consecutive failed polls after which a backend server is considered down.
const MAX_MISSED_REPORTS: u32 = 2;
/// Minimum time between two broadcasts of changed admission floors.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which the pools check for requests that have waited too long.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the periodic work of all pools, and broadcasts a heartbeat when the admission floors that this instance
/// requests have changed.
pub async fn run_pools(node: Arc<Node>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sent_floors = Vec::new();
    let mut sent_at = Instant::now();
    let mut digest = None;
    loop {
        interval.tick().await;
        let known = Some((node.membership.digest(), node.pools.all().len()));
        if digest != known {
            digest = known;
            node.pools.set_members(&Arc::new(members(&node)));
        }
        for pool in node.pools.all() {
            let hold = node.links.floor(pool.name(), FloorKind::Hold);
            let evict = node.links.floor(pool.name(), FloorKind::Evict);
            pool.set_floors(hold, evict);
            pool.set_instances(node.membership.size());
            pool.tick();
        }
        let limits = node.pools.take_limit_notices();
        if !limits.is_empty() {
            node.links.broadcast(&Frame::RateLimits(limits), None);
        }
        let brittle = node.pools.take_brittle();
        if !brittle.is_empty() {
            node.links.broadcast(&Frame::Brittle(brittle), None);
        }
        let crashes = node.pools.take_crash_notices();
        if !crashes.is_empty() {
            node.links.broadcast(&Frame::Crashes(crashes), None);
        }
        node.stream_origins.flush(&node.links);
        let floors = node.pools.requested_floors();
        if floors != sent_floors && sent_at.elapsed() >= MIN_BROADCAST_INTERVAL {
            node.links.broadcast(&node.heartbeat(), None);
            sent_floors = floors;
            sent_at = Instant::now();
        }
    }
}

/// The instances among which rate limits are divided: those that are expected to take requests for a while.
fn members(node: &Node) -> Members {
    let alive = node.membership.alive().into_iter().map(|r| r.id);
    Members::new(node.settings.instance.clone(), alive)
}

/// Spawns a task for each of `servers` that polls its load report until it is removed from its pool.
pub fn spawn_polls(node: &Arc<Node>, servers: Vec<NewServer>) {
    for server in servers {
        tokio::spawn(poll(Arc::clone(node), server));
    }
}

/// Polls the load report of one backend server until it is removed from the pool.
async fn poll(node: Arc<Node>, server: NewServer) {
    let NewServer { pool, id, declared } = server;
    let mut missed = 0;
    loop {
        let requested = Instant::now();
        if let Ok(report) = node.backend_client.fetch_status(declared.address).await {
            missed = 0;
            if report.load.leaving {
                let now_ms = changelog::now_ms();
                node.mark_server_leaving(&declared.name, now_ms, None);
            }
            pool.record_load(id, report.load);
            let rate = report.rate_limit.filter(|r| r.is_finite() && *r >= 0.0);
            pool.record_reported_limit(id, rate, requested);
        } else {
            missed += 1;
            if missed >= MAX_MISSED_REPORTS {
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

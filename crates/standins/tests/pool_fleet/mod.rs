//! The pools of a simulated fleet, and what they are told of servers and requests.

use std::sync::Arc;
use std::time::Duration;

use jackdawtally::metrics::Metrics;
use jackdawtally::object::{BackendServer, Level};
use jackdawtally::pool::{AdmissionRequest, Limits, Permit, Pool, Preemption};
use jackdawtally::queue::RequestAttributes;
use smol_str::{SmolStr, format_smolstr};

/// A pool for each of `instances`, all with the same `servers`.
pub fn pools(instances: usize, servers: usize) -> Vec<Arc<Pool>> {
    let declared: Vec<BackendServer> = (0..servers).map(declaration).collect();
    let declared: Vec<&BackendServer> = declared.iter().collect();
    let metrics = Arc::new(Metrics::new(None));
    let limits = Limits {
        queue_bytes: 1 << 20,
        unstarted: 4,
        room_limit: false,
    };
    let pools = (0_u64..).take(instances).map(|seed| {
        let metrics = Arc::clone(&metrics);
        let pool = Pool::with_preemption("s".into(), limits, metrics, seed, Preemption::ByServer);
        pool.update_servers(&declared, "north");
        pool
    });
    pools.collect()
}

/// The name of a server.
pub fn server_name(index: usize) -> SmolStr {
    format_smolstr!("w{index}")
}

/// The server that a request was sent to.
pub fn server_of(permit: &Permit) -> usize {
    usize::from(permit.declared.address.port()) - 1
}

fn declaration(index: usize) -> BackendServer {
    let port = u16::try_from(index + 1).expect("there are few servers");
    BackendServer {
        name: server_name(index),
        address: ([127, 0, 0, 1], port).into(),
        model: None,
        service: Some("s".into()),
        data_centre: "north".into(),
        slots: 64,
        fencing: false,
        leaving: false,
        version: None,
        spot: false,
    }
}

/// A request that waits for `max_wait` at most.
pub fn admission(level: Level, prefix_hash: u64, max_wait: Duration) -> AdmissionRequest {
    AdmissionRequest {
        attributes: RequestAttributes {
            level,
            class: format_smolstr!("class-{level}"),
            organisation: "o".into(),
            share: 1,
            bytes: 1_000,
            cost: 1,
            partial: false,
        },
        identity: Arc::default(),
        may_try: true,
        lost: None,
        prefix_hash,
        first_token_target: Some(max_wait),
        gap_target: None,
        latency_sensitive: true,
        starvation_bound: Duration::from_secs(4),
        max_wait,
        avoid: Vec::new(),
        prefer: None,
        version: None,
    }
}

//! A pool of which many servers crash at once: what it makes of the pauses at the others.

mod common;

use std::sync::Arc;
use std::time::Duration;

use jackdawtally::load::crash_evidence::CrashNotices;
use jackdawtally::metrics::Metrics;
use jackdawtally::pool::{AdmissionRequest, Limits, Pool, Preemption};
use jackdawtally::prompt_placement::Prompt;
use jackdawtally::quarantine::Notice;
use tokio::time::{self, Instant};

const SERVERS: [&str; 6] = ["a@1", "b@1", "c@1", "d@1", "e@1", "f@1"];
/// Longest pause that the class tolerates.
const GAP_TARGET: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(120);

fn pool() -> Arc<Pool> {
    let limits = Limits {
        queue_bytes: 1 << 20,
        unstarted: 4,
        room_limit: false,
    };
    let metrics = Arc::new(Metrics::new(None));
    let pool = Pool::with_preemption("s".into(), limits, metrics, 1, Preemption::ByServer);
    let servers = SERVERS.map(|name| common::backend_server(name, 8));
    pool.update_servers(&servers.iter().collect::<Vec<_>>(), "north");
    pool
}

/// Tells the pool that these servers crashed just now.
fn crash(pool: &Arc<Pool>, servers: &[&str]) {
    let notices = servers.iter().map(|server| Notice::Crash {
        server: (*server).into(),
        age_ms: 0,
        suspects: Vec::new(),
    });
    pool.merge_crashes(&CrashNotices {
        segments: Vec::new(),
        requests: notices.collect(),
    });
}

/// Fraction of the responses that a pool takes to be disturbed, after long pauses in some that begin `wait` after these
/// servers crashed.
async fn disturbed(crashed: &[&str], wait: Duration) -> f32 {
    let pool = pool();
    crash(&pool, crashed);
    let end = Instant::now() + wait;
    while Instant::now() < end {
        time::advance(TICK).await;
        pool.tick();
    }
    let admission = AdmissionRequest {
        gap_target: Some(GAP_TARGET),
        ..common::admission()
    };
    let prompt = Prompt {
        shared: 0,
        unique: 1_000,
    };
    let mut permits = Vec::new();
    for _ in 0..8 {
        let permit = pool.acquire_for_prompt(admission.clone(), prompt).await;
        permits.push(permit.expect("a server takes the request"));
    }
    for _ in 0..3 {
        time::advance(TICK).await;
        pool.tick();
        for permit in &permits {
            permit.record_pause(GAP_TARGET * 2);
        }
    }
    time::advance(TICK).await;
    pool.tick();
    pool.demand()[0].disturbed
}

/// A third of the servers crashed: their load, and prompts that the others didn't have cached, made responses pause
/// there, and all instances divided the servers between the classes, each a little differently.
#[tokio::test(start_paused = true)]
async fn pauses_do_not_count_while_servers_are_lost() {
    let calm = disturbed(&[], Duration::ZERO).await;
    let single = disturbed(&SERVERS[..1], Duration::ZERO).await;
    let lost = disturbed(&SERVERS[..2], Duration::ZERO).await;
    let later = disturbed(&SERVERS[..2], Duration::from_secs(10)).await;

    for counted in [calm, single, later] {
        assert!(counted > 0.25, "{counted}");
    }
    assert!(lost < 0.001, "{lost}");
}

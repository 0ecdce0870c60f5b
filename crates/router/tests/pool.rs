//! Scheduling decisions of a pool: priority, fair sharing, eviction, preemption, the starvation
//! guard and admission floors.

mod common;

use std::sync::Arc;
use std::time::Duration;

use jackdawtally::error::{Fault, Kind};
use jackdawtally::frame::FloorKind;
use jackdawtally::metrics::Metrics;
use jackdawtally::object::Level;
use jackdawtally::pool::{AdmissionRequest, Directive, Limits, Permit, Pool};
use jackdawtally::queue::RequestAttributes;
use jackdawtally::server::LoadReport;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const TICK: Duration = Duration::from_millis(20);

fn pool_with(queue_bytes: usize, specs: &[(&str, u32)]) -> Arc<Pool> {
    let limits = Limits {
        queue_bytes,
        unstarted: 1,
        room_limit: false,
    };
    let pool = Pool::new("model/m".into(), limits, Arc::new(Metrics::new(None)), 1);
    let servers: Vec<_> = specs
        .iter()
        .zip(1..)
        .map(|((name, slots), port)| {
            let mut server = common::backend_server(name, *slots);
            server.address.set_port(port);
            server
        })
        .collect();
    pool.update_servers(&servers.iter().collect::<Vec<_>>(), "north");
    pool
}

fn pool(specs: &[(&str, u32)]) -> Arc<Pool> {
    pool_with(1 << 20, specs)
}

fn admission(level: Level, organisation: &str) -> AdmissionRequest {
    AdmissionRequest {
        attributes: RequestAttributes {
            level,
            class: format!("class-{level}").into(),
            organisation: organisation.into(),
            share: 1,
            bytes: 1_000,
            cost: 1,
            partial: false,
        },
        identity: Arc::default(),
        may_try: true,
        lost: None,
        prefix_hash: 0,
        first_token_target: Some(Duration::from_millis(400)),
        gap_target: None,
        latency_sensitive: level == 0,
        starvation_bound: Duration::from_secs(4),
        max_wait: Duration::from_mins(1),
        avoid: Vec::new(),
        prefer: None,
        version: None,
    }
}

type PendingPermit = JoinHandle<Result<Permit, Fault>>;

/// Requests a permit in a new task, and lets all tasks run.
async fn acquire(pool: &Arc<Pool>, admission: AdmissionRequest) -> PendingPermit {
    let pool = Arc::clone(pool);
    let pending = tokio::spawn(async move { pool.acquire(admission).await });
    settle().await;
    pending
}

async fn settle() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

/// Advances the paused clock in steps of `TICK`, with a tick of the pool after each.
async fn advance(pool: &Arc<Pool>, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        tokio::time::advance(TICK).await;
        pool.tick();
        settle().await;
    }
}

async fn permit(pending: PendingPermit) -> Permit {
    pending
        .await
        .expect("the task panicked")
        .expect("the request was rejected")
}

async fn rejection(pending: PendingPermit) -> Fault {
    pending
        .await
        .expect("the task panicked")
        .expect_err("the request got a permit")
}

/// Occupies the only slot of a pool with a running request.
async fn occupy(pool: &Arc<Pool>, level: Level) -> Permit {
    let permit = permit(acquire(pool, admission(level, "o")).await).await;
    permit.mark_started();
    permit
}

/// Occupies the only slot of a pool, and sends one unstarted request to the same server.
async fn occupy_and_queue(pool: &Arc<Pool>) -> (Permit, Permit) {
    let running = occupy(pool, 1).await;
    let unstarted = permit(acquire(pool, admission(1, "o")).await).await;
    (running, unstarted)
}

#[tokio::test(start_paused = true)]
async fn full_server_gets_one_unstarted_request() {
    let pool = pool(&[("a", 1)]);
    let (_running, unstarted) = occupy_and_queue(&pool).await;

    let third = acquire(&pool, admission(1, "o")).await;
    let waited = !third.is_finished();
    unstarted.mark_started();
    settle().await;

    assert!(waited);
    assert!(
        third.is_finished(),
        "a request waits although the server has no unstarted request"
    );
}

#[tokio::test(start_paused = true)]
async fn unstarted_requests_do_not_delay_more_important_ones() {
    let pool = pool(&[("a", 1)]);
    let _held = occupy_and_queue(&pool).await;

    let important = permit(acquire(&pool, admission(0, "o")).await).await;

    assert_eq!(important.priority, 0);
}

/// Guards against ranks beyond those counted one by one, whose requests would wait for less important ones.
#[tokio::test(start_paused = true)]
async fn all_ranks_that_servers_know_are_told_apart() {
    for level in 0..9 {
        let pool = pool(&[("a", 1)]);
        let _running = occupy(&pool, level).await;
        let _unstarted = permit(acquire(&pool, admission(level + 1, "o")).await).await;

        let important = acquire(&pool, admission(level, "o")).await;

        assert!(important.is_finished(), "a request of level {level} waits");
    }
}

#[tokio::test(start_paused = true)]
async fn waiting_requests_are_ordered_by_tier() {
    let pool = pool(&[("a", 1)]);
    let (running, unstarted) = occupy_and_queue(&pool).await;
    let lower = acquire(&pool, admission(2, "o")).await;
    let higher = acquire(&pool, admission(1, "o")).await;

    drop((running, unstarted));
    settle().await;

    assert!(higher.is_finished());
    drop((lower, higher));
}

#[tokio::test(start_paused = true)]
async fn burst_of_one_organisation_does_not_delay_another() {
    let pool = pool(&[("a", 1)]);
    let (running, unstarted) = occupy_and_queue(&pool).await;
    let mut burst = Vec::new();
    for _ in 0..20 {
        burst.push(acquire(&pool, admission(1, "large")).await);
    }
    let small = acquire(&pool, admission(1, "small")).await;

    drop((running, unstarted));
    settle().await;
    let first = permit(burst.remove(0)).await;
    first.mark_started();
    settle().await;

    assert!(small.is_finished());
    assert!(!burst.iter().any(PendingPermit::is_finished));
}

#[tokio::test(start_paused = true)]
async fn full_queue_evicts_the_least_important_tier() {
    let pool = pool_with(10_000, &[("a", 1)]);
    let _held = occupy_and_queue(&pool).await;
    let mut low = Vec::new();
    for _ in 0..8 {
        low.push(acquire(&pool, admission(3, "o")).await);
    }
    let mut high = Vec::new();
    for _ in 0..8 {
        high.push(acquire(&pool, admission(2, "o")).await);
    }

    advance(&pool, Duration::from_secs(1)).await;

    let shed = |all: &[PendingPermit]| all.iter().filter(|e| e.is_finished()).count();
    assert_eq!(shed(&high), 0);
    assert!(shed(&low) >= 6, "{} evicted", shed(&low));
    let fault = rejection(low.pop().expect("low-priority requests were queued")).await;
    assert_eq!(fault.kind, Kind::Overloaded);
    assert!(fault.retry_after.is_some());
}

#[tokio::test(start_paused = true)]
async fn starving_class_gets_a_permit_with_the_highest_priority() {
    let pool = pool(&[("a", 1)]);
    let _held = occupy_and_queue(&pool).await;
    let starving = acquire(&pool, admission(4, "o")).await;

    advance(&pool, Duration::from_millis(1_900)).await;
    let early = starving.is_finished();
    advance(&pool, Duration::from_millis(200)).await;

    assert!(!early);
    assert_eq!(permit(starving).await.priority, 0);
}

#[tokio::test(start_paused = true)]
async fn late_unstarted_request_preempts_a_less_important_one() {
    let pool = pool(&[("a", 1)]);
    let running = occupy(&pool, 3).await;
    let _late = permit(acquire(&pool, admission(0, "o")).await).await;

    let before = *running.directive.borrow();
    advance(&pool, Duration::from_millis(100)).await;

    assert_eq!(before, Directive::Continue);
    assert_eq!(*running.directive.borrow(), Directive::Preempt);
}

#[tokio::test(start_paused = true)]
async fn requests_of_the_same_or_a_more_important_tier_are_not_preempted() {
    let pool = pool(&[("a", 1)]);
    let running = occupy(&pool, 1).await;
    let _same = permit(acquire(&pool, admission(1, "o")).await).await;
    let _lower = acquire(&pool, admission(2, "o")).await;

    advance(&pool, Duration::from_secs(1)).await;

    assert_eq!(*running.directive.borrow(), Directive::Continue);
}

#[tokio::test(start_paused = true)]
async fn held_back_tier_is_not_started_and_requests_a_hold_floor() {
    let pool = pool(&[("a", 4)]);
    pool.set_floors(1, Level::MAX);

    let held = acquire(&pool, admission(2, "o")).await;
    let free = acquire(&pool, admission(1, "o")).await;
    advance(&pool, Duration::from_millis(100)).await;
    let requested = pool.requested_floor(FloorKind::Hold);
    let kept = !held.is_finished();
    pool.set_floors(Level::MAX, Level::MAX);
    advance(&pool, TICK).await;

    assert!(free.is_finished());
    assert!(kept);
    assert_eq!(requested, 2);
    assert!(held.is_finished());
}

#[tokio::test(start_paused = true)]
async fn evict_floor_keeps_one_request_of_each_class() {
    let pool = pool(&[("a", 1)]);
    let _held = occupy_and_queue(&pool).await;
    let mut low = Vec::new();
    for _ in 0..3 {
        low.push(acquire(&pool, admission(3, "o")).await);
    }

    pool.set_floors(Level::MAX, 2);
    advance(&pool, TICK).await;
    let arriving = acquire(&pool, admission(3, "o")).await;

    assert_eq!(low.iter().filter(|e| e.is_finished()).count(), 2);
    assert_eq!(rejection(arriving).await.kind, Kind::Overloaded);
}

#[tokio::test(start_paused = true)]
async fn unreachable_server_gets_no_requests_until_its_next_load_report() {
    let pool = pool(&[("a", 4)]);
    let first = permit(acquire(&pool, admission(1, "o")).await).await;
    first.record_failure(true);

    let waiting = acquire(&pool, admission(1, "o")).await;
    let held = !waiting.is_finished();
    let directive = *first.directive.borrow();
    first.record_load(LoadReport::default());
    settle().await;

    assert!(held);
    assert_eq!(directive, Directive::ServerDown);
    assert!(waiting.is_finished());
}

#[tokio::test(start_paused = true)]
async fn server_that_reports_leaving_gets_no_requests() {
    let pool = pool(&[("a", 4), ("b", 4)]);
    let leaving = pool.servers()[0].clone();
    let report = LoadReport {
        leaving: true,
        ..LoadReport::default()
    };
    pool.record_load(leaving.0, report);

    for _ in 0..3 {
        let permit = permit(acquire(&pool, admission(1, "o")).await).await;
        assert_ne!(permit.server, leaving.0);
        std::mem::forget(permit);
    }
}

/// The configuration drops a server while a request runs there.
#[tokio::test(start_paused = true)]
async fn removed_server_is_dropped_with_its_last_request() {
    let pool = pool(&[("a", 4)]);
    let running = permit(acquire(&pool, admission(1, "o")).await).await;
    pool.update_servers(&[], "north");
    let kept = pool.has_servers();

    drop(running);

    assert!(kept);
    assert!(!pool.has_servers());
}

#[tokio::test(start_paused = true)]
async fn request_of_a_disconnected_caller_is_removed() {
    let pool = pool(&[("a", 1)]);
    let (running, unstarted) = occupy_and_queue(&pool).await;
    let waiting = acquire(&pool, admission(1, "o")).await;

    waiting.abort();
    settle().await;
    drop((running, unstarted));

    let stats = pool.stats();
    assert_eq!((stats.waiting, stats.in_flight), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn expired_request_is_rejected_with_a_retry_delay() {
    let pool = pool(&[("a", 1)]);
    let _held = occupy_and_queue(&pool).await;
    let mut short_wait = admission(1, "o");
    short_wait.max_wait = Duration::from_secs(1);
    short_wait.starvation_bound = Duration::from_mins(10);
    let waiting = acquire(&pool, short_wait).await;

    advance(&pool, Duration::from_millis(1_100)).await;

    let fault = rejection(waiting).await;
    assert_eq!(fault.kind, Kind::Overloaded);
    assert!(fault.retry_after.is_some());
}

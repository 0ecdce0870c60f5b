//! The pool's decisions: order, share-out, eviction, preemption, the starvation guard, floors.

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

fn pool_with(queue_bytes: usize, engines: &[(&str, u32)]) -> Arc<Pool> {
    let limits = Limits {
        queue_bytes,
        unstarted: 1,
    };
    let pool = Pool::new("model/m".into(), limits, Arc::new(Metrics::new(None)), 1);
    let servers: Vec<_> = engines
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

fn pool(engines: &[(&str, u32)]) -> Arc<Pool> {
    pool_with(1 << 20, engines)
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
        prefix_hash: 0,
        first_token_target: Some(Duration::from_millis(400)),
        targeted: level == 0,
        starvation_bound: Duration::from_secs(4),
        max_wait: Duration::from_mins(1),
        avoid: Vec::new(),
        prefer: None,
    }
}

type Entering = JoinHandle<Result<Permit, Fault>>;

/// Lets a request come in, and gives every task the time to act.
async fn enter(pool: &Arc<Pool>, admission: AdmissionRequest) -> Entering {
    let pool = Arc::clone(pool);
    let entering = tokio::spawn(async move { pool.acquire(admission).await });
    settle().await;
    entering
}

async fn settle() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

/// Lets time pass with the pool's ticks.
async fn pass(pool: &Arc<Pool>, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        tokio::time::advance(TICK).await;
        pool.tick();
        settle().await;
    }
}

async fn permit(entering: Entering) -> Permit {
    entering.await.expect("no panic").expect("a permit")
}

async fn refusal(entering: Entering) -> Fault {
    entering.await.expect("no panic").expect_err("a refusal")
}

/// Fills the only slot of a pool with a running request.
async fn fill(pool: &Arc<Pool>, level: Level) -> Permit {
    let permit = permit(enter(pool, admission(level, "o")).await).await;
    permit.mark_started();
    permit
}

/// Fills a pool of one slot, and puts one unstarted request behind it.
async fn fill_and_queue(pool: &Arc<Pool>) -> (Permit, Permit) {
    let running = fill(pool, 1).await;
    let unstarted = permit(enter(pool, admission(1, "o")).await).await;
    (running, unstarted)
}

#[tokio::test(start_paused = true)]
async fn a_full_server_holds_one_unstarted_request_of_an_instance() {
    let pool = pool(&[("a", 1)]);
    let (_running, unstarted) = fill_and_queue(&pool).await;

    let third = enter(&pool, admission(1, "o")).await;
    let waited = !third.is_finished();
    unstarted.mark_started();
    settle().await;

    assert!(waited);
    assert!(
        third.is_finished(),
        "the place behind the slot is free again"
    );
}

#[tokio::test(start_paused = true)]
async fn more_important_requests_aren_t_held_up_by_unstarted_ones() {
    let pool = pool(&[("a", 1)]);
    let _held = fill_and_queue(&pool).await;

    let important = permit(enter(&pool, admission(0, "o")).await).await;

    assert_eq!(important.priority, 0);
}

#[tokio::test(start_paused = true)]
async fn waiting_requests_go_by_tier_first() {
    let pool = pool(&[("a", 1)]);
    let (running, unstarted) = fill_and_queue(&pool).await;
    let lower = enter(&pool, admission(2, "o")).await;
    let higher = enter(&pool, admission(1, "o")).await;

    drop((running, unstarted));
    settle().await;

    assert!(higher.is_finished());
    drop((lower, higher));
}

#[tokio::test(start_paused = true)]
async fn one_organisation_s_burst_doesn_t_spend_another_s_share() {
    let pool = pool(&[("a", 1)]);
    let (running, unstarted) = fill_and_queue(&pool).await;
    let mut burst = Vec::new();
    for _ in 0..20 {
        burst.push(enter(&pool, admission(1, "large")).await);
    }
    let small = enter(&pool, admission(1, "small")).await;

    drop((running, unstarted));
    settle().await;
    let first = permit(burst.remove(0)).await;
    first.mark_started();
    settle().await;

    assert!(small.is_finished());
    assert!(!burst.iter().any(Entering::is_finished));
}

#[tokio::test(start_paused = true)]
async fn overflow_evicts_the_least_important_first() {
    let pool = pool_with(10_000, &[("a", 1)]);
    let _held = fill_and_queue(&pool).await;
    let mut low = Vec::new();
    for _ in 0..8 {
        low.push(enter(&pool, admission(3, "o")).await);
    }
    let mut high = Vec::new();
    for _ in 0..8 {
        high.push(enter(&pool, admission(2, "o")).await);
    }

    pass(&pool, Duration::from_secs(1)).await;

    let shed = |all: &[Entering]| all.iter().filter(|e| e.is_finished()).count();
    assert_eq!(shed(&high), 0);
    assert!(shed(&low) >= 6, "{}", shed(&low));
    let fault = refusal(low.pop().expect("one of them")).await;
    assert_eq!(fault.kind, Kind::Overloaded);
    assert!(fault.retry_after.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_starving_class_gets_a_place_with_the_highest_priority() {
    let pool = pool(&[("a", 1)]);
    let _held = fill_and_queue(&pool).await;
    let starving = enter(&pool, admission(4, "o")).await;

    pass(&pool, Duration::from_millis(1_900)).await;
    let early = starving.is_finished();
    pass(&pool, Duration::from_millis(200)).await;

    assert!(!early);
    assert_eq!(permit(starving).await.priority, 0);
}

#[tokio::test(start_paused = true)]
async fn an_unstarted_request_that_would_be_late_preempts_a_less_important_one() {
    let pool = pool(&[("a", 1)]);
    let running = fill(&pool, 3).await;
    let _late = permit(enter(&pool, admission(0, "o")).await).await;

    let before = *running.directive.borrow();
    pass(&pool, Duration::from_millis(100)).await;

    assert_eq!(before, Directive::Continue);
    assert_eq!(*running.directive.borrow(), Directive::Preempt);
}

#[tokio::test(start_paused = true)]
async fn nothing_preempts_a_request_of_its_own_tier_or_above() {
    let pool = pool(&[("a", 1)]);
    let running = fill(&pool, 1).await;
    let _same = permit(enter(&pool, admission(1, "o")).await).await;
    let _lower = enter(&pool, admission(2, "o")).await;

    pass(&pool, Duration::from_secs(1)).await;

    assert_eq!(*running.directive.borrow(), Directive::Continue);
}

#[tokio::test(start_paused = true)]
async fn a_held_tier_isn_t_started_and_asks_for_a_floor_itself() {
    let pool = pool(&[("a", 4)]);
    pool.set_floors(1, Level::MAX);

    let held = enter(&pool, admission(2, "o")).await;
    let free = enter(&pool, admission(1, "o")).await;
    pass(&pool, Duration::from_millis(100)).await;
    let wanted = pool.requested_floor(FloorKind::Hold);
    let kept = !held.is_finished();
    pool.set_floors(Level::MAX, Level::MAX);
    pass(&pool, TICK).await;

    assert!(free.is_finished());
    assert!(kept);
    assert_eq!(wanted, 2);
    assert!(held.is_finished());
}

#[tokio::test(start_paused = true)]
async fn an_evicting_floor_keeps_one_request_of_each_class() {
    let pool = pool(&[("a", 1)]);
    let _held = fill_and_queue(&pool).await;
    let mut low = Vec::new();
    for _ in 0..3 {
        low.push(enter(&pool, admission(3, "o")).await);
    }

    pool.set_floors(Level::MAX, 2);
    pass(&pool, TICK).await;
    let newcomer = enter(&pool, admission(3, "o")).await;

    assert_eq!(low.iter().filter(|e| e.is_finished()).count(), 2);
    assert_eq!(refusal(newcomer).await.kind, Kind::Overloaded);
}

#[tokio::test(start_paused = true)]
async fn a_failed_server_gets_nothing_until_it_reports() {
    let pool = pool(&[("a", 4)]);
    let first = permit(enter(&pool, admission(1, "o")).await).await;
    first.record_failure(true);

    let waiting = enter(&pool, admission(1, "o")).await;
    let held = !waiting.is_finished();
    let directive = *first.directive.borrow();
    first.record_load(LoadReport::default());
    settle().await;

    assert!(held);
    assert_eq!(directive, Directive::ServerDown);
    assert!(waiting.is_finished());
}

#[tokio::test(start_paused = true)]
async fn a_server_that_says_it_leaves_gets_nothing_more() {
    let pool = pool(&[("a", 4), ("b", 4)]);
    let leaving = pool.servers()[0].clone();
    let report = LoadReport {
        leaving: true,
        ..LoadReport::default()
    };
    pool.record_load(leaving.0, report);

    for _ in 0..3 {
        let permit = permit(enter(&pool, admission(1, "o")).await).await;
        assert_ne!(permit.server, leaving.0);
        std::mem::forget(permit);
    }
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_goes_away_leaves_no_trace() {
    let pool = pool(&[("a", 1)]);
    let (running, unstarted) = fill_and_queue(&pool).await;
    let waiting = enter(&pool, admission(1, "o")).await;

    waiting.abort();
    settle().await;
    drop((running, unstarted));

    let stats = pool.stats();
    assert_eq!((stats.waiting, stats.in_flight), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_waited_its_time_is_told_when_to_come_back() {
    let pool = pool(&[("a", 1)]);
    let _held = fill_and_queue(&pool).await;
    let mut impatient = admission(1, "o");
    impatient.max_wait = Duration::from_secs(1);
    impatient.starvation_bound = Duration::from_mins(10);
    let waiting = enter(&pool, impatient).await;

    pass(&pool, Duration::from_millis(1_100)).await;

    let fault = refusal(waiting).await;
    assert_eq!(fault.kind, Kind::Overloaded);
    assert!(fault.retry_after.is_some());
}

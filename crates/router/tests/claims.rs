//! Claims on idempotency keys with lost replies, delayed writes, concurrent instances, compaction and
//! outages of the platform.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{CallOutcome, FakePlatform};
use jackdawtally::changelog;
use jackdawtally::claims::{Action, Claims, Operation, Outcome, Progress, Shard};
use jackdawtally::metrics::Metrics;
use uuid::{NoContext, Timestamp, Uuid};

const WINDOW_MS: u64 = 120_000;

fn claims(platform: &FakePlatform) -> Arc<Claims<FakePlatform>> {
    Claims::new(platform.clone(), Arc::new(Metrics::new(None)), WINDOW_MS)
}

fn operation(key: Uuid, attempt: u64, action: Action) -> Operation {
    Operation {
        key,
        attempt,
        holder: attempt,
        action,
    }
}

fn claim(key: Uuid, attempt: u64) -> Operation {
    operation(key, attempt, Action::Claim)
}

fn key_at(ms: u64) -> Uuid {
    let (seconds, nanos) = (
        ms / 1_000,
        u32::try_from(ms % 1_000).expect("below 1000") * 1_000_000,
    );
    Uuid::new_v7(Timestamp::from_unix(NoContext, seconds, nanos))
}

#[tokio::test(start_paused = true)]
async fn one_of_two_instances_claims_a_key() {
    let platform = FakePlatform::default();
    let (one, other) = (claims(&platform), claims(&platform));
    let key = Uuid::now_v7();

    let (a, b) = tokio::join!(one.submit(claim(key, 1)), other.submit(claim(key, 2)));

    let claimed = [a, b].iter().filter(|o| **o == Outcome::Done).count();
    assert_eq!(claimed, 1, "outcomes: {a:?}, {b:?}");
}

#[tokio::test(start_paused = true)]
async fn claim_with_lost_reply_is_recognised_by_its_attempt_id() {
    let platform = FakePlatform::default();
    platform.set_next_writes([CallOutcome::ReplyLost]);

    let outcome = claims(&platform).submit(claim(Uuid::now_v7(), 1)).await;

    assert_eq!(outcome, Outcome::Done);
    assert_eq!(platform.writes(), 1);
}

#[tokio::test(start_paused = true)]
async fn delayed_write_cannot_undo_a_release() {
    let platform = FakePlatform::default();
    let (one, other) = (claims(&platform), claims(&platform));
    let key = Uuid::now_v7();
    platform.set_next_writes([CallOutcome::RequestLost]);
    let claimed = one.submit(claim(key, 1)).await;
    let released = one.submit(operation(key, 1, Action::Release)).await;

    let delivered = platform.deliver_late();
    let second = other.submit(claim(key, 2)).await;

    assert_eq!((claimed, released), (Outcome::Done, Outcome::Done));
    assert_eq!(delivered, 0);
    assert_eq!(second, Outcome::Done);
}

#[tokio::test(start_paused = true)]
async fn refused_key_cannot_be_claimed_by_an_earlier_submission() {
    let platform = FakePlatform::default();
    let (one, other) = (claims(&platform), claims(&platform));
    let key = Uuid::now_v7();

    let refused = other.submit(operation(key, 2, Action::Refuse)).await;
    let claimed = one.submit(claim(key, 1)).await;

    assert_eq!(refused, Outcome::Done);
    assert!(
        matches!(claimed, Outcome::Taken(entry) if entry.progress == Progress::NotRun),
        "claim: {claimed:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn running_key_cannot_be_refused() {
    let platform = FakePlatform::default();
    let (one, other) = (claims(&platform), claims(&platform));
    let key = Uuid::now_v7();

    let claimed = one.submit(claim(key, 1)).await;
    let refused = other.submit(operation(key, 2, Action::Refuse)).await;

    assert_eq!(claimed, Outcome::Done);
    assert!(matches!(refused, Outcome::Taken(_)), "refusal: {refused:?}");
}

#[tokio::test(start_paused = true)]
async fn claims_during_an_outage_time_out_and_then_fail_at_once() {
    let platform = FakePlatform::default();
    let claims = claims(&platform);
    platform.set_every_call(Some(CallOutcome::RequestLost));
    let first = claims.submit(claim(Uuid::now_v7(), 1)).await;
    let before = tokio::time::Instant::now();

    let second = claims.submit(claim(Uuid::now_v7(), 2)).await;
    let waited = before.elapsed();
    platform.set_every_call(None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let third = claims.submit(claim(Uuid::now_v7(), 3)).await;

    assert_eq!(
        (first, second),
        (Outcome::Unconfirmed, Outcome::Unconfirmed)
    );
    assert_eq!(waited, Duration::ZERO);
    assert_eq!(third, Outcome::Done);
}

#[tokio::test(start_paused = true)]
async fn concurrent_claims_are_batched_into_few_writes() {
    let platform = FakePlatform::default();
    let claims = claims(&platform);
    let submitted = (0..1_000).map(|i| {
        let claims = Arc::clone(&claims);
        tokio::spawn(async move { claims.submit(claim(Uuid::now_v7(), i)).await })
    });

    for task in submitted.collect::<Vec<_>>() {
        assert_eq!(task.await.expect("the task did not panic"), Outcome::Done);
    }

    assert!(
        platform.writes() <= 96,
        "{} writes for 1000 claims",
        platform.writes()
    );
}

#[test]
fn key_below_the_floor_cannot_be_claimed_at_any_clock_reading() {
    let now = changelog::now_ms();
    let mut shard = Shard::default();
    let key = key_at(now - WINDOW_MS - 40_000);

    shard.compact(now, WINDOW_MS);
    let (outcome, dirty) = shard.apply(&claim(key, 1), now - 500_000);

    assert_eq!(outcome, Outcome::OutsideWindow);
    assert!(!dirty);
}

#[test]
fn key_removed_by_compaction_with_a_fast_clock_cannot_be_claimed_again() {
    let now = changelog::now_ms();
    let mut shard = Shard::default();
    let key = key_at(now);
    let (claimed, _) = shard.apply(&claim(key, 1), now);

    shard.compact(now + 10_000_000, WINDOW_MS);
    let (again, _) = shard.apply(&claim(key, 2), now);

    assert_eq!(claimed, Outcome::Done);
    assert!(shard.entries.is_empty());
    assert_eq!(again, Outcome::OutsideWindow);
}

#[test]
fn key_with_future_timestamp_is_rejected() {
    let now = changelog::now_ms();

    let (outcome, _) = Shard::default().apply(&claim(key_at(now + 60_000), 1), now);

    assert_eq!(outcome, Outcome::OutsideWindow);
}

#[test]
fn shard_stays_below_the_object_size_limit() {
    let now = changelog::now_ms();
    let mut shard = Shard::default();
    for i in 0..20_000 {
        shard.apply(&claim(key_at(now - 100_000 + i), i), now);
    }
    shard.compact(now, WINDOW_MS);

    let mut bytes = Vec::new();
    ciborium::into_writer(&shard, &mut bytes).expect("the shard encodes as CBOR");

    assert!(bytes.len() < 1 << 20, "the shard has {} bytes", bytes.len());
    assert!(shard.floor_ms > 0);
}

//! The change log with concurrent operators, lost replies and outages of the platform.

mod common;

use std::sync::Arc;

use common::{CallOutcome, FakePlatform};
use jackdawtally::changelog::{Changelog, Proposal};
use jackdawtally::error::Kind;
use jackdawtally::metrics::Metrics;
use jackdawtally::object::{Edit, Object};

fn new_changelog(platform: &FakePlatform) -> Arc<Changelog<FakePlatform>> {
    Arc::new(Changelog::new(
        platform.clone(),
        Arc::new(Metrics::new(None)),
    ))
}

fn proposal(id: &str, objects: impl IntoIterator<Item = Object>) -> Proposal {
    Proposal {
        id: id.into(),
        operator: "ana".into(),
        edits: common::put_edits(objects),
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_proposals_get_different_numbers_and_both_take_effect() {
    let platform = FakePlatform::default();
    let (one, other) = (new_changelog(&platform), new_changelog(&platform));
    let (a, b) = (
        proposal("a", [common::tier("x", 0)]),
        proposal("b", [common::tier("y", 1)]),
    );

    let (first, second) = tokio::join!(one.propose(&a), other.propose(&b));
    one.catch_up().await.expect("the platform is available");
    other.catch_up().await.expect("the platform is available");

    let mut numbers = [first.expect("accepted"), second.expect("accepted")];
    numbers.sort_unstable();
    assert_eq!(numbers, [1, 2]);
    assert_eq!(one.catalogue(), other.catalogue());
    assert!(one.catalogue().tier("x").is_some() && one.catalogue().tier("y").is_some());
}

#[tokio::test(start_paused = true)]
async fn a_lost_reply_doesn_t_apply_a_change_twice() {
    let platform = FakePlatform::default();
    let log = new_changelog(&platform);
    platform.set_next_writes([CallOutcome::ReplyLost]);

    let number = log.propose(&proposal("a", [common::tier("x", 0)])).await;

    assert_eq!(number.expect("accepted"), 1);
    assert_eq!(platform.writes(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_change_is_accepted_once_when_repeated_after_persistently_lost_replies() {
    let platform = FakePlatform::default();
    let (one, other) = (new_changelog(&platform), new_changelog(&platform));
    let change = proposal("a", [common::tier("x", 0)]);
    platform.set_every_call(Some(CallOutcome::ReplyLost));
    let failed = one.propose(&change).await.expect_err("no reply");
    platform.set_every_call(None);

    let number = other.propose(&change).await.expect("accepted");
    let again = one.propose(&change).await.expect("accepted");

    assert_eq!(failed.kind, Kind::PlatformUnavailable);
    assert_eq!((number, again), (1, 1));
    assert_eq!(platform.writes(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_invalid_change_is_refused_with_the_reason() {
    let log = new_changelog(&FakePlatform::default());
    let class = Object::Class(common::class("c", "nowhere"));

    let fault = log
        .propose(&proposal("a", [class]))
        .await
        .expect_err("unknown tier");

    assert_eq!(fault.kind, Kind::ChangeRefused);
    assert!(fault.message.contains("nowhere"), "{fault}");
}

#[tokio::test(start_paused = true)]
async fn the_last_server_of_a_pool_can_t_be_deleted() {
    let log = new_changelog(&FakePlatform::default());
    let engine = Object::BackendServer(common::backend_server("e", 4));
    log.propose(&proposal("a", [engine.clone()]))
        .await
        .expect("accepted");
    let removal = Proposal {
        id: "b".into(),
        operator: "ana".into(),
        edits: vec![Edit::Delete(engine.key())],
    };

    let fault = log
        .propose(&removal)
        .await
        .expect_err("last server of its pool");

    assert!(fault.message.contains("model/m"), "{fault}");
}

#[tokio::test(start_paused = true)]
async fn two_organisations_can_t_share_a_key() {
    let log = new_changelog(&FakePlatform::default());
    let hash = "ab".repeat(32);
    let objects = [
        common::tier("x", 0),
        Object::Class(common::class("c", "x")),
        common::organisation("one", "c", &hash),
        common::organisation("other", "c", &hash),
    ];

    let fault = log
        .propose(&proposal("a", objects))
        .await
        .expect_err("a shared key");

    assert!(fault.message.contains("share a key"), "{fault}");
}

#[tokio::test(start_paused = true)]
async fn changes_from_peers_are_applied_in_any_order_and_never_reverted() {
    let platform = FakePlatform::default();
    let (writer, reader) = (new_changelog(&platform), new_changelog(&platform));
    for (id, level) in [("a", 0), ("b", 1), ("c", 2)] {
        let change = proposal(id, [common::tier(id, level)]);
        writer.propose(&change).await.expect("accepted");
    }
    let mut changes = writer.changes_after(0);
    changes.reverse();

    reader.ingest(changes[..2].to_vec());
    let before = reader.catalogue().number();
    reader.ingest(changes[2..].to_vec());
    reader.ingest(changes.clone());

    assert_eq!(before, 0);
    assert_eq!(reader.catalogue(), writer.catalogue());
}

#[tokio::test(start_paused = true)]
async fn a_new_instance_starts_from_a_snapshot() {
    let platform = FakePlatform::default();
    let writer = new_changelog(&platform);
    for level in 0..70 {
        let name = format!("t{level}");
        let change = proposal(&name, [common::tier(&name, level)]);
        writer.propose(&change).await.expect("accepted");
    }
    let reader = new_changelog(&platform);

    reader.catch_up().await.expect("the platform is available");

    assert_eq!(reader.catalogue(), writer.catalogue());
    assert_eq!(reader.changes_after(64).len(), 6);
    assert!(
        reader.changes_after(63).is_empty(),
        "the snapshot replaces the first 64 changes"
    );
}

//! Servers that are known to be leaving from their responses or from peers.

mod common;

use std::sync::Arc;
use std::time::Duration;

use jackdawtally::frame::Frame;
use jackdawtally::node::Node;
use jackdawtally::server::LoadReport;
use tokio::time;

const NAMES: [&str; 2] = ["a@1", "b@1"];

/// Declares these servers, which aren't polled.
fn declare(node: &Node, names: &[&str]) {
    let servers: Vec<_> = names.iter().map(|n| common::backend_server(n, 4)).collect();
    let servers: Vec<_> = servers.iter().collect();
    node.pools.update_pool(&node.metrics, &"s".into(), &servers);
}

/// The servers that get 50 requests one after the other.
async fn used(node: &Node) -> Vec<String> {
    let pool = node.pools.get("s").expect("the pool exists");
    let mut names = Vec::new();
    for _ in 0..50 {
        let permit = pool.acquire(common::admission()).await;
        let permit = permit.expect("a server takes the request");
        names.push(permit.declared.name.to_string());
    }
    names.sort();
    names.dedup();
    names
}

/// A server that had said that it leaves got requests again ten seconds later, or when its entry had lapsed meanwhile.
#[tokio::test(start_paused = true)]
async fn leaving_server_gets_nothing_for_good() {
    let node = common::node();
    declare(&node, &NAMES);
    node.mark_server_leaving(&"a@1".into(), 1_000_000, None);

    let at_once = used(&node).await;
    time::advance(Duration::from_secs(30)).await;
    let later = used(&node).await;
    declare(&node, &["b@1"]);
    declare(&node, &NAMES);
    let after_lapse = used(&node).await;

    assert_eq!([at_once, later, after_lapse], [["b@1"]; 3]);
}

/// Another start of a server would have been taken for the one that left.
#[tokio::test(start_paused = true)]
async fn next_start_of_a_server_is_another_one() {
    let node = common::node();
    declare(&node, &NAMES);
    node.mark_server_leaving(&"a@1".into(), 1_000_000, None);

    declare(&node, &["a@2", "b@1"]);

    assert_eq!(used(&node).await, ["a@2", "b@1"]);
}

/// A server that stays after all, as its load reports say, would have been lost.
#[tokio::test(start_paused = true)]
async fn later_load_report_ends_a_notice() {
    let node = common::node();
    declare(&node, &NAMES);
    node.mark_server_leaving(&"a@1".into(), 1_000_000, None);
    let pool = node.pools.get("s").expect("the pool exists");
    let servers = pool.servers();
    let (id, _) = servers
        .iter()
        .find(|(_, s)| s.name == "a@1")
        .expect("known");

    pool.record_load(*id, LoadReport::default());
    let before = used(&node).await;
    time::advance(Duration::from_secs(11)).await;
    pool.record_load(*id, LoadReport::default());

    assert_eq!(before, ["b@1"]);
    assert_eq!(used(&node).await, NAMES);
}

/// An instance that started, or was linked, after the notice sent such servers requests.
#[test]
fn instance_that_is_linked_later_is_told() {
    let node = common::node();
    node.mark_server_leaving(&"a@1".into(), 1_000_000, None);

    let told = node.leaving_servers.frames();

    assert_eq!(
        told,
        [Frame::ServerLeaving {
            server: "a@1".into(),
            at_ms: 1_000_000
        }]
    );
    let started: Arc<Node> = common::node();
    declare(&started, &[]);
    started.mark_server_leaving(&"a@1".into(), 1_000_000, Some("b"));
    declare(&started, &NAMES);
    let pool = started.pools.get("s").expect("the pool exists");
    assert_eq!(pool.stats().available, 1);
}

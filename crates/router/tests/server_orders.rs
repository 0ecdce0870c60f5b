//! The task that orders servers, with a permission and a platform that the test controls.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jackdawtally::fleet::duties::{
    CallError, DutyPlatform, Permission, Token, UsageReport, scaling,
};
use jackdawtally::fleet_demand::ClassSummary;
use jackdawtally::forward::config_snapshot::{ConfigSnapshot, CurrentConfig};
use jackdawtally::forward::route::RouteTable;
use jackdawtally::forward::tier_order::TierOrder;
use jackdawtally::http1::Limits;
use jackdawtally::node::Node;
use jackdawtally::object::BackendServer;
use jackdawtally::scaling::{Bounds, Order};
use smol_str::{SmolStr, format_smolstr};
use tokio::time;

#[derive(Default)]
struct Switch(AtomicBool);

impl Permission for Switch {
    fn check(&self, _: Duration) -> Option<(SmolStr, Token)> {
        self.0.load(Ordering::SeqCst).then(|| ("a".into(), 7))
    }
}

/// Records the orders, and responds to each after a while with the result that the test has set.
#[derive(Default)]
struct Recorder {
    orders: Mutex<Vec<Order>>,
    result: Mutex<Option<CallError>>,
    delay: Duration,
}

impl Recorder {
    fn set(&self, result: Option<CallError>) {
        *self.result.lock().expect("no test panics meanwhile") = result;
    }

    fn record(&self, order: &Order) {
        let mut orders = self.orders.lock().expect("no test panics meanwhile");
        orders.push(order.clone());
    }

    fn result(&self) -> Result<(), CallError> {
        let result = *self.result.lock().expect("no test panics meanwhile");
        result.map_or(Ok(()), Err)
    }

    fn orders(&self) -> Vec<Order> {
        let orders = self.orders.lock().expect("no test panics meanwhile");
        orders.clone()
    }
}

impl DutyPlatform for Recorder {
    async fn report_usage(
        &self,
        _: &impl Permission,
        _: &UsageReport,
        _: Duration,
    ) -> Result<(), CallError> {
        Err(CallError::Rejected)
    }

    async fn order_servers(
        &self,
        _: &impl Permission,
        order: &Order,
        _: Duration,
    ) -> Result<(), CallError> {
        self.record(order);
        time::sleep(self.delay).await;
        self.result()
    }
}

struct Fleet {
    node: Arc<Node>,
    platform: Arc<Recorder>,
    permission: Arc<Switch>,
}

impl Fleet {
    /// Starts the task with ten servers in each of two data centres.
    fn start(bounds: Option<Bounds>, delay: Duration) -> Self {
        let node = common::node();
        let servers: Vec<BackendServer> = (0..20).map(server).collect();
        let servers: Vec<&BackendServer> = servers.iter().collect();
        node.pools.update_pool(&node.metrics, &"p".into(), &servers);
        let platform = Arc::new(Recorder {
            delay,
            ..Recorder::default()
        });
        let permission = Arc::new(Switch(AtomicBool::new(true)));
        let task = scaling::run(
            Arc::clone(&node),
            Arc::new(CurrentConfig::new(config(bounds))),
            Arc::clone(&platform),
            Arc::clone(&permission),
        );
        tokio::spawn(task);
        Self {
            node,
            platform,
            permission,
        }
    }

    /// Sets the demand of the whole fleet, which is this instance only.
    fn demand(&self, servers: f32) {
        let class = ClassSummary {
            class: "c".into(),
            gap_ms: f32::INFINITY,
            prefill_servers: servers,
            slot_servers: 0.0,
            prefill_ms: 1.0,
            disturbed: 0.0,
            crowded: 0.0,
        };
        let pool = self.node.pools.get("p").expect("the pool exists");
        for _ in 0..40 {
            pool.merge_demand(std::slice::from_ref(&class));
        }
    }
}

fn server(index: u16) -> BackendServer {
    let data_centre = if index < 10 { "north" } else { "south" };
    let mut server = common::backend_server(&format_smolstr!("s{index}"), 8);
    server.address.set_port(1_000 + index);
    server.data_centre = data_centre.into();
    server
}

fn bounds() -> Bounds {
    Bounds {
        min: 1,
        max: 40,
        boot: Duration::from_secs(4),
        prices: ["north", "south"].map(|name| (name.into(), 1.0)).into(),
        spot_price: None,
    }
}

fn config(bounds: Option<Bounds>) -> ConfigSnapshot {
    ConfigSnapshot {
        version: 1,
        routes: RouteTable::default(),
        keys: None,
        tiers: TierOrder::default(),
        scaling: bounds.into_iter().map(|b| ("p".into(), b)).collect(),
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::ZERO,
            body_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
    }
}

fn by_data_centre(orders: &[Order]) -> BTreeMap<&str, u32> {
    let counts = orders.iter().map(|o| (o.data_centre.as_str(), o.count));
    counts.collect()
}

#[tokio::test(start_paused = true)]
async fn configuration_without_bounds_leads_to_no_orders() {
    let fleet = Fleet::start(None, Duration::ZERO);
    fleet.demand(30.0);

    time::sleep(Duration::from_mins(1)).await;

    assert!(fleet.platform.orders().is_empty());
}

#[tokio::test(start_paused = true)]
async fn instance_without_permission_orders_nothing() {
    let fleet = Fleet::start(Some(bounds()), Duration::ZERO);
    fleet.permission.0.store(false, Ordering::SeqCst);
    fleet.demand(30.0);

    time::sleep(Duration::from_mins(1)).await;

    assert!(fleet.platform.orders().is_empty());
}

#[tokio::test(start_paused = true)]
async fn jump_is_ordered_once_for_each_data_centre() {
    let fleet = Fleet::start(Some(bounds()), Duration::ZERO);
    fleet.demand(30.0);

    time::sleep(Duration::from_secs(6)).await;

    let orders = fleet.platform.orders();
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert_eq!(
        by_data_centre(&orders),
        [("north", 25), ("south", 25)].into()
    );
}

/// Each failed call was followed by another one a second later, in an outage too.
#[tokio::test(start_paused = true)]
async fn platform_without_response_is_called_seldom_and_then_gets_the_newest_order_only() {
    let fleet = Fleet::start(Some(bounds()), Duration::from_millis(900));
    fleet.platform.set(Some(CallError::NoResponse));
    fleet.demand(30.0);
    time::sleep(Duration::from_secs(40)).await;
    let during = fleet.platform.orders().len();

    fleet.demand(36.0);
    fleet.platform.set(None);
    time::sleep(Duration::from_secs(12)).await;

    assert!((2..=16).contains(&during), "{during}");
    let orders = fleet.platform.orders();
    let after = &orders[during..];
    let newest = [("north", 30), ("south", 30)].into();
    assert_eq!(by_data_centre(after), newest, "{after:?}");
}

/// The successor of a holder in a quiet moment ordered what that moment needed.
#[tokio::test(start_paused = true)]
async fn holder_that_takes_over_does_not_begin_with_fewer_servers() {
    let fleet = Fleet::start(Some(bounds()), Duration::ZERO);
    fleet.permission.0.store(false, Ordering::SeqCst);
    fleet.demand(1.0);
    time::sleep(Duration::from_mins(1)).await;

    fleet.permission.0.store(true, Ordering::SeqCst);
    time::sleep(Duration::from_secs(10)).await;

    assert!(fleet.platform.orders().is_empty());
}

#[tokio::test(start_paused = true)]
async fn metrics_show_the_servers_ordered_and_ready_only_at_the_holder() {
    let fleet = Fleet::start(Some(bounds()), Duration::ZERO);
    fleet.demand(30.0);
    time::sleep(Duration::from_secs(6)).await;
    let of_holder = fleet.node.metrics.exposition(&[]);

    fleet.permission.0.store(false, Ordering::SeqCst);
    time::sleep(Duration::from_secs(2)).await;

    let labels = "pool=\"p\",data_centre=\"north\",kind=\"regular\"";
    for (count, value) in [("ordered", 25), ("ready", 10)] {
        let line = format!("jackdawtally_ordered_servers{{{labels},count=\"{count}\"}} {value}\n");
        assert!(of_holder.contains(&line), "{of_holder}");
    }
    assert!(!fleet.node.metrics.exposition(&[]).contains(labels));
}

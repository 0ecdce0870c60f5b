//! A running instance: its listeners and the background tasks that synchronise it with the platform and its
//! peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawtally_schema::operators::operators_server::OperatorsServer;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_stream::wrappers::TcpListenerStream;

use crate::adapters::callers;
use crate::adapters::operators::Service;
use crate::config::changelog;
use crate::fleet::frame::Frame;
use crate::fleet::link;
use crate::fleet::links;
use crate::fleet::membership::{InstanceRecord, InstanceState};
use crate::node::Node;
use crate::platform::{Platform, Presence};
use crate::reports;
use crate::settings::Settings;
use crate::socket::{self, ListenError};

/// Number of instances that watch the platform's change log on behalf of all.
const WATCHERS: usize = 2;
/// Maximum duration of one long poll of the change log.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Delay after a failed call to the platform.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Polling interval of the platform's instance list while the instance has links to peers.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Polling interval of the platform's instance list while the instance has no link.
const LIST_INTERVAL_ISOLATED: Duration = Duration::from_millis(500);
/// Time for callers and peers to learn of a state change of the stopping instance.
const STATE_PROPAGATION: Duration = Duration::from_millis(300);

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP listener for callers.
    pub callers: SocketAddr,
    /// gRPC listener for operators.
    pub operators: SocketAddr,
    /// Listener for links from other instances.
    pub peers: SocketAddr,
}

/// A running instance. Dropping it aborts its tasks.
pub struct Daemon {
    /// State shared by the tasks and connections of the instance.
    pub node: Arc<Node>,
    /// Addresses of the open listeners, with the ports that the system chose for port 0.
    pub addresses: Addresses,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Opens the listeners and starts the background tasks.
    ///
    /// # Errors
    /// If a listener can't be opened.
    pub async fn start(settings: Settings) -> Result<Self, ListenError> {
        let callers = socket::listen("callers", settings.callers.listen).await?;
        let operators = socket::listen("operators", settings.operators.listen).await?;
        let peers = socket::listen("peers", settings.peers.listen).await?;
        let addresses = Addresses {
            callers: socket::local_address("callers", &callers)?,
            operators: socket::local_address("operators", &operators)?,
            peers: socket::local_address("peers", &peers)?,
        };
        let record = InstanceRecord {
            id: settings.instance.clone(),
            incarnation: changelog::now_ms(),
            version: 1,
            state: InstanceState::Alive,
            callers: addresses.callers,
            operators: addresses.operators,
            peers: settings.peers.advertise.unwrap_or(addresses.peers),
            data_centre: settings.data_centre.clone(),
            config: 0,
        };
        let node = Node::new(settings, record);
        let mut tasks = JoinSet::new();
        tasks.spawn(callers::serve(Arc::clone(&node), callers));
        tasks.spawn(serve_operators(Arc::clone(&node), operators));
        tasks.spawn(link::serve(Arc::clone(&node), peers));
        tasks.spawn(link::maintain(Arc::clone(&node), addresses.peers.ip()));
        tasks.spawn(reports::run_pools(Arc::clone(&node)));
        tasks.spawn(apply_config(Arc::clone(&node)));
        tasks.spawn(watch_changelog(Arc::clone(&node)));
        tasks.spawn(poll_instances(Arc::clone(&node)));
        log::info!("instance={} state=alive", node.settings.instance);
        Ok(Self {
            node,
            addresses,
            tasks,
        })
    }

    /// Waits until an operator requests a drain of the instance.
    pub async fn drain_requested(&self) {
        self.node.drain_requested.notified().await;
    }

    /// Stops the instance: drains it, announces its end to its peers, and aborts its tasks.
    pub async fn shutdown(mut self) {
        self.node.drain().await;
        tokio::time::sleep(STATE_PROPAGATION).await;
        self.node
            .membership
            .update(|own| own.state = InstanceState::Dead);
        tokio::time::sleep(STATE_PROPAGATION).await;
        log::info!("instance={} state=stopped", self.node.settings.instance);
        self.tasks.shutdown().await;
    }
}

async fn serve_operators(node: Arc<Node>, listener: TcpListener) {
    let service = OperatorsServer::new(Service::new(node));
    let served = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await;
    if let Err(error) = served {
        log::error!("operators=stopped reason={error}");
    }
}

/// Applies each new configuration to the pools and broadcasts its changes to the peers.
async fn apply_config(node: Arc<Node>) {
    let mut catalogues = node.changelog.subscribe();
    loop {
        let catalogue = catalogues.borrow_and_update().clone();
        let before = node.membership.own().config;
        if catalogue.number() > before {
            let added = node.pools.update_servers(&node.metrics, &catalogue);
            reports::spawn_polls(&node, added);
            log::info!("config={} state=in_force", catalogue.number());
            let changes = node.changelog.changes_after(before);
            if !changes.is_empty() {
                node.links.broadcast(&Frame::Changes(changes), None);
            }
            node.membership
                .update(|own| own.config = catalogue.number());
        }
        if catalogues.changed().await.is_err() {
            return;
        }
    }
}

/// Reads the change log at the start and after failed calls, and watches it while this instance is one of the
/// [`WATCHERS`] or has no links to peers.
async fn watch_changelog(node: Arc<Node>) {
    let mut version = 0;
    let mut caught_up = false;
    loop {
        let isolated = node.links.count() == 0;
        let is_watcher = links::is_watcher(&node.membership, WATCHERS);
        let result = match (caught_up, isolated || is_watcher) {
            (false, _) => node.changelog.catch_up().await.map(|()| caught_up = true),
            (true, true) => match node.changelog.watch_once(version, WATCH_WAIT).await {
                Ok(reached) => {
                    version = reached;
                    Ok(())
                }
                Err(error) => Err(error),
            },
            (true, false) => {
                tokio::time::sleep(PLATFORM_RETRY_DELAY).await;
                continue;
            }
        };
        if let Ok(()) = result {
            node.record_platform_response();
        } else {
            node.metrics.count("platform.no_reply");
            caught_up = false;
            tokio::time::sleep(PLATFORM_RETRY_DELAY).await;
        }
    }
}

/// Polls the platform's instance list.
async fn poll_instances(node: Arc<Node>) {
    loop {
        match node.platform.instances().await {
            Ok(listed) => {
                node.record_platform_response();
                for entry in &listed {
                    process_listed(&node, entry);
                }
            }
            Err(_) => node.metrics.count("platform.no_reply"),
        }
        let interval = match node.links.count() {
            0 => LIST_INTERVAL_ISOLATED,
            _ => LIST_INTERVAL,
        };
        tokio::time::sleep_until(Instant::now() + interval).await;
    }
}

/// Connects to a listed instance that is not yet known, and records leaving ones.
fn process_listed(node: &Arc<Node>, entry: &crate::platform::ListedInstance) {
    let known = node.membership.all().iter().any(|f| f.id == entry.id);
    match entry.presence {
        Presence::Leaving => {
            node.mark_server_leaving(&entry.id, changelog::now_ms(), None);
        }
        // The list may be outdated, so it is only used to find peers to connect to; each peer reports its own
        // state over the link.
        Presence::Live if !known => {
            link::connect(node, &entry.id, entry.peers);
        }
        Presence::Live => {}
    }
}

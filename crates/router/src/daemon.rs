//! One running instance: its listeners and the tasks that keep it in step with the fleet.

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

/// Instances that keep a watch on the platform's log for all.
const WATCHERS: usize = 2;
/// Longest time that one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Wait after a failed call to the platform.
const PLATFORM_RETRY: Duration = Duration::from_millis(500);
/// Time between two readings of the platform's instance list, in a fleet whose links are up.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// The same while the instance has no link.
const LIST_INTERVAL_ALONE: Duration = Duration::from_millis(500);
/// Time for callers and peers to hear that the instance has left.
const FAREWELL: Duration = Duration::from_millis(300);

/// Where an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// A running instance. Its tasks end when it is dropped.
pub struct Daemon {
    /// What its connections share.
    pub node: Arc<Node>,
    /// Where it listens.
    pub addresses: Addresses,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Opens the listeners and starts the tasks.
    ///
    /// # Errors
    /// When a listener can't be opened.
    pub async fn start(settings: Settings) -> Result<Self, ListenError> {
        let callers = socket::listen("callers", settings.callers.listen).await?;
        let operators = socket::listen("operators", settings.operators.listen).await?;
        let peers = socket::listen("peers", settings.peers.listen).await?;
        let addresses = Addresses {
            callers: socket::local("callers", &callers)?,
            operators: socket::local("operators", &operators)?,
            peers: socket::local("peers", &peers)?,
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
        tasks.spawn(reports::tick(Arc::clone(&node)));
        tasks.spawn(put_in_force(Arc::clone(&node)));
        tasks.spawn(watch_log(Arc::clone(&node)));
        tasks.spawn(read_list(Arc::clone(&node)));
        log::info!("instance={} state=alive", node.settings.instance);
        Ok(Self {
            node,
            addresses,
            tasks,
        })
    }

    /// Waits until an operator asks the instance to leave.
    pub async fn asked_to_leave(&self) {
        self.node.drained.notified().await;
    }

    /// Leaves: refuses new work, answers what there is, says goodbye, and stops.
    pub async fn leave(mut self) {
        self.node.drain().await;
        tokio::time::sleep(FAREWELL).await;
        self.node
            .membership
            .update(|own| own.state = InstanceState::Dead);
        tokio::time::sleep(FAREWELL).await;
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

/// Puts each configuration in force as soon as it is known, and tells the peers.
async fn put_in_force(node: Arc<Node>) {
    let mut catalogues = node.changelog.subscribe();
    loop {
        let catalogue = catalogues.borrow_and_update().clone();
        let before = node.membership.own().config;
        if catalogue.number() > before {
            let new = node.pools.update_servers(&node.metrics, &catalogue);
            reports::follow(&node, new);
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

/// Reads the log at the start, and watches it where this instance is one of those that do.
async fn watch_log(node: Arc<Node>) {
    let mut version = 0;
    let mut caught_up = false;
    loop {
        let alone = node.links.count() == 0;
        let watches = links::is_watcher(&node.membership, WATCHERS);
        let result = match (caught_up, alone || watches) {
            (false, _) => node.changelog.catch_up().await.map(|()| caught_up = true),
            (true, true) => match node.changelog.watch_once(version, WATCH_WAIT).await {
                Ok(reached) => {
                    version = reached;
                    Ok(())
                }
                Err(error) => Err(error),
            },
            (true, false) => {
                tokio::time::sleep(PLATFORM_RETRY).await;
                continue;
            }
        };
        if let Ok(()) = result {
            node.platform_answered();
        } else {
            node.metrics.count("platform.no_reply");
            caught_up = false;
            tokio::time::sleep(PLATFORM_RETRY).await;
        }
    }
}

/// Reads the platform's instance list again and again, and takes in whom it names.
async fn read_list(node: Arc<Node>) {
    loop {
        match node.platform.instances().await {
            Ok(listed) => {
                node.platform_answered();
                for entry in &listed {
                    take_listed(&node, entry);
                }
            }
            Err(_) => node.metrics.count("platform.no_reply"),
        }
        let interval = match node.links.count() {
            0 => LIST_INTERVAL_ALONE,
            _ => LIST_INTERVAL,
        };
        tokio::time::sleep_until(Instant::now() + interval).await;
    }
}

fn take_listed(node: &Arc<Node>, entry: &crate::platform::Listed) {
    let known = node.membership.all().iter().any(|f| f.id == entry.id);
    match entry.presence {
        Presence::Leaving => {
            node.server_leaves(&entry.id, changelog::now_ms(), None);
        }
        // The list lags, so it only says whom to connect to; the peer itself says how it is.
        Presence::Live if !known => {
            link::connect(node, &entry.id, entry.peers);
        }
        Presence::Live => {}
    }
}

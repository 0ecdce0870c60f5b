//! One instance: what all its connections share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::adapters::platform_http::HttpPlatform;
use crate::config::changelog::{self, Changelog};
use crate::fleet::claims::{Claims, Operation, Outcome};
use crate::fleet::frame::Frame;
use crate::fleet::leaving_servers::{LeavingNotice, LeavingServers};
use crate::fleet::links::PeerLinks;
use crate::fleet::membership::{InstanceRecord, InstanceState, Membership};
use crate::load::pools::Pools;
use crate::metrics::Metrics;
use crate::request::backend::BackendClient;
use crate::request::token::TokenSigner;
use crate::settings::Settings;

/// What all connections of one instance share.
pub struct Node {
    /// The instance's settings.
    pub settings: Settings,
    /// The platform's client.
    pub platform: HttpPlatform,
    /// The configuration.
    pub changelog: Arc<Changelog<HttpPlatform>>,
    /// The claims as this instance writes them.
    pub claims: Arc<Claims<HttpPlatform>>,
    /// The other instances.
    pub membership: Arc<Membership>,
    /// Links to peers.
    pub links: PeerLinks,
    /// Backend servers that are leaving.
    pub leaving_servers: LeavingServers,
    /// Backend servers by pool.
    pub pools: Pools,
    /// Connections to backend servers.
    pub backend_client: BackendClient,
    /// Signs stream tokens.
    pub token_signer: TokenSigner,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Requests that are being answered.
    pub requests: Requests,
    /// Told when an operator asks the instance to leave.
    pub drained: Notify,
    platform_heard: AtomicU64,
}

impl Node {
    /// An instance with these settings, known to others by `facts`.
    #[must_use]
    pub fn new(settings: Settings, record: InstanceRecord) -> Arc<Self> {
        let metrics = Arc::new(Metrics::new(settings.metrics.statsd));
        let platform = HttpPlatform::new(settings.platform.address, settings.platform.timeout());
        let changelog = Changelog::new(platform.clone(), Arc::clone(&metrics));
        let window = settings.limits.claim_window_ms;
        let claims = Claims::new(platform.clone(), Arc::clone(&metrics), window);
        Arc::new(Self {
            token_signer: TokenSigner::new(&settings.peers.fleet_key),
            pools: Pools::new(&settings),
            membership: Arc::new(Membership::new(record)),
            changelog: Arc::new(changelog),
            links: PeerLinks::default(),
            leaving_servers: LeavingServers::default(),
            backend_client: BackendClient::default(),
            requests: Requests::default(),
            drained: Notify::new(),
            platform_heard: AtomicU64::new(changelog::now_ms()),
            claims,
            platform,
            metrics,
            settings,
        })
    }

    /// What this instance tells its peers at a steady pace.
    #[must_use]
    pub fn heartbeat(&self) -> Frame {
        Frame::Heartbeat {
            number: self.changelog.catalogue().number(),
            digest: self.membership.digest(),
            floors: self.links.floors_to_send(self.pools.requested_floors()),
        }
    }

    /// Takes in that a backend server is leaving, heard from the peer `from` or otherwise.
    pub fn server_leaves(&self, server: &SmolStr, at_ms: u64, from: Option<&str>) {
        let notice = LeavingNotice {
            server,
            at_ms,
            from,
        };
        self.leaving_servers
            .receive(&self.pools, &self.links, notice);
    }

    /// Whether the instance refuses new work.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.membership.own().state == InstanceState::Leaving
    }

    /// Notes that the platform has answered.
    pub fn platform_answered(&self) {
        self.platform_heard
            .store(changelog::now_ms(), Ordering::Relaxed);
    }

    /// Time since the platform last answered, in ms.
    #[must_use]
    pub fn platform_age_ms(&self) -> u64 {
        changelog::now_ms().saturating_sub(self.platform_heard.load(Ordering::Relaxed))
    }

    /// Leaves the list of addresses, refuses new work, and waits until every request is answered or
    /// the settings' bound is over.
    pub async fn drain(&self) {
        if !self.leaving() {
            log::info!("state=leaving");
        }
        self.membership
            .update(|own| own.state = InstanceState::Leaving);
        let finished = self.requests.finished();
        match self.settings.limits.drain_ms {
            0 => finished.await,
            bound => {
                let _ = tokio::time::timeout(Duration::from_millis(bound), finished).await;
            }
        }
    }

    /// Does an operation on a claim through the instance that tends the claim's shard, or here when
    /// that instance doesn't answer.
    pub async fn claim(self: &Arc<Self>, operation: Operation) -> Outcome {
        let tended = self.links.forward_claim(&self.membership, operation).await;
        match tended {
            Some(outcome) => outcome,
            None => self.claims.submit(operation).await,
        }
    }
}

/// Counts requests that are being answered.
#[derive(Debug, Default)]
pub struct Requests {
    count: AtomicUsize,
    idle: Notify,
}

impl Requests {
    /// Counts one until the guard is dropped.
    #[must_use]
    pub fn enter(node: &Arc<Node>) -> InFlight {
        node.requests.count.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(node))
    }

    /// How many there are now.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until there are none.
    pub async fn finished(&self) {
        loop {
            let idle = self.idle.notified();
            if self.count() == 0 {
                return;
            }
            idle.await;
        }
    }
}

/// One request that is being answered.
pub struct InFlight(Arc<Node>);

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.0.requests.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.requests.idle.notify_waiters();
        }
    }
}

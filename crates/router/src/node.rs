//! The state of an instance that its connections and background tasks share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::adapters::platform_http::HttpPlatform;
use crate::config::changelog::{self, Changelog};
use crate::fleet::claims::{Claims, Operation, Outcome};
use crate::fleet::duties::clock::Clocks;
use crate::fleet::duties::state::Duties;
use crate::fleet::frame::Frame;
use crate::fleet::isolated_instances::IsolatedInstances;
use crate::fleet::leaving_servers::{LeavingNotice, LeavingServers};
use crate::fleet::links::PeerLinks;
use crate::fleet::list_confirmation::ListConfirmation;
use crate::fleet::list_position::ListPosition;
use crate::fleet::membership::{InstanceRecord, InstanceState, Membership};
use crate::fleet::replicas::Replicas;
use crate::fleet::stream_lifetimes::StreamLifetimes;
use crate::fleet::stream_origins::StreamOrigins;
use crate::load::pools::Pools;
use crate::metrics::Metrics;
use crate::request::backend::BackendClient;
use crate::request::token::TokenSigner;
use crate::settings::Settings;

/// The shared state of one instance.
pub struct Node {
    /// The instance's settings.
    pub settings: Settings,
    /// Client of the platform's object service and instance list.
    pub platform: HttpPlatform,
    /// The change log with the current configuration.
    pub changelog: Arc<Changelog<HttpPlatform>>,
    /// Claims of idempotency keys in the shards that this instance owns or writes as a fallback.
    pub claims: Arc<Claims<HttpPlatform>>,
    /// Records of this instance and its peers.
    pub membership: Arc<Membership>,
    /// Open links to peers.
    pub links: PeerLinks,
    /// Notices of backend servers that are leaving.
    pub leaving_servers: LeavingServers,
    /// The instances that are cut off from all backend servers.
    pub isolated: IsolatedInstances,
    /// Copies of the store's objects.
    pub replicas: Replicas,
    /// Confirms the list of backend servers.
    pub server_list: ListConfirmation,
    /// The position up to which the pools follow that list.
    pub list_position: ListPosition,
    /// Notified when a caller takes up a stream and it isn't known which versions served before.
    pub version_demand: Notify,
    /// Calls to the platform that one instance makes for all; `None` if the deployment has none.
    pub duties: Option<Duties>,
    /// How long streams can last.
    pub stream_lifetimes: StreamLifetimes,
    /// Where recent streams began.
    pub stream_origins: StreamOrigins,
    /// Pools of backend servers.
    pub pools: Pools,
    /// HTTP client for backend servers.
    pub backend_client: BackendClient,
    /// Signs and verifies stream tokens.
    pub token_signer: TokenSigner,
    /// Metrics of the instance.
    pub metrics: Arc<Metrics>,
    /// Number of requests in flight.
    pub requests: InFlightRequests,
    /// Notified when an operator requests a drain of the instance.
    pub drain_requested: Notify,
    last_platform_response_ms: AtomicU64,
}

impl Node {
    /// Creates the state of an instance with these settings; `record` is its own membership record.
    #[must_use]
    pub fn new(settings: Settings, record: InstanceRecord) -> Arc<Self> {
        let metrics = Arc::new(Metrics::new(settings.metrics.statsd));
        let platform = HttpPlatform::new(settings.platform.address, settings.platform.timeout());
        let changelog = Changelog::new(platform.clone(), Arc::clone(&metrics));
        let duties = settings.duties.as_ref();
        let duties = duties.map(|d| Duties::new(d, &record, Clocks::default()));
        let window = settings.limits.claim_window_ms;
        let claims = Claims::new(platform.clone(), Arc::clone(&metrics), window);
        Arc::new(Self {
            token_signer: TokenSigner::new(&settings.peers.fleet_key),
            pools: Pools::new(&settings),
            isolated: IsolatedInstances::new(&record),
            membership: Arc::new(Membership::new(record)),
            changelog: Arc::new(changelog),
            duties,
            links: PeerLinks::default(),
            leaving_servers: LeavingServers::default(),
            replicas: Replicas::default(),
            server_list: ListConfirmation::default(),
            list_position: ListPosition::default(),
            version_demand: Notify::new(),
            stream_lifetimes: StreamLifetimes::default(),
            stream_origins: StreamOrigins::default(),
            backend_client: BackendClient::default(),
            requests: InFlightRequests::default(),
            drain_requested: Notify::new(),
            last_platform_response_ms: AtomicU64::new(changelog::now_ms()),
            claims,
            platform,
            metrics,
            settings,
        })
    }

    /// Builds the heartbeat that is sent to peers periodically.
    #[must_use]
    pub fn heartbeat(&self) -> Frame {
        Frame::Heartbeat {
            number: self.changelog.catalogue().number(),
            digest: self.membership.digest(),
            floors: self.links.floors_to_send(self.pools.requested_floors()),
            demand: self.pools.next_demand(),
        }
    }

    /// Records that a backend server is leaving. `from` is the peer that reported it, `None` if the report came
    /// from the server itself or the platform; `at_ms` is the time of the report in Unix milliseconds.
    pub fn mark_server_leaving(&self, server: &SmolStr, at_ms: u64, from: Option<&str>) {
        let notice = LeavingNotice {
            server,
            at_ms,
            from,
        };
        self.leaving_servers
            .receive(&self.pools, &self.links, notice);
    }

    /// Whether the instance is draining and rejects new requests.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.membership.own().state == InstanceState::Leaving
    }

    /// Records the time of a successful response from the platform.
    pub fn record_platform_response(&self) {
        self.last_platform_response_ms
            .store(changelog::now_ms(), Ordering::Relaxed);
    }

    /// Milliseconds since the last successful response from the platform, or since the start if there was none.
    #[must_use]
    pub fn platform_age_ms(&self) -> u64 {
        changelog::now_ms().saturating_sub(self.last_platform_response_ms.load(Ordering::Relaxed))
    }

    /// Marks the instance as leaving, so that it is no longer advertised and rejects new requests, and waits
    /// until all requests have finished or the setting `limits.drain_ms` has elapsed.
    pub async fn drain(&self) {
        if !self.is_draining() {
            log::info!("state=leaving");
        }
        self.membership
            .update(|own| own.state = InstanceState::Leaving);
        let finished = self.requests.wait_idle();
        match self.settings.limits.drain_ms {
            0 => finished.await,
            bound => {
                let _ = tokio::time::timeout(Duration::from_millis(bound), finished).await;
            }
        }
    }

    /// Performs an operation on a claim at the owner of the claim's shard, or locally if the owner is this
    /// instance or doesn't respond.
    pub async fn claim(self: &Arc<Self>, operation: Operation) -> Outcome {
        let forwarded = self.links.forward_claim(&self.membership, operation).await;
        match forwarded {
            Some(outcome) => outcome,
            None => self.claims.submit(operation).await,
        }
    }
}

/// Counts the requests in flight.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    count: AtomicUsize,
    idle: Notify,
}

impl InFlightRequests {
    /// Counts a request until the returned guard is dropped.
    #[must_use]
    pub fn track(node: &Arc<Node>) -> InFlightGuard {
        node.requests.count.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(node))
    }

    /// Current number of requests.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.count() == 0 {
                return;
            }
            idle.await;
        }
    }
}

/// Guard of one request in flight; dropping it ends the count.
pub struct InFlightGuard(Arc<Node>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.0.requests.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.requests.idle.notify_waiters();
        }
    }
}

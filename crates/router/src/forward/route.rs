//! Routes: which requests they match, how these may be retried, and which services receive them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::config::object::Level;
use crate::fleet::stream_lifetimes::{self, LifetimesByService, StreamsByService};
use crate::rendezvous;

/// The name of a service; its backend servers form one pool.
pub type ServiceName = SmolStr;

/// Kind of a route's requests, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests must run at most once.
    NonIdempotent,
    /// The response is an event stream.
    Stream {
        /// Whether another backend server can continue a stream after a given event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be retried although an earlier attempt may have run.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether a successful response is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's name.
    pub service: ServiceName,
    /// Weight relative to the other services of the route; 0 for no requests at all.
    pub weight: u32,
}

/// A route as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name, used in logs and metrics.
    pub name: SmolStr,
    /// The host that requests must name, without a port.
    pub host: SmolStr,
    /// Base path: the beginning that request paths must have; begins and ends with a slash.
    pub base_path: SmolStr,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Time limit for a request, from its last byte to the end of the response.
    pub timeout: Duration,
    /// Target for the time to the response, or to the first event of a stream.
    pub latency_target: Duration,
    /// Target for the longest pause between events of a stream; `None` if the route has none.
    pub gap_target: Option<Duration>,
    /// Priority level that orders its requests among those of an organisation; 0 is the most important.
    pub level: Level,
    /// Limit on the backend servers that one request may be sent to; at least 1.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests with the same prompt prefix should go to the same backend server.
    pub prefix_affinity: bool,
    /// The services that receive the requests, by weight.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Whether requests of the route may go to this service.
    #[must_use]
    pub fn leads_to(&self, service: &str) -> bool {
        let services = self.services.iter();
        services
            .filter(|entry| entry.weight > 0)
            .any(|entry| entry.service == service)
    }

    /// Selects the service for the request `id` according to the weights; the same id always gets the same
    /// service. Returns `None` if no service has a weight.
    #[must_use]
    pub fn select_service(&self, id: &str) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut point = rendezvous::hash(id.as_bytes()).checked_rem(total)?;
        self.services
            .iter()
            .find(|entry| {
                let weight = u64::from(entry.weight);
                let selected = point < weight;
                point = point.saturating_sub(weight);
                selected
            })
            .map(|entry| &entry.service)
    }
}

/// All routes, indexed by host and base path.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<SmolStr, HashMap<SmolStr, Arc<Route>>>,
}

impl RouteTable {
    /// Creates a table of `routes`. Of several routes with the same host and base path the last one is
    /// used.
    #[must_use]
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: HashMap<SmolStr, HashMap<SmolStr, Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host.entry(route.host.clone()).or_default();
            host.insert(route.base_path.clone(), Arc::new(route));
        }
        Self { by_host }
    }

    /// The streams of each service.
    #[must_use]
    pub fn streams(&self) -> StreamsByService {
        let mut streams = StreamsByService::new();
        for route in self.stream_routes() {
            let lifetime = stream_lifetimes::of_timeout(route.timeout);
            let key = format!(
                "{} {} {}",
                route.host,
                route.base_path,
                lifetime.as_millis()
            );
            for entry in route.services.iter().filter(|s| s.weight > 0) {
                let of_service = streams.entry(entry.service.clone()).or_default();
                of_service.longest = lifetime.max(of_service.longest);
                // The order of the routes doesn't matter.
                of_service.digest ^= rendezvous::hash(key.as_bytes());
            }
        }
        streams
    }

    /// The lifetimes of streams of each service that are longer by this table than by the `next` one, for the same paths.
    #[must_use]
    pub fn lowered(&self, next: &Self) -> LifetimesByService {
        let mut lowered = LifetimesByService::new();
        // A path's route may be that of the base path of either table.
        for base in self.stream_routes().chain(next.stream_routes()) {
            let Some(before) = self.find_stream(&base.host, &base.base_path) else {
                continue;
            };
            let lifetime = stream_lifetimes::of_timeout(before.timeout);
            let after = next.find_stream(&base.host, &base.base_path);
            for entry in before.services.iter().filter(|s| s.weight > 0) {
                let kept = after.filter(|r| r.leads_to(&entry.service));
                let kept = kept.map(|r| stream_lifetimes::of_timeout(r.timeout));
                if kept.unwrap_or_default() < lifetime {
                    let longest = lowered.entry(entry.service.clone()).or_default();
                    *longest = lifetime.max(*longest);
                }
            }
        }
        lowered
    }

    fn stream_routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        let routes = self.by_host.values().flat_map(HashMap::values);
        routes.filter(|r| r.kind.is_stream())
    }

    fn find_stream(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.find(host, path).filter(|r| r.kind.is_stream())
    }

    /// Finds the route of `host` with the longest base path that `path` begins with.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        let mut prefixes = slashes.map(|(end, _)| &path[..=end]);
        prefixes.find_map(|prefix| routes.get(prefix))
    }
}

//! Routes: what a host and a path stand for, and what may be done with their requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::config::object::Level;
use crate::rendezvous;

/// A service's name; its backend servers make a pool.
pub type ServiceName = SmolStr;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A series of events; may go on at another backend server only where `resumable`.
    Stream {
        /// Whether the rest of the series can be asked for.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A share of a route's requests, for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: SmolStr,
    /// The host that it belongs to.
    pub host: SmolStr,
    /// The beginning of the paths that it takes, with a slash at both ends.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that callers are served well by.
    pub latency_target: Duration,
    /// Longest pause between events that callers are served well by.
    pub gap_target: Option<Duration>,
    /// The tier's rank, where the organisation has none of its own.
    pub level: Level,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests share the beginnings of their prompts.
    pub prefix_affinity: bool,
    /// The services that serve it.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// The service for a request; a request always gets the same answer.
    #[must_use]
    pub fn select_service(&self, id: &str) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut point = rendezvous::hash(id.as_bytes()).checked_rem(total)?;
        self.services
            .iter()
            .find(|share| {
                let weight = u64::from(share.weight);
                let here = point < weight;
                point = point.saturating_sub(weight);
                here
            })
            .map(|share| &share.service)
    }
}

/// All routes, found by host and path.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_prefix: HashMap<SmolStr, HashMap<SmolStr, Arc<Route>>>,
}

impl RouteTable {
    /// A table of `routes`.
    #[must_use]
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_prefix: HashMap<SmolStr, HashMap<SmolStr, Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_prefix.entry(route.host.clone()).or_default();
            host.insert(route.path_prefix.clone(), Arc::new(route));
        }
        Self { by_prefix }
    }

    /// The route with the longest prefix of `path` at `host`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_prefix.get(host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        let mut prefixes = ends.map(|(end, _)| &path[..=end]);
        prefixes.find_map(|prefix| routes.get(prefix))
    }
}

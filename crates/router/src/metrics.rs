//! Counters, sent to a statsd server and kept for the status answer.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, PoisonError};

use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use smol_str::SmolStr;

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

/// Routes that have labels of their own at most.
const ROUTES: usize = 256;
/// The label of all other routes.
const OTHER: &str = "other";

/// How a request ended, for the counts.
#[derive(Clone, Debug)]
pub struct RequestSummary {
    /// The route's name.
    pub route: SmolStr,
    /// The rank of its tier.
    pub tier: u8,
    /// What its caller got.
    pub outcome: &'static str,
    /// Why it failed, by the closed list of error kinds.
    pub cause: &'static str,
    /// From its last byte to the end of its answer.
    pub took: Duration,
    /// Of that, waiting for a server.
    pub waited: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    tier: u32,
    outcome: String,
    cause: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NameLabels {
    name: String,
}

fn seconds() -> Histogram {
    // From 2 ms to 16 s.
    Histogram::new(exponential_buckets(0.002, 2.0, 14))
}

/// What is served on the metrics address.
struct Exposed {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    took: Family<RouteLabels, Histogram>,
    waited: Family<RouteLabels, Histogram>,
    counters: Family<NameLabels, Gauge>,
    gauges: Family<NameLabels, Gauge>,
    routes: std::collections::BTreeSet<SmolStr>,
}

impl Default for Exposed {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("jackdawtally");
        let requests = Family::default();
        let took = Family::new_with_constructor(seconds as fn() -> Histogram);
        let waited = Family::new_with_constructor(seconds as fn() -> Histogram);
        let counters = Family::default();
        let gauges = Family::default();
        registry.register("requests", "Requests by how they ended", requests.clone());
        registry.register(
            "request_seconds",
            "Time to the end of the answer",
            took.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time of waiting for a server",
            waited.clone(),
        );
        registry.register(
            "events",
            "Counts since the start, by name",
            counters.clone(),
        );
        registry.register("state", "What holds now, by name", gauges.clone());
        Self {
            registry,
            requests,
            took,
            waited,
            counters,
            gauges,
            routes: std::collections::BTreeSet::new(),
        }
    }
}

impl Exposed {
    /// The route's label; the number of labels is bounded.
    fn route(&mut self, route: &SmolStr) -> String {
        if self.routes.len() < ROUTES {
            self.routes.insert(route.clone());
        }
        let known = self.routes.contains(route);
        if known {
            route.to_string()
        } else {
            OTHER.into()
        }
    }
}

/// The counters of one instance.
pub struct Metrics {
    client: StatsdClient,
    totals: Mutex<BTreeMap<&'static str, u64>>,
    exposed: Mutex<Exposed>,
}

impl Metrics {
    /// Counters that go to `statsd`, or only into the totals where there is none.
    #[must_use]
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = statsd.and_then(|address| sink(address).ok()).map_or_else(
            || StatsdClient::from_sink("jackdawtally", NopMetricSink),
            |sink| StatsdClient::from_sink("jackdawtally", sink),
        );
        Self {
            client,
            totals: Mutex::default(),
            exposed: Mutex::default(),
        }
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `n` to the counter `name`.
    pub fn add(&self, name: &'static str, n: u64) {
        *self.lock().entry(name).or_default() += n;
        // A counter that can't be sent must not fail the request that it counts.
        let _ = self
            .client
            .count(name, i64::try_from(n).unwrap_or(i64::MAX));
    }

    /// Counts a request.
    pub fn record_request(&self, summary: &RequestSummary) {
        let mut exposed = self.exposed.lock().unwrap_or_else(PoisonError::into_inner);
        let route = exposed.route(&summary.route);
        let labels = RequestLabels {
            route: route.clone(),
            tier: summary.tier.into(),
            outcome: summary.outcome.into(),
            cause: summary.cause.into(),
        };
        exposed.requests.get_or_create(&labels).inc();
        let labels = RouteLabels { route };
        let took = exposed.took.get_or_create(&labels);
        took.observe(summary.took.as_secs_f64());
        let waited = exposed.waited.get_or_create(&labels);
        waited.observe(summary.waited.as_secs_f64());
    }

    /// Everything in the text exposition format, with `state` as it is now.
    #[must_use]
    pub fn exposition(&self, state: &[(&'static str, u64)]) -> String {
        let exposed = self.exposed.lock().unwrap_or_else(PoisonError::into_inner);
        let set = |family: &Family<NameLabels, Gauge>, name: &str, value: u64| {
            let labels = NameLabels { name: name.into() };
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            family.get_or_create(&labels).set(value);
        };
        for (name, value) in self.totals() {
            set(&exposed.counters, name, value);
        }
        for (name, value) in state {
            set(&exposed.gauges, name, *value);
        }
        let mut page = String::new();
        match text::encode(&mut page, &exposed.registry) {
            Ok(()) => page,
            Err(error) => {
                log::error!("metrics=not_encoded reason=\"{error}\"");
                String::new()
            }
        }
    }

    /// Every counter since the start, by name.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<&'static str, u64> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<&'static str, u64>> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn sink(address: SocketAddr) -> std::io::Result<QueuingMetricSink> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    Ok(QueuingMetricSink::from(sink))
}

//! Metrics of an instance: counters, sent to a statsd server and reported in status calls, and the request
//! metrics of the Prometheus endpoint.

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

/// Maximum number of routes with their own label value, which bounds the number of time series.
const MAX_ROUTE_LABELS: usize = 256;
/// Label value of all further routes.
const OTHER_ROUTES: &str = "other";

/// Result of a request, as recorded in the metrics.
#[derive(Clone, Debug)]
pub struct RequestSummary {
    /// Name of the route.
    pub route: SmolStr,
    /// Level of the request's tier.
    pub tier: u8,
    /// Outcome for the caller, such as `answered` or `refused`.
    pub outcome: &'static str,
    /// Name of the error kind; `server_error` for a 5xx response of a backend server; otherwise `none`.
    pub cause: &'static str,
    /// Time from the last byte of the request to the end of the response.
    pub took: Duration,
    /// Part of `took` spent waiting for a backend server.
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

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServerLabels {
    pool: String,
    data_centre: String,
    kind: String,
    count: String,
}

/// Servers of one kind in a data centre, as recorded in the metrics by the instance that orders them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCounts {
    /// Name of the pool.
    pub pool: SmolStr,
    /// Name of the data centre.
    pub data_centre: SmolStr,
    /// `regular` or `spot`.
    pub kind: &'static str,
    /// How many were ordered.
    pub ordered: u32,
    /// How many take requests.
    pub ready: u32,
}

fn latency_histogram() -> Histogram {
    // Buckets from 2 ms to 16 s.
    Histogram::new(exponential_buckets(0.002, 2.0, 14))
}

/// Metrics of the Prometheus endpoint.
struct PrometheusMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    took: Family<RouteLabels, Histogram>,
    waited: Family<RouteLabels, Histogram>,
    counters: Family<NameLabels, Gauge>,
    gauges: Family<NameLabels, Gauge>,
    servers: Family<ServerLabels, Gauge>,
    routes: std::collections::BTreeSet<SmolStr>,
}

impl Default for PrometheusMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("jackdawtally");
        let requests = Family::default();
        let took = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let waited = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let counters = Family::default();
        let gauges = Family::default();
        let servers = Family::default();
        registry.register(
            "requests",
            "Requests by outcome and cause",
            requests.clone(),
        );
        registry.register(
            "request_seconds",
            "Time to the end of the response",
            took.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time spent waiting for a backend server",
            waited.clone(),
        );
        registry.register(
            "events",
            "Counters since the start of the process, by name",
            counters.clone(),
        );
        registry.register("state", "Current values, by name", gauges.clone());
        registry.register(
            "ordered_servers",
            "Servers that were ordered, and those of them that take requests",
            servers.clone(),
        );
        Self {
            registry,
            requests,
            took,
            waited,
            counters,
            gauges,
            servers,
            routes: std::collections::BTreeSet::new(),
        }
    }
}

impl PrometheusMetrics {
    /// Returns the label value of a route: its name for the first [`MAX_ROUTE_LABELS`] routes.
    fn route_label(&mut self, route: &SmolStr) -> String {
        if self.routes.len() < MAX_ROUTE_LABELS {
            self.routes.insert(route.clone());
        }
        let has_label = self.routes.contains(route);
        if has_label {
            route.to_string()
        } else {
            OTHER_ROUTES.into()
        }
    }
}

/// The metrics of one instance.
pub struct Metrics {
    client: StatsdClient,
    totals: Mutex<BTreeMap<&'static str, u64>>,
    prometheus: Mutex<PrometheusMetrics>,
}

impl Metrics {
    /// Creates the metrics. Without a `statsd` address, or if no socket can be opened, counters are kept only in
    /// the process.
    #[must_use]
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = statsd
            .and_then(|address| statsd_sink(address).ok())
            .map_or_else(
                || StatsdClient::from_sink("jackdawtally", NopMetricSink),
                |sink| StatsdClient::from_sink("jackdawtally", sink),
            );
        Self {
            client,
            totals: Mutex::default(),
            prometheus: Mutex::default(),
        }
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `n` to the counter `name`.
    pub fn add(&self, name: &'static str, n: u64) {
        *self.lock().entry(name).or_default() += n;
        // A failure to send a counter must not fail the request that is counted.
        let _ = self
            .client
            .count(name, i64::try_from(n).unwrap_or(i64::MAX));
    }

    /// Records a finished request.
    pub fn record_request(&self, summary: &RequestSummary) {
        let mut prometheus = self
            .prometheus
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let route = prometheus.route_label(&summary.route);
        let labels = RequestLabels {
            route: route.clone(),
            tier: summary.tier.into(),
            outcome: summary.outcome.into(),
            cause: summary.cause.into(),
        };
        prometheus.requests.get_or_create(&labels).inc();
        let labels = RouteLabels { route };
        let took = prometheus.took.get_or_create(&labels);
        took.observe(summary.took.as_secs_f64());
        let waited = prometheus.waited.get_or_create(&labels);
        waited.observe(summary.waited.as_secs_f64());
    }

    /// Replaces the counts of ordered servers; those of an instance that orders none are empty.
    pub fn set_server_counts(&self, counts: &[ServerCounts]) {
        let prometheus = self.prometheus.lock();
        let prometheus = prometheus.unwrap_or_else(PoisonError::into_inner);
        prometheus.servers.clear();
        for group in counts {
            for (count, value) in [("ordered", group.ordered), ("ready", group.ready)] {
                let labels = ServerLabels {
                    pool: group.pool.to_string(),
                    data_centre: group.data_centre.to_string(),
                    kind: group.kind.into(),
                    count: count.into(),
                };
                let gauge = prometheus.servers.get_or_create(&labels);
                gauge.set(value.into());
            }
        }
    }

    /// Renders all metrics in the Prometheus text format, with `state` as the current gauge values. Returns an
    /// empty string if they can't be encoded.
    #[must_use]
    pub fn exposition(&self, state: &[(&'static str, u64)]) -> String {
        let prometheus = self
            .prometheus
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let set = |family: &Family<NameLabels, Gauge>, name: &str, value: u64| {
            let labels = NameLabels { name: name.into() };
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            family.get_or_create(&labels).set(value);
        };
        for (name, value) in self.totals() {
            set(&prometheus.counters, name, value);
        }
        for (name, value) in state {
            set(&prometheus.gauges, name, *value);
        }
        let mut output = String::new();
        match text::encode(&mut output, &prometheus.registry) {
            Ok(()) => output,
            Err(error) => {
                log::error!("metrics=not_encoded reason=\"{error}\"");
                String::new()
            }
        }
    }

    /// Values of all counters since the start of the process, by name.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<&'static str, u64> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<&'static str, u64>> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn statsd_sink(address: SocketAddr) -> std::io::Result<QueuingMetricSink> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    Ok(QueuingMetricSink::from(sink))
}

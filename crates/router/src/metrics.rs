//! Counters, sent to a statsd server and kept for the status answer.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, PoisonError};

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

/// The counters of one instance.
pub struct Metrics {
    client: StatsdClient,
    totals: Mutex<BTreeMap<&'static str, u64>>,
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

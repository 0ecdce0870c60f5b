//! The traffic plan of a run, drawn from its seed.

use std::time::Duration;

use jackdawtally::object::Level;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::deployment::{ClassTraffic, Deployment, Target};
use crate::execution_log::Tag;
use crate::simulated_server::CRASHING_TAG;

/// Number of different prompt prefixes in the requests of a class.
const PREFIXES_PER_CLASS: u64 = 6;
/// Factor by which the request rate of a class grows during a burst.
const BURST_FACTOR: f64 = 3.0;

/// A request of the traffic plan.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Time at which it is sent, relative to the start of the run.
    pub at: Duration,
    /// Number that identifies the request, from 1 in order of time.
    pub tag: Tag,
    /// Class of the request.
    pub class: SmolStr,
    /// Priority level of the class; 0 is the highest priority.
    pub level: Level,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Organisation that sends it.
    pub organisation: SmolStr,
    /// Requested model or service.
    pub target: Target,
    /// Length of the response, in tokens; for a service, in steps.
    pub length: u64,
    /// Number of its prompt prefix.
    pub prefix: u64,
}

/// A time span in which the request rate of one class is higher.
#[derive(Clone, Debug)]
pub struct Burst {
    /// Class whose rate is higher.
    pub class: SmolStr,
    /// Start of the burst, relative to the start of the run.
    pub from: Duration,
    /// End of the burst, relative to the start of the run.
    pub to: Duration,
}

/// Draws the requests of a run, in order of time. `load` is the offered load divided by capacity.
#[must_use]
pub fn plan(
    deployment: &Deployment,
    seed: u64,
    length: Duration,
    load: f64,
    bursts: &[Burst],
) -> Vec<PlannedRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut planned = Vec::new();
    for traffic in deployment.traffic {
        let mut at = 0.0;
        let rate = arrival_rate(deployment, traffic, load);
        loop {
            let burst = bursts.iter().any(|b| {
                let now = Duration::from_secs_f64(at);
                b.class == traffic.class && now >= b.from && now < b.to
            });
            let rate = if burst { rate * BURST_FACTOR } else { rate };
            if rate <= 0.0 {
                break;
            }
            let sample: f64 = rng.random_range(f64::EPSILON..1.0);
            at -= sample.ln() / rate;
            if at >= length.as_secs_f64() {
                break;
            }
            planned.push(draw_request(
                deployment,
                traffic,
                Duration::from_secs_f64(at),
                &mut rng,
            ));
        }
    }
    planned.sort_by_key(|p| p.at);
    for (tag, request) in (1..).zip(&mut planned) {
        request.tag = tag;
    }
    planned
}

/// The request that crashes servers: one of the first class with streams.
#[must_use]
pub fn crashing_request(deployment: &Deployment) -> Option<PlannedRequest> {
    let mut streams = deployment.traffic.iter();
    let traffic = streams.find(|t| matches!(t.target, Target::Stream(_)))?;
    let mut rng = ChaCha8Rng::seed_from_u64(CRASHING_TAG);
    let request = draw_request(deployment, traffic, Duration::ZERO, &mut rng);
    Some(PlannedRequest {
        tag: CRASHING_TAG,
        ..request
    })
}

fn arrival_rate(deployment: &Deployment, traffic: &ClassTraffic, load: f64) -> f64 {
    let (shortest, longest) = traffic.length;
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let mean = (shortest + longest) as f64 / 2.0;
    deployment.capacity(&traffic.target.pool()) * traffic.capacity_fraction * load / mean
}

fn draw_request(
    deployment: &Deployment,
    traffic: &ClassTraffic,
    at: Duration,
    rng: &mut ChaCha8Rng,
) -> PlannedRequest {
    let organisations = deployment.organisations(traffic.class);
    let total: u32 = organisations.iter().map(|o| o.share).sum();
    let mut sample = rng.random_range(0..total.max(1));
    let chosen = organisations.iter().find(|o| {
        let hit = sample < o.share;
        sample = sample.saturating_sub(o.share);
        hit
    });
    PlannedRequest {
        at,
        tag: 0,
        class: traffic.class.into(),
        level: deployment.level(traffic.class),
        idempotent: deployment.class(traffic.class).idempotent,
        organisation: chosen.map(|o| o.name.clone()).unwrap_or_default(),
        target: traffic.target,
        length: rng.random_range(traffic.length.0..=traffic.length.1),
        prefix: rng.random_range(0..PREFIXES_PER_CLASS),
    }
}

impl PlannedRequest {
    /// Returns the request body. `received` is the part of the response that arrived before an
    /// interruption, or empty.
    #[must_use]
    pub fn body(&self, received: &str) -> Value {
        match self.target {
            Target::Service(_) => json!({"note": format!("tag={} len={}", self.tag, self.length)}),
            Target::Stream(model) | Target::NonStreaming(model) => {
                let prefix = format!("{} {} ", self.class, self.prefix).repeat(20);
                let prompt = format!("{prefix} tag={} len={} end", self.tag, self.length);
                let mut body = json!({
                    "model": model,
                    "messages": [{"role": "user", "content": prompt}],
                    "max_tokens": 4_096,
                    "stream": matches!(self.target, Target::Stream(_)),
                });
                if !received.is_empty() {
                    body["received"] = json!(received);
                }
                body
            }
        }
    }

    /// Returns the path of the request.
    #[must_use]
    pub fn path(&self) -> String {
        match self.target {
            Target::Service(name) => format!("/services/{name}/post"),
            Target::Stream(_) | Target::NonStreaming(_) => "/v1/chat/completions".into(),
        }
    }
}

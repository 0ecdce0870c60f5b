//! The requests of a run, drawn from its seed.

use std::time::Duration;

use jackdawtally::object::Level;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::deployment::{Deployment, Mix, Target};
use crate::execution_log::Tag;

/// Prompt beginnings that a class's requests share.
const PREFIXES: u64 = 6;
/// Factor by which a bursting class grows.
const BURST_FACTOR: f64 = 3.0;

/// A request of a run.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// When it is sent, from the run's beginning.
    pub at: Duration,
    /// Its number.
    pub tag: Tag,
    /// Its class.
    pub class: SmolStr,
    /// Its class's level.
    pub level: Level,
    /// Whether it may run again.
    pub idempotent: bool,
    /// Whose it is.
    pub organisation: SmolStr,
    /// What it asks for.
    pub target: Target,
    /// Length of its answer.
    pub length: u64,
    /// Which prompt beginning it has.
    pub prefix: u64,
}

/// A time in which one class asks for more.
#[derive(Clone, Debug)]
pub struct Burst {
    /// The class.
    pub class: SmolStr,
    /// When it begins, from the run's beginning.
    pub from: Duration,
    /// When it ends.
    pub to: Duration,
}

/// Draws the requests of a run, by time.
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
    for mix in deployment.mix {
        let mut at = 0.0;
        let rate = arrivals(deployment, mix, load);
        loop {
            let burst = bursts.iter().any(|b| {
                let now = Duration::from_secs_f64(at);
                b.class == mix.class && now >= b.from && now < b.to
            });
            let rate = if burst { rate * BURST_FACTOR } else { rate };
            if rate <= 0.0 {
                break;
            }
            let drawn: f64 = rng.random_range(f64::EPSILON..1.0);
            at -= drawn.ln() / rate;
            if at >= length.as_secs_f64() {
                break;
            }
            planned.push(draw(deployment, mix, Duration::from_secs_f64(at), &mut rng));
        }
    }
    planned.sort_by_key(|p| p.at);
    for (tag, request) in (1..).zip(&mut planned) {
        request.tag = tag;
    }
    planned
}

fn arrivals(deployment: &Deployment, mix: &Mix, load: f64) -> f64 {
    let (shortest, longest) = mix.length;
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let mean = (shortest + longest) as f64 / 2.0;
    deployment.rate(&mix.target.pool()) * mix.share * load / mean
}

fn draw(deployment: &Deployment, mix: &Mix, at: Duration, rng: &mut ChaCha8Rng) -> PlannedRequest {
    let organisations = deployment.organisations(mix.class);
    let total: u32 = organisations.iter().map(|o| o.share).sum();
    let mut drawn = rng.random_range(0..total.max(1));
    let chosen = organisations.iter().find(|o| {
        let hit = drawn < o.share;
        drawn = drawn.saturating_sub(o.share);
        hit
    });
    PlannedRequest {
        at,
        tag: 0,
        class: mix.class.into(),
        level: deployment.level(mix.class),
        idempotent: deployment.class(mix.class).idempotent,
        organisation: chosen.map(|o| o.name.clone()).unwrap_or_default(),
        target: mix.target,
        length: rng.random_range(mix.length.0..=mix.length.1),
        prefix: rng.random_range(0..PREFIXES),
    }
}

impl PlannedRequest {
    /// The request's body.
    #[must_use]
    pub fn body(&self, received: &str) -> Value {
        match self.target {
            Target::Service(_) => json!({"note": format!("tag={} len={}", self.tag, self.length)}),
            Target::Stream(model) | Target::NonStreaming(model) => {
                let beginning = format!("{} {} ", self.class, self.prefix).repeat(20);
                let prompt = format!("{beginning} tag={} len={} end", self.tag, self.length);
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

    /// The path that it is sent to.
    #[must_use]
    pub fn path(&self) -> String {
        match self.target {
            Target::Service(name) => format!("/services/{name}/post"),
            Target::Stream(_) | Target::NonStreaming(_) => "/v1/chat/completions".into(),
        }
    }
}

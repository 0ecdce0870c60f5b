//! Demand of each request class for the servers of a pool, as observed by this instance. Older
//! observations decay.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::load::fleet_demand::ClassSummary;
use crate::load::quantile::Quantile;

/// Time constant of the decay of observations.
const DECAY: Duration = Duration::from_secs(4);
/// Time constant of the decay of observed pauses, which are rarer than requests.
const PAUSE_DECAY: Duration = Duration::from_secs(10);
/// Time over which pauses were observed, in seconds, that is assumed at least.
const PAUSE_SECONDS_MIN: f64 = 1.0;
/// Decayed number of requests below which a class is forgotten.
const REQUESTS_MIN: f64 = 0.5;
/// Prompts up to this quantile of their prefill time count as usual for their class.
const USUAL_PROMPTS: f64 = 0.9;
/// Quantile of the observed prefill rates that is taken as the rate of an idle server: most prompts
/// wait behind others, and appear to be prefilled more slowly.
const IDLE_RATE: f64 = 0.9;
/// Step of the estimate of the usual prefill time.
const USUAL_PROMPTS_STEP: f64 = 0.15;
/// Step of the estimate of the prefill rate. It is small, as the rate itself doesn't change, while
/// prompts appear to be prefilled slowly under load, and fast when they are cached unexpectedly.
const RATE_STEP: f64 = 0.03;
/// Prefill rate assumed before the first observation, in tokens per ms.
const RATE_INITIAL: f64 = 40.0;
/// Prompt tokens from which a prompt shows the prefill rate; in shorter ones other delays prevail.
const RATE_PROMPT_MIN: u32 = 512;

/// Pauses between the events of responses, compared with the pause target of a class.
#[derive(Clone, Copy, Debug, Default)]
struct Pauses {
    /// Decayed number of pauses above the target.
    long: f64,
    /// Decayed time in which they were counted, in seconds.
    seconds: f64,
}

impl Pauses {
    fn record(&mut self, pause: Duration, target: Duration) {
        self.seconds += pause.as_secs_f64();
        if pause > target {
            self.long += 1.0;
        }
    }

    fn decay(&mut self, kept: f64) {
        self.long *= kept;
        self.seconds *= kept;
    }

    /// Fraction of the responses of `duration_s` seconds with a pause above the target.
    fn disturbed(&self, duration_s: f64) -> f64 {
        let rate = self.long / self.seconds.max(PAUSE_SECONDS_MIN);
        1.0 - (-rate * duration_s).exp()
    }
}

/// Observed demand of one class.
#[derive(Clone, Debug)]
struct ClassDemand {
    /// Target for the longest pause between the events of a response; `None` if there is none.
    gap_target: Option<Duration>,
    /// Decayed number of requests.
    requests: f64,
    /// Decayed sum of the requests' prefill times, in ms.
    prefill_ms: f64,
    /// Requests in flight: rises at once, and falls with the decay.
    in_flight: f64,
    /// Upper quantile of the requests' prefill times, in ms.
    usual_ms: Quantile,
    /// Pauses in responses of any class at servers that the class doesn't have to itself.
    shared_pauses: Pauses,
    /// Pauses in the class's own responses at the servers of its part.
    own_pauses: Pauses,
}

impl ClassDemand {
    fn new(gap_target: Option<Duration>) -> Self {
        Self {
            gap_target,
            requests: 0.0,
            prefill_ms: 0.0,
            in_flight: 0.0,
            usual_ms: Quantile::new(USUAL_PROMPTS, USUAL_PROMPTS_STEP),
            shared_pauses: Pauses::default(),
            own_pauses: Pauses::default(),
        }
    }

    /// Mean time that a request is in flight, in seconds, by Little's law.
    fn duration_s(&self) -> f64 {
        let rate = self.requests / DECAY.as_secs_f64();
        self.in_flight / rate.max(f64::MIN_POSITIVE)
    }

    #[expect(clippy::cast_possible_truncation, reason = "estimates")]
    fn summary(&self, class: &SmolStr, slots: f64) -> ClassSummary {
        let gap_ms = self.gap_target.map(|t| t.as_secs_f32() * 1_000.0);
        let prefill_s = self.prefill_ms / 1_000.0;
        ClassSummary {
            class: class.clone(),
            gap_ms: gap_ms.unwrap_or(f32::INFINITY),
            prefill_servers: (prefill_s / DECAY.as_secs_f64()) as f32,
            slot_servers: (self.in_flight / slots.max(1.0)) as f32,
            prefill_ms: self.usual_ms.value().unwrap_or_default() as f32,
            disturbed: self.shared_pauses.disturbed(self.duration_s()) as f32,
            crowded: self.own_pauses.disturbed(self.duration_s()) as f32,
        }
    }
}

/// Observed demand of all classes of a pool, and the prefill rate of its servers.
#[derive(Clone, Debug)]
pub struct Demand {
    classes: HashMap<SmolStr, ClassDemand>,
    /// Prefill rate of an idle server, in tokens per ms.
    rate: Quantile,
    updated: Option<Instant>,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            classes: HashMap::new(),
            rate: Quantile::starting_at(RATE_INITIAL, IDLE_RATE, RATE_STEP),
            updated: None,
        }
    }
}

impl Demand {
    /// Time that an idle server takes to prefill `tokens`, in ms.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.rate.value().unwrap_or(RATE_INITIAL)
    }

    /// Records that a request of `class` with `tokens` prompt tokens to be prefilled was sent.
    pub fn record_sent(&mut self, class: &SmolStr, gap_target: Option<Duration>, tokens: u32) {
        let prefill_ms = self.prefill_ms(f64::from(tokens));
        let demand = self
            .classes
            .entry(class.clone())
            .or_insert_with(|| ClassDemand::new(gap_target));
        demand.gap_target = gap_target;
        demand.requests += 1.0;
        demand.prefill_ms += prefill_ms;
        demand.usual_ms.record(prefill_ms);
    }

    /// Records the time from sending a request with `tokens` prompt tokens to its first token.
    pub fn record_first_token(&mut self, tokens: u32, took: Duration) {
        if tokens >= RATE_PROMPT_MIN {
            let took_ms = took.as_secs_f64() * 1_000.0;
            self.rate.record(f64::from(tokens) / took_ms.max(1.0));
        }
    }

    /// Records a pause between two events of a response of a class. `shared` tells for a class whether the server also
    /// takes requests of others.
    pub fn record_pause(&mut self, pause: Duration, class: &str, shared: impl Fn(&str) -> bool) {
        for (other, demand) in &mut self.classes {
            let Some(target) = demand.gap_target else {
                continue;
            };
            match other {
                other if shared(other) => demand.shared_pauses.record(pause, target),
                other if other == class => demand.own_pauses.record(pause, target),
                _ => {}
            }
        }
    }

    /// Lets older observations decay, and records the present number of requests in flight by class.
    pub fn update(&mut self, in_flight: &HashMap<SmolStr, u32>, now: Instant) {
        let elapsed = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated = Some(now);
        let kept = |decay: Duration| (-elapsed.as_secs_f64() / decay.as_secs_f64()).exp();
        let (kept, kept_pauses) = (kept(DECAY), kept(PAUSE_DECAY));
        self.classes.retain(|class, demand| {
            let present = in_flight.get(class).copied().unwrap_or_default();
            demand.requests *= kept;
            demand.prefill_ms *= kept;
            demand.shared_pauses.decay(kept_pauses);
            demand.own_pauses.decay(kept_pauses);
            let mean = demand.in_flight * kept + f64::from(present) * (1.0 - kept);
            demand.in_flight = mean.max(f64::from(present));
            demand.requests >= REQUESTS_MIN || present > 0
        });
    }

    /// The demand of each class, in no particular order, for servers of `slots` slots.
    pub fn summaries(&self, slots: f64) -> impl Iterator<Item = ClassSummary> {
        let classes = self.classes.iter();
        classes.map(move |(class, demand)| demand.summary(class, slots))
    }
}

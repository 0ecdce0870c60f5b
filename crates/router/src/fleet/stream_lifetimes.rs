//! How long streams of each service can last: by every configuration and every caller's deadline under which one that
//! is still alive may have begun, those of earlier instances included.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

/// Timeouts of its route that a stream lasts at most, over all attempts of its caller.
const STREAM_TIMEOUTS: u32 = 2;
/// Lifetime assumed for streams that may have begun under a configuration which nobody knows any more.
const UNKNOWN_LIFETIME: Duration = Duration::from_secs(30);
/// Longest deadline of a caller that is taken into account.
const MAX_DEADLINE: Duration = Duration::from_mins(1);
/// Longest lifetime that is taken into account, whatever a configuration or a record says.
const MAX_LIFETIME: Duration = Duration::from_hours(1);

/// The longest lifetime of the streams of each service.
pub type LifetimesByService = HashMap<SmolStr, Duration>;

/// How long a stream lasts at most, over all attempts of its caller, if its route has this timeout and the caller names
/// no later deadline.
#[must_use]
pub fn of_timeout(timeout: Duration) -> Duration {
    timeout.saturating_mul(STREAM_TIMEOUTS).min(MAX_LIFETIME)
}

/// A lifetime that streams had which began until some time ago.
#[derive(Clone, Copy, Debug)]
struct Past {
    lifetime: Duration,
    /// When the last of these streams has ended.
    until: Instant,
}

/// What is known of one service's streams.
#[derive(Debug, Default)]
struct Lifetimes {
    /// By the configuration in force.
    configured: Duration,
    past: Vec<Past>,
    /// Whether it is known what streams had that began before this instance started.
    complete: bool,
}

impl Lifetimes {
    /// Takes into account that streams have begun until now which last this long.
    fn add_past(&mut self, lifetime: Duration, now: Instant) {
        let until = now + lifetime;
        // One that lasted at least as long and ends no sooner says more.
        let covers = |p: &Past| p.lifetime >= lifetime && p.until >= until;
        if self.past.iter().any(covers) {
            return;
        }
        self.past
            .retain(|p| p.until > now && !(p.lifetime <= lifetime && p.until <= until));
        self.past.push(Past { lifetime, until });
    }

    fn configure(&mut self, lifetime: Duration, now: Instant) {
        if lifetime < self.configured {
            self.add_past(self.configured, now);
        }
        self.configured = lifetime;
    }

    fn longest(&self, now: Instant) -> Duration {
        let past = self.past.iter().filter(|p| p.until > now);
        let past = past.map(|p| p.lifetime).max();
        self.configured.max(past.unwrap_or_default())
    }
}

#[derive(Debug)]
struct State {
    services: HashMap<SmolStr, Lifetimes>,
    started: Instant,
    /// Whether nothing was before this instance started.
    first_start: bool,
}

/// The lifetimes of the streams of all services, as one instance knows them.
#[derive(Debug)]
pub struct StreamLifetimes {
    state: Mutex<State>,
}

impl Default for StreamLifetimes {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                services: HashMap::new(),
                started: Instant::now(),
                first_start: false,
            }),
        }
    }
}

impl StreamLifetimes {
    /// Replaces the lifetimes by the configuration in force. Streams that began under the one before keep theirs, also
    /// those of services that no route leads to any more.
    pub fn configure(&self, lifetimes: &LifetimesByService) {
        let now = Instant::now();
        let mut state = self.lock();
        for service in lifetimes.keys() {
            state.services.entry(service.clone()).or_default();
        }
        for (service, known) in &mut state.services {
            let lifetime = lifetimes.get(service).copied();
            known.configure(lifetime.unwrap_or_default(), now);
        }
    }

    /// Takes into account that a configuration with these lifetimes was in force until now, at other instances.
    pub fn record_past(&self, lifetimes: &LifetimesByService) {
        let now = Instant::now();
        let mut state = self.lock();
        for (service, lifetime) in lifetimes {
            let known = state.services.entry(service.clone()).or_default();
            known.add_past(*lifetime, now);
        }
    }

    /// Takes into account that configurations that this instance doesn't know were in force until now, at other instances.
    pub fn record_gap(&self) {
        let now = Instant::now();
        for known in self.lock().services.values_mut() {
            known.add_past(UNKNOWN_LIFETIME, now);
        }
    }

    /// Takes into account that a stream of `service` begins whose caller waits for `left`.
    pub fn record_deadline(&self, service: &SmolStr, left: Duration) {
        // Whole seconds, so that many deadlines have few lifetimes.
        let left = Duration::from_secs(left.as_millis().div_ceil(1_000).try_into().unwrap_or(0));
        let now = Instant::now();
        let mut state = self.lock();
        let known = state.services.entry(service.clone()).or_default();
        if left > known.configured {
            known.add_past(left.min(MAX_DEADLINE), now);
        }
    }

    /// Takes into account what the store's record says of streams that began until now, through any instance; `None` for
    /// a record of a build that didn't know it.
    pub fn learn(&self, service: &SmolStr, recorded: Option<Duration>) {
        let now = Instant::now();
        let mut state = self.lock();
        let first_start = state.first_start;
        let known = state.services.entry(service.clone()).or_default();
        match recorded {
            Some(lifetime) => known.add_past(lifetime.min(MAX_LIFETIME), now),
            None if known.complete || first_start => {}
            None => known.add_past(UNKNOWN_LIFETIME, now),
        }
        known.complete = true;
    }

    /// Takes into account that the whole system starts for the first time.
    pub fn begin(&self) {
        self.lock().first_start = true;
    }

    /// How long a stream of `service` that is still alive can have lasted.
    #[must_use]
    pub fn longest(&self, service: &str) -> Duration {
        let now = Instant::now();
        let state = self.lock();
        let known = state.services.get(service);
        let complete = state.first_start || known.is_some_and(|k| k.complete);
        let assumed = match now.saturating_duration_since(state.started) {
            age if !complete && age < UNKNOWN_LIFETIME => UNKNOWN_LIFETIME,
            _ => Duration::ZERO,
        };
        known.map_or(assumed, |k| k.longest(now).max(assumed))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! How long streams can last: by every configuration and every caller's deadline under which one that is still alive may
//! have begun, those of earlier instances included.
//!
//! The route of a stream that is taken up tells its lifetime by the present configuration. This module adds what the
//! present one doesn't tell: lifetimes that were lowered or whose route is gone, and deadlines beyond the route's timeout.
//! The store's record of a service holds them, and a digest of its routes, by which instances that all start anew see
//! whether the configuration has changed while none ran.

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

/// A lifetime of streams for each service.
pub type LifetimesByService = HashMap<SmolStr, Duration>;

/// How long a stream lasts at most, over all attempts of its caller, if its route has this timeout and the caller names
/// no later deadline.
#[must_use]
pub fn of_timeout(timeout: Duration) -> Duration {
    timeout.saturating_mul(STREAM_TIMEOUTS).min(MAX_LIFETIME)
}

/// The streams of one service by one configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceStreams {
    /// The longest lifetime of all routes.
    pub longest: Duration,
    /// Digest of the routes and their lifetimes.
    pub digest: u64,
}

/// The streams of each service by one configuration.
pub type StreamsByService = HashMap<SmolStr, ServiceStreams>;

/// What the store's record says of the lifetimes of one service's streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedLifetimes {
    /// Version of the configuration on which it is based.
    pub config: u64,
    /// The streams by that configuration.
    pub streams: ServiceStreams,
    /// The longest lifetime of streams that may be alive beyond what that configuration says of their route.
    pub past: Duration,
}

impl RecordedLifetimes {
    /// The longest lifetime of all.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.streams.longest.max(self.past)
    }

    /// Whether nothing in `own` has to be added.
    #[must_use]
    pub fn covers(&self, own: &Self) -> bool {
        let same = self.streams == own.streams && self.past == own.past;
        same || self.config > own.config
    }
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
    streams: ServiceStreams,
    past: Vec<Past>,
    /// A record that waits for the first configuration.
    unread: Option<RecordedLifetimes>,
    /// Whether it is known what streams had that began before this instance started.
    complete: bool,
}

impl Lifetimes {
    /// Takes into account that streams have begun until now which last this long.
    fn add_past(&mut self, lifetime: Duration, now: Instant) {
        let lifetime = lifetime.min(MAX_LIFETIME);
        let until = now + lifetime;
        // One that lasted at least as long and ends no sooner says more.
        let covers = |p: &Past| p.lifetime >= lifetime && p.until >= until;
        if lifetime.is_zero() || self.past.iter().any(covers) {
            return;
        }
        self.past
            .retain(|p| p.until > now && !(p.lifetime <= lifetime && p.until <= until));
        self.past.push(Past { lifetime, until });
    }

    /// Reads a record of the time before this instance started.
    fn read(&mut self, recorded: &RecordedLifetimes, now: Instant) {
        let same = recorded.streams.digest == self.streams.digest;
        let past = if same {
            recorded.past
        } else {
            recorded.longest()
        };
        self.add_past(past, now);
        self.complete = true;
    }

    fn past(&self, now: Instant) -> Duration {
        let past = self.past.iter().filter(|p| p.until > now);
        past.map(|p| p.lifetime).max().unwrap_or_default()
    }
}

#[derive(Debug)]
struct State {
    services: HashMap<SmolStr, Lifetimes>,
    /// Version of the configuration; `None` before there is one.
    config: Option<u64>,
    started: Instant,
    /// Whether nothing was before this instance started.
    first_start: bool,
}

impl State {
    fn service(&mut self, service: &SmolStr) -> &mut Lifetimes {
        self.services.entry(service.clone()).or_default()
    }

    /// Adds lifetimes of streams that began until now.
    fn add(&mut self, lifetimes: &LifetimesByService, now: Instant) {
        for (service, lifetime) in lifetimes {
            self.service(service).add_past(*lifetime, now);
        }
    }

    fn past(&self, service: &str, now: Instant) -> Duration {
        let known = self.services.get(service);
        let complete = self.first_start || known.is_some_and(|k| k.complete);
        let assumed = match now.saturating_duration_since(self.started) {
            age if !complete && age < UNKNOWN_LIFETIME => UNKNOWN_LIFETIME,
            _ => Duration::ZERO,
        };
        known.map_or(assumed, |k| k.past(now).max(assumed))
    }
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
                config: None,
                started: Instant::now(),
                first_start: false,
            }),
        }
    }
}

impl StreamLifetimes {
    /// Takes over a configuration of this version. `lowered` are the lifetimes that are longer by the one before, for
    /// the same paths.
    pub fn configure(
        &self,
        version: u64,
        mut streams: StreamsByService,
        lowered: &LifetimesByService,
    ) {
        let now = Instant::now();
        let mut state = self.lock();
        state.add(lowered, now);
        state.config = Some(version);
        for service in streams.keys() {
            state.service(service);
        }
        for (service, known) in &mut state.services {
            known.streams = streams.remove(service).unwrap_or_default();
            if let Some(recorded) = known.unread.take() {
                known.read(&recorded, now);
            }
        }
    }

    /// Takes into account that a configuration was in force until now, at other instances, by which these lifetimes are
    /// longer.
    pub fn record_past(&self, lowered: &LifetimesByService) {
        self.lock().add(lowered, Instant::now());
    }

    /// Takes into account that configurations that this instance doesn't know were in force until now, at other instances.
    pub fn record_gap(&self) {
        let now = Instant::now();
        for known in self.lock().services.values_mut() {
            known.add_past(UNKNOWN_LIFETIME, now);
        }
    }

    /// Takes into account that a stream of `service` begins whose caller waits for `left`, on a route by which its streams
    /// last for `configured`.
    pub fn record_deadline(&self, service: &SmolStr, left: Duration, configured: Duration) {
        if left <= configured {
            return;
        }
        // Whole seconds, so that many deadlines have few lifetimes.
        let left = Duration::from_secs(left.as_millis().div_ceil(1_000).try_into().unwrap_or(0));
        let now = Instant::now();
        self.lock()
            .service(service)
            .add_past(left.min(MAX_DEADLINE), now);
    }

    /// Takes into account what the store's record says of streams that began until now, through any instance; `None` for
    /// a record of a build that didn't know it.
    pub fn learn(&self, service: &SmolStr, recorded: Option<&RecordedLifetimes>) {
        let now = Instant::now();
        let mut state = self.lock();
        let (first_start, configured) = (state.first_start, state.config.is_some());
        let known = state.service(service);
        match recorded {
            // This instance has seen the changes itself since it started.
            Some(recorded) if known.complete || first_start => known.add_past(recorded.past, now),
            None if known.complete || first_start => {}
            Some(recorded) if configured => known.read(recorded, now),
            Some(recorded) => known.unread = Some(*recorded),
            None => {
                known.add_past(UNKNOWN_LIFETIME, now);
                known.complete = true;
            }
        }
    }

    /// Takes into account that the whole system starts for the first time.
    pub fn begin(&self) {
        self.lock().first_start = true;
    }

    /// The longest lifetime of streams of `service` that may be alive beyond what the present configuration says of their
    /// route.
    #[must_use]
    pub fn past(&self, service: &str) -> Duration {
        self.lock().past(service, Instant::now())
    }

    /// What is to be recorded of `service`; `None` before there is a configuration.
    #[must_use]
    pub fn to_record(&self, service: &str) -> Option<RecordedLifetimes> {
        let now = Instant::now();
        let state = self.lock();
        let known = state.services.get(service);
        Some(RecordedLifetimes {
            config: state.config?,
            streams: known.map(|k| k.streams).unwrap_or_default(),
            past: state.past(service, now),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

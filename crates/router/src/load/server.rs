//! What an instance knows of one backend server: load, speed and health.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::config::object::{BackendServer, Level};

new_key_type! {
    /// A backend server of a pool.
    pub struct ServerId;
}

/// Levels that are counted apart; less important ones are counted with the last.
const LEVELS: usize = 8;
/// Weight of a new sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Age at which a load report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// First time that a failed server gets no work.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest time that a failed server gets no work before it is tried again.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Mean gap between tokens, against the pool's median, from which a server counts as a straggler.
const STRAGGLER_RATIO: f64 = 2.5;
/// Time for which a peer's word that a server is leaving holds.
const LEAVING_HOLD: Duration = Duration::from_secs(10);
/// Samples of the gap that are needed for a verdict.
const STRAGGLER_SAMPLES: u32 = 20;

/// A backend server's own word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that it has accepted and not started.
    pub waiting: u32,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    report: LoadReport,
    own: u32,
    at: Instant,
}

/// Whether a server gets work.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Circuit {
    Closed,
    Open { until: Instant, backoff: Duration },
}

/// What an instance knows of one backend server.
#[derive(Debug)]
pub struct Server {
    /// The server as declared.
    pub declared: BackendServer,
    /// Whether it stands in the instance's own data centre.
    pub local: bool,
    left: bool,
    left_until: Option<Instant>,
    in_flight: u32,
    yielding: [u32; LEVELS],
    unstarted: [u32; LEVELS],
    /// When the newest request that has started was sent, by level.
    begun: [Option<Instant>; LEVELS],
    heard: Option<Heard>,
    gap_ms: f64,
    gap_samples: u32,
    straggling: bool,
    circuit: Circuit,
}

impl Server {
    /// A server of which nothing is known yet.
    #[must_use]
    pub const fn new(declared: BackendServer, local: bool) -> Self {
        Self {
            declared,
            local,
            left: false,
            left_until: None,
            in_flight: 0,
            yielding: [0; LEVELS],
            unstarted: [0; LEVELS],
            begun: [None; LEVELS],
            heard: None,
            gap_ms: 0.0,
            gap_samples: 0,
            straggling: false,
            circuit: Circuit::Closed,
        }
    }

    /// The server's name.
    #[must_use]
    pub const fn name(&self) -> &SmolStr {
        &self.declared.name
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.declared.address
    }

    /// Whether it may get new work now.
    #[must_use]
    pub fn open(&self, now: Instant) -> bool {
        let closed = match self.circuit {
            Circuit::Closed => true,
            Circuit::Open { until, .. } => until <= now && self.in_flight == 0,
        };
        closed && !self.leaving(now)
    }

    /// Whether it is leaving, by declaration, its own word or a peer's.
    #[must_use]
    pub fn leaving(&self, now: Instant) -> bool {
        let said = self.left || self.left_until.is_some_and(|until| until > now);
        said || self.declared.leaving
    }

    /// Takes in a peer's word that it is leaving, against older reports of its own.
    pub fn leave(&mut self, now: Instant) {
        self.left_until = Some(now + LEAVING_HOLD);
    }

    /// Whether it answers much more slowly than the others of its pool.
    #[must_use]
    pub const fn straggling(&self) -> bool {
        self.straggling
    }

    /// Requests that this instance has there.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests that this instance has unstarted there, of `level` or more important.
    #[must_use]
    pub fn unstarted(&self, level: Level) -> u32 {
        self.unstarted[..=slot(level)].iter().sum()
    }

    /// Slots that are likely free, from this instance's own count and the last report.
    #[must_use]
    pub fn free(&self, now: Instant) -> u32 {
        self.declared.slots.saturating_sub(self.occupied(now))
    }

    /// How full it is; 1.0 when every slot is taken.
    #[must_use]
    pub fn fullness(&self, now: Instant) -> f64 {
        f64::from(self.occupied(now)) / f64::from(self.declared.slots.max(1))
    }

    fn occupied(&self, now: Instant) -> u32 {
        let others = self.heard.map_or(0.0, |heard| {
            let total = heard.report.running + heard.report.waiting;
            let others = f64::from(total.saturating_sub(heard.own));
            let age = now.saturating_duration_since(heard.at);
            others * 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64())
        });
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small and positive"
        )]
        let others = others.round() as u32;
        self.in_flight + others
    }

    /// Counts a request that was sent there.
    pub fn sent(&mut self, level: Level) {
        self.in_flight += 1;
        self.unstarted[slot(level)] += 1;
    }

    /// Notes that a request of `level`, sent at `sent`, has started.
    pub fn begun(&mut self, level: Level, sent: Instant) {
        let newest = &mut self.begun[slot(level)];
        *newest = (*newest).max(Some(sent));
    }

    /// Whether a request that isn't more important, and was sent after `sent`, has started.
    #[must_use]
    pub fn overtakes(&self, level: Level, sent: Instant) -> bool {
        let later = self.begun[slot(level)..].iter().flatten();
        later.copied().any(|other| other > sent)
    }

    /// Counts the first token of a request.
    pub fn started(&mut self, level: Level) {
        let n = &mut self.unstarted[slot(level)];
        *n = n.saturating_sub(1);
    }

    /// Counts a running request of this instance that can make room for a more important one, or its
    /// end.
    pub fn yields(&mut self, level: Level, more: bool) {
        let n = &mut self.yielding[slot(level)];
        *n = if more { *n + 1 } else { n.saturating_sub(1) };
    }

    /// Whether a running request of this instance can make room here for one of `level`.
    #[must_use]
    pub fn can_yield(&self, level: Level) -> bool {
        self.yielding[slot(level) + 1..].iter().any(|n| *n > 0)
    }

    /// Counts the end of a request; `started` tells whether its first token came.
    pub fn ended(&mut self, level: Level, started: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !started {
            self.started(level);
        }
    }

    /// Takes in a load report.
    pub fn record_load(&mut self, report: LoadReport, now: Instant) {
        self.left = report.leaving;
        self.heard = Some(Heard {
            report,
            own: self.in_flight,
            at: now,
        });
    }

    /// Takes in the mean gap between tokens of a finished answer, in ms.
    pub fn measured(&mut self, gap_ms: f64) {
        self.gap_ms = match self.gap_samples {
            0 => gap_ms,
            _ => self.gap_ms + EWMA_WEIGHT * (gap_ms - self.gap_ms),
        };
        self.gap_samples = self.gap_samples.saturating_add(1);
    }

    /// Takes in a sample of the gap from an answer still under way, in ms.
    pub fn record_gap(&mut self, gap_ms: f64) {
        if self.gap_samples < STRAGGLER_SAMPLES || gap_ms < self.gap_ms * STRAGGLER_RATIO {
            self.measured(gap_ms);
        } else {
            self.gap_ms += EWMA_WEIGHT * 3.0 * (gap_ms - self.gap_ms);
        }
    }

    /// The mean gap between tokens, in ms, once there are samples enough.
    #[must_use]
    pub fn gap_ms(&self) -> Option<f64> {
        (self.gap_samples >= STRAGGLER_SAMPLES).then_some(self.gap_ms)
    }

    /// Judges the server against the pool's median gap, and tells whether the verdict is new.
    pub fn judge(&mut self, median_ms: f64) -> bool {
        let straggling = self
            .gap_ms()
            .is_some_and(|gap| gap > median_ms * STRAGGLER_RATIO);
        let new = straggling != self.straggling;
        self.straggling = straggling;
        new
    }

    /// Counts a failure: the server gets no work for a while, longer each time. Tells whether it got
    /// work before.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) -> bool {
        let (was_closed, backoff) = match self.circuit {
            Circuit::Closed => (true, BACKOFF_MIN),
            Circuit::Open { until, backoff } if until > now => (false, backoff),
            Circuit::Open { backoff, .. } => (false, (backoff * 2).min(BACKOFF_MAX)),
        };
        let until = now + backoff.mul_f64(1.0 + jitter * 0.5);
        self.circuit = Circuit::Open { until, backoff };
        self.heard = None;
        was_closed
    }

    /// Counts a success: the server gets work again. Tells whether it got none before.
    pub fn succeeded(&mut self) -> bool {
        let was_open = self.circuit != Circuit::Closed;
        self.circuit = Circuit::Closed;
        was_open
    }
}

fn slot(level: Level) -> usize {
    usize::from(level).min(LEVELS - 1)
}

//! Relative speed of a pool's servers, from the work times that they state to all instances.
//!
//! An instance of a large fleet meets each server too seldom to measure it alone. So each keeps an estimate of every
//! server's usual work time that it moves towards what the server states, and towards the estimates of its peers. Servers are
//! told apart in octaves (factors of two) only, so that instances with slightly different estimates agree.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::rendezvous;

/// Short hash of a server's name.
pub type NameHash = u32;
/// Difference of speed between servers in factors of two; slower servers are positive.
pub type Octave = i8;

/// Least weight of a new sample in the estimate.
const SAMPLE_WEIGHT_MIN: f64 = 0.5;
/// Largest deviation of a sample from the estimate that counts, as a natural logarithm.
const DEVIATION_MAX: f64 = 0.5;
/// Weight of a peer's estimate that rests on many more samples.
const PEER_WEIGHT: f64 = 0.5;
/// Part of the fewer samples that counts beside the more when estimates are merged: some are the same.
const COMMON_WEIGHT: f64 = 0.25;
/// Samples that are remembered at most.
const SAMPLES_MAX: f64 = 20.0;
/// Time constant in which samples are forgotten.
const SAMPLES_DECAY: Duration = Duration::from_secs(20);
/// Samples from which an estimate is compared with others.
const SAMPLES_MIN: f64 = 2.0;
/// Samples at which an estimate counts half.
const SHRINKAGE_SAMPLES: f64 = 1.0;
/// Servers with an estimate from which they are compared.
const SERVERS_MIN: usize = 4;
/// Distance from the present octave at which a server changes it (hysteresis).
const OCTAVE_TOLERANCE: f64 = 0.7;
/// Octaves that are told apart.
const OCTAVE_MAX: f64 = 1.0;
/// Estimates in one message to a peer.
const SUMMARIES_MAX: usize = 16;
/// Units of [`SpeedSummary`] per unit of the natural logarithm.
const SUMMARY_UNITS: f64 = 256.0;

/// Estimate of one server's work time, as exchanged between instances: hash of its name, logarithm of the time, and
/// number of samples. A tuple, as many are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSummary(NameHash, i16, u8);

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Natural logarithm of the work time, in percent.
    log_percent: f64,
    samples: f64,
    octave: Octave,
}

impl Estimate {
    fn record(&mut self, log_percent: f64) {
        let weight = (1.0 / (self.samples + 1.0)).max(SAMPLE_WEIGHT_MIN);
        let deviation = match log_percent - self.log_percent {
            all if self.samples < 1.0 => all,
            some => some.clamp(-DEVIATION_MAX, DEVIATION_MAX),
        };
        self.log_percent += weight * deviation;
        self.samples = (self.samples + 1.0).min(SAMPLES_MAX);
    }

    fn merge(&mut self, log_percent: f64, samples: f64) {
        let weight = match self.samples {
            own if own < 1.0 => 1.0,
            own => PEER_WEIGHT * samples / (samples + own),
        };
        self.log_percent += weight * (log_percent - self.log_percent);
        let (fewer, more) = (self.samples.min(samples), self.samples.max(samples));
        self.samples = (more + fewer * COMMON_WEIGHT).min(SAMPLES_MAX);
    }

    /// Compares the estimate with the pool's median; returns whether the octave changed.
    fn compare(&mut self, median: f64) -> bool {
        let trust = self.samples / (self.samples + SHRINKAGE_SAMPLES);
        let octaves = (self.log_percent - median) * trust / std::f64::consts::LN_2;
        let octaves = octaves.clamp(-OCTAVE_MAX, OCTAVE_MAX);
        if (octaves - f64::from(self.octave)).abs() <= OCTAVE_TOLERANCE {
            return false;
        }
        #[expect(clippy::cast_possible_truncation, reason = "between -1 and 1")]
        let rounded = octaves.round() as Octave;
        let changed = rounded != self.octave;
        self.octave = rounded;
        changed
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "casts saturate"
    )]
    fn summary(&self, server: NameHash) -> SpeedSummary {
        let log = (self.log_percent * SUMMARY_UNITS).round() as i16;
        SpeedSummary(server, log, self.samples as u8)
    }
}

/// Relative speeds of a pool's servers. Without observations all are equal.
#[derive(Clone, Debug, Default)]
pub struct ServerSpeeds {
    estimates: BTreeMap<NameHash, Estimate>,
    updated: Option<Instant>,
}

impl ServerSpeeds {
    /// Records that work takes `percent` of the usual time at `server`.
    pub fn record(&mut self, server: &str, percent: u32) {
        let estimate = self.estimates.entry(name_hash(server)).or_default();
        estimate.record(f64::from(percent.max(1)).ln());
    }

    /// Moves the estimates towards those of a peer.
    pub fn merge(&mut self, peer: &[SpeedSummary]) {
        for SpeedSummary(server, log, samples) in peer.iter().filter(|s| s.2 > 0) {
            let estimate = self.estimates.entry(*server).or_default();
            estimate.merge(f64::from(*log) / SUMMARY_UNITS, f64::from(*samples));
        }
    }

    /// Some of the estimates, to be sent to a peer. `start` selects which, and differs from call to call.
    #[must_use]
    pub fn summaries(&self, start: usize) -> Vec<SpeedSummary> {
        let start = start.checked_rem(self.estimates.len()).unwrap_or(0);
        let rotated = self.estimates.iter().cycle().skip(start);
        rotated
            .take(SUMMARIES_MAX.min(self.estimates.len()))
            .filter(|(_, e)| e.samples >= 1.0)
            .map(|(server, e)| e.summary(*server))
            .collect()
    }

    /// Forgets other servers than `servers` and compares the rest. Returns those whose octave changed.
    pub fn update<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> Vec<&'a str> {
        if self.estimates.is_empty() {
            self.decay(now);
            return Vec::new();
        }
        let names: BTreeMap<NameHash, &str> = servers.map(|name| (name_hash(name), name)).collect();
        self.estimates
            .retain(|server, _| names.contains_key(server));
        self.decay(now);
        let Some(median) = self.median() else {
            return Vec::new();
        };
        let changed = self.estimates.iter_mut().filter_map(|(server, estimate)| {
            let changed = estimate.samples >= 1.0 && estimate.compare(median);
            changed.then(|| names[server])
        });
        changed.collect()
    }

    /// Whether no server of the pool has stated how long work takes on its machine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }

    /// How many times as long work takes at a server as at the median one, as a power of two.
    #[must_use]
    pub fn slowness(&self, server: &str) -> f64 {
        let estimate = self.estimates.get(&name_hash(server));
        estimate.map_or(1.0, |e| f64::from(e.octave).exp2())
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated = Some(now);
        let kept = (-elapsed.as_secs_f64() / SAMPLES_DECAY.as_secs_f64()).exp();
        for estimate in self.estimates.values_mut() {
            estimate.samples *= kept;
        }
    }

    /// The median estimate; `None` while there are too few.
    fn median(&self) -> Option<f64> {
        let known = self.estimates.values().filter(|e| e.samples >= SAMPLES_MIN);
        let mut logs: Vec<f64> = known.map(|e| e.log_percent).collect();
        logs.sort_by(f64::total_cmp);
        (logs.len() >= SERVERS_MIN).then(|| logs[logs.len() / 2])
    }
}

#[expect(clippy::cast_possible_truncation, reason = "a part of the hash")]
fn name_hash(server: &str) -> NameHash {
    rendezvous::hash(server.as_bytes()) as NameHash
}

//! The faults of a run and their schedule, which is drawn from the seed of the run.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;
use crate::traffic::Burst;

/// A kind of fault that can be injected into a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request rate of one class triples.
    Burst,
    /// One server runs at a fifth of its normal speed.
    Straggler,
    /// Two servers crash one after the other, and restart without any state.
    ServerCrash,
    /// A server reports that it is leaving.
    ServerLeaving,
    /// The platform does not reply for some time.
    PlatformOutage,
    /// The platform replies slowly for some time.
    PlatformSlow,
    /// The platform applies some writes without replying.
    LostReplies,
    /// An instance is killed and replaced.
    InstanceKill,
    /// An instance is blocked for some time.
    InstancePause,
    /// An instance is drained and replaced.
    InstanceDrain,
    /// The network between data centres is partitioned.
    Partition,
    /// Several operators change the configuration concurrently.
    ConcurrentOperators,
    /// Two servers name a rate limit; one changes it, and both withdraw it.
    RateLimit,
    /// One request crashes each server that begins to run it, and comes again and again.
    CrashingRequest,
    /// Servers delay some responses.
    DelayedResponses,
    /// Servers send the response of another request for some requests.
    MismatchedResponses,
}

/// All faults, with their names on the command line.
pub const NAMES: &[(&str, Fault)] = &[
    ("burst", Fault::Burst),
    ("straggler", Fault::Straggler),
    ("engine-crash", Fault::ServerCrash),
    ("engine-leaving", Fault::ServerLeaving),
    ("platform-outage", Fault::PlatformOutage),
    ("platform-slow", Fault::PlatformSlow),
    ("lost-reply", Fault::LostReplies),
    ("instance-kill", Fault::InstanceKill),
    ("instance-pause", Fault::InstancePause),
    ("instance-drain", Fault::InstanceDrain),
    ("partition", Fault::Partition),
    ("operator-race", Fault::ConcurrentOperators),
    ("rate-limit", Fault::RateLimit),
    ("crashing-request", Fault::CrashingRequest),
    ("late-answers", Fault::DelayedResponses),
    ("crossed-answers", Fault::MismatchedResponses),
];

/// Parses a comma-separated list of fault names. Empty names are skipped.
///
/// # Errors
/// If a name is unknown; the message lists the known names.
pub fn parse(list: &str) -> Result<Vec<Fault>, String> {
    let entries = list.split(',').filter(|w| !w.is_empty());
    entries
        .map(|wanted| {
            let known = NAMES.iter().find(|(name, _)| *name == wanted);
            known.map(|(_, fault)| *fault).ok_or_else(|| {
                let names: Vec<&str> = NAMES.iter().map(|(name, _)| *name).collect();
                format!(
                    "unknown fault {wanted}; known faults are {}",
                    names.join(", ")
                )
            })
        })
        .collect()
}

/// An action on one of the systems of a run. Servers and instances are given by their index.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the step time of a server, in percent of its normal step time.
    SetStepPercent(usize, u64),
    /// Crashes a server.
    Crash(usize),
    /// Restarts a crashed server.
    Recover(usize),
    /// Marks a server as leaving.
    MarkLeaving(usize),
    /// Sets the rate limit that a server names, in requests a second; `None` withdraws it.
    NameLimit(usize, Option<f64>),
    /// Starts (true) or ends (false) an outage of the platform.
    Outage(bool),
    /// Sets the latency of calls to the platform, in ms.
    Latency(u64),
    /// Kills an instance.
    Kill(usize),
    /// Blocks an instance for that time.
    Pause(usize, Duration),
    /// Drains an instance.
    Drain(usize),
    /// Starts a replacement of an instance.
    Replace(usize),
    /// Separates the instances in the first data centre from the others.
    Partition,
    /// Ends the partition.
    HealPartition,
}

/// The faults of one run, with their times.
#[derive(Clone, Debug, Default)]
pub struct FaultSchedule {
    /// Bursts of traffic; they are part of the traffic plan.
    pub bursts: Vec<Burst>,
    /// Actions in order of their time, which is relative to the start of the run.
    pub actions: Vec<(Duration, Action)>,
}

/// Draws times and targets of `faults` for a run with traffic of duration `length` after `warm_up`.
#[must_use]
pub fn schedule(
    faults: &[Fault],
    deployment: &Deployment,
    seed: u64,
    length: Duration,
    instances: usize,
    warm_up: Duration,
) -> FaultSchedule {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let servers = deployment
        .declarations
        .backend_server
        .iter()
        .filter(|s| s.model.is_some())
        .count();
    let mut schedule = FaultSchedule::default();
    for fault in faults {
        let from = warm_up + length.mul_f64(rng.random_range(0.15..0.35));
        let to = warm_up + length.mul_f64(rng.random_range(0.55..0.75));
        let server = rng.random_range(0..servers.max(1));
        let instance = rng.random_range(0..instances.max(1));
        let mut add = |at: Duration, action| schedule.actions.push((at, action));
        match fault {
            Fault::Burst => {
                if let Some(traffic) = deployment.traffic.choose(&mut rng) {
                    schedule.bursts.push(Burst {
                        class: traffic.class.into(),
                        from,
                        to,
                    });
                }
            }
            Fault::Straggler => {
                add(from, Action::SetStepPercent(server, 500));
                add(to, Action::SetStepPercent(server, 100));
            }
            Fault::ServerCrash => {
                let second =
                    (server + 1 + rng.random_range(0..servers.max(2) - 1)) % servers.max(1);
                add(from, Action::Crash(server));
                add(from + Duration::from_millis(1_500), Action::Recover(server));
                add(to, Action::Crash(second));
                add(to + Duration::from_millis(1_500), Action::Recover(second));
            }
            Fault::RateLimit => {
                let second = (server + 1) % servers.max(1);
                let changed = (from + to) / 2;
                add(from, Action::NameLimit(server, Some(2.0)));
                add(from, Action::NameLimit(second, Some(1.0)));
                add(changed, Action::NameLimit(server, Some(4.0)));
                add(to, Action::NameLimit(server, None));
                add(to, Action::NameLimit(second, None));
            }
            Fault::ServerLeaving => add(from, Action::MarkLeaving(server)),
            Fault::PlatformOutage => {
                add(from, Action::Outage(true));
                add(to, Action::Outage(false));
            }
            Fault::PlatformSlow => {
                add(from, Action::Latency(400));
                add(to, Action::Latency(2));
            }
            Fault::InstanceKill => {
                add(from, Action::Kill(instance));
                add(from + Duration::from_secs(1), Action::Replace(instance));
            }
            Fault::InstancePause => {
                add(
                    from,
                    Action::Pause(
                        instance,
                        Duration::from_millis(rng.random_range(1_500..4_000)),
                    ),
                );
            }
            Fault::InstanceDrain => {
                add(from, Action::Drain(instance));
                add(from + Duration::from_secs(2), Action::Replace(instance));
            }
            Fault::Partition => {
                add(from, Action::Partition);
                add(to, Action::HealPartition);
            }
            Fault::LostReplies
            | Fault::ConcurrentOperators
            | Fault::CrashingRequest
            | Fault::DelayedResponses
            | Fault::MismatchedResponses => {}
        }
    }
    schedule.actions.sort_by_key(|(at, _)| *at);
    schedule
}

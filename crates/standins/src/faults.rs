//! The faults of a run: what strikes when, drawn from the run's seed.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;
use crate::traffic::Burst;

/// A fault that a run can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One class asks for three times as much.
    Burst,
    /// One engine is five times slower.
    Straggler,
    /// Engines die and come back empty.
    EngineCrash,
    /// An engine says that it is leaving.
    EngineLeaving,
    /// The platform doesn't reply.
    PlatformOutage,
    /// The platform replies slowly.
    PlatformSlow,
    /// Replies of the platform are lost after their effect.
    LostReply,
    /// An instance dies and is replaced.
    InstanceKill,
    /// An instance stands still.
    InstancePause,
    /// An instance is asked to leave, and is replaced.
    InstanceDrain,
    /// Data centres lose sight of each other.
    Partition,
    /// Operators race each other's changes.
    OperatorRace,
    /// Engines answer late.
    LateAnswers,
    /// Engines answer with another request's answer.
    CrossedAnswers,
}

/// Every fault by its name.
pub const NAMES: &[(&str, Fault)] = &[
    ("burst", Fault::Burst),
    ("straggler", Fault::Straggler),
    ("engine-crash", Fault::EngineCrash),
    ("engine-leaving", Fault::EngineLeaving),
    ("platform-outage", Fault::PlatformOutage),
    ("platform-slow", Fault::PlatformSlow),
    ("lost-reply", Fault::LostReply),
    ("instance-kill", Fault::InstanceKill),
    ("instance-pause", Fault::InstancePause),
    ("instance-drain", Fault::InstanceDrain),
    ("partition", Fault::Partition),
    ("operator-race", Fault::OperatorRace),
    ("late-answers", Fault::LateAnswers),
    ("crossed-answers", Fault::CrossedAnswers),
];

/// Reads a list of faults, separated by commas.
///
/// # Errors
/// When a name is unknown, with the names that are known.
pub fn parse(list: &str) -> Result<Vec<Fault>, String> {
    let words = list.split(',').filter(|w| !w.is_empty());
    words
        .map(|word| {
            let known = NAMES.iter().find(|(name, _)| *name == word);
            known.map(|(_, fault)| *fault).ok_or_else(|| {
                let names: Vec<&str> = NAMES.iter().map(|(name, _)| *name).collect();
                format!("there is no fault {word}; there are {}", names.join(", "))
            })
        })
        .collect()
}

/// What happens at one time of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The engine at that place becomes so slow, in percent.
    Slow(usize, u64),
    /// The engine at that place dies.
    Crash(usize),
    /// It comes back.
    Recover(usize),
    /// It says that it is leaving.
    Leave(usize),
    /// The platform stops or begins to reply.
    Outage(bool),
    /// The platform's calls take so long, in ms.
    Latency(u64),
    /// The instance at that place dies.
    Kill(usize),
    /// It stands still.
    Pause(usize, Duration),
    /// It is asked to leave.
    Drain(usize),
    /// It is replaced.
    Replace(usize),
    /// The first data centre is cut off from the others.
    Cut,
    /// The cut heals.
    Heal,
}

/// The faults of one run.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// Times in which a class asks for more.
    pub bursts: Vec<Burst>,
    /// What happens when, by time.
    pub actions: Vec<(Duration, Action)>,
}

/// Draws the times and places of `faults` for a run of `length` after its `warm_up`.
#[must_use]
pub fn schedule(
    faults: &[Fault],
    deployment: &Deployment,
    seed: u64,
    length: Duration,
    instances: usize,
    warm_up: Duration,
) -> Schedule {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let servers = deployment
        .declarations
        .backend_server
        .iter()
        .filter(|s| s.model.is_some())
        .count();
    let mut schedule = Schedule::default();
    for fault in faults {
        let from = warm_up + length.mul_f64(rng.random_range(0.15..0.35));
        let to = warm_up + length.mul_f64(rng.random_range(0.55..0.75));
        let engine = rng.random_range(0..servers.max(1));
        let instance = rng.random_range(0..instances.max(1));
        let mut add = |at: Duration, action| schedule.actions.push((at, action));
        match fault {
            Fault::Burst => {
                if let Some(mix) = deployment.mix.choose(&mut rng) {
                    schedule.bursts.push(Burst {
                        class: mix.class.into(),
                        from,
                        to,
                    });
                }
            }
            Fault::Straggler => {
                add(from, Action::Slow(engine, 500));
                add(to, Action::Slow(engine, 100));
            }
            Fault::EngineCrash => {
                let second =
                    (engine + 1 + rng.random_range(0..servers.max(2) - 1)) % servers.max(1);
                add(from, Action::Crash(engine));
                add(from + Duration::from_millis(1_500), Action::Recover(engine));
                add(to, Action::Crash(second));
                add(to + Duration::from_millis(1_500), Action::Recover(second));
            }
            Fault::EngineLeaving => add(from, Action::Leave(engine)),
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
                add(from, Action::Cut);
                add(to, Action::Heal);
            }
            Fault::LostReply | Fault::OperatorRace | Fault::LateAnswers | Fault::CrossedAnswers => {
            }
        }
    }
    schedule.actions.sort_by_key(|(at, _)| *at);
    schedule
}

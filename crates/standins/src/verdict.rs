//! Judges a run by the ledgers of the stand-ins and by what its callers saw.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::caller::{Outcome, RequestRecord};
use crate::deployment::Deployment;
use crate::execution_log::{ExecutionRecords, ExecutionStart, Tag};

/// Time around a refusal within which less important work counts as waiting or started beside it.
const BESIDE: Duration = Duration::from_millis(250);
/// Time after a pause within which less important work counts as started in its place.
const IN_PLACE: Duration = Duration::from_millis(50);

/// Refusals that have another reason than too much work.
const NOT_SHED: [&str; 5] = [
    "platform_unavailable",
    "outcome_unknown",
    "idempotency_key_running",
    "idempotency_key_complete",
    "idempotency_key_outside_window",
];

/// What a run did that must never happen.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    /// A request gave way while less important work waited or started.
    pub tier_inversion: Vec<String>,
    /// A class that waited made no progress within its bound.
    pub starved: Vec<String>,
    /// An accepted request that may be repeated didn't get its whole answer.
    pub incomplete: Vec<String>,
    /// A caller got a piece of another request's answer.
    pub crossed: Vec<String>,
    /// A request that must not run twice did.
    pub ran_twice: Vec<String>,
    /// A caller was told that its request wasn't run, and it was.
    pub false_not_run: Vec<String>,
    /// A leaving server was offered work too late.
    pub work_after_leaving: Vec<String>,
    /// A planned stop cut a request off.
    pub cut_by_stop: Vec<String>,
    /// An instance went back to an older configuration.
    pub config_reverted: Vec<String>,
    /// A change wasn't in force everywhere in time.
    pub config_late: Vec<String>,
}

impl Violations {
    /// Each kind with its cases.
    #[must_use]
    pub fn all(&self) -> [(&'static str, &Vec<String>); 10] {
        [
            ("tier_inversion", &self.tier_inversion),
            ("starved", &self.starved),
            ("incomplete", &self.incomplete),
            ("crossed", &self.crossed),
            ("ran_twice", &self.ran_twice),
            ("false_not_run", &self.false_not_run),
            ("work_after_leaving", &self.work_after_leaving),
            ("cut_by_stop", &self.cut_by_stop),
            ("config_reverted", &self.config_reverted),
            ("config_late", &self.config_late),
        ]
    }
}

/// A run as it is judged.
pub struct Evidence<'a> {
    /// The deployment.
    pub deployment: &'a Deployment,
    /// When the run began.
    pub began: Instant,
    /// What the callers saw.
    pub answers: &'a [RequestRecord],
    /// What the servers ran.
    pub records: &'a ExecutionRecords,
    /// How many instances there were.
    pub instances: usize,
    /// Instances that were asked to leave, and when.
    pub drained: &'a [(SmolStr, Instant)],
}

impl Evidence<'_> {
    /// Judges everything but the configuration.
    #[must_use]
    pub fn judge(&self) -> Violations {
        let starts = self.starts_by_tag();
        let mut violations = Violations::default();
        for answer in self.answers {
            self.judge_answer(answer, &starts, &mut violations);
        }
        violations.tier_inversion = self.inversions(&starts);
        violations.tier_inversion.extend(self.preempted_for_lower());
        violations.starved = self.starved(&starts);
        let late = self.records.after_leaving.iter();
        violations.work_after_leaving = late
            .map(|s| format!("{} request {} at {}", s.server, s.tag, self.at(s.at)))
            .collect();
        violations
    }

    fn at(&self, instant: Instant) -> String {
        format!(
            "{:.3}s",
            instant.saturating_duration_since(self.began).as_secs_f64()
        )
    }

    fn starts_by_tag(&self) -> HashMap<Tag, Vec<&ExecutionStart>> {
        let mut starts: HashMap<Tag, Vec<&ExecutionStart>> = HashMap::new();
        for start in &self.records.starts {
            starts.entry(start.tag).or_default().push(start);
        }
        starts
    }

    fn judge_answer(
        &self,
        answer: &RequestRecord,
        starts: &HashMap<Tag, Vec<&ExecutionStart>>,
        v: &mut Violations,
    ) {
        let request = &answer.request;
        let case = |what: &str| {
            format!(
                "request {} class {} sent {} ended {}: {what} ({:?}, {} of {} pieces)",
                request.tag,
                request.class,
                self.at(answer.sent),
                self.at(answer.ended),
                answer.outcome,
                answer.tokens,
                request.length
            )
        };
        let runs = starts
            .get(&request.tag)
            .into_iter()
            .flatten()
            .filter(|s| !s.resumed);
        let runs: Vec<_> = runs.collect();
        if answer.mismatched {
            v.crossed.push(case("another request's answer"));
        }
        if !request.idempotent && runs.len() > 1 {
            v.ran_twice.push(case(&format!("ran {} times", runs.len())));
        }
        let not_run = matches!(&answer.outcome, Outcome::Refused { ran, .. } if ran == "no");
        if not_run && !runs.is_empty() {
            let run = runs[0];
            v.false_not_run.push(case(&format!(
                "ran at {} on {}",
                self.at(run.at),
                run.server
            )));
        }
        let whole = answer.outcome == Outcome::Complete && !answer.corrupt;
        let over = answer.outcome == Outcome::Unfinished
            && !answer.corrupt
            && answer.disconnects.is_empty();
        if request.idempotent && !whole && !not_run && !over {
            v.incomplete.push(case("no whole answer"));
        }
        if !request.idempotent && answer.outcome == Outcome::Complete && answer.corrupt {
            v.incomplete.push(case("said to be whole"));
        }
        for (instance, at) in &answer.disconnects {
            let stopped = self
                .drained
                .iter()
                .any(|(id, since)| id == instance && since <= at);
            if stopped && answer.tokens > 0 && answer.first_token.is_some_and(|first| first < *at) {
                v.cut_by_stop.push(case(&format!("cut at {instance}")));
            }
        }
    }

    /// Requests that gave way while less important work of their pool waited or was started.
    fn inversions(&self, starts: &HashMap<Tag, Vec<&ExecutionStart>>) -> Vec<String> {
        let guarded = self.guard_starts();
        let mut found = Vec::new();
        for shed in self.answers {
            let gave_way = match &shed.outcome {
                Outcome::Refused { kind, .. } => !NOT_SHED.contains(&kind.as_str()),
                _ => false,
            };
            if !gave_way {
                continue;
            }
            let pool = shed.request.target.pool();
            let lower = self.answers.iter().filter(|other| {
                other.request.level > shed.request.level && other.request.target.pool() == pool
            });
            let mut waiting: HashMap<&SmolStr, Vec<&RequestRecord>> = HashMap::new();
            for other in lower {
                let start = starts.get(&other.request.tag).and_then(|s| s.first());
                let begun = start.map(|s| s.at);
                let beside =
                    begun.is_some_and(|at| at + BESIDE >= shed.ended && at <= shed.ended + BESIDE);
                if beside && !guarded.contains(&other.request.tag) {
                    found.push(self.inversion(shed, other, "started"));
                }
                let until = begun.unwrap_or(other.ended).min(other.ended);
                if other.sent + BESIDE <= shed.ended && until > shed.ended + BESIDE {
                    waiting.entry(&other.request.class).or_default().push(other);
                }
            }
            // The starvation guard keeps the oldest request of a class at each instance.
            for others in waiting.values().filter(|o| o.len() > self.instances) {
                found.push(self.inversion(shed, others[0], &format!("{} waited", others.len())));
            }
        }
        found
    }

    fn inversion(&self, shed: &RequestRecord, other: &RequestRecord, what: &str) -> String {
        format!(
            "request {} class {} sent {} gave way at {} while request {} class {} sent {}: {what}",
            shed.request.tag,
            shed.request.class,
            self.at(shed.sent),
            self.at(shed.ended),
            other.request.tag,
            other.request.class,
            self.at(other.sent)
        )
    }

    /// Requests that the starvation guard may have started: at their start they had waited for half
    /// of their class's bound, or their class had made no progress anywhere for as long.
    fn guard_starts(&self) -> HashSet<Tag> {
        let sent: HashMap<Tag, &RequestRecord> =
            self.answers.iter().map(|a| (a.request.tag, a)).collect();
        let mut guarded = HashSet::new();
        for start in &self.records.starts {
            let Some(answer) = sent.get(&start.tag) else {
                continue;
            };
            let class = self.deployment.class(&answer.request.class);
            if start.at - answer.sent >= class.starvation().mul_f64(0.4) {
                guarded.insert(start.tag);
            }
        }
        guarded
    }

    /// Requests whose slot went to less important work, or that such work overtook at the same server
    /// until they went on.
    fn preempted_for_lower(&self) -> Vec<String> {
        let answers: HashMap<Tag, &RequestRecord> =
            self.answers.iter().map(|a| (a.request.tag, a)).collect();
        let guarded = self.guard_starts();
        let mut found = Vec::new();
        for pause in self.records.pauses.iter().filter(|p| !p.mismatched) {
            let Some(paused) = answers.get(&pause.tag) else {
                continue;
            };
            if paused
                .disconnects
                .iter()
                .any(|(_, at)| *at + BESIDE * 4 >= pause.at)
            {
                continue;
            }
            let later = self.records.starts.iter().filter(|s| s.at >= pause.at);
            let again = later.clone().find(|s| s.tag == pause.tag);
            // It went on at another server at once: it left its slot, and didn't lose it.
            if again.is_some_and(|s| s.server != pause.server && s.at <= pause.at + BESIDE) {
                continue;
            }
            let again = again.map(|s| s.at);
            let until = again.unwrap_or(paused.ended).min(paused.ended);
            let here = later.filter(|s| s.server == pause.server && s.tag != pause.tag);
            let first = here.clone().take(1).filter(|s| s.at <= pause.at + IN_PLACE);
            let after = here.filter(|s| s.at > pause.at + BESIDE && s.at < until);
            for start in first.chain(after).filter(|s| !guarded.contains(&s.tag)) {
                let other = answers.get(&start.tag);
                if let Some(other) = other.filter(|o| o.request.level > paused.request.level) {
                    found.push(self.inversion(paused, other, "went before it"));
                }
            }
        }
        found
    }

    /// Classes that waited longer than their bound without any start.
    fn starved(&self, starts: &HashMap<Tag, Vec<&ExecutionStart>>) -> Vec<String> {
        let class_of: HashMap<Tag, &SmolStr> = self
            .answers
            .iter()
            .map(|a| (a.request.tag, &a.request.class))
            .collect();
        let mut progress: HashMap<(&SmolStr, SmolStr), Vec<Instant>> = HashMap::new();
        let pools: HashMap<Tag, SmolStr> = self
            .answers
            .iter()
            .map(|a| (a.request.tag, a.request.target.pool()))
            .collect();
        for start in &self.records.starts {
            if let Some(class) = class_of.get(&start.tag) {
                progress
                    .entry((class, pools[&start.tag].clone()))
                    .or_default()
                    .push(start.at);
            }
        }
        let mut found = Vec::new();
        for answer in self.answers {
            let class = self.deployment.class(&answer.request.class);
            let own = starts.get(&answer.request.tag).and_then(|s| s.first());
            let started = own.map_or(answer.ended, |s| s.at);
            let key = (&answer.request.class, answer.request.target.pool());
            let times = progress.get(&key).map(Vec::as_slice).unwrap_or_default();
            let waits = answer
                .attempt_times
                .iter()
                .map(|(from, to)| (*from, (*to).min(started)));
            let longest = waits.map(|(from, to)| longest_gap(times, from, to)).max();
            if longest.is_some_and(|gap| gap > class.starvation()) {
                found.push(format!(
                    "class {} at {}: request {} waited {:.1}s without progress of its class",
                    class.name,
                    self.at(answer.sent),
                    answer.request.tag,
                    longest.unwrap_or_default().as_secs_f64()
                ));
            }
        }
        found
    }
}

/// The longest time between two instants in which none of `times` lies.
fn longest_gap(times: &[Instant], from: Instant, to: Instant) -> Duration {
    let within = times.iter().copied().filter(|t| *t > from && *t < to);
    let ends = within.clone().chain([to]);
    let begins = std::iter::once(from).chain(within);
    let gaps = begins
        .zip(ends)
        .map(|(a, b)| b.saturating_duration_since(a));
    gaps.max().unwrap_or_default()
}

//! Checks the invariants of a run, from the execution log of the simulated servers and from what the
//! callers observed.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::caller::{Outcome, RequestRecord};
use crate::deployment::Deployment;
use crate::execution_log::{ExecutionRecords, ExecutionStart, Tag};

/// Time before and after a rejection within which lower-priority requests count as waiting or started
/// at the same time.
const OVERLAP: Duration = Duration::from_millis(250);
/// Time after a pause within which a lower-priority request counts as started in the freed slot.
const SLOT_REUSE: Duration = Duration::from_millis(50);

/// Kinds of errors that are not caused by load shedding.
const UNRELATED_KINDS: [&str; 5] = [
    "platform_unavailable",
    "outcome_unknown",
    "idempotency_key_running",
    "idempotency_key_complete",
    "idempotency_key_outside_window",
];

/// Invariant violations of a run, with a description of each case.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    /// A request was shed or preempted while lower-priority requests were waiting or started.
    pub tier_inversion: Vec<String>,
    /// No request of a waiting class started within the class's starvation bound.
    pub starved: Vec<String>,
    /// An idempotent request that ran or may have run did not get its complete response, or the response
    /// to a non-idempotent request ended normally but had missing or duplicate tokens.
    pub incomplete: Vec<String>,
    /// A caller received a token of another request's response.
    pub crossed: Vec<String>,
    /// A non-idempotent request ran more than once.
    pub ran_twice: Vec<String>,
    /// A request ran although the error that its caller received said that it had not.
    pub false_not_run: Vec<String>,
    /// A request was sent to a server too long after it had reported that it was leaving.
    pub work_after_leaving: Vec<String>,
    /// A server got more requests than the rate limit that it named.
    pub rate_exceeded: Vec<String>,
    /// The crashing request was sent to servers after the crashes by which it had to be known.
    pub crashed_late: Vec<String>,
    /// A graceful shutdown of an instance interrupted a response.
    pub cut_by_stop: Vec<String>,
    /// An instance went back to an older configuration, or an accepted change is missing from the change
    /// log or unreadable there.
    pub config_reverted: Vec<String>,
    /// A configuration change did not take effect on every instance in time.
    pub config_late: Vec<String>,
}

impl Violations {
    /// Returns each kind of violation with its cases, under the names used in the report.
    #[must_use]
    pub fn all(&self) -> [(&'static str, &Vec<String>); 12] {
        [
            ("tier_inversion", &self.tier_inversion),
            ("starved", &self.starved),
            ("incomplete", &self.incomplete),
            ("crossed", &self.crossed),
            ("ran_twice", &self.ran_twice),
            ("false_not_run", &self.false_not_run),
            ("work_after_leaving", &self.work_after_leaving),
            ("rate_exceeded", &self.rate_exceeded),
            ("crashed_late", &self.crashed_late),
            ("cut_by_stop", &self.cut_by_stop),
            ("config_reverted", &self.config_reverted),
            ("config_late", &self.config_late),
        ]
    }
}

/// Checks the invariants on the observations of a run.
pub struct InvariantChecker<'a> {
    /// Deployment that was run.
    pub deployment: &'a Deployment,
    /// Start of the run; times in descriptions are relative to it.
    pub run_start: Instant,
    /// Observations of the callers, one record per request.
    pub records: &'a [RequestRecord],
    /// Execution log of the servers.
    pub executions: &'a ExecutionRecords,
    /// Number of instances.
    pub instances: usize,
    /// Instances that were drained, with the time of the request to drain.
    pub drained: &'a [(SmolStr, Instant)],
}

impl InvariantChecker<'_> {
    /// Checks all invariants except those on configuration changes.
    #[must_use]
    pub fn check(&self) -> Violations {
        let starts = self.starts_by_tag();
        let mut violations = Violations::default();
        for record in self.records {
            self.check_record(record, &starts, &mut violations);
        }
        violations.tier_inversion = self.tier_inversions(&starts);
        violations
            .tier_inversion
            .extend(self.preemption_inversions());
        violations.starved = self.starved_classes(&starts);
        let late = self.executions.after_leaving.iter();
        violations.work_after_leaving = late
            .map(|s| format!("{} request {} at {}", s.server, s.tag, self.offset(s.at)))
            .collect();
        violations
    }

    fn offset(&self, instant: Instant) -> String {
        format!(
            "{:.3}s",
            instant
                .saturating_duration_since(self.run_start)
                .as_secs_f64()
        )
    }

    fn starts_by_tag(&self) -> HashMap<Tag, Vec<&ExecutionStart>> {
        let mut starts: HashMap<Tag, Vec<&ExecutionStart>> = HashMap::new();
        for start in &self.executions.starts {
            starts.entry(start.tag).or_default().push(start);
        }
        starts
    }

    fn check_record(
        &self,
        record: &RequestRecord,
        starts: &HashMap<Tag, Vec<&ExecutionStart>>,
        violations: &mut Violations,
    ) {
        let request = &record.request;
        let case = |what: &str| {
            format!(
                "request {} class {} sent {} ended {}: {what} ({:?}, {} of {} tokens)",
                request.tag,
                request.class,
                self.offset(record.sent),
                self.offset(record.ended),
                record.outcome,
                record.tokens,
                request.length
            )
        };
        let runs = starts
            .get(&request.tag)
            .into_iter()
            .flatten()
            .filter(|s| !s.resumed);
        let runs: Vec<_> = runs.collect();
        if record.mismatched {
            violations
                .crossed
                .push(case("received the response of another request"));
        }
        if !request.idempotent && runs.len() > 1 {
            violations
                .ran_twice
                .push(case(&format!("ran {} times", runs.len())));
        }
        let not_run = matches!(&record.outcome, Outcome::Refused { ran, .. } if ran == "no");
        if not_run && !runs.is_empty() {
            let run = runs[0];
            violations.false_not_run.push(case(&format!(
                "ran at {} on {}",
                self.offset(run.at),
                run.server
            )));
        }
        let complete = record.outcome == Outcome::Complete && !record.corrupt;
        let unfinished = record.outcome == Outcome::Unfinished
            && !record.corrupt
            && record.disconnects.is_empty();
        if request.idempotent && !complete && !not_run && !unfinished {
            violations.incomplete.push(case("no complete response"));
        }
        if !request.idempotent && record.outcome == Outcome::Complete && record.corrupt {
            violations.incomplete.push(case(
                "a response with missing or duplicate tokens was reported as complete",
            ));
        }
        for (instance, at) in &record.disconnects {
            let drained = self
                .drained
                .iter()
                .any(|(id, since)| id == instance && since <= at);
            if drained && record.tokens > 0 && record.first_token.is_some_and(|first| first < *at) {
                violations
                    .cut_by_stop
                    .push(case(&format!("interrupted at {instance}")));
            }
        }
    }

    /// Finds requests that were shed while lower-priority requests of their pool were waiting or started.
    fn tier_inversions(&self, starts: &HashMap<Tag, Vec<&ExecutionStart>>) -> Vec<String> {
        let guard_started = self.possible_guard_starts();
        let mut found = Vec::new();
        for shed in self.records {
            let is_shed = match &shed.outcome {
                Outcome::Refused { kind, .. } => !UNRELATED_KINDS.contains(&kind.as_str()),
                _ => false,
            };
            if !is_shed {
                continue;
            }
            let pool = shed.request.target.pool();
            let lower = self.records.iter().filter(|other| {
                other.request.level > shed.request.level && other.request.target.pool() == pool
            });
            let mut waiting: HashMap<&SmolStr, Vec<&RequestRecord>> = HashMap::new();
            for other in lower {
                let start = starts.get(&other.request.tag).and_then(|s| s.first());
                let started_at = start.map(|s| s.at);
                let overlaps = started_at
                    .is_some_and(|at| at + OVERLAP >= shed.ended && at <= shed.ended + OVERLAP);
                if overlaps && !guard_started.contains(&other.request.tag) {
                    found.push(self.describe_inversion(shed, other, "started"));
                }
                let until = started_at.unwrap_or(other.ended).min(other.ended);
                if other.sent + OVERLAP <= shed.ended && until > shed.ended + OVERLAP {
                    waiting.entry(&other.request.class).or_default().push(other);
                }
            }
            // The starvation guard exempts the oldest request of each class on each instance from load
            // shedding, so one waiting request per instance is no violation.
            for others in waiting.values().filter(|o| o.len() > self.instances) {
                found.push(self.describe_inversion(
                    shed,
                    others[0],
                    &format!("{} waited", others.len()),
                ));
            }
        }
        found
    }

    fn describe_inversion(
        &self,
        shed: &RequestRecord,
        other: &RequestRecord,
        what: &str,
    ) -> String {
        format!(
            "request {} class {} sent {} was shed or preempted at {} in favour of request {} class {} sent {}: {what}",
            shed.request.tag,
            shed.request.class,
            self.offset(shed.sent),
            self.offset(shed.ended),
            other.request.tag,
            other.request.class,
            self.offset(other.sent)
        )
    }

    /// Finds requests that the starvation guard may have started: they had waited for at least 40% of
    /// their class's starvation bound. The guard acts from half of the bound; the rest is a margin for
    /// timing.
    fn possible_guard_starts(&self) -> HashSet<Tag> {
        let sent: HashMap<Tag, &RequestRecord> =
            self.records.iter().map(|r| (r.request.tag, r)).collect();
        let mut guard_started = HashSet::new();
        for start in &self.executions.starts {
            let Some(record) = sent.get(&start.tag) else {
                continue;
            };
            let class = self.deployment.class(&record.request.class);
            if start.at - record.sent >= class.starvation_bound().mul_f64(0.4) {
                guard_started.insert(start.tag);
            }
        }
        guard_started
    }

    /// Finds requests whose slot went to a lower-priority request, or that were overtaken by such
    /// requests on the same server before they were resumed.
    fn preemption_inversions(&self) -> Vec<String> {
        let records: HashMap<Tag, &RequestRecord> =
            self.records.iter().map(|r| (r.request.tag, r)).collect();
        let guard_started = self.possible_guard_starts();
        let mut found = Vec::new();
        for pause in self.executions.pauses.iter().filter(|p| !p.mismatched) {
            let Some(paused) = records.get(&pause.tag) else {
                continue;
            };
            // The caller's connection broke at most a second before the pause, or later: the pause may not
            // be a preemption.
            if paused
                .disconnects
                .iter()
                .any(|(_, at)| *at + OVERLAP * 4 >= pause.at)
            {
                continue;
            }
            let later = self.executions.starts.iter().filter(|s| s.at >= pause.at);
            let resumption = later.clone().find(|s| s.tag == pause.tag);
            // It was resumed on another server at once, so it was migrated and not preempted.
            if resumption.is_some_and(|s| s.server != pause.server && s.at <= pause.at + OVERLAP) {
                continue;
            }
            let resumption = resumption.map(|s| s.at);
            let until = resumption.unwrap_or(paused.ended).min(paused.ended);
            let on_server = later.filter(|s| s.server == pause.server && s.tag != pause.tag);
            let first = on_server
                .clone()
                .take(1)
                .filter(|s| s.at <= pause.at + SLOT_REUSE);
            let after = on_server.filter(|s| s.at > pause.at + OVERLAP && s.at < until);
            for start in first
                .chain(after)
                .filter(|s| !guard_started.contains(&s.tag))
            {
                let other = records.get(&start.tag);
                if let Some(other) = other.filter(|o| o.request.level > paused.request.level) {
                    found.push(self.describe_inversion(
                        paused,
                        other,
                        "started before it was resumed",
                    ));
                }
            }
        }
        found
    }

    /// Finds classes that waited for longer than their starvation bound while none of their requests
    /// started.
    fn starved_classes(&self, starts: &HashMap<Tag, Vec<&ExecutionStart>>) -> Vec<String> {
        let class_of: HashMap<Tag, &SmolStr> = self
            .records
            .iter()
            .map(|r| (r.request.tag, &r.request.class))
            .collect();
        let mut progress: HashMap<(&SmolStr, SmolStr), Vec<Instant>> = HashMap::new();
        let pools: HashMap<Tag, SmolStr> = self
            .records
            .iter()
            .map(|r| (r.request.tag, r.request.target.pool()))
            .collect();
        for start in &self.executions.starts {
            if let Some(class) = class_of.get(&start.tag) {
                progress
                    .entry((class, pools[&start.tag].clone()))
                    .or_default()
                    .push(start.at);
            }
        }
        let mut found = Vec::new();
        for record in self.records {
            let class = self.deployment.class(&record.request.class);
            let own = starts.get(&record.request.tag).and_then(|s| s.first());
            let started = own.map_or(record.ended, |s| s.at);
            let key = (&record.request.class, record.request.target.pool());
            let times = progress.get(&key).map(Vec::as_slice).unwrap_or_default();
            let waits = record
                .attempt_times
                .iter()
                .map(|(from, to)| (*from, (*to).min(started)));
            let longest = waits.map(|(from, to)| longest_gap(times, from, to)).max();
            if longest.is_some_and(|gap| gap > class.starvation_bound()) {
                found.push(format!(
                    "class {} at {}: request {} waited {:.1}s while no request of its class started",
                    class.name,
                    self.offset(record.sent),
                    record.request.tag,
                    longest.unwrap_or_default().as_secs_f64()
                ));
            }
        }
        found
    }
}

/// Returns the longest part of the interval from `from` to `to` that contains none of `times`.
fn longest_gap(times: &[Instant], from: Instant, to: Instant) -> Duration {
    let within = times.iter().copied().filter(|t| *t > from && *t < to);
    let ends = within.clone().chain([to]);
    let begins = std::iter::once(from).chain(within);
    let gaps = begins
        .zip(ends)
        .map(|(a, b)| b.saturating_duration_since(a));
    gaps.max().unwrap_or_default()
}

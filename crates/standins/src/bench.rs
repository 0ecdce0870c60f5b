//! Runs a deployment's traffic through instances against the stand-ins, with faults, and judges it.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jackdawtally::object::Declarations;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::{AddressList, Callers, Outcome, RequestRecord};
use crate::configuration::{self, Shared};
use crate::deployment::Deployment;
use crate::faults::{self, Action, Fault, Schedule};
use crate::instances::Instance;
use crate::report::{self, Report};
use crate::test_bed::{Policy, TestBed};
use crate::traffic::{self, PlannedRequest};
use crate::verdict::{Evidence, Violations};

/// Time that the instances get to find each other before the run begins.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Time in which requests are sent before tokens are counted, so that every slot can be filled.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time after the last request in which answers may still end.
const GRACE: Duration = Duration::from_secs(45);
/// Time between two readings of the list of addresses.
const REFRESH: Duration = Duration::from_secs(1);
/// Share of replies that the fault `lost-reply` loses, in percent.
const LOST_PERCENT: u64 = 20;
/// Share of answers that the faults `late-answers` and `crossed-answers` concern, in percent.
const ODD_PERCENT: u64 = 4;

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The deployment's name.
    pub deployment: String,
    /// Which router runs.
    pub policy: Policy,
    /// Seed of traffic and faults.
    pub seed: u64,
    /// Time in which requests are sent.
    pub length: Duration,
    /// How many instances.
    pub instances: usize,
    /// Offered work over capacity.
    pub load: f64,
    /// The faults.
    pub faults: Vec<Fault>,
    /// Whether progress is told on standard error.
    pub progress: bool,
}

/// Runs and judges.
///
/// # Errors
/// When the run can't be set up.
pub async fn run(options: &Options) -> Result<Report, String> {
    let deployment = Deployment::named(&options.deployment)?;
    let schedule = faults::schedule(
        &options.faults,
        &deployment,
        options.seed,
        options.length,
        options.instances,
        WARM_UP,
    );
    let planned = traffic::plan(
        &deployment,
        options.seed,
        WARM_UP + options.length,
        options.load,
        &schedule.bursts,
    );
    let bed = TestBed::start(deployment, options.policy, options.seed, options.instances).await?;
    let result = run_in(&bed, options, &schedule, planned).await;
    bed.stop();
    result
}

async fn run_in(
    bed: &Arc<TestBed>,
    options: &Options,
    schedule: &Schedule,
    planned: Vec<PlannedRequest>,
) -> Result<Report, String> {
    if options.policy == Policy::Jackdawtally {
        declare(bed).await?;
    }
    tokio::time::sleep(SETTLE).await;
    set_steady_faults(bed, &options.faults);
    let seen = Shared::default();
    let began = Instant::now();
    let counted = began + WARM_UP;
    let until = counted + options.length;
    bed.log.set_window(counted, until);
    let before = Usage::read(bed).await;
    let mut background = JoinSet::new();
    let healed = Arc::new(std::sync::Mutex::new(None));
    background.spawn(strike(
        Arc::clone(bed),
        schedule.actions.clone(),
        began,
        Arc::clone(&healed),
    ));
    background.spawn(configuration::look(Arc::clone(bed), Arc::clone(&seen)));
    if options.faults.contains(&Fault::OperatorRace) {
        for operator in 0..3 {
            let race = configuration::race(Arc::clone(bed), Arc::clone(&seen), operator, until);
            background.spawn(race);
        }
    }
    let answers = offer(bed, options, planned, began).await;
    if options.faults.contains(&Fault::OperatorRace) {
        settle(bed, &seen).await;
    }
    let after = Usage::read(bed).await;
    let instances = bed.all();
    let drained = bed.drained();
    let records = bed.log.records();
    let evidence = Evidence {
        deployment: &bed.deployment,
        began,
        answers: &answers,
        records: &records,
        instances: options.instances,
        drained: &drained,
    };
    let mut violations = evidence.judge();
    let healed = *healed
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let in_force = judge_configuration(bed, &seen, healed, &mut violations).await;
    background.shutdown().await;
    let elapsed = began.elapsed();
    let (made, wasted) = report::wasted(&answers, &records);
    let seconds = options.length.as_secs_f64();
    let models = bed
        .servers
        .iter()
        .zip(&bed.deployment.declarations.backend_server);
    let models = models.filter(|(_, s)| s.model.is_some());
    let capacity: f64 = models.map(|(e, _)| e.capacity(counted, until)).sum();
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let good = report::good_tokens(&bed.deployment, &answers, &records) as f64;
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let inside = records.window_tokens.values().sum::<u64>() as f64;
    let usage = after.since(&before, elapsed, instances.len());
    Ok(Report {
        deployment: options.deployment.clone(),
        policy: format!("{:?}", options.policy).to_lowercase(),
        seed: options.seed,
        load: options.load,
        classes: report::classes(&bed.deployment, &answers),
        goodput_tokens_per_s: good / seconds,
        made_tokens_per_s: inside / seconds,
        capacity_tokens_per_s: capacity / seconds,
        wasted_tokens: wasted,
        wasted_share: report::ratio(wasted, made),
        platform_reads_per_s: usage.reads,
        platform_writes_per_s: usage.writes,
        peer_bytes_per_s_per_instance: usage.peer_bytes,
        control_cpu_share_per_instance: (options.load <= 0.0).then_some(usage.cpu),
        config_in_force_p99_ms: in_force,
        trace: trace(options, &violations),
        violations: violations
            .all()
            .into_iter()
            .map(|(name, cases)| (name, cases.len()))
            .collect(),
        refusals: refusals(&answers),
        counters: counters(&instances),
    })
}

/// Puts the deployment's declarations in force.
///
/// # Errors
/// When they are refused, or no instance can be reached.
pub async fn declare(bed: &Arc<TestBed>) -> Result<(), String> {
    let declarations: &Declarations = &bed.deployment.declarations;
    let text = toml::to_string(declarations).map_err(|e| e.to_string())?;
    let address = *bed.operators().first().ok_or("no instance runs")?;
    configuration::apply(address, text, "bench".into(), Duration::from_secs(10)).await?;
    Ok(())
}

fn set_steady_faults(bed: &TestBed, faults: &[Fault]) {
    for fault in faults {
        match fault {
            Fault::LostReply => bed
                .platform
                .lost_percent
                .store(LOST_PERCENT, Ordering::Relaxed),
            Fault::LateAnswers => {
                for engine in &bed.servers {
                    engine.delay_percent.store(ODD_PERCENT, Ordering::Relaxed);
                }
            }
            Fault::CrossedAnswers => {
                for engine in &bed.servers {
                    engine
                        .mismatch_percent
                        .store(ODD_PERCENT, Ordering::Relaxed);
                }
            }
            _ => {}
        }
    }
}

async fn strike(
    bed: Arc<TestBed>,
    actions: Vec<(Duration, Action)>,
    began: Instant,
    healed: Arc<std::sync::Mutex<Option<Instant>>>,
) {
    for (at, action) in actions {
        tokio::time::sleep_until(began + at).await;
        bed.act(&action).await;
        if action == Action::Heal {
            *healed
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(Instant::now());
        }
    }
    std::future::pending::<()>().await;
}

/// Sends every request at its time, and waits for the answers.
async fn offer(
    bed: &Arc<TestBed>,
    options: &Options,
    planned: Vec<PlannedRequest>,
    began: Instant,
) -> Vec<RequestRecord> {
    let entries = Arc::new(AddressList::default());
    entries.set(bed.entries());
    let callers = Callers::new(entries);
    let mut running = JoinSet::new();
    let organisation = bed.deployment.declarations.organisation.first();
    let organisation = organisation.map(|o| o.name.to_string()).unwrap_or_default();
    let refresher = callers.clone();
    let refresh = tokio::spawn(async move {
        loop {
            tokio::time::sleep(REFRESH).await;
            refresher.refresh(&organisation).await;
        }
    });
    let total = planned.len();
    let mut told = Instant::now();
    let requests = planned.clone();
    for request in planned {
        tokio::time::sleep_until(began + request.at).await;
        let callers = callers.clone();
        running.spawn(async move { callers.run(request).await });
        if options.progress && told.elapsed() > Duration::from_secs(2) {
            told = Instant::now();
            eprintln!(
                "{:5.1}s  {} of {total} requests under way",
                began.elapsed().as_secs_f64(),
                running.len()
            );
        }
    }
    tokio::time::sleep_until(began + WARM_UP + options.length).await;
    let mut answers = Vec::with_capacity(total);
    let deadline = Instant::now() + GRACE;
    while let Ok(Some(answer)) = tokio::time::timeout_at(deadline, running.join_next()).await {
        answers.extend(answer.ok());
    }
    running.shutdown().await;
    refresh.abort();
    let now = Instant::now();
    let ended: std::collections::HashSet<u64> = answers.iter().map(|a| a.request.tag).collect();
    let open = requests.into_iter().filter(|r| !ended.contains(&r.tag));
    answers.extend(open.map(|request| unfinished(request, began, now)));
    answers
}

fn unfinished(request: PlannedRequest, began: Instant, now: Instant) -> RequestRecord {
    let request_at = request.at;
    RequestRecord {
        sent: began + request.at,
        request,
        first_token: None,
        ended: now,
        outcome: Outcome::Unfinished,
        tokens: 0,
        token_times: Vec::new(),
        mismatched: false,
        corrupt: false,
        disconnects: Vec::new(),
        attempt_times: vec![(began + request_at, now)],
    }
}

/// Waits until every instance has the last accepted change in force, or its time is over.
async fn settle(bed: &Arc<TestBed>, seen: &Shared) {
    let deadline = Instant::now() + configuration::IN_FORCE;
    let last = configuration::lock(seen)
        .accepted
        .iter()
        .map(|c| c.number)
        .max()
        .unwrap_or_default();
    while Instant::now() < deadline && bed.numbers().iter().any(|(_, n)| *n < last) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
}

async fn judge_configuration(
    bed: &Arc<TestBed>,
    seen: &Shared,
    healed: Option<Instant>,
    violations: &mut Violations,
) -> Option<f64> {
    let running: Vec<_> = bed
        .numbers()
        .into_iter()
        .map(|(incarnation, _)| incarnation)
        .collect();
    let seen = configuration::lock(seen).clone();
    violations.config_reverted.clone_from(&seen.falls);
    violations.config_late = configuration::late(&seen, &running, healed, Instant::now());
    if seen.accepted.is_empty() {
        return None;
    }
    if let Some(address) = bed.operators().first() {
        match configuration::missing(*address, &seen.accepted).await {
            Ok(missing) => violations.config_reverted.extend(missing),
            Err(error) => violations
                .config_reverted
                .push(format!("the log can't be read: {error}")),
        }
    }
    Some(report::percentile(
        configuration::spread_ms(&seen, &running),
        0.99,
    ))
}

/// Calls, bytes and processor time up to one moment.
struct Usage {
    reads: f64,
    writes: f64,
    peer_bytes: f64,
    cpu: f64,
}

impl Usage {
    #[expect(clippy::cast_precision_loss, reason = "counters of a short run")]
    async fn read(bed: &TestBed) -> Self {
        let mut cpu = 0.0;
        for instance in bed.all() {
            cpu += instance.cpu().await.unwrap_or_default().as_secs_f64();
        }
        let instances = bed.all();
        Self {
            reads: bed.platform.reads.load(Ordering::Relaxed) as f64,
            writes: bed.platform.writes.load(Ordering::Relaxed) as f64,
            peer_bytes: counters(&instances)
                .get("peers.bytes")
                .copied()
                .unwrap_or_default() as f64,
            cpu,
        }
    }

    /// What was used since `before`: per second, and for bytes and processor time per instance.
    fn since(&self, before: &Self, elapsed: Duration, instances: usize) -> Self {
        let seconds = elapsed.as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let each = seconds * instances.max(1) as f64;
        Self {
            reads: (self.reads - before.reads) / seconds,
            writes: (self.writes - before.writes) / seconds,
            peer_bytes: ((self.peer_bytes - before.peer_bytes) / each).max(0.0),
            cpu: ((self.cpu - before.cpu) / each).max(0.0),
        }
    }
}

fn counters(instances: &[Arc<Instance>]) -> BTreeMap<String, u64> {
    let mut all: BTreeMap<String, u64> = BTreeMap::new();
    for node in instances.iter().filter_map(|i| i.node.as_ref()) {
        for (name, n) in node.metrics.totals() {
            *all.entry(name.to_owned()).or_default() += n;
        }
    }
    all
}

fn refusals(answers: &[RequestRecord]) -> BTreeMap<String, usize> {
    let mut all = BTreeMap::new();
    for answer in answers {
        let name = match &answer.outcome {
            Outcome::Refused { kind, .. } => kind.clone(),
            Outcome::Lost => "lost".into(),
            Outcome::Unfinished => "unfinished".into(),
            Outcome::Told => "told_complete".into(),
            Outcome::Complete => continue,
        };
        *all.entry(name).or_default() += 1;
    }
    all
}

/// Writes each violation's events to a file, if there are any.
fn trace(options: &Options, violations: &Violations) -> Option<String> {
    let mut text = String::new();
    for (name, cases) in violations.all() {
        for case in cases {
            let _ = writeln!(text, "{name}: {case}");
        }
    }
    if text.is_empty() {
        return None;
    }
    let name = format!(
        "jackdawtally-trace-{}-{:?}-{}-{}.txt",
        options.deployment,
        options.policy,
        options.seed,
        std::process::id()
    );
    let path = std::env::temp_dir().join(name.to_lowercase());
    std::fs::write(&path, text).ok()?;
    Some(path.display().to_string())
}

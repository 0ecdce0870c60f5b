//! The load bench: sends the traffic of a deployment through instances to simulated servers, injects
//! faults, checks the invariants and reports the results.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jackdawtally::object::Declarations;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::{AddressList, Callers, Outcome, RequestRecord};
use crate::config_checks::{self, SharedObservations};
use crate::crash_check::LATE_REQUESTS;
use crate::deployment::Deployment;
use crate::faults::{self, Action, Fault, FaultSchedule};
use crate::instances::Instance;
use crate::invariants::{InvariantChecker, Violations};
use crate::report::{self, Report};
use crate::test_bed::{Policy, TestBed};
use crate::traffic::{self, PlannedRequest};

/// Time for the instances to discover each other before traffic starts.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Warm-up time, in which requests are sent but tokens are not counted, so that all slots can fill.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time after the end of the traffic that outstanding requests have to finish.
const GRACE_PERIOD: Duration = Duration::from_secs(45);
/// Interval at which the callers update their list of instance addresses.
const ADDRESS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Share of write replies of the platform that the fault `lost-reply` drops, in percent.
const LOST_REPLY_PERCENT: u64 = 20;
/// Share of responses that the faults `late-answers` and `crossed-answers` affect, in percent.
const FAULTY_RESPONSE_PERCENT: u64 = 4;

/// Number of operators that change the configuration concurrently.
const OPERATORS: u64 = 3;
/// Time between two requests that crash servers.
const CRASHING_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which the fleet has to react to the crashes by which the cause has to be known.
const CRASH_REACTION_TIME: Duration = Duration::from_secs(3);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the deployment, as for [`Deployment::named`].
    pub deployment: String,
    /// Router under test.
    pub policy: Policy,
    /// Seed from which traffic and faults are drawn.
    pub seed: u64,
    /// Duration of the traffic, without the warm-up.
    pub length: Duration,
    /// Number of instances.
    pub instances: usize,
    /// Offered load divided by capacity.
    pub load: f64,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Whether progress is printed to standard error.
    pub progress: bool,
}

/// Executes a run and reports its results.
///
/// # Errors
/// If the deployment is unknown or the run can't be set up.
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
    let result = run_on(&bed, options, &schedule, planned).await;
    bed.stop();
    result
}

async fn run_on(
    bed: &Arc<TestBed>,
    options: &Options,
    schedule: &FaultSchedule,
    planned: Vec<PlannedRequest>,
) -> Result<Report, String> {
    if options.policy == Policy::Jackdawtally {
        apply_declarations(bed).await?;
    }
    tokio::time::sleep(DISCOVERY_TIME).await;
    set_constant_faults(bed, &options.faults);
    let observations = SharedObservations::default();
    let run_start = Instant::now();
    let window_start = run_start + WARM_UP;
    let window_end = window_start + options.length;
    bed.log.set_window(window_start, window_end);
    let before = Usage::measure(bed).await;
    let mut background = JoinSet::new();
    let healed_at = Arc::new(std::sync::Mutex::new(None));
    background.spawn(run_fault_schedule(
        Arc::clone(bed),
        schedule.actions.clone(),
        run_start,
        Arc::clone(&healed_at),
    ));
    background.spawn(config_checks::observe(
        Arc::clone(bed),
        Arc::clone(&observations),
    ));
    if options.faults.contains(&Fault::ConcurrentOperators) {
        spawn_operators(&mut background, bed, &observations, window_end);
    }
    if options.faults.contains(&Fault::CrashingRequest) {
        background.spawn(send_crashing(Arc::clone(bed)));
    }
    let records = send_requests(bed, options, planned, run_start).await;
    if options.faults.contains(&Fault::ConcurrentOperators) {
        wait_for_config(bed, &observations).await;
    }
    let after = Usage::measure(bed).await;
    let instances = bed.instances();
    let drained = bed.drained();
    let executions = bed.log.records();
    let checker = InvariantChecker {
        deployment: &bed.deployment,
        run_start,
        records: &records,
        executions: &executions,
        instances: options.instances,
        drained: &drained,
    };
    let mut violations = checker.check();
    violations.rate_exceeded = exceeded_rates(bed);
    violations.crashed_late = late_crashes(bed);
    let healed_at = *healed_at
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let propagation_ms = check_configuration(bed, &observations, healed_at, &mut violations).await;
    background.shutdown().await;
    let elapsed = run_start.elapsed();
    let (generated, wasted) = report::wasted(&records, &executions);
    let seconds = options.length.as_secs_f64();
    let model_servers = bed
        .servers
        .iter()
        .zip(&bed.deployment.declarations.backend_server);
    let model_servers = model_servers.filter(|(_, s)| s.model.is_some());
    let capacity: f64 = model_servers
        .map(|(s, _)| s.capacity(window_start, window_end))
        .sum();
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let good_tokens = report::good_tokens(&bed.deployment, &records, &executions) as f64;
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let generated_tokens = executions.window_tokens.values().sum::<u64>() as f64;
    let usage = after.rates_since(&before, elapsed, instances.len());
    Ok(Report {
        deployment: options.deployment.clone(),
        policy: format!("{:?}", options.policy).to_lowercase(),
        seed: options.seed,
        load: options.load,
        classes: report::class_reports(&bed.deployment, &records),
        goodput_tokens_per_s: good_tokens / seconds,
        made_tokens_per_s: generated_tokens / seconds,
        capacity_tokens_per_s: capacity / seconds,
        wasted_tokens: wasted,
        wasted_share: report::ratio(wasted, generated),
        platform_reads_per_s: usage.reads,
        platform_writes_per_s: usage.writes,
        peer_bytes_per_s_per_instance: usage.peer_bytes,
        control_cpu_share_per_instance: (options.load <= 0.0).then_some(usage.cpu),
        config_in_force_p99_ms: propagation_ms,
        trace: write_trace(options, &violations),
        violations: violations
            .all()
            .into_iter()
            .map(|(name, cases)| (name, cases.len()))
            .collect(),
        refusals: count_errors(&records),
        counters: sum_counters(&instances),
    })
}

/// Starts operators that change the configuration until `end`.
fn spawn_operators(
    background: &mut JoinSet<()>,
    bed: &Arc<TestBed>,
    observations: &SharedObservations,
    end: Instant,
) {
    for operator in 0..OPERATORS {
        let observations = Arc::clone(observations);
        let task = config_checks::run_operator(Arc::clone(bed), observations, operator, end);
        background.spawn(task);
    }
}

/// The servers that got more requests than the rate limits that they named.
fn exceeded_rates(bed: &TestBed) -> Vec<String> {
    let excesses = bed.servers.iter().filter_map(|server| {
        let excess = server.rate_excess()?;
        Some(format!("{}: {excess:?}", server.options.name))
    });
    excesses.collect()
}

/// A message if the crashing request reached servers too often after it had to be known.
fn late_crashes(bed: &TestBed) -> Vec<String> {
    let crashes = bed.log.crashes();
    let late = crashes.late_requests(CRASH_REACTION_TIME);
    let message = format!("{late} late requests, {} crashes", crashes.crashes());
    let violation = (late > LATE_REQUESTS).then_some(message);
    violation.into_iter().collect()
}

/// Sends the request that crashes servers again and again, each time to another instance. Never returns.
async fn send_crashing(bed: Arc<TestBed>) {
    let Some(request) = traffic::crashing_request(&bed.deployment) else {
        return std::future::pending().await;
    };
    let addresses = Arc::new(AddressList::default());
    let callers = Callers::new(Arc::clone(&addresses));
    loop {
        tokio::time::sleep(CRASHING_INTERVAL).await;
        addresses.set(bed.caller_addresses());
        let (callers, request) = (callers.clone(), request.clone());
        tokio::spawn(async move { callers.run(request).await });
    }
}

/// Applies the declarations of the deployment through the operator API of an instance.
///
/// # Errors
/// If the declarations are rejected or no instance is reachable.
pub async fn apply_declarations(bed: &Arc<TestBed>) -> Result<(), String> {
    let declarations: &Declarations = &bed.deployment.declarations;
    let text = toml::to_string(declarations).map_err(|e| e.to_string())?;
    let address = *bed
        .operator_addresses()
        .first()
        .ok_or("no instance is running")?;
    config_checks::apply(address, text, "bench".into(), Duration::from_secs(10)).await?;
    Ok(())
}

fn set_constant_faults(bed: &TestBed, faults: &[Fault]) {
    for fault in faults {
        match fault {
            Fault::LostReplies => bed
                .platform
                .lost_reply_percent
                .store(LOST_REPLY_PERCENT, Ordering::Relaxed),
            Fault::DelayedResponses => {
                for server in &bed.servers {
                    server
                        .delay_percent
                        .store(FAULTY_RESPONSE_PERCENT, Ordering::Relaxed);
                }
            }
            Fault::MismatchedResponses => {
                for server in &bed.servers {
                    server
                        .mismatch_percent
                        .store(FAULTY_RESPONSE_PERCENT, Ordering::Relaxed);
                }
            }
            _ => {}
        }
    }
}

/// Carries out the actions at their times, and sets `healed_at` when a partition is healed. Never returns.
async fn run_fault_schedule(
    bed: Arc<TestBed>,
    actions: Vec<(Duration, Action)>,
    run_start: Instant,
    healed_at: Arc<std::sync::Mutex<Option<Instant>>>,
) {
    for (at, action) in actions {
        tokio::time::sleep_until(run_start + at).await;
        bed.apply(&action).await;
        if action == Action::HealPartition {
            *healed_at
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(Instant::now());
        }
    }
    std::future::pending::<()>().await;
}

/// Sends each request at its planned time and collects the records of all requests. Requests that do
/// not finish within the grace period are recorded as unfinished.
async fn send_requests(
    bed: &Arc<TestBed>,
    options: &Options,
    planned: Vec<PlannedRequest>,
    run_start: Instant,
) -> Vec<RequestRecord> {
    let addresses = Arc::new(AddressList::default());
    addresses.set(bed.caller_addresses());
    let callers = Callers::new(addresses);
    let mut running = JoinSet::new();
    let organisation = bed.deployment.declarations.organisation.first();
    let organisation = organisation.map(|o| o.name.to_string()).unwrap_or_default();
    let refresher = callers.clone();
    let refresh = tokio::spawn(async move {
        loop {
            tokio::time::sleep(ADDRESS_REFRESH_INTERVAL).await;
            refresher.refresh(&organisation).await;
        }
    });
    let total = planned.len();
    let mut last_print = Instant::now();
    let requests = planned.clone();
    for request in planned {
        tokio::time::sleep_until(run_start + request.at).await;
        let callers = callers.clone();
        running.spawn(async move { callers.run(request).await });
        if options.progress && last_print.elapsed() > Duration::from_secs(2) {
            last_print = Instant::now();
            eprintln!(
                "{:5.1}s  {} of {total} requests in progress",
                run_start.elapsed().as_secs_f64(),
                running.len()
            );
        }
    }
    tokio::time::sleep_until(run_start + WARM_UP + options.length).await;
    let mut records = Vec::with_capacity(total);
    let deadline = Instant::now() + GRACE_PERIOD;
    while let Ok(Some(record)) = tokio::time::timeout_at(deadline, running.join_next()).await {
        records.extend(record.ok());
    }
    running.shutdown().await;
    refresh.abort();
    let now = Instant::now();
    let finished: std::collections::HashSet<u64> = records.iter().map(|r| r.request.tag).collect();
    let outstanding = requests.into_iter().filter(|r| !finished.contains(&r.tag));
    records.extend(outstanding.map(|request| unfinished(request, run_start, now)));
    records
}

fn unfinished(request: PlannedRequest, run_start: Instant, now: Instant) -> RequestRecord {
    let request_at = request.at;
    RequestRecord {
        sent: run_start + request.at,
        request,
        first_token: None,
        ended: now,
        outcome: Outcome::Unfinished,
        tokens: 0,
        token_times: Vec::new(),
        mismatched: false,
        corrupt: false,
        disconnects: Vec::new(),
        attempt_times: vec![(run_start + request_at, now)],
    }
}

/// Waits until the last accepted change is in effect on every instance, or its time limit has passed.
async fn wait_for_config(bed: &Arc<TestBed>, observations: &SharedObservations) {
    let deadline = Instant::now() + config_checks::PROPAGATION_LIMIT;
    let last = config_checks::lock(observations)
        .accepted
        .iter()
        .map(|c| c.number)
        .max()
        .unwrap_or_default();
    while Instant::now() < deadline && bed.config_numbers().iter().any(|(_, n)| *n < last) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
}

async fn check_configuration(
    bed: &Arc<TestBed>,
    observations: &SharedObservations,
    healed_at: Option<Instant>,
    violations: &mut Violations,
) -> Option<f64> {
    let running: Vec<_> = bed
        .config_numbers()
        .into_iter()
        .map(|(incarnation, _)| incarnation)
        .collect();
    let observations = config_checks::lock(observations).clone();
    violations
        .config_reverted
        .clone_from(&observations.decreases);
    violations.config_late =
        config_checks::late_changes(&observations, &running, healed_at, Instant::now());
    if observations.accepted.is_empty() {
        return None;
    }
    if let Some(address) = bed.operator_addresses().first() {
        match config_checks::missing_changes(*address, &observations.accepted).await {
            Ok(missing) => violations.config_reverted.extend(missing),
            Err(error) => violations
                .config_reverted
                .push(format!("can't read the change log: {error}")),
        }
    }
    Some(report::percentile(
        config_checks::propagation_times_ms(&observations, &running),
        0.99,
    ))
}

/// Cumulative platform calls, bytes sent between peers and CPU time of the instances.
struct Usage {
    reads: f64,
    writes: f64,
    peer_bytes: f64,
    cpu: f64,
}

impl Usage {
    #[expect(clippy::cast_precision_loss, reason = "counters of a short run")]
    async fn measure(bed: &TestBed) -> Self {
        let mut cpu = 0.0;
        for instance in bed.instances() {
            cpu += instance.cpu_time().await.unwrap_or_default().as_secs_f64();
        }
        let instances = bed.instances();
        Self {
            reads: bed.platform.reads.load(Ordering::Relaxed) as f64,
            writes: bed.platform.writes.load(Ordering::Relaxed) as f64,
            peer_bytes: sum_counters(&instances)
                .get("peers.bytes")
                .copied()
                .unwrap_or_default() as f64,
            cpu,
        }
    }

    /// Returns the usage since `before`, per second; bytes and CPU time also per instance.
    fn rates_since(&self, before: &Self, elapsed: Duration, instances: usize) -> Self {
        let seconds = elapsed.as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let instance_seconds = seconds * instances.max(1) as f64;
        Self {
            reads: (self.reads - before.reads) / seconds,
            writes: (self.writes - before.writes) / seconds,
            peer_bytes: ((self.peer_bytes - before.peer_bytes) / instance_seconds).max(0.0),
            cpu: ((self.cpu - before.cpu) / instance_seconds).max(0.0),
        }
    }
}

fn sum_counters(instances: &[Arc<Instance>]) -> BTreeMap<String, u64> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for node in instances.iter().filter_map(|i| i.node.as_ref()) {
        for (name, n) in node.metrics.totals() {
            *counts.entry(name.to_owned()).or_default() += n;
        }
    }
    counts
}

fn count_errors(records: &[RequestRecord]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let name = match &record.outcome {
            Outcome::Refused { kind, .. } => kind.clone(),
            Outcome::Lost => "lost".into(),
            Outcome::Unfinished => "unfinished".into(),
            Outcome::Told => "told_complete".into(),
            Outcome::Complete => continue,
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Writes the violations to a file in the temporary directory and returns its path; `None` if there
/// are none or the file can't be written.
fn write_trace(options: &Options, violations: &Violations) -> Option<String> {
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

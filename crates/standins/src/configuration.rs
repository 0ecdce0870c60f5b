//! Operators that change the configuration concurrently, and the checks that each accepted change
//! takes effect on every instance and is never reverted.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jackdawtally_schema::operators as schema;
use jackdawtally_schema::operators::operators_client::OperatorsClient;
use smol_str::SmolStr;
use tokio::time::Instant;
use tonic::transport::Channel;

use crate::deployment::OPERATOR_TOKEN;
use crate::test_bed::TestBed;

/// Time limit for an accepted change to take effect on every instance.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(13);
/// Time between two changes of an operator.
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which the applied change number of each instance is read.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A change that an instance accepted.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// Number of the change in the change log.
    pub number: u64,
    /// ID that the operator gave to the change.
    pub id: String,
    /// Time at which the operator received the acceptance.
    pub at: Instant,
}

/// An incarnation of an instance: its name, and its address for callers, which a restart changes.
type Incarnation = (SmolStr, std::net::SocketAddr);

/// Accepted changes, and the change numbers that the instances applied over time.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Accepted changes, in order of their acceptance.
    pub accepted: Vec<AcceptedChange>,
    /// Increases of the applied change number with their times, by incarnation.
    pub increases: HashMap<Incarnation, Vec<(Instant, u64)>>,
    /// Descriptions of decreases of the applied change number.
    pub decreases: Vec<String>,
}

/// Observations that are shared between tasks.
pub type SharedObservations = Arc<Mutex<Observations>>;

/// Connects to the operator API of an instance.
///
/// # Errors
/// If the instance is not reachable.
pub async fn connect(address: std::net::SocketAddr) -> Result<OperatorsClient<Channel>, String> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}"))
        .map_err(|e| e.to_string())?
        .connect_timeout(Duration::from_secs(1))
        .timeout(Duration::from_secs(20));
    let channel = endpoint.connect().await.map_err(|e| e.to_string())?;
    Ok(OperatorsClient::new(channel))
}

/// Wraps a message into a request with the operator token.
pub fn with_token<T>(message: T) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    if let Ok(token) = format!("Bearer {OPERATOR_TOKEN}").parse() {
        request.metadata_mut().insert("authorization", token);
    }
    request
}

/// Applies declarations through the operator API of an instance. `wait` is how long the call may wait
/// for the change to take effect on all instances; zero means not at all.
///
/// # Errors
/// If the declarations are rejected or the instance is not reachable.
pub async fn apply(
    address: std::net::SocketAddr,
    declarations: String,
    change_id: String,
    wait: Duration,
) -> Result<schema::ApplyReply, String> {
    let mut client = connect(address).await?;
    let request = schema::ApplyRequest {
        declarations,
        prune: false,
        change_id,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    };
    let reply = client
        .apply(with_token(request))
        .await
        .map_err(|e| e.to_string())?;
    Ok(reply.into_inner())
}

/// Runs one of several concurrent operators, which all change the same class repeatedly until `until`.
pub async fn run_operator(
    bed: Arc<TestBed>,
    observations: SharedObservations,
    operator: u64,
    until: Instant,
) {
    let mut round: u64 = 0;
    while Instant::now() < until {
        round += 1;
        let id = format!("race-{operator}-{round}");
        let addresses = bed.operator_addresses();
        let index = usize::try_from(round + operator).unwrap_or_default() % addresses.len().max(1);
        let wait_ms = 100_000 + operator * 10_000 + round;
        let declarations = format!(
            "[[tier]]\nname = \"race\"\nlevel = 200\n[[class]]\nname = \"race\"\ntier = \"race\"\n\
             starvation_ms = 1000\nwait_ms = {wait_ms}\n"
        );
        if let Some(address) = addresses.get(index) {
            let result = apply(*address, declarations, id.clone(), Duration::ZERO).await;
            if let Ok(reply) = result {
                let accepted = AcceptedChange {
                    number: reply.number,
                    id,
                    at: Instant::now(),
                };
                lock(&observations).accepted.push(accepted);
            }
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
}

/// Records changes of the applied change number of each instance; never returns.
pub async fn observe(bed: Arc<TestBed>, observations: SharedObservations) {
    let mut last: HashMap<Incarnation, u64> = HashMap::new();
    loop {
        for (incarnation, number) in bed.config_numbers() {
            let previous = last.insert(incarnation.clone(), number).unwrap_or_default();
            let mut observations = lock(&observations);
            if number > previous {
                observations
                    .increases
                    .entry(incarnation)
                    .or_default()
                    .push((Instant::now(), number));
            } else if number < previous {
                observations.decreases.push(format!(
                    "{} went from {previous} to {number}",
                    incarnation.0
                ));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Finds accepted changes that did not take effect on a running instance in time. `healed_at` is the
/// end of the last partition, if there was one; the time limit starts no earlier. `now` is the time of
/// the check.
#[must_use]
pub fn late_changes(
    observations: &Observations,
    running: &[Incarnation],
    healed_at: Option<Instant>,
    now: Instant,
) -> Vec<String> {
    let mut late = Vec::new();
    for change in &observations.accepted {
        let from = healed_at.map_or(change.at, |healed_at| healed_at.max(change.at));
        for incarnation in running {
            let increases = observations
                .increases
                .get(incarnation)
                .map(Vec::as_slice)
                .unwrap_or_default();
            let reached = increases
                .iter()
                .find(|(_, number)| *number >= change.number);
            let at = reached.map_or(now, |(at, _)| *at);
            if at.saturating_duration_since(from) > PROPAGATION_LIMIT {
                late.push(format!("change {} at {}", change.number, incarnation.0));
            }
        }
    }
    late
}

/// Returns the time from acceptance until a change took effect on all running instances, in ms, for
/// each change that did.
#[must_use]
pub fn propagation_times_ms(observations: &Observations, running: &[Incarnation]) -> Vec<f64> {
    let times = observations.accepted.iter().filter_map(|change| {
        let reached = running.iter().map(|incarnation| {
            let increases = observations.increases.get(incarnation)?;
            increases
                .iter()
                .find(|(_, n)| *n >= change.number)
                .map(|(at, _)| *at)
        });
        let last = reached.collect::<Option<Vec<_>>>()?.into_iter().max()?;
        Some(last.saturating_duration_since(change.at).as_secs_f64() * 1_000.0)
    });
    times.collect()
}

/// Finds accepted changes that are missing from the change log, or whose number belongs to another
/// change. Reads the first 1000 entries of the log.
///
/// # Errors
/// If the log can't be read.
pub async fn missing_changes(
    address: std::net::SocketAddr,
    accepted: &[AcceptedChange],
) -> Result<Vec<String>, String> {
    let mut client = connect(address).await?;
    let request = schema::AuditRequest {
        from: 1,
        limit: 1_000,
    };
    let reply = client
        .audit(with_token(request))
        .await
        .map_err(|e| e.to_string())?;
    let logged: HashMap<u64, String> = reply
        .into_inner()
        .entries
        .into_iter()
        .map(|e| (e.number, e.change_id))
        .collect();
    let missing = accepted.iter().filter(|c| {
        logged.get(&c.number).is_some_and(|id| *id != c.id)
            || (!logged.contains_key(&c.number) && c.number <= 1_000)
    });
    Ok(missing
        .map(|c| {
            format!(
                "change {} ({}) is missing from the change log",
                c.number, c.id
            )
        })
        .collect())
}

/// Locks the observations.
pub fn lock(observations: &SharedObservations) -> std::sync::MutexGuard<'_, Observations> {
    observations.lock().unwrap_or_else(PoisonError::into_inner)
}

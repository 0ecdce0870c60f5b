//! Operators who race each other's changes, and the check that what was accepted comes into force
//! everywhere and stays.

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

/// Time within which an accepted change is in force everywhere.
pub const IN_FORCE: Duration = Duration::from_secs(13);
/// Time between two changes of one operator.
const CHANGE_EVERY: Duration = Duration::from_millis(150);
/// Time between two looks at the instances.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// An accepted change.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Its number.
    pub number: u64,
    /// Its id.
    pub id: String,
    /// When the operator was told.
    pub at: Instant,
}

/// An instance's incarnation: its name and where its callers connect.
type Incarnation = (SmolStr, std::net::SocketAddr);

/// What was accepted, and what each instance had in force when.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Accepted changes.
    pub accepted: Vec<Accepted>,
    /// Rises of the number in force, by incarnation.
    pub rises: HashMap<Incarnation, Vec<(Instant, u64)>>,
    /// Falls of the number in force.
    pub falls: Vec<String>,
}

/// What was seen, shared by those who look.
pub type Shared = Arc<Mutex<Seen>>;

/// A client of an instance's operators' service.
///
/// # Errors
/// When the instance can't be reached.
pub async fn client(address: std::net::SocketAddr) -> Result<OperatorsClient<Channel>, String> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}"))
        .map_err(|e| e.to_string())?
        .connect_timeout(Duration::from_secs(1))
        .timeout(Duration::from_secs(20));
    let channel = endpoint.connect().await.map_err(|e| e.to_string())?;
    Ok(OperatorsClient::new(channel))
}

/// A request with the operator's token.
pub fn with_token<T>(message: T) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    if let Ok(token) = format!("Bearer {OPERATOR_TOKEN}").parse() {
        request.metadata_mut().insert("authorization", token);
    }
    request
}

/// Applies declarations at one instance.
///
/// # Errors
/// The refusal, or why the instance can't be reached.
pub async fn apply(
    address: std::net::SocketAddr,
    declarations: String,
    change_id: String,
    wait: Duration,
) -> Result<schema::ApplyReply, String> {
    let mut client = client(address).await?;
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

/// One of the operators who race: changes the same class again and again, until the run is over.
pub async fn race(bed: Arc<TestBed>, seen: Shared, operator: u64, until: Instant) {
    let mut round: u64 = 0;
    while Instant::now() < until {
        round += 1;
        let id = format!("race-{operator}-{round}");
        let addresses = bed.operators();
        let place = usize::try_from(round + operator).unwrap_or_default() % addresses.len().max(1);
        let wait_ms = 100_000 + operator * 10_000 + round;
        let declarations = format!(
            "[[tier]]\nname = \"race\"\nlevel = 200\n[[class]]\nname = \"race\"\ntier = \"race\"\n\
             starvation_ms = 1000\nwait_ms = {wait_ms}\n"
        );
        if let Some(address) = addresses.get(place) {
            let result = apply(*address, declarations, id.clone(), Duration::ZERO).await;
            if let Ok(reply) = result {
                let accepted = Accepted {
                    number: reply.number,
                    id,
                    at: Instant::now(),
                };
                lock(&seen).accepted.push(accepted);
            }
        }
        tokio::time::sleep(CHANGE_EVERY).await;
    }
}

/// Looks at the number that each instance has in force, for ever.
pub async fn look(bed: Arc<TestBed>, seen: Shared) {
    let mut last: HashMap<Incarnation, u64> = HashMap::new();
    loop {
        for (incarnation, number) in bed.numbers() {
            let before = last.insert(incarnation.clone(), number).unwrap_or_default();
            let mut seen = lock(&seen);
            if number > before {
                seen.rises
                    .entry(incarnation)
                    .or_default()
                    .push((Instant::now(), number));
            } else if number < before {
                seen.falls
                    .push(format!("{} went from {before} to {number}", incarnation.0));
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Changes that weren't in force at a running instance in time. `healed` is when the last partition
/// ended, and `now` when the look was taken.
#[must_use]
pub fn late(
    seen: &Seen,
    running: &[Incarnation],
    healed: Option<Instant>,
    now: Instant,
) -> Vec<String> {
    let mut found = Vec::new();
    for change in &seen.accepted {
        let from = healed.map_or(change.at, |healed| healed.max(change.at));
        for incarnation in running {
            let rises = seen
                .rises
                .get(incarnation)
                .map(Vec::as_slice)
                .unwrap_or_default();
            let reached = rises.iter().find(|(_, number)| *number >= change.number);
            let at = reached.map_or(now, |(at, _)| *at);
            if at.saturating_duration_since(from) > IN_FORCE {
                found.push(format!("change {} at {}", change.number, incarnation.0));
            }
        }
    }
    found
}

/// Times from acceptance to in force at every running instance, in ms.
#[must_use]
pub fn spread_ms(seen: &Seen, running: &[Incarnation]) -> Vec<f64> {
    let times = seen.accepted.iter().filter_map(|change| {
        let reached = running.iter().map(|incarnation| {
            let rises = seen.rises.get(incarnation)?;
            rises
                .iter()
                .find(|(_, n)| *n >= change.number)
                .map(|(at, _)| *at)
        });
        let last = reached.collect::<Option<Vec<_>>>()?.into_iter().max()?;
        Some(last.saturating_duration_since(change.at).as_secs_f64() * 1_000.0)
    });
    times.collect()
}

/// Accepted changes that the log doesn't hold under their number.
///
/// # Errors
/// When the log can't be read.
pub async fn missing(
    address: std::net::SocketAddr,
    accepted: &[Accepted],
) -> Result<Vec<String>, String> {
    let mut client = client(address).await?;
    let request = schema::AuditRequest {
        from: 1,
        limit: 1_000,
    };
    let reply = client
        .audit(with_token(request))
        .await
        .map_err(|e| e.to_string())?;
    let held: HashMap<u64, String> = reply
        .into_inner()
        .entries
        .into_iter()
        .map(|e| (e.number, e.change_id))
        .collect();
    let missing = accepted.iter().filter(|c| {
        held.get(&c.number).is_some_and(|id| *id != c.id)
            || (!held.contains_key(&c.number) && c.number <= 1_000)
    });
    Ok(missing
        .map(|c| format!("change {} ({}) isn't in the log", c.number, c.id))
        .collect())
}

/// What was seen so far.
pub fn lock(seen: &Shared) -> std::sync::MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

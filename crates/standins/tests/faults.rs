//! Tests of single faults, each injected at a defined point, with instances on real sockets.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jackdawtally_standins::bench;
use jackdawtally_standins::caller::{AddressList, Callers, Outcome, RequestRecord};
use jackdawtally_standins::deployment::{Deployment, Target};
use jackdawtally_standins::execution_log::ExecutionRecords;
use jackdawtally_standins::faults::Action;
use jackdawtally_standins::test_bed::{Policy, TestBed};
use jackdawtally_standins::traffic::PlannedRequest;
use tokio::task::JoinHandle;

/// Time limit of each wait; only reached if something hangs.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

async fn start_bed() -> Arc<TestBed> {
    let deployment = Deployment::named("fair").expect("the deployment exists");
    let bed = TestBed::start(deployment, Policy::Jackdawtally, 1, 2)
        .await
        .expect("the test bed starts");
    bench::apply_declarations(&bed)
        .await
        .expect("the declarations are accepted");
    bed
}

fn request(tag: u64, length: u64) -> PlannedRequest {
    PlannedRequest {
        at: Duration::ZERO,
        tag,
        class: "pedigree-review".into(),
        level: 3,
        idempotent: true,
        organisation: "ranchers-north".into(),
        target: Target::Stream("records"),
        length,
        prefix: 0,
    }
}

fn callers(bed: &TestBed) -> Callers {
    let addresses = Arc::new(AddressList::default());
    addresses.set(bed.caller_addresses());
    Callers::new(addresses)
}

fn send(callers: &Callers, request: PlannedRequest) -> JoinHandle<RequestRecord> {
    let callers = callers.clone();
    tokio::spawn(async move { callers.run(request).await })
}

async fn wait_for(bed: &TestBed, condition: impl Fn(&ExecutionRecords) -> bool) {
    let waiting = async {
        while !condition(&bed.log.records()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the condition was not met in time");
}

/// Sends request 1 and waits until more than 50 tokens are generated. Returns the task that waits for
/// its record, and the index of the server that runs it.
async fn send_and_wait_running(
    bed: &TestBed,
    request: PlannedRequest,
) -> (JoinHandle<RequestRecord>, usize) {
    let record = send(&callers(bed), request);
    wait_for(bed, |r| r.tokens.get(&1).is_some_and(|n| *n > 50)).await;
    let server = bed.log.records().starts[0].server.clone();
    let mut servers = bed.servers.iter();
    let index = servers.position(|s| s.options.name == server);
    (record, index.expect("the server is part of the test bed"))
}

fn is_complete(record: &RequestRecord) -> bool {
    record.outcome == Outcome::Complete && !record.corrupt && !record.mismatched
}

fn assert_complete(record: &RequestRecord) {
    assert!(
        is_complete(record),
        "{:?} after {} tokens",
        record.outcome,
        record.tokens
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_continues_on_another_server_after_a_server_crash() {
    let bed = start_bed().await;
    let (record, index) = send_and_wait_running(&bed, request(1, 300)).await;

    bed.apply(&Action::Crash(index)).await;
    let record = record.await.expect("the caller task does not panic");

    let server = bed.servers[index].options.name.clone();
    let starts = bed.log.records().starts;
    bed.stop();
    assert_complete(&record);
    assert!(
        starts
            .iter()
            .any(|s| s.prior_tokens > 0 && s.server != server),
        "{starts:?}"
    );
    assert!(
        record.disconnects.is_empty(),
        "the connection of the caller broke"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_is_resumed_at_another_instance_after_an_instance_crash() {
    let bed = start_bed().await;
    let callers = callers(&bed);
    let all = bed.caller_addresses();
    let first = all
        .iter()
        .position(|a| a.instance == "entry-01")
        .expect("the first of two instances is listed");
    callers.addresses.set(vec![all[first].clone()]);
    let record = send(&callers, request(1, 300));
    wait_for(&bed, |r| r.tokens.get(&1).is_some_and(|n| *n > 50)).await;

    callers.addresses.set(vec![all[1 - first].clone()]);
    bed.apply(&Action::Kill(0)).await;
    let record = record.await.expect("the caller task does not panic");

    let executions = bed.log.records();
    bed.stop();
    assert_complete(&record);
    assert_eq!(record.disconnects.len(), 1);
    assert!(
        executions.starts.iter().all(|s| s.prior_tokens == 0),
        "the stream was continued by a new request instead of being resumed"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn mismatched_responses_are_never_delivered() {
    let bed = start_bed().await;
    for server in &bed.servers {
        server.mismatch_percent.store(30, Ordering::Relaxed);
    }
    let callers = callers(&bed);

    let sent: Vec<_> = (1..=40)
        .map(|tag| send(&callers, request(tag, 30)))
        .collect();
    let mut records = Vec::new();
    for record in sent {
        records.push(record.await.expect("the caller task does not panic"));
    }

    let instances = bed.instances();
    let detected: u64 = instances
        .iter()
        .filter_map(|i| {
            i.node
                .as_ref()?
                .metrics
                .totals()
                .get("backend.crossed")
                .copied()
        })
        .sum();
    bed.stop();
    assert!(detected > 0, "no mismatched response was sent");
    assert!(records.iter().all(is_complete), "{records:?}");
}

/// A server answered requests that it ran with the refusal of an earlier one: their callers were told that they hadn't run,
/// or other servers ran them again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_of_other_requests_are_no_promise() {
    let bed = start_bed().await;
    for server in &bed.servers {
        server.refusal_percent.store(50, Ordering::Relaxed);
    }
    let callers = callers(&bed);
    let request = |tag| PlannedRequest {
        class: "ring-seat".into(),
        idempotent: false,
        target: Target::Service("registry"),
        ..request(tag, 4)
    };

    let sent: Vec<_> = (1..=20).map(|tag| send(&callers, request(tag))).collect();
    let mut records = Vec::new();
    for record in sent {
        records.push(record.await.expect("the caller task does not panic"));
    }

    let starts = bed.log.records().starts;
    bed.stop();
    for record in &records {
        let tag = record.request.tag;
        let runs = starts.iter().filter(|s| s.tag == tag).count();
        let denied = matches!(&record.outcome, Outcome::Refused { ran, .. } if ran == "no");
        assert!(runs <= 1 && (runs == 0 || !denied), "{runs}: {record:?}");
    }
    let refused = records.iter().filter(|r| !is_complete(r)).count();
    assert!(refused > 0, "no refusal was sent");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_with_idempotency_key_runs_once_despite_a_server_crash() {
    let bed = start_bed().await;
    let mut keyed = request(1, 300);
    keyed.class = "entry-intake".into();
    keyed.idempotent = false;
    let (record, index) = send_and_wait_running(&bed, keyed).await;

    bed.apply(&Action::Crash(index)).await;
    bed.apply(&Action::Recover(index)).await;
    let record = record.await.expect("the caller task does not panic");

    let starts = bed.log.records().starts;
    bed.stop();
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert!(
        matches!(&record.outcome, Outcome::Refused { ran, .. } if ran == "unknown"),
        "{:?}",
        record.outcome
    );
}

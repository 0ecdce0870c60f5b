//! Single faults, each struck at a known point, against instances on real sockets.

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

/// Longest wait of a test for anything; only a hang reaches it.
const PATIENCE: Duration = Duration::from_mins(1);

async fn bed() -> Arc<TestBed> {
    let deployment = Deployment::named("fair").expect("a deployment");
    let bed = TestBed::start(deployment, Policy::Jackdawtally, 1, 2)
        .await
        .expect("a test bed");
    bench::declare(&bed).await.expect("a configuration");
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
    let entries = Arc::new(AddressList::default());
    entries.set(bed.entries());
    Callers::new(entries)
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
    tokio::time::timeout(PATIENCE, waiting)
        .await
        .expect("waited in vain");
}

/// Sends request 1 and waits until it runs; tells the place of the engine that runs it.
async fn under_way(bed: &TestBed, request: PlannedRequest) -> (JoinHandle<RequestRecord>, usize) {
    let answer = send(&callers(bed), request);
    wait_for(bed, |r| r.tokens.get(&1).is_some_and(|n| *n > 50)).await;
    let server = bed.log.records().starts[0].server.clone();
    let mut engines = bed.servers.iter();
    let place = engines.position(|e| e.options.name == server);
    (answer, place.expect("a known engine"))
}

fn is_whole(answer: &RequestRecord) -> bool {
    answer.outcome == Outcome::Complete && !answer.corrupt && !answer.mismatched
}

fn assert_whole(answer: &RequestRecord) {
    assert!(
        is_whole(answer),
        "{:?} after {} pieces",
        answer.outcome,
        answer.tokens
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_elsewhere_when_its_engine_dies() {
    let bed = bed().await;
    let (answer, place) = under_way(&bed, request(1, 300)).await;

    bed.act(&Action::Crash(place)).await;
    let answer = answer.await.expect("no panic");

    let server = bed.servers[place].options.name.clone();
    let starts = bed.log.records().starts;
    bed.stop();
    assert_whole(&answer);
    assert!(
        starts
            .iter()
            .any(|s| s.prior_tokens > 0 && s.server != server),
        "{starts:?}"
    );
    assert!(answer.disconnects.is_empty(), "the caller didn't notice");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_whose_instance_dies_goes_on_at_another() {
    let bed = bed().await;
    let callers = callers(&bed);
    let all = bed.entries();
    let first = all
        .iter()
        .position(|e| e.instance == "entry-01")
        .expect("two instances");
    callers.addresses.set(vec![all[first].clone()]);
    let answer = send(&callers, request(1, 300));
    wait_for(&bed, |r| r.tokens.get(&1).is_some_and(|n| *n > 50)).await;

    callers.addresses.set(vec![all[1 - first].clone()]);
    bed.act(&Action::Kill(0)).await;
    let answer = answer.await.expect("no panic");

    let records = bed.log.records();
    bed.stop();
    assert_whole(&answer);
    assert_eq!(answer.disconnects.len(), 1);
    assert!(
        records.starts.iter().all(|s| s.prior_tokens == 0),
        "the engine itself goes on"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_request_s_answer_is_never_delivered() {
    let bed = bed().await;
    for engine in &bed.servers {
        engine.mismatch_percent.store(30, Ordering::Relaxed);
    }
    let callers = callers(&bed);

    let sent: Vec<_> = (1..=40)
        .map(|tag| send(&callers, request(tag, 30)))
        .collect();
    let mut answers = Vec::new();
    for answer in sent {
        answers.push(answer.await.expect("no panic"));
    }

    let nodes = bed.all();
    let seen: u64 = nodes
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
    assert!(seen > 0, "no answer was crossed");
    assert!(answers.iter().all(is_whole), "{answers:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keyed_request_runs_once_though_its_engine_dies() {
    let bed = bed().await;
    let mut keyed = request(1, 300);
    keyed.class = "entry-intake".into();
    keyed.idempotent = false;
    let (answer, place) = under_way(&bed, keyed).await;

    bed.act(&Action::Crash(place)).await;
    bed.act(&Action::Recover(place)).await;
    let answer = answer.await.expect("no panic");

    let starts = bed.log.records().starts;
    bed.stop();
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert!(
        matches!(&answer.outcome, Outcome::Refused { ran, .. } if ran == "unknown"),
        "{:?}",
        answer.outcome
    );
}

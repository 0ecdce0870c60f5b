//! A stream whose worker pauses is sent to a second worker, while the first one, which doesn't drop a request when its
//! channel closes, still works on it.

mod kit;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::{Front, Net, Record, Request, Store, Temporary};

const EVENTS: u64 = 16;
const EVENT_GAP: Duration = Duration::from_millis(200);
/// Event after which the worker preempts the request, and for how long. Consumers wait for two seconds and more.
const PREEMPTED_AT: u64 = 3;
const PREEMPTION: Duration = Duration::from_millis(1_400);
const TIME_LIMIT: Duration = Duration::from_millis(8_000);
/// Time for which two workers may be at work on one request, by the rule.
const OVERLAP_MS: u128 = 400;

const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"sheet\",\"hostname\":\"h.example\",\
    \"path-prefix\":\"/sheet/\",\"kind\":\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":1200,\
    \"priority\":0,\"service\":\"pool\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\
    \"resumable\":true,\"target-gap-ms\":250}],\
    \"services\":[{\"name\":\"pool\",\"health-path\":\"/healthz\",\"max-connections\":360,\
    \"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
    \"idle-timeout-ms\":15000},\
    \"tenants\":[{\"name\":\"tenant-a\",\"api-keys\":[\"key-a\"],\"priority\":1}]}";

/// When each worker made a piece of the request, in order: its id, the piece and the time.
type Work = Arc<Mutex<Vec<(&'static str, u64, u128)>>>;

fn script(record: &Arc<Record>, work: &Work, id: &'static str, trouble: bool) -> Arc<kit::Script> {
    let (record, work) = (Arc::clone(record), Arc::clone(work));
    Arc::new(move |request: &Request, stream| {
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let name = request.header("x-request-id").to_owned();
        record.line(format!("worker {id} runs {name}, after event {after}"));
        work.lock().unwrap().push((id, after, record.ms()));
        let mut open = kit::stream_head(stream, request, "");
        // The worker goes on when its channel closes.
        for piece in after + 1..=EVENTS {
            if trouble && after == 0 && piece == PREEMPTED_AT + 1 {
                record.line(format!("worker {id} preempts {name} for {} ms", PREEMPTION.as_millis()));
                thread::sleep(PREEMPTION);
                record.line(format!("worker {id} goes on with {name}"));
            }
            thread::sleep(EVENT_GAP);
            work.lock().unwrap().push((id, piece, record.ms()));
            open = open && kit::send_chunk(stream, &kit::event_text(piece, &format!("piece {piece}")));
        }
        record.line(format!("worker {id} has made all pieces of {name}; its channel is open: {open}"));
        open && kit::end_chunks(stream)
    })
}

fn request(id: &str) -> Vec<u8> {
    let body = "the prompt";
    format!(
        "POST /sheet/2f HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\nX-Deadline-Ms: {}\r\n\
         X-Key: key-a\r\nContent-Length: {}\r\n\r\n{body}",
        TIME_LIMIT.as_millis(),
        body.len()
    )
    .into_bytes()
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    std::process::exit(run(&folder));
}

fn run(folder: &str) -> i32 {
    let trouble = kit::has_trouble();
    let record = Record::new(folder);
    let net = Net::free();
    let temporary = Temporary::create();
    let store = Store::start(net.store());
    let work: Work = Arc::default();
    record.line(format!("TROUBLE={}", u8::from(trouble)));
    for (number, id) in [(0, "i-1"), (1, "i-2")] {
        kit::start_worker(net.worker(number), id, script(&record, &work, id, trouble));
        store.put("servers", id, &kit::entry("pool", net.worker(number), "v1", 64, "ready", 1));
    }
    store.put("config", "main", CONFIG);
    let front = Front::start(net, 0, 2, &temporary.0);
    let other = Front::start(net, 1, 2, &temporary.0);
    if !front.wait_ready() || !other.wait_ready() {
        return kit::NOT_RUN;
    }
    record.line("both processes are ready; 5 s without any disturbance follow");
    thread::sleep(Duration::from_secs(5));

    record.line("the consumer sends request a1 to the first process");
    let answer = kit::ask(front.address, &request("a1"), TIME_LIMIT, &record, |event| {
        record.line(format!("a1: event {} '{}'", event.id, event.data));
    });
    record.line(format!(
        "a1: status {}, {} events, complete: {}",
        answer.status,
        answer.events.len(),
        answer.complete
    ));
    thread::sleep(Duration::from_millis(2_000));
    for line in front.log_lines(&["event=request."]) {
        record.line(format!("log of the first process: {line}"));
    }
    if answer.status != 200 {
        return kit::NOT_RUN;
    }
    let work = work.lock().unwrap().clone();
    let first = work[0].0;
    let Some(second) = work.iter().find(|(id, _, _)| *id != first) else {
        record.line("one worker has run a1; TWICE held");
        return kit::HELD;
    };
    let last = work.iter().filter(|(id, _, _)| *id == first).next_back().expect("it has begun");
    let (began, ended) = (second.2, last.2);
    record.line(format!(
        "worker {} goes on with a1 at {began} ms; worker {first} still makes piece {} at {ended} ms",
        second.0, last.1
    ));
    if ended > began + OVERLAP_MS {
        record.line("TWICE is broken: the worker before still worked on the request 400 ms later");
        return kit::BROKEN;
    }
    record.line("TWICE held");
    kit::HELD
}

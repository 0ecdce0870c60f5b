//! During a planned stop, a stream whose worker pauses is taken away from that worker and then cut, although the worker
//! goes on with it.

mod kit;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Front, Net, Record, Request, Store};

const EVENTS: u64 = 12;
const EVENT_GAP: Duration = Duration::from_millis(200);
/// Event after which the worker preempts the request, and for how long. Consumers wait for two seconds and more.
const PREEMPTED_AT: u64 = 3;
const PREEMPTION: Duration = Duration::from_millis(1_500);
/// Time for which the other worker is full from then on.
const FULL: Duration = Duration::from_millis(3_000);
const TIME_LIMIT: Duration = Duration::from_millis(8_000);
/// Event after which the process gets SIGTERM.
const STOP_AT: u64 = 2;

const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"sheet\",\"hostname\":\"h.example\",\
    \"path-prefix\":\"/sheet/\",\"kind\":\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":1200,\
    \"priority\":0,\"service\":\"pool\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\
    \"resumable\":true,\"target-gap-ms\":250}],\
    \"services\":[{\"name\":\"pool\",\"health-path\":\"/healthz\",\"max-connections\":360,\
    \"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
    \"idle-timeout-ms\":15000},\
    \"tenants\":[{\"name\":\"tenant-a\",\"api-keys\":[\"key-a\"],\"priority\":1}]}";

/// What the workers have in common.
#[derive(Default)]
struct Load {
    /// The worker that runs the request.
    runner: Mutex<Option<&'static str>>,
    /// Until when the other worker is full.
    full_until: Mutex<Option<Instant>>,
    broken_off: AtomicU64,
}

fn script(record: &Arc<Record>, load: &Arc<Load>, id: &'static str, trouble: bool) -> Arc<kit::Script> {
    let (record, load) = (Arc::clone(record), Arc::clone(load));
    Arc::new(move |request: &Request, stream| {
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let name = request.header("x-request-id").to_owned();
        let runner = *load.runner.lock().unwrap().get_or_insert(id);
        let full = load.full_until.lock().unwrap().is_some_and(|until| Instant::now() < until);
        if id != runner && full {
            record.line(format!("worker {id} is full: 503, {name} isn't run"));
            return kit::respond(stream, request, 503, "x-not-executed: 1\r\nx-server-load: 64,10,64\r\n", "");
        }
        record.line(format!("worker {id} runs {name}, after event {after}"));
        let mut sent = after;
        let mut open = kit::stream_head(stream, request, "");
        while open && sent < EVENTS {
            if trouble && id == runner && sent == PREEMPTED_AT {
                record.line(format!("worker {id} preempts {name} for {} ms", PREEMPTION.as_millis()));
                *load.full_until.lock().unwrap() = Some(Instant::now() + FULL);
                open = kit::pause(stream, PREEMPTION);
            }
            open = open && kit::pause(stream, EVENT_GAP);
            sent += u64::from(open);
            open = open && kit::send_chunk(stream, &kit::event_text(sent, &format!("piece {sent}")));
        }
        if open {
            record.line(format!("worker {id} has sent all of {name}"));
            return kit::end_chunks(stream);
        }
        record.line(format!("worker {id} was still at work on {name}: its channel was closed after event {sent}"));
        load.broken_off.fetch_add(1, Ordering::SeqCst);
        false
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
    let temporary = kit::Temporary::create();
    let store = Store::start(net.store());
    let load = Arc::new(Load::default());
    record.line(format!("TROUBLE={}", u8::from(trouble)));
    for (number, id) in [(0, "i-1"), (1, "i-2")] {
        kit::start_worker(net.worker(number), id, script(&record, &load, id, trouble));
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

    let stopped = AtomicU64::new(0);
    record.line("the consumer sends request a1 to the first process");
    let began = record.ms();
    let answer = kit::ask(front.address, &request("a1"), TIME_LIMIT, &record, |event| {
        record.line(format!("a1: event {} '{}'", event.id, event.data));
        if event.id == STOP_AT {
            record.line("SIGTERM to the first process");
            front.signal("TERM");
            stopped.store(record.ms() as u64, Ordering::SeqCst);
        }
    });
    let stopped = u128::from(stopped.load(Ordering::SeqCst));
    if answer.status != 200 || stopped == 0 {
        record.line(format!("the stream doesn't begin: status {}", answer.status));
        return kit::NOT_RUN;
    }
    record.line(format!(
        "a1: status 200, {} events, complete: {}; the channel ended {} ms after the request and {} ms after SIGTERM",
        answer.events.len(),
        answer.complete,
        answer.ended_ms - began,
        answer.ended_ms.saturating_sub(stopped),
    ));
    thread::sleep(Duration::from_millis(300));
    for line in front.log_lines(&["event=request."]) {
        record.line(format!("log of the first process: {line}"));
    }
    // LOST: the request was passed on, and its channel ended without a complete answer, after SIGTERM and before the
    // last sixth of `grace-s`, with time left; the worker had not broken off.
    let in_time = answer.ended_ms - began < 7_500 && answer.ended_ms - stopped < 6_600;
    if !answer.complete && in_time && load.broken_off.load(Ordering::SeqCst) > 0 {
        record.line("LOST is broken: the channel ended without a complete answer");
        return kit::BROKEN;
    }
    record.line("LOST held");
    kit::HELD
}

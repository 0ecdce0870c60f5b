//! A worker starts again under its id with another software version. Streams that begin there before its entry has
//! reached the process are taken for streams of the old version, and go on at a worker of that one when they break.

mod kit;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::{Answer, Front, Net, Record, Request, Store, Worker};

const EVENTS: u64 = 20;
const EVENT_GAP: Duration = Duration::from_millis(250);
const TIME_LIMIT: Duration = Duration::from_millis(8_000);
/// Streams that begin right after the restart, and the time between them.
const STREAMS: usize = 60;
const STREAM_GAP: Duration = Duration::from_millis(8);
/// Streams of two versions that the rule allows.
const JOINED_MOST: usize = 2;
/// Time for which a worker is down when it starts again.
const DOWN: Duration = Duration::from_millis(60);
/// Time between the starts of two workers that are replaced one after the other.
const RESTART_GAP: Duration = Duration::from_millis(1_300);
/// Time between two check-ins of a worker, at which its `cold-remaining-ms` is written anew.
const CHECK_IN: Duration = Duration::from_millis(1_200);
/// How long a worker remains slow after its start, as it says.
const COLD_MS: u64 = 3_000;
/// Time from the second restart to the crash of that worker.
const CRASH_AFTER: Duration = Duration::from_millis(2_500);

const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"drafts\",\"hostname\":\"h.example\",\
    \"path-prefix\":\"/drafts/\",\"kind\":\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":1200,\
    \"priority\":0,\"service\":\"pool\",\"max-attempts\":2,\"public\":false,\"sticky\":false,\
    \"resumable\":true,\"target-gap-ms\":400}],\
    \"services\":[{\"name\":\"pool\",\"health-path\":\"/healthz\",\"max-connections\":360,\
    \"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
    \"idle-timeout-ms\":15000},\
    \"tenants\":[{\"name\":\"tenant-a\",\"api-keys\":[\"key-a\"],\"priority\":1}]}";

/// Sends the events after `Last-Event-Id`; each names the version of the software that made it.
fn script(record: &Arc<Record>, id: &'static str, version: &Arc<AtomicU64>) -> Arc<kit::Script> {
    let (record, version) = (Arc::clone(record), Arc::clone(version));
    Arc::new(move |request: &Request, stream| {
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let name = request.header("x-request-id").to_owned();
        let version = version.load(Ordering::SeqCst);
        record.line(format!("worker {id} (v{version}) runs {name}, after event {after}"));
        let mut sent = after;
        let mut open = kit::stream_head(stream, request, "");
        while open && sent < EVENTS {
            open = kit::pause(stream, EVENT_GAP);
            sent += u64::from(open);
            open = open && kit::send_chunk(stream, &kit::event_text(sent, &format!("piece {sent} of v{version}")));
        }
        open && kit::end_chunks(stream)
    })
}

fn request(id: &str, last: u64) -> Vec<u8> {
    let resume = if last > 0 { format!("Last-Event-Id: {last}\r\n") } else { String::new() };
    let body = "the prompt";
    format!(
        "POST /drafts/2f HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n{resume}X-Model: m\r\n\
         X-Token-Usage: 660,80\r\nX-Prompt-Prefix: {id:0>4}:660\r\nX-Deadline-Ms: {}\r\n\
         X-Key: key-a\r\nContent-Length: {}\r\n\r\n{body}",
        TIME_LIMIT.as_millis(),
        body.len(),
        id = id
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
    record.line(format!("TROUBLE={}", u8::from(trouble)));
    let ids = ["i-1", "i-2", "i-3", "i-4", "i-5"];
    let versions: Vec<Arc<AtomicU64>> = ids.iter().map(|_| Arc::new(AtomicU64::new(1))).collect();
    let mut workers = Vec::new();
    for (number, id) in ids.into_iter().enumerate() {
        let address = net.worker(number as u8);
        workers.push(Worker::start(address, id, script(&record, id, &versions[number])));
        store.put("servers", id, &kit::entry("pool", address, "v1", 64, "ready", 1));
    }
    store.put("config", "main", CONFIG);
    let front = Front::start(net, 0, 2, &temporary.0);
    let other = Front::start(net, 1, 2, &temporary.0);
    if !front.wait_ready() || !other.wait_ready() {
        return kit::NOT_RUN;
    }
    record.line("both processes are ready; 3 s without any change follow");
    thread::sleep(Duration::from_secs(3));

    let publish = |number: usize, cold_ms: u64| {
        let entry = kit::entry("pool", net.worker(number as u8), "v2", 64, "ready", 2);
        let cold = format!("\"cold-remaining-ms\":{cold_ms}");
        store.put("servers", ids[number], &entry.replace("\"cold-remaining-ms\":0", &cold));
    };
    let restart = |number: usize| {
        record.line(format!("worker {} ends, to start again with v2", ids[number]));
        workers[number].end();
        thread::sleep(DOWN);
        versions[number].store(2, Ordering::SeqCst);
        workers[number].begin();
        thread::sleep(Duration::from_millis(5));
        publish(number, COLD_MS);
        record.line(format!("worker {} has started again with v2, and its entry is in the store", ids[number]));
    };
    if trouble {
        restart(0);
        thread::sleep(CHECK_IN);
        publish(0, COLD_MS - 1_200);
        record.line("worker i-1 checks in");
        thread::sleep(RESTART_GAP.saturating_sub(CHECK_IN));
        restart(1);
    }
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let mut consumers = Vec::new();
    for number in 0..STREAMS {
        let (record, answers, address) = (Arc::clone(&record), Arc::clone(&answers), front.address);
        consumers.push(thread::spawn(move || {
            let id = format!("a{number}");
            let answer = kit::ask(address, &request(&id, 0), TIME_LIMIT, &record, |_| {});
            answers.lock().unwrap().push((id, answer));
        }));
        thread::sleep(STREAM_GAP);
    }
    thread::sleep(CRASH_AFTER);
    record.line("worker i-2 crashes");
    workers[1].end();
    for consumer in consumers {
        let _ = consumer.join();
    }
    for line in front.log_lines(&["event=server.entry"]) {
        record.line(format!("log: {line}"));
    }
    for line in front.log_lines(&["event=request.again"]) {
        record.line(format!("log: {line}"));
    }
    let mut count = 0;
    let mut answers = answers.lock().unwrap().clone();
    answers.sort_by(|a, b| a.0.cmp(&b.0));
    for (id, answer) in &answers {
        let of = |v: &str| answer.events.iter().filter(|e| e.data.ends_with(v)).count();
        let (old, new) = (of("v1"), of("v2"));
        let joined = old > 0 && new > 0;
        record.line(format!(
            "{id}: status {}, {old} pieces of v1, {new} of v2, complete: {}{}",
            answer.status,
            answer.complete,
            if joined { "; joined from two versions" } else { "" }
        ));
        count += usize::from(joined);
    }
    record.line(format!("{count} of {} streams hold pieces of two versions", answers.len()));
    if answers.iter().any(|(_, a)| a.status != 200 || a.events.is_empty()) {
        record.line("a stream didn't begin");
        return kit::NOT_RUN;
    }
    if count > JOINED_MOST {
        record.line("ORDER is broken: more than two streams hold events from workers of two versions of one service");
        return kit::BROKEN;
    }
    record.line("ORDER held");
    kit::HELD
}

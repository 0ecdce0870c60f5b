//! A stream that began at one service is continued at another one, of another software version, after its route was
//! moved there and all processes were killed at the same moment.

mod kit;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Front, Net, Record, Request, Store};

const EVENTS: u64 = 20;
const EVENT_GAP: Duration = Duration::from_millis(300);
/// Time limit of the consumer, as of the request kinds with the same route timeout on the sheet.
const TIME_LIMIT: Duration = Duration::from_millis(8_000);
/// Event after which the operator writes the new config.
const CONFIG_AT: u64 = 2;
/// Time from the acknowledgement of the config to the kill: `config-apply-ms` and half a second.
const KILL_AFTER: Duration = Duration::from_millis(2_500);
/// Time for which the processes are down.
const DOWN: Duration = Duration::from_millis(1_000);
/// Requests that the consumer sends at most, after the first one.
const RETRIES: u32 = 3;

fn config(version: u64, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"drafts\",\"hostname\":\"h.example\",\
         \"path-prefix\":\"/drafts/\",\"kind\":\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":1200,\
         \"priority\":0,\"service\":\"{service}\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"target-gap-ms\":400}}],\
         \"services\":[{{\"name\":\"drafts-old\",\"health-path\":\"/healthz\",\"max-connections\":360,\
         \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"drafts-new\",\"health-path\":\"/healthz\",\
         \"max-connections\":360,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api-keys\":[\"key-a\"],\"priority\":1}}]}}"
    )
}

/// A worker that sends the events after `Last-Event-Id`; each names the version that made it.
fn script(record: &Arc<Record>, id: &'static str, version: &'static str) -> Arc<kit::Script> {
    let record = Arc::clone(record);
    Arc::new(move |request: &Request, stream| {
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let name = request.header("x-request-id").to_owned();
        record.line(format!("worker {id} ({version}) runs {name}, after event {after}"));
        let mut sent = after;
        let mut open = kit::stream_head(stream, request, "");
        while open && sent < EVENTS {
            open = kit::pause(stream, EVENT_GAP);
            sent += 1;
            open = open && kit::send_chunk(stream, &kit::event_text(sent, &format!("piece {sent} of {version}")));
        }
        if !open {
            record.line(format!("worker {id} sees the channel of {name} closed, after event {sent}"));
        }
        open && kit::end_chunks(stream)
    })
}

fn request(id: &str, last: u64, left: Duration) -> Vec<u8> {
    // `Resumes` names the attempt that brought the first event, as consumers do where several versions serve.
    let resume = if last > 0 { format!("Last-Event-Id: {last}\r\nResumes: a0\r\n") } else { String::new() };
    let body = "the same prompt";
    format!(
        "POST /drafts/2f HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n{resume}X-Model: m\r\n\
         X-Token-Usage: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\nX-Deadline-Ms: {}\r\n\
         X-Key: key-a\r\nContent-Length: {}\r\n\r\n{body}",
        left.as_millis(),
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
    record.line(format!("TROUBLE={}", u8::from(trouble)));
    for (number, id, service, version) in [
        (0, "i-old-1", "drafts-old", "v1"),
        (1, "i-old-2", "drafts-old", "v1"),
        (2, "i-new-1", "drafts-new", "v2"),
        (3, "i-new-2", "drafts-new", "v2"),
    ] {
        kit::start_worker(net.worker(number), id, script(&record, id, version));
        store.put("servers", id, &kit::entry(service, net.worker(number), version, 64, "ready", 1));
    }
    store.put("config", "main", &config(3, "drafts-old"));
    let mut fronts = [Front::start(net, 0, 2, &temporary.0), Front::start(net, 1, 2, &temporary.0)];
    if !fronts.iter().all(Front::wait_ready) {
        return kit::NOT_RUN;
    }
    // All has stood still for longer than any stream can last.
    record.line("both processes are ready; 20 s without any change follow");
    thread::sleep(Duration::from_secs(20));

    let last = Arc::new(AtomicU64::new(0));
    let answer = Arc::new(Mutex::new(None));
    let began = Instant::now();
    let consumer = {
        let (record, last, answer) = (Arc::clone(&record), Arc::clone(&last), Arc::clone(&answer));
        let address = fronts[0].address;
        thread::spawn(move || {
            record.line("the consumer sends request a0 to the first process");
            let got = kit::ask(address, &request("a0", 0, TIME_LIMIT), TIME_LIMIT, &record, |event| {
                record.line(format!("a0: event {} '{}'", event.id, event.data));
                last.store(event.id, Ordering::SeqCst);
            });
            *answer.lock().unwrap() = Some(got);
        })
    };
    while last.load(Ordering::SeqCst) < CONFIG_AT {
        if began.elapsed() > Duration::from_secs(5) {
            record.line("the stream doesn't begin");
            return kit::NOT_RUN;
        }
        thread::sleep(Duration::from_millis(5));
    }
    store.put("config", "main", &config(4, "drafts-new"));
    record.line("the store acknowledges config 4: the route is moved from drafts-old to drafts-new");
    if trouble {
        thread::sleep(KILL_AFTER);
        record.line("SIGKILL to both processes");
        fronts.iter().for_each(|front| front.signal("KILL"));
        thread::sleep(DOWN);
        fronts.iter_mut().for_each(Front::restart);
        record.line("both processes are started again");
    }
    let _ = consumer.join();
    let mut part = answer.lock().unwrap().take().expect("the consumer has ended");
    let mut events = Vec::new();
    let mut number = 0;
    let complete = loop {
        record.line(format!(
            "a{number}: status {}, {} events, complete: {}",
            part.status,
            part.events.len(),
            part.complete
        ));
        let taken = part.status == 200;
        if taken {
            events.append(&mut part.events);
        }
        if (taken && part.complete) || number == RETRIES {
            break taken && part.complete;
        }
        // As the pages allow: again, within the time limit, on a new channel, from the last event on.
        thread::sleep(retry_after(&part.head));
        number += 1;
        let front = &fronts[number as usize % 2];
        let after = events.last().map_or(0, |e: &kit::Event| e.id);
        let end = began + TIME_LIMIT;
        while std::net::TcpStream::connect(front.address).is_err() && Instant::now() < end {
            thread::sleep(Duration::from_millis(50));
        }
        let left = end.saturating_duration_since(Instant::now());
        let id = format!("a{number}");
        record.line(format!("the consumer sends request {id} to {}, Last-Event-Id: {after}", front.name));
        part = kit::ask(front.address, &request(&id, after, left), left, &record, |event| {
            record.line(format!("{id}: event {} '{}'", event.id, event.data));
        });
    };
    for front in &fronts {
        for line in front.log_lines(&["event=stream.origin"]) {
            record.line(format!("log: {line}"));
        }
    }
    verdict(&record, &events, complete)
}

/// The time that a refusal asks for, 0.1 s if there is none.
fn retry_after(head: &str) -> Duration {
    let lower = head.to_ascii_lowercase();
    let seconds = lower.lines().find_map(|l| l.strip_prefix("retry-after:")?.trim().parse::<f64>().ok());
    Duration::from_secs_f64(seconds.unwrap_or(0.1).clamp(0.05, 2.0))
}

/// ORDER: no piece is missing or comes twice, and the pieces are of one version.
fn verdict(record: &Record, events: &[kit::Event], complete: bool) -> i32 {
    let ids: Vec<u64> = events.iter().map(|e| e.id).collect();
    let expected: Vec<u64> = (1..=ids.len() as u64).collect();
    let versions = |v: &str| events.iter().filter(|e| e.data.ends_with(v)).count();
    let (old, new) = (versions("v1"), versions("v2"));
    record.line(format!("the consumer has {old} pieces of v1 and {new} of v2; complete: {complete}"));
    if ids != expected || (old > 0 && new > 0) {
        record.line("ORDER is broken: pieces of two runs, of two versions, are joined");
        return kit::BROKEN;
    }
    record.line("ORDER held");
    kit::HELD
}

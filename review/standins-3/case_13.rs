//! All processes are killed at the same moment. Streams of a route whose traffic is split between two services aren't
//! taken up again, although all workers of both services have had one version all the time.

mod kit;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Answer, Front, Net, Record, Request, Store, Temporary};

const EVENTS: u64 = 40;
const EVENT_GAP: Duration = Duration::from_millis(150);
const TIME_LIMIT: Duration = Duration::from_millis(8_000);
/// Streams that are taken up, and as many new ones beside them.
const STREAMS: usize = 20;
/// Time from the beginning of the streams to the kill, for which the processes are down, and from their start to the
/// take-ups: `stable-window-ms` and 0.3 s.
const KILL_AFTER: Duration = Duration::from_millis(900);
const DOWN: Duration = Duration::from_millis(1_000);
const IN_TOUCH: Duration = Duration::from_millis(3_300);
/// Requests that a consumer sends at most to take its stream up.
const RETRIES: u32 = 3;
/// By the rule, fewer streams that are taken up say nothing.
const STREAMS_LEAST: usize = 12;

fn config() -> String {
    // SPLIT=0 sends all of the route's traffic to one service, to show what the split changes.
    let split = std::env::var("SPLIT").map_or(true, |v| v != "0");
    let services = if split {
        "\"traffic-split\":[{\"service\":\"drafts-a\",\"weight\":90},{\"service\":\"drafts-b\",\"weight\":10}]"
    } else {
        "\"service\":\"drafts-a\""
    };
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"drafts\",\"hostname\":\"h.example\",\
         \"path-prefix\":\"/drafts/\",\"kind\":\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":1200,\
         \"priority\":0,{services},\"max-attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"target-gap-ms\":400}}],\
         \"services\":[{{\"name\":\"drafts-a\",\"health-path\":\"/healthz\",\"max-connections\":360,\
         \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"drafts-b\",\"health-path\":\"/healthz\",\
         \"max-connections\":360,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api-keys\":[\"key-a\"],\"priority\":1}}]}}"
    )
}

/// Sends the events after `Last-Event-Id`.
fn script(id: &'static str) -> Arc<kit::Script> {
    Arc::new(move |request: &Request, stream| {
        let mut sent: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let mut open = kit::stream_head(stream, request, "");
        while open && sent < EVENTS {
            open = kit::pause(stream, EVENT_GAP);
            sent += u64::from(open);
            open = open && kit::send_chunk(stream, &kit::event_text(sent, &format!("piece {sent} of {id}")));
        }
        open && kit::end_chunks(stream)
    })
}

fn request(id: &str, resumed: Option<(&str, u64)>, left: Duration) -> Vec<u8> {
    let resume = resumed.map_or(String::new(), |(first, last)| {
        format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n")
    });
    let body = "the prompt";
    format!(
        "POST /drafts/2f HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n{resume}X-Model: m\r\n\
         X-Token-Usage: 660,80\r\nX-Prompt-Prefix: 5c1e07a2:200,{:x}:460\r\nX-Deadline-Ms: {}\r\n\
         X-Key: key-a\r\nContent-Length: {}\r\n\r\n{body}",
        id.bytes().fold(7_u64, |h, b| h.wrapping_mul(131).wrapping_add(b.into())) >> 8,
        left.as_millis(),
        body.len()
    )
    .into_bytes()
}

/// How a stream went on for its consumer.
struct TakeUp {
    id: String,
    statuses: Vec<u16>,
    went_on: bool,
}

/// Takes a stream up, as the pages allow: within the time limit, on new channels, after the `Retry-After` of a refusal.
fn take_up(id: &str, began: Instant, first: &Answer, fronts: [std::net::SocketAddr; 2], record: &Record) -> TakeUp {
    let last = first.events.last().map_or(0, |e| e.id);
    let mut statuses = Vec::new();
    for number in 1..=RETRIES {
        let left = (began + TIME_LIMIT).saturating_duration_since(Instant::now());
        let again = format!("{id}-{number}");
        let address = fronts[(number as usize + id.len()) % 2];
        let answer = kit::ask(address, &request(&again, Some((id, last)), left), left, record, |_| {});
        statuses.push(answer.status);
        if answer.status == 200 && answer.events.first().is_some_and(|e| e.id == last + 1) {
            return TakeUp { id: id.to_owned(), statuses, went_on: true };
        }
        thread::sleep(Duration::from_millis(300));
    }
    TakeUp { id: id.to_owned(), statuses, went_on: false }
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
    record.line(format!("TROUBLE={}", u8::from(trouble)));
    for (number, id, service) in [
        (0, "i-a1", "drafts-a"),
        (1, "i-a2", "drafts-a"),
        (2, "i-a3", "drafts-a"),
        (3, "i-b1", "drafts-b"),
        (4, "i-b2", "drafts-b"),
        (5, "i-b3", "drafts-b"),
    ] {
        kit::start_worker(net.worker(number), id, script(id));
        store.put("servers", id, &kit::entry(service, net.worker(number), "v1", 64, "ready", 1));
    }
    store.put("config", "main", &config());
    let mut fronts = [Front::start(net, 0, 2, &temporary.0), Front::start(net, 1, 2, &temporary.0)];
    if !fronts.iter().all(Front::wait_ready) {
        return kit::NOT_RUN;
    }
    record.line("both processes are ready; 20 s without any change follow");
    thread::sleep(Duration::from_secs(20));

    let addresses = [fronts[0].address, fronts[1].address];
    let began = Instant::now();
    let streams: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let mut consumers = Vec::new();
    for number in 0..STREAMS {
        let (record, streams) = (Arc::clone(&record), Arc::clone(&streams));
        consumers.push(thread::spawn(move || {
            let id = format!("a{number}");
            let first = kit::ask(addresses[number % 2], &request(&id, None, TIME_LIMIT), TIME_LIMIT, &record, |_| {});
            streams.lock().unwrap().push((id, first));
        }));
    }
    record.line(format!("{STREAMS} streams begin"));
    if trouble {
        thread::sleep(KILL_AFTER);
        record.line("SIGKILL to both processes");
        fronts.iter().for_each(|front| front.signal("KILL"));
        thread::sleep(DOWN);
        fronts.iter_mut().for_each(Front::restart);
        record.line("both processes are started again");
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    let streams = streams.lock().unwrap().clone();
    let broken: Vec<(String, Answer)> = streams.into_iter().filter(|(_, a)| !a.complete).collect();
    record.line(format!("{} streams broke off, {} of them with an event", broken.len(), with_events(&broken)));
    if broken.is_empty() {
        record.line("no stream is taken up; LOST held");
        return kit::HELD;
    }
    thread::sleep(IN_TOUCH);
    record.line("both processes are in touch; the consumers take their streams up, and new streams begin");
    let taken: Arc<Mutex<Vec<TakeUp>>> = Arc::default();
    let new: Arc<Mutex<usize>> = Arc::default();
    let mut consumers = Vec::new();
    for (id, first) in broken.into_iter().filter(|(_, a)| !a.events.is_empty()) {
        let (record, taken) = (Arc::clone(&record), Arc::clone(&taken));
        consumers.push(thread::spawn(move || {
            let up = take_up(&id, began, &first, addresses, &record);
            taken.lock().unwrap().push(up);
        }));
    }
    for number in 0..STREAMS {
        let (record, new) = (Arc::clone(&record), Arc::clone(&new));
        consumers.push(thread::spawn(move || {
            let id = format!("n{number}");
            let limit = Duration::from_secs(2);
            let answer = kit::ask(addresses[number % 2], &request(&id, None, TIME_LIMIT), limit, &record, |_| {});
            *new.lock().unwrap() += usize::from(answer.status == 200 && !answer.events.is_empty());
        }));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    for front in &fronts {
        for line in front.log_lines(&["event=stream.origin"]).iter().take(4) {
            record.line(format!("log: {line}"));
        }
    }
    let new = *new.lock().unwrap();
    let taken = taken.lock().unwrap();
    verdict(&record, &taken, new)
}

fn with_events(streams: &[(String, Answer)]) -> usize {
    streams.iter().filter(|(_, a)| !a.events.is_empty()).count()
}

/// LOST: of 12 or more streams that are taken up, the share that goes on is under half of the share of new ones that begin.
fn verdict(record: &Record, taken: &[TakeUp], new: usize) -> i32 {
    for up in taken {
        record.line(format!("{}: answers {:?}, went on: {}", up.id, up.statuses, up.went_on));
    }
    let went_on = taken.iter().filter(|up| up.went_on).count();
    record.line(format!("{went_on} of {} streams went on; {new} of {STREAMS} new ones began", taken.len()));
    if taken.len() < STREAMS_LEAST || new < STREAMS / 2 {
        record.line("too few streams to judge");
        return kit::NOT_RUN;
    }
    if went_on * STREAMS * 2 < new * taken.len() {
        record.line("LOST is broken: streams that consumers take up again don't go on");
        return kit::BROKEN;
    }
    record.line("LOST held");
    kit::HELD
}

//! A config lowers the time-out of a route while one of its workers leaves. After all processes were killed, streams that
//! began at that worker are continued at workers of another version.

mod kit;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Answer, Front, Net, Record, Request, Store, Temporary};

const EVENTS: u64 = 80;
const EVENT_GAP: Duration = Duration::from_millis(95);
const TIME_LIMIT: Duration = Duration::from_millis(8_000);
/// The route's time-out in the first config and in the second one, in ms.
const TIMEOUTS: [u64; 2] = [8_000, 1_500];
const STREAMS: usize = 30;
/// Streams of two versions that the rule allows.
const JOINED_MOST: usize = 2;
/// From the beginning of the streams: when the worker's entry is removed, when the config is acknowledged, and when all
/// processes are killed.
const REMOVED: Duration = Duration::from_millis(300);
const CONFIG: Duration = Duration::from_millis(600);
const KILLED: Duration = Duration::from_millis(2_000);
/// Time for which the processes are down, and from their start to the first take-up.
const DOWN: Duration = Duration::from_millis(1_000);
const BACK: Duration = Duration::from_millis(3_200);
/// Requests that a consumer sends at most to take its stream up.
const RETRIES: u32 = 3;

fn config(version: u64, timeout: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"drafts\",\"hostname\":\"h.example\",\
         \"path-prefix\":\"/drafts/\",\"kind\":\"streaming\",\"timeout-ms\":{timeout},\"target-latency-ms\":1200,\
         \"priority\":0,\"service\":\"pool\",\"max-attempts\":2,\"public\":false,\"sticky\":false,\
         \"resumable\":true,\"target-gap-ms\":400}}],\
         \"services\":[{{\"name\":\"pool\",\"health-path\":\"/healthz\",\"max-connections\":360,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api-keys\":[\"key-a\"],\"priority\":1}}]}}"
    )
}

/// Sends the events after `Last-Event-Id`; each names the version that made it.
fn script(version: &'static str) -> Arc<kit::Script> {
    Arc::new(move |request: &Request, stream| {
        let mut sent: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let mut open = kit::stream_head(stream, request, "");
        while open && sent < EVENTS {
            open = kit::pause(stream, EVENT_GAP);
            sent += u64::from(open);
            open = open && kit::send_chunk(stream, &kit::event_text(sent, &format!("piece {sent} of {version}")));
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
         X-Token-Usage: 460,80\r\nX-Prompt-Prefix: {:x}:460\r\nX-Deadline-Ms: {}\r\n\
         X-Key: key-a\r\nContent-Length: {}\r\n\r\n{body}",
        id.bytes().fold(7_u64, |h, b| h.wrapping_mul(131).wrapping_add(b.into())) >> 8,
        left.as_millis(),
        body.len()
    )
    .into_bytes()
}

/// Takes a stream up, as the pages allow: within the time limit, on new channels, after the `Retry-After` of a refusal.
/// Returns the answers' statuses, and adds the events to those that the consumer has.
fn take_up(
    id: &str,
    began: Instant,
    answer: &mut Answer,
    fronts: [std::net::SocketAddr; 2],
    record: &Record,
) -> Vec<u16> {
    let last = answer.events.last().map_or(0, |e| e.id);
    let mut statuses = Vec::new();
    for number in 1..=RETRIES {
        let left = (began + TIME_LIMIT).saturating_duration_since(Instant::now());
        let address = fronts[(number as usize + id.len()) % 2];
        let part = kit::ask(address, &request(&format!("{id}-{number}"), Some((id, last)), left), left, record, |_| {});
        statuses.push(part.status);
        if part.status == 200 {
            answer.events.extend(part.events);
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    statuses
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    std::process::exit(run(&folder));
}

fn sleep_until(began: Instant, time: Duration) {
    thread::sleep((began + time).saturating_duration_since(Instant::now()));
}

fn run(folder: &str) -> i32 {
    let trouble = kit::has_trouble();
    // LOWER=0 leaves the time-out as it is, to show what that changes.
    let lower = std::env::var("LOWER").map_or(true, |v| v != "0");
    let record = Record::new(folder);
    let net = Net::free();
    let temporary = Temporary::create();
    let store = Store::start(net.store());
    record.line(format!("TROUBLE={}", u8::from(trouble)));
    for (number, id, version) in [(0, "i-old", "v1"), (1, "i-new-1", "v2"), (2, "i-new-2", "v2")] {
        kit::start_worker(net.worker(number), id, script(version));
        store.put("servers", id, &kit::entry("pool", net.worker(number), version, 64, "ready", 1));
    }
    store.put("config", "main", &config(3, TIMEOUTS[0]));
    let mut fronts = [Front::start(net, 0, 2, &temporary.0), Front::start(net, 1, 2, &temporary.0)];
    if !fronts.iter().all(Front::wait_ready) {
        return kit::NOT_RUN;
    }
    record.line("both processes are ready; one worker of v1 and two of v2 serve; 5 s without any change follow");
    thread::sleep(Duration::from_secs(5));

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
    sleep_until(began, REMOVED);
    store.remove("servers", "i-old");
    record.line("the entry of i-old is removed; it goes on serving");
    sleep_until(began, CONFIG);
    let timeout = TIMEOUTS[usize::from(lower)];
    store.put("config", "main", &config(4, timeout));
    record.line(format!("the store acknowledges config 4: the route's time-out is {timeout} ms"));
    if trouble {
        sleep_until(began, KILLED);
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
    if streams.iter().any(|(_, a)| a.status != 200 || a.events.is_empty()) {
        record.line("a stream didn't begin");
        return kit::NOT_RUN;
    }
    if trouble {
        thread::sleep(BACK);
        record.line("the consumers take up the streams that broke off");
    }
    let taken: Arc<Mutex<Vec<(String, Answer, Vec<u16>)>>> = Arc::default();
    let mut consumers = Vec::new();
    for (id, mut answer) in streams {
        let (record, taken) = (Arc::clone(&record), Arc::clone(&taken));
        consumers.push(thread::spawn(move || {
            let statuses = match answer.complete || !trouble {
                true => Vec::new(),
                false => take_up(&id, began, &mut answer, addresses, &record),
            };
            taken.lock().unwrap().push((id, answer, statuses));
        }));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    for front in &fronts {
        for line in front.log_lines(&["event=stream.origin"]).iter().take(3) {
            record.line(format!("log: {line}"));
        }
    }
    let taken = taken.lock().unwrap();
    verdict(&record, &taken)
}

/// ORDER: no more than two streams hold events from workers of two versions of one service.
fn verdict(record: &Record, taken: &[(String, Answer, Vec<u16>)]) -> i32 {
    let mut joined = 0;
    for (id, answer, statuses) in taken {
        let of = |v: &str| answer.events.iter().filter(|e| e.data.ends_with(v)).count();
        let (old, new) = (of("v1"), of("v2"));
        let both = old > 0 && new > 0;
        joined += usize::from(both);
        record.line(format!(
            "{id}: take-ups {statuses:?}; {old} pieces of v1, {new} of v2{}",
            if both { "; joined from two versions" } else { "" }
        ));
    }
    record.line(format!("{joined} of {} streams hold pieces of two versions", taken.len()));
    if joined > JOINED_MOST {
        record.line("ORDER is broken: more than two streams hold events from workers of two versions of one service");
        return kit::BROKEN;
    }
    record.line("ORDER held");
    kit::HELD
}

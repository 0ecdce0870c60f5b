//! ORDER: one machine is cut off from the store for seconds, while a worker of a new software version joins and is taken
//! back. Then the other machines are killed. Streams that began on that worker through them are taken up at the machine
//! that was cut off.

#[path = "../standins/kit.rs"]
mod kit;

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Entry, Proxy, Record, Store};

const SERVICE: &str = "jackdaw-pool";
/// Workers of the old version.
const WORKERS: u32 = 2;
const EVENTS: u32 = 30;
const GAP: Duration = Duration::from_millis(200);
const DEADLINE_MS: u64 = 8_000;
const STREAMS: usize = 90;
/// Machines, as in feria-zac. The last one is cut off from the store.
const MACHINES: usize = 6;
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;
/// How often a consumer comes back.
const RETRIES: usize = 3;

/// When things happen, in ms after the cut begins. The cut is shorter than the site's `core_cut` of 5.5 s.
const JOIN: u64 = 300;
const STREAMS_BEGIN: u64 = 1_500;
const TAKEN_BACK: u64 = 2_500;
const HEAL: u64 = 3_500;
/// The machine that was cut off has reached the store again, for a second at least.
const KILL: u64 = 4_600;
const START_AGAIN: u64 = KILL + 1_000;
/// `drain-ms` after the entry was removed, and a little longer.
const EXIT: u64 = TAKEN_BACK + 2_000 + 2_000;

struct Worker {
    id: String,
    version: &'static str,
    leaving: AtomicBool,
    gone: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Worker {
    fn start(id: &str, version: &'static str, record: &Arc<Record>) -> (Arc<Self>, Entry) {
        let (listener, address) = kit::listen(kit::LOCALHOST);
        let worker = Arc::new(Self {
            id: id.into(),
            version,
            leaving: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            channels: Mutex::default(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&worker);
        kit::serve(listener, move |stream| {
            if !shared.gone.load(Ordering::SeqCst) {
                let _ = shared.serve(stream);
            }
        });
        let entry = Entry {
            id: id.into(),
            service: SERVICE.into(),
            address,
            zone: "hall".into(),
            version: version.into(),
            slots: 64,
            born: kit::unix_ms(),
        };
        (worker, entry)
    }

    fn exit(&self) {
        self.gone.store(true, Ordering::SeqCst);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        self.channels.lock().unwrap().push(stream.try_clone()?);
        let mut write = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = kit::read_message(&mut reader)?;
            let id = request.id().to_owned();
            if request.field("x-expect-instance") != Some(&self.id) {
                let echo = format!("x-request-id: {id}");
                write.write_all(&kit::response("421 Misdirected Request", &[echo], ""))?;
                continue;
            }
            let after: u32 = request.field("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
            self.record.line(&format!("{} ({}) runs {id} from event {}", self.id, self.version, after + 1));
            let leaving = if self.leaving.load(Ordering::SeqCst) {
                "server-leaving: 1\r\n"
            } else {
                ""
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
                 x-request-id: {id}\r\nx-server-stamp: {}.{id}\r\nx-weight-versions: 1\r\nkeep-alive: timeout=5\r\n\
                 x-server-load: 1,0,64\r\n{leaving}\r\n",
                self.id
            );
            write.write_all(head.as_bytes())?;
            for event in after + 1..=EVENTS {
                thread::sleep(GAP);
                let text = format!("id: {event}\ndata: {}\n\n", self.version);
                write.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            }
            write.write_all(b"0\r\n\r\n")?;
        }
    }
}

/// What a consumer has of its stream: the version of the worker that made each event.
struct Text {
    events: Vec<(u32, String)>,
    complete: bool,
    /// The id of the attempt that brought the first event.
    began_as: String,
}

impl Text {
    fn last(&self) -> u32 {
        self.events.last().map_or(0, |(id, _)| *id)
    }

    fn versions(&self) -> BTreeSet<&str> {
        self.events.iter().map(|(_, version)| version.as_str()).collect()
    }

    /// Whether a piece is missing or came twice.
    fn is_disordered(&self) -> bool {
        let ids = self.events.iter().map(|(id, _)| *id);
        !ids.eq(1..=self.last()) || (self.complete && self.last() != EVENTS)
    }
}

/// One attempt of a consumer. Returns the delay after which it may come back, if the answer names one.
fn attempt(front: SocketAddr, text: &mut Text, deadline: Instant, record: &Record, name: &str) -> Option<Duration> {
    let id = kit::next_id("s-");
    let before = text.events.len();
    let delay = try_stream(front, text, deadline, record, name, &id);
    if before == 0 && !text.events.is_empty() {
        text.began_as = id;
    }
    delay
}

fn try_stream(
    front: SocketAddr,
    text: &mut Text,
    deadline: Instant,
    record: &Record,
    name: &str,
    id: &str,
) -> Option<Duration> {
    // Each consumer's prompt is about a thing of its own.
    let thing = name.bytes().fold(7u64, |hash, byte| hash * 31 + u64::from(byte));
    let mut extra = format!(
        "x-model: m\r\nx-token-usage: 1460,180\r\nx-prompt-prefix: {thing:x}:350,{:x}:1110\r\n",
        thing + 1
    );
    if text.last() > 0 {
        extra.push_str(&format!("last-event-id: {}\r\nresumes: {}\r\n", text.last(), text.began_as));
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(0);
    record.line(&format!("{name} sends {id} to {front}, after event {}", text.last()));
    let (mut stream, mut reader) = kit::connect(front, left.max(Duration::from_millis(1))).ok()?;
    let bytes = kit::request("POST", "/sheet/1", id, left_ms, &extra, "prompt");
    stream.write_all(&bytes).ok()?;
    let head = kit::read_head(&mut reader).ok()?;
    if head.status() != 200 {
        record.line(&format!("{name}: {id} is answered {}", head.status()));
        let delay = head.field("retry-after").and_then(|v| v.parse().ok());
        return delay.map(Duration::from_secs_f64);
    }
    let mut buffer = String::new();
    loop {
        let Ok(chunk) = kit::read_chunk(&mut reader) else {
            record.line(&format!("{name}: {id} breaks off after event {}", text.last()));
            return None;
        };
        if chunk.is_empty() {
            text.complete = true;
            return None;
        }
        buffer.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = buffer.find("\n\n") {
            let event: String = buffer.drain(..end + 2).collect();
            let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name)).map(str::trim);
            let number = field("id:").and_then(|v| v.parse().ok()).unwrap_or(0);
            text.events.push((number, field("data:").unwrap_or("").to_owned()));
        }
    }
}

/// A consumer that comes back after a broken channel, at a machine that takes channels.
fn consume(fronts: &[SocketAddr], first: usize, record: &Record, name: &str) -> Text {
    let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let mut text = Text {
        events: Vec::new(),
        complete: false,
        began_as: String::new(),
    };
    for number in 0..=RETRIES {
        let candidates = (0..fronts.len()).map(|n| fronts[(first + number + n) % fronts.len()]);
        let mut open = candidates.filter(|front| kit::connect(*front, Duration::from_secs(1)).is_ok());
        let Some(front) = open.next() else {
            break;
        };
        let delay = attempt(front, &mut text, deadline, record, name);
        if text.complete || Instant::now() >= deadline {
            break;
        }
        thread::sleep(delay.unwrap_or(Duration::from_millis(50)));
    }
    text
}

fn main() {
    let record = Record::create();
    let store = Store::start(&record);
    for number in 1..=WORKERS {
        let (_, entry) = Worker::start(&format!("i-old-{number}"), "v1", &record);
        store.put("servers", &entry.id, &entry.spec("ready", 1));
    }
    let extra = "\"timeout-ms\":8000,\"target-latency-ms\":1200,\"max-attempts\":2,\"sticky\":true,\"resumable\":true,\
                 \"target-gap-ms\":250";
    let routes = [kit::route("sheet", "streaming", SERVICE, extra)];
    store.put("config", "main", &kit::config(7, &routes, &[SERVICE], &[kit::KEY]));

    let path = Proxy::start(store.address);
    let mut daemons = kit::plan_daemons(MACHINES, store.address);
    daemons[MACHINES - 1].store = path.address;
    let seeds: Vec<SocketAddr> = daemons.iter().take(3).map(|d| d.control).collect();
    for daemon in &mut daemons {
        daemon.start(&seeds, true);
    }
    if !daemons.iter().all(|d| d.wait_ready(Duration::from_secs(15))) {
        kit::finish(&record, daemons, 2, "a machine doesn't get ready");
    }
    thread::sleep(Duration::from_secs(5));
    record.line("the machines are ready and have run for 5 s");

    let fronts: Vec<SocketAddr> = daemons.iter().map(|d| d.front).collect();
    let start = Instant::now();
    let at = |ms| thread::sleep((start + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
    // TROUBLE=cut and TROUBLE=kill play one of the two disturbances alone.
    let played = std::env::var("TROUBLE").unwrap_or_default();
    let cuts = kit::trouble() && played != "kill";
    let kills = kit::trouble() && played != "cut";
    if cuts {
        record.line("front-6 is cut off from the store");
        path.cut();
    }
    at(JOIN);
    let (new, entry) = Worker::start("i-new", "v2", &record);
    store.put("servers", &entry.id, &entry.spec("ready", 1));
    record.line("the worker i-new of version v2 has registered");
    at(STREAMS_BEGIN);
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, fronts) = (Arc::clone(&record), fronts.clone());
            thread::spawn(move || {
                let name = format!("consumer-{number}");
                thread::sleep(Duration::from_millis(10 * number as u64));
                (name.clone(), consume(&fronts, number % MACHINES, &record, &name))
            })
        })
        .collect();
    at(TAKEN_BACK);
    new.leaving.store(true, Ordering::SeqCst);
    store.remove("servers", "i-new");
    record.line("the entry of i-new is removed; it goes on serving for drain-ms and a little longer");
    at(HEAL);
    if cuts {
        path.heal();
        record.line("front-6 reaches the store again");
    }
    at(KILL);
    if kills {
        daemons.iter_mut().take(MACHINES - 1).for_each(kit::Daemon::kill);
        record.line("all machines but front-6 are killed");
        at(START_AGAIN);
        daemons.iter_mut().take(MACHINES - 1).for_each(|d| d.start(&seeds, false));
        record.line("they are started again");
    }
    at(EXIT);
    new.exit();
    record.line("i-new has exited");

    let (mut joined, mut disordered, mut complete) = (0, 0, 0);
    for consumer in consumers {
        let (name, text) = consumer.join().expect("a consumer");
        complete += usize::from(text.complete);
        let versions = text.versions();
        record.line(&format!(
            "{name}: {} events, complete: {}, versions {versions:?}",
            text.events.len(),
            text.complete
        ));
        if versions.len() > 1 {
            joined += 1;
            let change = text.events.windows(2).find(|pair| pair[0].1 != pair[1].1);
            record.line(&format!("ORDER: the text of {name} is joined from two versions at {change:?}"));
        }
        disordered += usize::from(text.is_disordered());
    }
    if complete * 4 < STREAMS {
        kit::finish(&record, daemons, 2, "less than a quarter of the streams were served");
    }
    let text = format!(
        "of {STREAMS} streams {complete} are complete, {joined} are joined from two versions, {disordered} lack pieces or \
         have them twice"
    );
    kit::finish(&record, daemons, i32::from(joined > ALLOWED || disordered > 0), &text)
}

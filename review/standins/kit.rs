//! Stand-ins for the review: the platform's store, workers, consumers and a proxy, on loopback addresses, and the
//! project's own program as processes. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The program of the deploy file, after its build.
const PROGRAM: &str = "target/release/jackdawtallyd";
/// Its arguments in the deploy file.
const ARGUMENTS: [&str; 3] = ["front", "--metrics", "9464"];

pub const HOST: &str = "h.example";
pub const KEY: &str = "key-of-the-test";

/// Whether the case is played with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes what happens, with the time since the start, to `record.txt` in the folder of the case.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

/// Processes that this one has started and not ended yet.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Time after which a case that doesn't end counts as one that couldn't run.
const CASE_LIMIT: Duration = Duration::from_secs(110);

/// Ends the case and all processes of it if it takes too long.
fn watch_time() {
    thread::sleep(CASE_LIMIT);
    for child in CHILDREN.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-9", &child.to_string()]).status();
    }
    std::process::exit(2);
}

impl Record {
    pub fn create() -> Arc<Self> {
        thread::spawn(watch_time);
        let folder = std::env::var("CASE_DIR").expect("run.sh sets CASE_DIR");
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("a record");
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let line = format!("{:>7} ms  {text}\n", ms);
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes()).expect("the record can be written");
        print!("{line}");
    }
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn finish(record: &Record, daemons: Vec<Daemon>, code: i32, text: &str) -> ! {
    drop(daemons);
    record.line(text);
    record.line(match code {
        0 => "RESULT: the rule held",
        1 => "RESULT: the rule was broken",
        _ => "RESULT: the case could not run",
    });
    std::process::exit(code)
}

// ---------------------------------------------------------------------------------------------- HTTP

/// A request or the head of a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn id(&self) -> &str {
        self.field("x-request-id").unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

pub type Reader = BufReader<TcpStream>;

fn read_line(reader: &mut Reader) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

pub fn read_head(reader: &mut Reader) -> io::Result<Message> {
    let mut message = Message {
        first: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; an empty one ends it.
pub fn read_chunk(reader: &mut Reader) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    read_line(reader)?;
    Ok(data)
}

pub fn is_chunked(head: &Message) -> bool {
    head.field("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
}

/// Reads a message with its body; a response without a length has none here.
pub fn read_message(reader: &mut Reader) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if is_chunked(&message) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.field("content-length").and_then(|v| v.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(message)
}

/// A response with a Content-Length. `fields` are lines without their line end.
pub fn response(status: &str, fields: &[String], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for field in fields {
        text.push_str(field);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Accepts connections for as long as the process runs, each with a thread.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handler(stream));
        }
    });
}

pub fn listen(ip: IpAddr) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).expect("a free loopback port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

pub const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

// --------------------------------------------------------------------------------------------- store

/// The text of a field of a JSON object, as it stands there.
pub fn json_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut i, mut key): (i32, usize, Option<&str>) = (0, 0, None);
    while i < bytes.len() {
        match bytes[i] {
            b'"' => {
                let start = i + 1;
                i += 1;
                while i < bytes.len() && bytes[i] != b'"' {
                    i += if bytes[i] == b'\\' { 2 } else { 1 };
                }
                if depth == 1 && key.is_none() {
                    key = Some(&text[start..i]);
                }
            }
            b':' if depth == 1 && key == Some(name) => {
                let start = i + 1;
                let end = value_end(bytes, start);
                return Some(text[start..end].trim());
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            b',' if depth == 1 => key = None,
            _ => {}
        }
        i += 1;
    }
    None
}

fn value_end(bytes: &[u8], start: usize) -> usize {
    let (mut depth, mut i) = (0, start);
    while i < bytes.len() {
        match bytes[i] {
            b'"' => {
                i += 1;
                while i < bytes.len() && bytes[i] != b'"' {
                    i += if bytes[i] == b'\\' { 2 } else { 1 };
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return i,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return i,
            _ => {}
        }
        i += 1;
    }
    i
}

struct Change {
    revision: u64,
    kind: String,
    event: String,
}

#[derive(Default)]
struct Content {
    revision: u64,
    /// Specs as JSON text, with the revision of the last change, by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<Change>,
}

/// The platform's store. It keeps its whole history, and loses nothing.
pub struct Store {
    pub address: SocketAddr,
    content: Mutex<Content>,
    changed: Condvar,
    record: Arc<Record>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Arc<Self> {
        let (listener, address) = listen(LOCALHOST);
        let store = Arc::new(Self {
            address,
            content: Mutex::new(Content {
                revision: 10,
                ..Content::default()
            }),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&store);
        serve(listener, move |stream| {
            let _ = shared.serve_connection(stream);
        });
        store
    }

    /// Writes an object as the operator, a worker or another writer does. Returns when the store acknowledges it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut content = self.content.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if content.objects.get(&key).is_some_and(|(_, known)| known == spec) {
            return Instant::now();
        }
        content.revision += 1;
        let revision = content.revision;
        let event = format!("{{\"removed\":false,\"object\":{}}}", object(name, revision, spec));
        content.objects.insert(key, (revision, spec.to_owned()));
        content.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            event,
        });
        drop(content);
        self.changed.notify_all();
        Instant::now()
    }

    pub fn remove(&self, kind: &str, name: &str) -> Option<Instant> {
        let mut content = self.content.lock().unwrap();
        let (_, spec) = content.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        content.revision += 1;
        let revision = content.revision;
        let event = format!("{{\"removed\":true,\"object\":{}}}", object(name, revision, &spec));
        content.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            event,
        });
        drop(content);
        self.changed.notify_all();
        Some(Instant::now())
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut write = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_message(&mut reader)?;
            let (status, body) = self.respond(&request);
            let fields = ["content-type: application/json".into(), "store-era: 0".into()];
            write.write_all(&response(status, &fields, &body))?;
        }
    }

    fn respond(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let number = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse().ok())
        };
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let spec = json_field(&body, "spec").unwrap_or("null");
        match (request.method(), name) {
            ("GET", None) => match number("watch") {
                Some(from) => {
                    let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                    ("200 OK", self.poll(kind, from, wait))
                }
                None => ("200 OK", self.list(kind)),
            },
            ("GET", Some(name)) => match self.get(kind, name) {
                Some((revision, spec)) => ("200 OK", object(name, revision, &spec)),
                None => ("404 Not Found", "null".into()),
            },
            ("POST", None) => {
                let metadata = json_field(&body, "metadata").unwrap_or("{}");
                let name = json_field(metadata, "name").unwrap_or("").trim_matches('"');
                if let Some((revision, spec)) = self.get(kind, name) {
                    return ("409 Conflict", object(name, revision, &spec));
                }
                self.put(kind, name, spec);
                ("200 OK", "{}".into())
            }
            ("PUT", Some(name)) if self.get(kind, name).is_some() => {
                self.put(kind, name, spec);
                ("200 OK", "{}".into())
            }
            ("DELETE", Some(name)) if self.remove(kind, name).is_some() => ("200 OK", "{}".into()),
            _ => ("404 Not Found", "null".into()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Option<(u64, String)> {
        let content = self.content.lock().unwrap();
        content.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    fn list(&self, kind: &str) -> String {
        let content = self.content.lock().unwrap();
        let objects = content.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = objects.map(|((_, n), (r, s))| object(n, *r, s)).collect();
        format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", items.join(","), content.revision)
    }

    fn poll(&self, kind: &str, from: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut content = self.content.lock().unwrap();
        loop {
            let changes = content.changes.iter().filter(|c| c.kind == kind && c.revision > from);
            let events: Vec<&str> = changes.map(|c| c.event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = content.revision;
                return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

/// A route of the config; `extra` holds further fields.
pub fn route(name: &str, kind: &str, service: &str, extra: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path-prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"priority\":2,\"service\":\"{service}\",\"public\":false,{extra}}}"
    )
}

pub fn config(version: u64, routes: &[String], services: &[&str], keys: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|s| {
            format!(
                "{{\"name\":\"{s}\",\"health-path\":\"/healthz\",\"max-connections\":96,\"protocol\":\"h1\",\
                 \"tls\":false}}"
            )
        })
        .collect();
    let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant\",\"api-keys\":[{}],\"priority\":2}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}

// ------------------------------------------------------------------------------------------- workers

/// Sends a worker's entry to the store every `heartbeat-ms`, as long as the worker is registered.
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub born: u64,
}

impl Entry {
    pub fn spec(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.version, self.slots, self.born
        )
    }
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(now.expect("a date after 1970").as_millis()).expect("a date before the year 500 million")
}

/// Counters and ids that are different for each use.
pub fn next_id(prefix: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{prefix}{:08x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

// ------------------------------------------------------------------------------------------- daemons

/// A process of the project on a loopback address of its own. Killed when dropped.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    pub store: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Chooses addresses for `count` machines, before any of them starts.
pub fn plan_daemons(count: usize, store: SocketAddr) -> Vec<Daemon> {
    let folder = std::env::var("CASE_TMP").expect("run.sh sets CASE_TMP");
    let pid = std::process::id();
    let [_, _, high, low] = pid.to_be_bytes();
    (0..count)
        .map(|index| {
            let last = u8::try_from(index + 1).expect("few machines") * 4 + low % 4;
            let ip = IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, low, last));
            let held: Vec<(TcpListener, SocketAddr)> = (0..4).map(|_| listen(ip)).collect();
            let name = format!("front-{}", index + 1);
            Daemon {
                front: held[0].1,
                ready: held[1].1,
                control: held[2].1,
                directory: held[3].1,
                store,
                settings: PathBuf::from(&folder).join(format!("{name}.conf")),
                log: PathBuf::from(&folder).join(format!("{name}.log")),
                name,
                child: None,
            }
        })
        .collect()
}

impl Daemon {
    /// Starts the program of the deploy file with settings like those of `feria-zac`. Without `fleet-key`, machines
    /// take the store's address for it, and a machine that reaches the store through a proxy would be no peer.
    pub fn start(&mut self, seeds: &[SocketAddr], bootstrap: bool) {
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let settings = format!(
            "node-name={}\nrole=front\nmachine-class=front\nserves=front,directory,control\nip={}\nzone=hall\n\
             region=r\nzones.hall=r\nlisten.front={}\nlisten.ready={}\nlisten.control={}\nlisten.directory={}\n\
             internal-port-range=7340,7355\nseeds={}\nbootstrap={bootstrap}\nlimits.cpu-share=0.25\n\
             limits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\nlimits.link-mbps=1000.0\n\
             discovery=platform\nentry=directory\nheartbeat-ms=1200\nbounds.seed-lag-s=3\n\
             bounds.reuse-after-s=2\nbounds.stable-window-ms=3000\nbounds.ack-ms=4000\nbounds.catch-up-s=4\n\
             bounds.drain-ms=2000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\n\
             bounds.rollback-slack-ms=250\nbounds.max-stretch-ms=5000\nbounds.retry-budget-ratio=0.2\n\
             bounds.budget-window-s=10\nbounds.budget-slack=52\nbounds.recovery-s=12\nbounds.ttl_max_s=5\n\
             platform.address={}\nplatform.form=objects\nplatform.writes-per-s=400\n\
             platform.reads-per-s=2000\nplatform.history-s=20\nplatform.value-bytes=1048576\n\
             fleet-key=review\n",
            self.name,
            self.front.ip(),
            self.front,
            self.ready,
            self.control,
            self.directory,
            seeds.join(","),
            self.store,
        );
        std::fs::write(&self.settings, settings).expect("the settings can be written");
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("JACKDAWTALLY_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        self.child = child.ok();
        let id = self.child.as_ref().map(Child::id);
        CHILDREN.lock().unwrap().extend(id);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            CHILDREN.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Whether the platform's question `GET /ready` gets a 200.
    pub fn is_ready(&self) -> bool {
        exchange(self.ready, "GET /ready HTTP/1.1\r\nhost: x\r\n\r\n".as_bytes())
            .is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

// ----------------------------------------------------------------------------------------- consumers

pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<(TcpStream, Reader)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let reader = BufReader::new(stream.try_clone()?);
    Ok((stream, reader))
}

/// One request on a channel of its own.
pub fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<Message> {
    let (mut stream, mut reader) = connect(address, Duration::from_secs(10))?;
    stream.write_all(request)?;
    read_message(&mut reader)
}

/// The bytes of a consumer's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, extra: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: {deadline_ms}\r\n\
         x-key: {KEY}\r\n{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

// --------------------------------------------------------------------------------------------- proxy

/// A proxy before a server, for the path of one machine to it.
pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// Whether channels that are open now drop all bytes from here on; those opened later work.
    generation: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let (listener, address) = listen(LOCALHOST);
        let cut = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let generation = Arc::new(AtomicU64::new(0));
        let (is_cut, all, current) = (Arc::clone(&cut), Arc::clone(&open), Arc::clone(&generation));
        serve(listener, move |stream| {
            if is_cut.load(Ordering::SeqCst) {
                return;
            }
            let Ok(server) = TcpStream::connect(target) else {
                return;
            };
            let _ = server.set_nodelay(true);
            let own = current.load(Ordering::SeqCst);
            let pair = [&stream, &server].map(|s| s.try_clone().expect("a socket"));
            all.lock().unwrap().extend(pair);
            let (from_server, to_client) = (server.try_clone().unwrap(), stream.try_clone().unwrap());
            let back = Arc::clone(&current);
            thread::spawn(move || copy(from_server, to_client, own, &back));
            copy(stream, server, own, &current);
        });
        Self {
            address,
            cut,
            open,
            generation,
        }
    }

    /// Cuts the path: open channels are closed and new ones too, until `heal`.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }

    /// Makes the open channels silent for good, without a reset; new ones work.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, own: u64, current: &AtomicU64) {
    let mut buffer = [0; 16 << 10];
    loop {
        match from.read(&mut buffer) {
            Ok(n) if n > 0 => {
                if current.load(Ordering::SeqCst) != own {
                    continue;
                }
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

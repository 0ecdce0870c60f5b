//! End-to-end tests of `jackdawctl` and `jackdawtallyd`: three instances run as separate processes on
//! free ports, with a simulated platform and simulated backend servers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use serde_json::Value;

/// Time limit for each wait in a test; reached only if a process hangs.
const TIMEOUT: Duration = Duration::from_mins(1);
const OPERATOR_TOKEN: &str = "demo-operator";
const API_KEY: &str = "demo-key-fair";

/// A child process, killed when this value is dropped.
struct Process {
    child: Child,
    /// The first line of standard output, which lists the listening addresses.
    ready_line: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(program: &Path, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program should start");
        let mut ready_line = String::new();
        let stdout = child
            .stdout
            .take()
            .expect("standard output should be piped");
        BufReader::new(stdout)
            .read_line(&mut ready_line)
            .expect("standard output should be readable");
        Self { child, ready_line }
    }

    fn address(&self, name: &str) -> SocketAddr {
        let words = self.ready_line.split_whitespace();
        let mut values = words.filter_map(|w| w.split_once('='));
        let value = values.find(|(key, _)| *key == name).map(|(_, value)| value);
        value
            .and_then(|v| v.parse().ok())
            .expect("the first line should contain the address")
    }
}

fn tool_path() -> PathBuf {
    env!("CARGO_BIN_EXE_jackdawctl").into()
}

/// The path of `jackdawtallyd`. Cargo builds it into the directory of `jackdawctl` when the tests of the
/// whole workspace are built.
fn daemon_path() -> PathBuf {
    tool_path().with_file_name("jackdawtallyd")
}

fn write_file(name: &str, text: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the temporary directory should be writable");
    path.display().to_string()
}

/// A simulated platform, two simulated backend servers, and three instances with a configuration applied.
struct Fleet {
    daemons: Vec<Process>,
    /// The backend servers, followed by the platform.
    standins: Vec<Process>,
}

impl Fleet {
    fn start(name: &str) -> Self {
        let platform = Process::start(&tool_path(), &["stand-in", "platform"]);
        let servers: Vec<Process> = (0..2)
            .map(|_| {
                Process::start(
                    &tool_path(),
                    &["stand-in", "backend-server", "--step-ms", "2"],
                )
            })
            .collect();
        let mut daemons: Vec<Process> = Vec::new();
        for index in 0..3 {
            let seeds = daemons
                .first()
                .map(|d| format!("\"{}\"", d.address("peers")));
            let text = settings(
                index,
                platform.address("address"),
                &seeds.unwrap_or_default(),
            );
            let path = write_file(&format!("{name}-{index}.toml"), &text);
            daemons.push(Process::start(&daemon_path(), &["--settings", &path]));
        }
        let fleet = Self {
            daemons,
            standins: servers.into_iter().chain([platform]).collect(),
        };
        fleet.wait_for_membership();
        let server_addresses = fleet.standins.iter().take(2).map(|s| s.address("address"));
        let path = write_file(
            &format!("{name}-configuration.toml"),
            &configuration(server_addresses),
        );
        let applied = fleet.run_tool(0, &["apply", &path, "--json"]);
        assert!(applied.status.success(), "{applied:?}");
        fleet
    }

    /// Waits until every instance lists all three as alive.
    fn wait_for_membership(&self) {
        for index in 0..3 {
            wait_until(|| {
                let status = self.status(index);
                let instances = status["instances"].as_array().cloned().unwrap_or_default();
                instances.iter().filter(|i| i["state"] == "alive").count() == 3
            });
        }
    }

    fn status(&self, index: usize) -> Value {
        let output = self.run_tool(index, &["status", "--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    fn run_tool(&self, index: usize, arguments: &[&str]) -> Output {
        let server = self.daemons[index].address("operators").to_string();
        Command::new(tool_path())
            .args(["--server", &server, "--token", OPERATOR_TOKEN])
            .args(arguments)
            .output()
            .expect("jackdawctl should run")
    }

    fn callers_address(&self, index: usize) -> SocketAddr {
        self.daemons[index].address("callers")
    }
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TIMEOUT,
            "the condition was not met within {TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn settings(index: usize, platform: SocketAddr, seeds: &str) -> String {
    let hash = jackdawtally::object::key_hash(OPERATOR_TOKEN);
    format!(
        "instance = \"entry-{index}\"\ndata_centre = \"north\"\n\
         [callers]\nlisten = \"127.0.0.1:0\"\n\
         [operators]\nlisten = \"127.0.0.1:0\"\ntoken_hashes = {{ demo = \"{hash}\" }}\n\
         [peers]\nlisten = \"127.0.0.1:0\"\nfleet_key = \"0123456789abcdef\"\nseeds = [{seeds}]\n\
         [platform]\naddress = \"{platform}\"\n\
         [limits]\nbody_bytes = 65536\nbody_timeout_ms = 500\n"
    )
}

fn configuration(server_addresses: impl Iterator<Item = SocketAddr>) -> String {
    let hash = jackdawtally::object::key_hash(API_KEY);
    let mut text = format!(
        "[[tier]]\nname = \"t\"\nlevel = 0\n\
         [[class]]\nname = \"query\"\ntier = \"t\"\nstarvation_ms = 5000\nwait_ms = 30000\n\
         [[class]]\nname = \"post\"\ntier = \"t\"\nidempotent = false\nstarvation_ms = 5000\nwait_ms = 30000\n\
         [[class]]\nname = \"other\"\ntier = \"t\"\nstarvation_ms = 5000\nwait_ms = 30000\n\
         [[organisation]]\nname = \"fair\"\nkey_hashes = [\"{hash}\"]\nclasses = [\"query\", \"post\"]\n"
    );
    for (index, address) in server_addresses.enumerate() {
        let server = format!(
            "[[backend_server]]\nname = \"engine-{index}\"\naddress = \"{address}\"\nmodel = \"intake\"\n\
             data_centre = \"north\"\nslots = 8\n"
        );
        text.push_str(&server);
    }
    text
}

/// Sends bytes, and returns everything received until the peer closes the connection; `close_after`
/// closes the sending direction first.
fn exchange(address: SocketAddr, bytes: &[u8], close_after: bool) -> String {
    let mut stream = TcpStream::connect(address).expect("the address should accept connections");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout should be valid");
    // The write fails if the instance rejects the request before it has read all of it.
    let _ = stream.write_all(bytes);
    if close_after {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn post(headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn authorized_post(headers: &str, body: &str) -> Vec<u8> {
    post(
        &format!("authorization: Bearer {API_KEY}\r\n{headers}"),
        body,
    )
}

fn body(model: &str, stream: bool, length: u32) -> String {
    serde_json::json!({
        "model": model,
        "stream": stream,
        "messages": [{"role": "user", "content": format!("a question tag=7 len={length} end")}],
    })
    .to_string()
}

fn expected_text(length: u32) -> String {
    let tokens: Vec<String> = (1..=length).map(|i| format!(" 7.{i}")).collect();
    tokens.concat()
}

/// Concatenates the content of all chunks in an event stream.
fn stream_text(response: &str) -> String {
    let data = response.lines().filter_map(|l| l.strip_prefix("data: "));
    let chunks = data.filter_map(|d| serde_json::from_str::<Value>(d).ok());
    let text = chunks.filter_map(|c| {
        c["choices"][0]["delta"]["content"]
            .as_str()
            .map(ToOwned::to_owned)
    });
    text.collect()
}

/// The kind of error in the body of a response; empty if there is none.
fn error_kind(response: &str) -> String {
    let start = response.find('{').unwrap_or(response.len());
    let end = response.rfind('}').map_or(response.len(), |i| i + 1);
    let value: Value = serde_json::from_str(&response[start..end.max(start)]).unwrap_or_default();
    value["error"]["kind"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

#[test]
fn every_instance_serves_requests() {
    let fleet = Fleet::start("answers");
    for index in 0..3 {
        let complete = exchange(
            fleet.callers_address(index),
            &authorized_post("", &body("intake", false, 12)),
            false,
        );
        let stream = exchange(
            fleet.callers_address(index),
            &authorized_post("", &body("intake", true, 12)),
            false,
        );

        assert!(complete.contains(&expected_text(12)), "{complete}");
        assert_eq!(stream_text(&stream), expected_text(12));
        assert!(stream.contains("data: [DONE]"), "{stream}");
    }
}

#[test]
fn each_kind_of_invalid_request_gets_a_specific_error() {
    let fleet = Fleet::start("errors");
    let address = fleet.callers_address(0);
    let valid_body = body("intake", false, 3);
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("unauthorized", post("", &valid_body)),
        (
            "unauthorized",
            post("authorization: Bearer wrong\r\n", &valid_body),
        ),
        ("bad_request", authorized_post("", "{not json")),
        ("bad_request", authorized_post("", "{\"messages\": []}")),
        (
            "unknown_model",
            authorized_post("", &body("nowhere", false, 3)),
        ),
        (
            "unknown_class",
            authorized_post("x-class: nowhere\r\n", &valid_body),
        ),
        (
            "class_forbidden",
            authorized_post("x-class: other\r\n", &valid_body),
        ),
        (
            "idempotency_key_required",
            authorized_post("x-class: post\r\n", &valid_body),
        ),
        (
            "bad_stream_token",
            authorized_post("last-event-id: AAAA\r\n", &valid_body),
        ),
        ("body_too_large", authorized_post("", &"x".repeat(100_000))),
        (
            "bad_request",
            authorized_post("x-deadline-ms: soon\r\n", &valid_body),
        ),
        (
            "not_found",
            b"GET /nowhere HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(),
        ),
        (
            "method_not_allowed",
            b"GET /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(),
        ),
    ];

    for (expected, request) in cases {
        assert_eq!(error_kind(&exchange(address, &request, false)), expected);
    }
}

#[test]
fn malformed_or_incomplete_requests_are_rejected_and_other_callers_still_served() {
    let fleet = Fleet::start("broken");
    let address = fleet.callers_address(0);
    let mut truncated = authorized_post("", &body("intake", false, 3));
    truncated.truncate(truncated.len() - 10);
    let mut oversized = b"GET /healthz HTTP/1.1\r\nhost: x\r\n".to_vec();
    for i in 0..100_000 {
        oversized.extend(format!("x-header-{i}: {}\r\n", "y".repeat(80)).into_bytes());
    }

    let timed_out = exchange(address, &truncated, false);
    let half_closed = exchange(address, &truncated, true);
    let too_large = exchange(address, &oversized, false);
    let binary = exchange(address, b"\x00\x01\x02\x03\r\n\r\n", false);
    let healthy = exchange(
        address,
        b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        false,
    );

    assert_eq!(error_kind(&timed_out), "caller_too_slow");
    assert!(
        half_closed.is_empty() || error_kind(&half_closed) == "bad_request",
        "{half_closed}"
    );
    assert!(
        too_large.is_empty() || too_large.starts_with("HTTP/1.1 431"),
        "{too_large}"
    );
    assert!(
        binary.is_empty() || binary.starts_with("HTTP/1.1 400"),
        "{binary}"
    );
    assert!(healthy.starts_with("HTTP/1.1 200"), "{healthy}");
}

#[test]
fn a_repeated_idempotency_key_gets_the_complete_error_at_another_instance() {
    let fleet = Fleet::start("keys");
    let key = format!(
        "x-class: post\r\nidempotency-key: {}\r\n",
        uuid::Uuid::now_v7()
    );
    let request = authorized_post(&key, &body("intake", false, 5));

    let first = exchange(fleet.callers_address(0), &request, false);
    let mut second = String::new();
    wait_until(|| {
        second = exchange(fleet.callers_address(1), &request, false);
        error_kind(&second) != "idempotency_key_running"
    });

    assert!(first.contains(&expected_text(5)), "{first}");
    assert_eq!(error_kind(&second), "idempotency_key_complete");
}

#[test]
fn a_drained_instance_completes_its_streams_and_exits_with_code_0() {
    let mut fleet = Fleet::start("drain");
    let address = fleet.callers_address(0);
    let request = authorized_post("", &body("intake", true, 600));
    let caller = std::thread::spawn(move || exchange(address, &request, false));
    wait_until(|| fleet.status(0)["requests"].as_u64() == Some(1));

    let drained = fleet.run_tool(0, &["drain"]);
    wait_until(|| {
        let entries = fleet.run_tool(1, &["entries"]);
        !String::from_utf8_lossy(&entries.stdout).contains("entry-0")
    });
    let refused = exchange(
        address,
        &authorized_post("", &body("intake", false, 3)),
        false,
    );
    let response = caller.join().expect("the caller's thread should finish");
    let status = fleet.daemons[0]
        .child
        .wait()
        .expect("the exit status should be available");

    assert!(drained.status.success());
    assert!(
        refused.is_empty() || error_kind(&refused) == "draining",
        "{refused}"
    );
    assert_eq!(stream_text(&response), expected_text(600));
    assert_eq!(status.code(), Some(0));
}

#[test]
fn an_operator_with_an_invalid_token_is_refused() {
    let fleet = Fleet::start("token");
    let server = fleet.daemons[0].address("operators").to_string();

    let output = Command::new(tool_path())
        .args(["--server", &server, "--token", "wrong", "status"])
        .output()
        .expect("jackdawctl should run");

    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("unauthorized"));
}

#[test]
fn an_unknown_fault_is_rejected_with_a_list_of_the_known_faults() {
    let output = Command::new(tool_path())
        .args(["bench", "--faults", "earthquake"])
        .output()
        .expect("jackdawctl should run");

    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("engine-crash"));
}

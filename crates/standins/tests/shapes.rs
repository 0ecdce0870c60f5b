//! The answers and errors of both endpoints for models, compared with the OpenAI shape that
//! docs/PROTOCOLS.md sets against ours, row by row.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use jackdawtally::forward::connection_pool::ConnectionPool;
use jackdawtally_standins::bench;
use jackdawtally_standins::deployment::{self, Deployment, Target};
use jackdawtally_standins::test_bed::{Policy, TestBed};
use jackdawtally_standins::traffic::PlannedRequest;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";
const PLAIN: &str = "/v1/completions";
/// Largest answer that a test reads, in bytes.
const MOST: usize = 1 << 20;

async fn bed() -> (Arc<TestBed>, SocketAddr) {
    let deployment = Deployment::named("fair").expect("a deployment");
    let bed = TestBed::start(deployment, Policy::Jackdawtally, 1, 1).await;
    let bed = bed.expect("a test bed");
    bench::declare(&bed).await.expect("a configuration");
    let address = bed.entries()[0].address;
    (bed, address)
}

/// The body of a request for a short answer at `path`.
fn body(path: &str, stream: bool) -> Value {
    let planned = PlannedRequest {
        at: Duration::ZERO,
        tag: 7,
        class: "pedigree-review".into(),
        level: 3,
        idempotent: true,
        organisation: "ranchers-north".into(),
        target: Target::Stream("records"),
        length: 3,
        prefix: 0,
    };
    let mut body = planned.body("");
    if path == PLAIN {
        let text = body["messages"][0]["content"].take();
        let fields = body.as_object_mut().expect("an object");
        fields.remove("messages");
        fields.insert("prompt".into(), text);
    }
    body["stream"] = json!(stream);
    body["stream_options"] = json!({"include_usage": true});
    body
}

async fn ask(address: SocketAddr, path: &str, key: &str, body: &Value) -> (StatusCode, Bytes) {
    let request = Request::post(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header("x-class", "pedigree-review")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    let sent = ConnectionPool::default().send(address, request, true).await;
    let mut answer = sent.expect("an answer");
    let status = answer.head.status;
    (status, answer.collect(MOST).await.expect("a whole answer"))
}

fn json_of(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes).expect("JSON")
}

/// The data of each event of a stream.
fn events(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes);
    let data = text.lines().filter_map(|l| l.strip_prefix("data: "));
    data.map(str::to_owned).collect()
}

fn key() -> String {
    deployment::key("ranchers-north")
}

fn is_usage(usage: &Value) -> bool {
    let part = |name: &str| usage[name].as_u64();
    match (
        part("prompt_tokens"),
        part("completion_tokens"),
        part("total_tokens"),
    ) {
        (Some(prompt), Some(completion), Some(total)) => prompt + completion == total,
        _ => false,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_answers_have_the_published_fields() {
    let (bed, address) = bed().await;

    let (chat_status, chat) = ask(address, CHAT, &key(), &body(CHAT, false)).await;
    let (plain_status, plain) = ask(address, PLAIN, &key(), &body(PLAIN, false)).await;
    bed.stop();

    assert_eq!(
        (chat_status, plain_status),
        (StatusCode::OK, StatusCode::OK)
    );
    let (chat, plain) = (json_of(&chat), json_of(&plain));
    for (answer, object) in [(&chat, "chat.completion"), (&plain, "text_completion")] {
        assert_eq!(answer["object"], object);
        assert!(
            answer["id"].is_string() && answer["created"].is_u64(),
            "{answer}"
        );
        assert_eq!(answer["model"], "records");
        assert_eq!(answer["choices"][0]["index"], 0);
        assert_eq!(answer["choices"][0]["finish_reason"], "stop");
        assert!(is_usage(&answer["usage"]), "{answer}");
    }
    assert_eq!(chat["choices"][0]["message"]["role"], "assistant");
    assert!(chat["choices"][0]["message"]["content"].is_string());
    assert!(plain["choices"][0]["text"].is_string());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_have_the_published_events_and_end() {
    let (bed, address) = bed().await;

    let (_, chat) = ask(address, CHAT, &key(), &body(CHAT, true)).await;
    let (_, plain) = ask(address, PLAIN, &key(), &body(PLAIN, true)).await;
    bed.stop();

    for (bytes, text) in [(&chat, "delta"), (&plain, "text")] {
        let mut events = events(bytes);
        assert_eq!(events.pop().as_deref(), Some("[DONE]"));
        let chunks: Vec<Value> = events.iter().map(|e| json_of(e.as_bytes())).collect();
        let usage = chunks.last().expect("chunks");
        assert_eq!(usage["choices"], json!([]));
        assert!(usage["usage"]["completion_tokens"].is_u64(), "{usage}");
        assert!(!chunks[0]["choices"][0][text].is_null(), "{}", chunks[0]);
        let ids = chunks.iter().map(|c| &c["id"]);
        assert!(
            ids.clone()
                .all(|id| id.is_string() && *id == chunks[0]["id"])
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn errors_have_the_published_fields_beside_our_own() {
    let (bed, address) = bed().await;
    let unknown = json!({"model": "none", "messages": [], "prompt": ""});

    let mut errors = Vec::new();
    for path in [CHAT, PLAIN] {
        errors.push(ask(address, path, "no-key", &body(path, false)).await);
        errors.push(ask(address, path, &key(), &json!({})).await);
        errors.push(ask(address, path, &key(), &unknown).await);
    }
    bed.stop();

    let statuses: Vec<u16> = errors.iter().map(|(status, _)| status.as_u16()).collect();
    assert_eq!(statuses, [401, 400, 404, 401, 400, 404]);
    for (_, bytes) in &errors {
        let error = &json_of(bytes)["error"];
        assert!(
            error["message"].is_string() && error["type"].is_string(),
            "{error}"
        );
        assert!(error["code"].is_string(), "{error}");
        assert_eq!(error.get("param"), Some(&Value::Null), "{error}");
        assert_eq!(error["ran"], "no");
    }
}

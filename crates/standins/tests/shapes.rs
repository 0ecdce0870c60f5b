//! Tests that the responses and errors of both model endpoints have the fields of the OpenAI API that
//! docs/PROTOCOLS.md lists.

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
const COMPLETIONS: &str = "/v1/completions";
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

async fn start_bed() -> (Arc<TestBed>, SocketAddr) {
    let deployment = Deployment::named("fair").expect("the deployment exists");
    let bed = TestBed::start(deployment, Policy::Jackdawtally, 1, 1).await;
    let bed = bed.expect("the test bed starts");
    bench::apply_declarations(&bed)
        .await
        .expect("the declarations are accepted");
    let address = bed.caller_addresses()[0].address;
    (bed, address)
}

/// Returns the body of a request to `path` with a response of three tokens.
fn body(path: &str, stream: bool) -> Value {
    let request = PlannedRequest {
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
    let mut body = request.body("");
    if path == COMPLETIONS {
        let text = body["messages"][0]["content"].take();
        let fields = body.as_object_mut().expect("the body is an object");
        fields.remove("messages");
        fields.insert("prompt".into(), text);
    }
    body["stream"] = json!(stream);
    body["stream_options"] = json!({"include_usage": true});
    body
}

async fn post(address: SocketAddr, path: &str, key: &str, body: &Value) -> (StatusCode, Bytes) {
    let request = Request::post(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header("x-class", "pedigree-review")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("the request is valid");
    let sent = ConnectionPool::default().send(address, request, true).await;
    let mut response = sent.expect("the instance responds");
    let status = response.head.status;
    (
        status,
        response
            .collect(MAX_RESPONSE_BYTES)
            .await
            .expect("the response is complete"),
    )
}

fn parse_json(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes).expect("the response is JSON")
}

/// Returns the data of each event of a stream.
fn events(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes);
    let data = text.lines().filter_map(|l| l.strip_prefix("data: "));
    data.map(str::to_owned).collect()
}

fn api_key() -> String {
    deployment::api_key("ranchers-north")
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
async fn responses_have_the_documented_fields() {
    let (bed, address) = start_bed().await;

    let (chat_status, chat) = post(address, CHAT, &api_key(), &body(CHAT, false)).await;
    let (completion_status, completion) =
        post(address, COMPLETIONS, &api_key(), &body(COMPLETIONS, false)).await;
    bed.stop();

    assert_eq!(
        (chat_status, completion_status),
        (StatusCode::OK, StatusCode::OK)
    );
    let (chat, completion) = (parse_json(&chat), parse_json(&completion));
    for (response, object) in [(&chat, "chat.completion"), (&completion, "text_completion")] {
        assert_eq!(response["object"], object);
        assert!(
            response["id"].is_string() && response["created"].is_u64(),
            "{response}"
        );
        assert_eq!(response["model"], "records");
        assert_eq!(response["choices"][0]["index"], 0);
        assert_eq!(response["choices"][0]["finish_reason"], "stop");
        assert!(is_usage(&response["usage"]), "{response}");
    }
    assert_eq!(chat["choices"][0]["message"]["role"], "assistant");
    assert!(chat["choices"][0]["message"]["content"].is_string());
    assert!(completion["choices"][0]["text"].is_string());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_have_the_documented_events_and_end_marker() {
    let (bed, address) = start_bed().await;

    let (_, chat) = post(address, CHAT, &api_key(), &body(CHAT, true)).await;
    let (_, completion) = post(address, COMPLETIONS, &api_key(), &body(COMPLETIONS, true)).await;
    bed.stop();

    for (bytes, text) in [(&chat, "delta"), (&completion, "text")] {
        let mut events = events(bytes);
        assert_eq!(events.pop().as_deref(), Some("[DONE]"));
        let chunks: Vec<Value> = events.iter().map(|e| parse_json(e.as_bytes())).collect();
        let usage = chunks.last().expect("the stream has chunks");
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
async fn errors_have_the_documented_fields_and_our_own() {
    let (bed, address) = start_bed().await;
    let unknown = json!({"model": "none", "messages": [], "prompt": ""});

    let mut errors = Vec::new();
    for path in [CHAT, COMPLETIONS] {
        errors.push(post(address, path, "no-key", &body(path, false)).await);
        errors.push(post(address, path, &api_key(), &json!({})).await);
        errors.push(post(address, path, &api_key(), &unknown).await);
    }
    bed.stop();

    let statuses: Vec<u16> = errors.iter().map(|(status, _)| status.as_u16()).collect();
    assert_eq!(statuses, [401, 400, 404, 401, 400, 404]);
    for (_, bytes) in &errors {
        let error = &parse_json(bytes)["error"];
        assert!(
            error["message"].is_string() && error["type"].is_string(),
            "{error}"
        );
        assert!(error["code"].is_string(), "{error}");
        assert_eq!(error.get("param"), Some(&Value::Null), "{error}");
        assert_eq!(error["ran"], "no");
    }
}

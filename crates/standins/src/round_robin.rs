//! The baseline: a plain router that sends each request to the next server in turn, first come first
//! served, and tries the next server when one fails.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use jackdawtally::backend::{BackendClient, BackendRequest, REQUEST_ID_HEADER};
use jackdawtally::forward::connection_pool::BackendResponse;
use jackdawtally::response::{self, Body};
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::http_server;

/// Servers that a request is tried at.
const TRIES: usize = 3;
/// Largest answer that is read whole, in bytes.
const WHOLE_BYTES: usize = 64 << 20;

/// A plain router.
pub struct RoundRobinRouter {
    pools: HashMap<SmolStr, Vec<SocketAddr>>,
    next: AtomicUsize,
    backends: BackendClient,
    instances: Value,
}

impl RoundRobinRouter {
    /// A router over these pools, which tells callers of `instances`.
    #[must_use]
    pub fn new(pools: HashMap<SmolStr, Vec<SocketAddr>>, instances: Value) -> Arc<Self> {
        Arc::new(Self {
            pools,
            next: AtomicUsize::new(0),
            backends: BackendClient::default(),
            instances,
        })
    }

    /// Serves callers for ever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        http_server::serve(listener, move |request| Arc::clone(&self).answer(request)).await;
    }

    async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/v1/entries" {
            return response::json_response(StatusCode::OK, self.instances.to_string().into());
        }
        let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let pool = match path.strip_prefix("/services/") {
            Some(rest) => format!("service/{}", rest.split('/').next().unwrap_or_default()),
            None => format!("model/{}", body["model"].as_str().unwrap_or_default()),
        };
        let path = match path
            .strip_prefix("/services/")
            .and_then(|r| r.split_once('/'))
        {
            Some((_, rest)) => format!("/{rest}"),
            None => path,
        };
        let servers = self.pools.get(pool.as_str()).cloned().unwrap_or_default();
        for _ in 0..TRIES.min(servers.len()) {
            let turn = self.next.fetch_add(1, Ordering::Relaxed);
            let address = servers[turn % servers.len()];
            let call = self.call(address, &path, &body, turn);
            if let Ok(answer) = self.backends.send(call, false).await
                && answer.head.status == StatusCode::OK
            {
                return relay(answer, body["stream"] == Value::Bool(true)).await;
            }
        }
        let body = json!({"error": {"kind": "bad_gateway", "ran": "no"}}).to_string();
        response::json_response(StatusCode::BAD_GATEWAY, body.into())
    }

    fn call(&self, address: SocketAddr, path: &str, body: &Value, turn: usize) -> BackendRequest {
        let mut headers = HeaderMap::new();
        if let Ok(id) = format!("naive-{self:p}-{turn}").parse() {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        let mut body = body.clone();
        if body.get("model").is_some() {
            body["stream"] = json!(true);
        }
        BackendRequest {
            address,
            method: http::Method::POST,
            path: path.into(),
            headers,
            body: body.to_string().into(),
        }
    }
}

async fn relay(mut answer: BackendResponse, stream: bool) -> Response<Body> {
    let headers = &answer.head.headers;
    let is_events =
        headers.contains_key(REQUEST_ID_HEADER) && !headers.contains_key("content-type");
    if stream {
        let (pieces, receiver) = mpsc::channel(64);
        tokio::spawn(async move {
            while let Ok(Ok(Some(data))) =
                tokio::time::timeout(Duration::from_mins(1), answer.next_chunk()).await
            {
                if pieces.send(data).await.is_err() {
                    return;
                }
            }
        });
        return Response::new(Body::Stream(receiver));
    }
    let Ok(body) = answer.collect(WHOLE_BYTES).await else {
        let body = json!({"error": {"kind": "bad_gateway", "ran": "unknown"}}).to_string();
        return response::json_response(StatusCode::BAD_GATEWAY, body.into());
    };
    let body = if is_events { whole(&body) } else { body };
    response::json_response(StatusCode::OK, body)
}

/// The whole answer that an event stream makes.
fn whole(events: &[u8]) -> Bytes {
    let text = String::from_utf8_lossy(events);
    let content: String = text
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .filter_map(|d| serde_json::from_str::<Value>(d).ok())
        .filter_map(|v| {
            v["choices"][0]["delta"]["content"]
                .as_str()
                .map(ToOwned::to_owned)
        })
        .collect();
    json!({"choices": [{"message": {"content": content}}]})
        .to_string()
        .into()
}

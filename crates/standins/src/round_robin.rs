//! The baseline router: round robin over the servers of a pool, without admission control or queueing,
//! and with a retry on the next server if one fails.

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

/// Maximum attempts of a request, each on another server.
const MAX_ATTEMPTS: usize = 3;
/// Maximum size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A round-robin router.
pub struct RoundRobinRouter {
    pools: HashMap<SmolStr, Vec<SocketAddr>>,
    next: AtomicUsize,
    backend_client: BackendClient,
    instances: Value,
}

impl RoundRobinRouter {
    /// Creates a router for these pools, by pool name. `instances` is the body of the response with the
    /// list of instance addresses.
    #[must_use]
    pub fn new(pools: HashMap<SmolStr, Vec<SocketAddr>>, instances: Value) -> Arc<Self> {
        Arc::new(Self {
            pools,
            next: AtomicUsize::new(0),
            backend_client: BackendClient::default(),
            instances,
        })
    }

    /// Serves callers; never returns.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        http_server::serve(listener, move |request| Arc::clone(&self).handle(request)).await;
    }

    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
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
        for _ in 0..MAX_ATTEMPTS.min(servers.len()) {
            let turn = self.next.fetch_add(1, Ordering::Relaxed);
            let address = servers[turn % servers.len()];
            let attempt = self.backend_request(address, &path, &body, turn);
            if let Ok(response) = self.backend_client.send(attempt, false).await
                && response.head.status == StatusCode::OK
            {
                return relay_response(response, body["stream"] == Value::Bool(true)).await;
            }
        }
        let body = json!({"error": {"kind": "bad_gateway", "ran": "no"}}).to_string();
        response::json_response(StatusCode::BAD_GATEWAY, body.into())
    }

    fn backend_request(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
        turn: usize,
    ) -> BackendRequest {
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

async fn relay_response(mut upstream: BackendResponse, stream: bool) -> Response<Body> {
    let headers = &upstream.head.headers;
    let is_events =
        headers.contains_key(REQUEST_ID_HEADER) && !headers.contains_key("content-type");
    if stream {
        let (chunks, receiver) = mpsc::channel(64);
        tokio::spawn(async move {
            while let Ok(Ok(Some(data))) =
                tokio::time::timeout(Duration::from_mins(1), upstream.next_chunk()).await
            {
                if chunks.send(data).await.is_err() {
                    return;
                }
            }
        });
        return Response::new(Body::Stream(receiver));
    }
    let Ok(body) = upstream.collect(MAX_RESPONSE_BYTES).await else {
        let body = json!({"error": {"kind": "bad_gateway", "ran": "unknown"}}).to_string();
        return response::json_response(StatusCode::BAD_GATEWAY, body.into());
    };
    let body = if is_events {
        assemble_response(&body)
    } else {
        body
    };
    response::json_response(StatusCode::OK, body)
}

/// Assembles the complete response from the events of a stream.
fn assemble_response(events: &[u8]) -> Bytes {
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

//! HTTP client for backend servers: requests, load reports and stream cancellation.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, header};
use http_body_util::Full;

use crate::forward::connection_pool::{BackendResponse, ConnectionPool, Error};
use crate::load::server::{LoadReport, StatusReport};

/// Timeout of a load report, and of the cancellation of a stream.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size in bytes of a load report or of the body of an error response.
pub const MAX_SMALL_BODY_BYTES: usize = 64 << 10;

/// Header with the id of an attempt. The backend server echoes it, so that a response that belongs to
/// another request is detected.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with which a backend server states whether it ran the request: `no` means that it did not.
pub const RAN_HEADER: &str = "x-ran";
/// Header with the load of the backend server as `running/waiting`, both numbers of requests.
pub const LOAD_HEADER: &str = "x-load";

/// A request to a backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// Address of the backend server; also sent as the `Host` header.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path, with the query if there is one.
    pub path: String,
    /// Headers, without `Host`.
    pub headers: HeaderMap,
    /// Request body; empty for methods without one.
    pub body: Bytes,
}

/// HTTP client for backend servers. Clones share one set of connections.
#[derive(Clone, Debug, Default)]
pub struct BackendClient {
    connections: ConnectionPool,
}

impl BackendClient {
    /// Sends a request and waits for the head of the response.
    ///
    /// With `non_idempotent`, a connection is reused only for a smaller fraction of its keep-alive time:
    /// if the server closes it just as the request is sent, it is unknown whether the request ran.
    ///
    /// # Errors
    /// `NotSent` when no byte of the request was sent, `NoAnswer` when the request may have run.
    pub async fn send(
        &self,
        request: BackendRequest,
        non_idempotent: bool,
    ) -> Result<BackendResponse, Error> {
        let address = request.address;
        let request = http_request(request)?;
        self.connections
            .send(address, request, non_idempotent)
            .await
    }

    /// Polls the state of a backend server.
    ///
    /// # Errors
    /// `NotSent` when the server cannot be reached, `NoAnswer` when it does not respond in time or the
    /// report is malformed.
    pub async fn fetch_status(&self, address: SocketAddr) -> Result<StatusReport, Error> {
        let request = BackendRequest {
            address,
            method: Method::GET,
            path: "/load".into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let exchange = async {
            let mut response = self.send(request, false).await?;
            let body = response.collect(MAX_SMALL_BODY_BYTES).await?;
            response.release();
            serde_json::from_slice(&body).map_err(|e| Error::NoAnswer(e.to_string()))
        };
        match tokio::time::timeout(CONTROL_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::NoAnswer("the load report timed out".into())),
        }
    }

    /// Asks a backend server to cancel a stream. Errors and timeouts are ignored, as nothing
    /// depends on the cancellation.
    pub async fn cancel(&self, address: SocketAddr, stream: &str) {
        let request = BackendRequest {
            address,
            method: Method::DELETE,
            path: format!("/v1/streams/{stream}"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let _ = tokio::time::timeout(CONTROL_TIMEOUT, self.send(request, false)).await;
    }
}

/// Whether a response with these headers names the request `id` as the one that it belongs to.
#[must_use]
pub fn names_request(headers: &HeaderMap, id: &str) -> bool {
    let named = headers.get(REQUEST_ID_HEADER);
    named.is_some_and(|named| named.as_bytes() == id.as_bytes())
}

/// Parses the load header of a response; `None` when it is absent or malformed.
#[must_use]
pub fn parse_load(headers: &HeaderMap) -> Option<LoadReport> {
    let (running, waiting) = headers.get(LOAD_HEADER)?.to_str().ok()?.split_once('/')?;
    Some(LoadReport {
        running: running.parse().ok()?,
        waiting: waiting.parse().ok()?,
        leaving: false,
        work_percent: None,
    })
}

fn http_request(request: BackendRequest) -> Result<Request<Full<Bytes>>, Error> {
    let mut http_request = Request::builder()
        .method(request.method)
        .uri(request.path)
        .body(Full::new(request.body))
        .map_err(|e| Error::NotSent(e.to_string()))?;
    *http_request.headers_mut() = request.headers;
    if let Ok(host) = request.address.to_string().parse() {
        http_request.headers_mut().insert(header::HOST, host);
    }
    Ok(http_request)
}

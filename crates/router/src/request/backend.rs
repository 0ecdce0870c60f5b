//! The adapter to backend servers' HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, header};
use http_body_util::Full;

use crate::forward::connection_pool::{BackendResponse, ConnectionPool, Error};
use crate::load::server::LoadReport;

/// Bound on a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest load report or error answer that is read, in bytes.
pub const SMALL_BYTES: usize = 64 << 10;

/// Header that carries a request's id there and back.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header in which a backend server says that it didn't run the request.
pub const RAN_HEADER: &str = "x-ran";
/// Header with the server's load, as `running/waiting`.
pub const LOAD_HEADER: &str = "x-load";

/// A request to a backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// The server's address.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Backend servers as the product's own requests reach them.
#[derive(Clone, Debug, Default)]
pub struct BackendClient {
    channels: ConnectionPool,
}

impl BackendClient {
    /// Sends a request; `once` when it may not be sent again.
    ///
    /// # Errors
    /// Whether the request can have reached the server.
    pub async fn send(&self, call: BackendRequest, once: bool) -> Result<BackendResponse, Error> {
        let address = call.address;
        let request = request(call)?;
        self.channels.send(address, request, once).await
    }

    /// Asks a server for its load.
    ///
    /// # Errors
    /// When it doesn't answer in time.
    pub async fn fetch_load(&self, address: SocketAddr) -> Result<LoadReport, Error> {
        let call = BackendRequest {
            address,
            method: Method::GET,
            path: "/load".into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let exchange = async {
            let mut answer = self.send(call, false).await?;
            let body = answer.collect(SMALL_BYTES).await?;
            answer.release();
            serde_json::from_slice(&body).map_err(|e| Error::NoAnswer(e.to_string()))
        };
        match tokio::time::timeout(REPORT_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::NoAnswer("the load report took too long".into())),
        }
    }

    /// Tells a server to give up a stream; nothing depends on whether it does.
    pub async fn cancel(&self, address: SocketAddr, stream: &str) {
        let call = BackendRequest {
            address,
            method: Method::DELETE,
            path: format!("/v1/streams/{stream}"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let _ = tokio::time::timeout(REPORT_TIMEOUT, self.send(call, false)).await;
    }
}

/// The load that a server told along with an answer.
#[must_use]
pub fn load(headers: &HeaderMap) -> Option<LoadReport> {
    let (running, waiting) = headers.get(LOAD_HEADER)?.to_str().ok()?.split_once('/')?;
    Some(LoadReport {
        running: running.parse().ok()?,
        waiting: waiting.parse().ok()?,
        leaving: false,
    })
}

fn request(call: BackendRequest) -> Result<Request<Full<Bytes>>, Error> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .body(Full::new(call.body))
        .map_err(|e| Error::NotSent(e.to_string()))?;
    *request.headers_mut() = call.headers;
    if let Ok(host) = call.address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    Ok(request)
}

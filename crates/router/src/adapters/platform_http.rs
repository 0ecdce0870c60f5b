//! Client of the platform's HTTP protocol. Object versions are entity tags; conditional writes use `If-Match`
//! and `If-None-Match`.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::platform::{
    Condition, Error, ListedInstance, Platform, StoredObject, Version, WatchBatch, WatchedObject,
};

/// Maximum size of a response body from the platform.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the platform's HTTP protocol. Clones share one connection pool.
#[derive(Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

struct Reply {
    status: StatusCode,
    version: Option<Version>,
    body: Bytes,
}

#[derive(Deserialize)]
struct WatchBody {
    version: Version,
    items: Vec<WatchItem>,
}

#[derive(Deserialize)]
struct WatchItem {
    key: String,
    version: Version,
    value: String,
}

impl HttpPlatform {
    /// Creates a client of the service at `address`. A call fails after `timeout`; a watch adds the time that
    /// it waits.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            address,
            timeout,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    async fn call(&self, request: Request<Full<Bytes>>, timeout: Duration) -> Result<Reply, Error> {
        let exchange = async {
            let response = self.client.request(request).await.map_err(unavailable)?;
            let (head, body) = response.into_parts();
            let version = head
                .headers
                .get(header::ETAG)
                .and_then(|v| v.to_str().ok())
                .and_then(|v| v.trim_matches('"').parse().ok());
            let body = Limited::new(body, MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|e| Error::Unavailable(e.to_string()))?
                .to_bytes();
            Ok(Reply {
                status: head.status,
                version,
                body,
            })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok(reply)) if reply.status == StatusCode::TOO_MANY_REQUESTS => Err(Error::Throttled),
            Ok(result) => result,
            Err(_) => Err(Error::Unavailable(format!(
                "no response within {timeout:?}"
            ))),
        }
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, Error> {
        let request = self
            .request(Method::GET, &format!("/objects/{key}"))
            .body(Full::default())
            .map_err(unavailable)?;
        let reply = self.call(request, self.timeout).await?;
        match (reply.status, reply.version) {
            (StatusCode::OK, Some(version)) => Ok(Some(StoredObject {
                version,
                value: reply.body,
            })),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(unexpected_status(status)),
        }
    }

    async fn put(&self, key: &str, value: Bytes, condition: Condition) -> Result<Version, Error> {
        let request = self.request(Method::PUT, &format!("/objects/{key}"));
        let request = match condition {
            Condition::Absent => request.header(header::IF_NONE_MATCH, "*"),
            Condition::Version(v) => request.header(header::IF_MATCH, format!("\"{v}\"")),
        };
        let request = request.body(Full::new(value)).map_err(unavailable)?;
        let reply = self.call(request, self.timeout).await?;
        match (reply.status, reply.version) {
            (StatusCode::OK | StatusCode::CREATED, Some(version)) => Ok(version),
            (StatusCode::PRECONDITION_FAILED, _) => Err(Error::Conflict),
            (status, _) => Err(unexpected_status(status)),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, Error> {
        let path = format!(
            "/objects?prefix={prefix}&after={after}&wait_ms={}",
            wait.as_millis()
        );
        let request = self
            .request(Method::GET, &path)
            .body(Full::default())
            .map_err(unavailable)?;
        let reply = self.call(request, self.timeout + wait).await?;
        if reply.status != StatusCode::OK {
            return Err(unexpected_status(reply.status));
        }
        let body: WatchBody = serde_json::from_slice(&reply.body).map_err(unavailable)?;
        let items = body
            .items
            .into_iter()
            .map(decode)
            .collect::<Result<_, _>>()?;
        Ok(WatchBatch {
            version: body.version,
            items,
        })
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, Error> {
        let request = self
            .request(Method::GET, "/instances")
            .body(Full::default())
            .map_err(unavailable)?;
        let reply = self.call(request, self.timeout).await?;
        match reply.status {
            StatusCode::OK => serde_json::from_slice(&reply.body).map_err(unavailable),
            status => Err(unexpected_status(status)),
        }
    }
}

fn decode(item: WatchItem) -> Result<WatchedObject, Error> {
    let value = STANDARD.decode(item.value).map_err(unavailable)?;
    Ok(WatchedObject {
        key: item.key,
        version: item.version,
        value: value.into(),
    })
}

fn unavailable(error: impl std::fmt::Display) -> Error {
    Error::Unavailable(error.to_string())
}

fn unexpected_status(status: StatusCode) -> Error {
    Error::Unavailable(format!("unexpected HTTP status {status}"))
}
